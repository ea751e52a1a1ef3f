//! Membership of nodes and targets, and dissemination of small facts.
//!
//! The view is seeded from the platform's list, which lags, and corrected by direct heartbeats.
//! A small number of nodes forms a full mesh; a larger one sends heartbeats to a fixed number of
//! peers per round, in random order. Facts are piggybacked on heartbeats; urgent facts and new
//! configuration versions are pushed between rounds.

mod demand;
mod event;
mod fact;
mod list;
mod membership;
mod message;
mod peer;
mod quorum;
mod settings;
mod target;

pub use event::EVENTS;
pub use list::List;
pub use membership::Membership;
pub use message::*;
pub use settings::{Builder, Settings};
