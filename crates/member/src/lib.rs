//! Membership of nodes and targets, and spreading of small facts.

mod message;
mod service;
mod settings;

pub use message::*;
pub use service::Membership;
pub use settings::Settings;
