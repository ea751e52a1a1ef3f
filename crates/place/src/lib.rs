//! Placement: which engine holds which layers of a model.
//!
//! [`plan`] takes the engines of one service and returns those that are to hold other layers. Each
//! failure domain gets a complete chain of its own, so that requests rarely cross between domains.
//! Engines that the chain of a domain does not need are spares: they stay empty or keep their
//! layers, and replace an engine that fails.

mod balance;
mod cover;
mod engine;
mod entries;
mod planner;
mod rate;
mod registration;
mod upgrade;

pub use cover::{gaps, plan};
pub use engine::{Engine, Limit, Move};
pub use planner::Planner;
pub use registration::Registration;
