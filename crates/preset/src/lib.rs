//! Configuration set by the operators: validation, versions and propagation.
//!
//! A preset is written by operators as a TOML document ([`Preset::parse`]) and kept as one value in
//! the store ([`Stored`]). [`Commit`] runs in the operator's command and puts a document in force
//! by compare-and-swap. [`Follower`] runs in each node: it applies only higher versions and decides
//! whether the node can prove that its preset is current.

mod check;
mod commit;
mod draft;
mod error;
mod event;
mod message;
mod preset;
mod service;
mod settings;
mod span;
mod stored;

pub use commit::{Commit, Conflict, Input, Outcome, Output, Request, Revision};
pub use draft::{Draft, Fault};
pub use error::{Error, Violation};
pub use event::EVENTS;
pub use message::*;
pub use preset::{Change, Organisation, Preset};
pub use service::Follower;
pub use settings::{Builder, Settings};
pub use stored::{Past, Stored};
