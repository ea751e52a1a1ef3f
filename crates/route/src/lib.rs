//! Pipeline plans, target choice, recovery of streams, quarantine.
//!
//! [`Router`] is a state machine that handles [`Message`]s and requests [`Action`]s, in virtual
//! time and with a seeded generator. [`flow`] computes the maximum flow through a model's layers,
//! from which chains of targets are sampled for each request.

mod budget;
mod choose;
mod cumulative;
mod estimate;
mod event;
mod finish;
pub mod flow;
mod launch;
mod load;
mod message;
mod outlier;

mod pool;
mod prefix;
mod recover;
mod service;
mod settings;
mod simplex;
mod state;
mod table;
mod view;

pub use event::EVENTS;
pub use message::*;
pub use service::Router;
pub use settings::{Builder, Mechanism, Settings};
