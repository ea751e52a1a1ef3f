//! Membership of nodes and targets, and spreading of small facts.
//!
//! The platform's lagging list seeds the view and direct heartbeats correct it. Up to a few
//! nodes form a full mesh; above that each node sends to a fixed number of others in turn.
//! Facts ride on heartbeats; urgent ones and new configuration versions are pushed at once.

mod demand;
mod event;
mod fact;
mod membership;
mod message;
mod peer;
mod quorum;
mod settings;
mod target;

pub use event::EVENTS;
pub use membership::Membership;
pub use message::*;
pub use settings::{Builder, Settings};
