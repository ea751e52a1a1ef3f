//! Which engine holds which layers of a model.
//!
//! [`plan`] looks at the engines of one service and says which of them are to hold other
//! layers. Each failure domain gets a whole chain of its own, so that requests seldom cross
//! between domains. Engines that a domain's chain does not need are spares: they stay empty
//! or keep what they hold, and take the place of one that fails.

mod cover;
mod engine;
mod level;
mod planner;
mod rate;
mod registration;
mod upgrade;

pub use cover::{gaps, plan};
pub use engine::{Engine, Move};
pub use planner::Planner;
pub use registration::Registration;
