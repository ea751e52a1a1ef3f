//! The operators' configuration: validation, version, propagation.
//!
//! A preset is a TOML document for people ([`Preset::parse`]) and one value in the
//! store ([`Stored`]). [`Commit`] is the operator's side: it puts a document in force by
//! compare-and-swap. [`Follower`] is the node's side: it applies higher versions only and
//! says whether the node can prove that it is not behind.

mod check;
mod commit;
mod error;
mod event;
mod message;
mod preset;
mod service;
mod settings;
mod span;
mod stored;

pub use commit::{Commit, Conflict, Input, Outcome, Output, Request, Revision};
pub use error::{Error, Violation};
pub use event::EVENTS;
pub use message::*;
pub use preset::{Change, Organisation, Preset};
pub use service::Follower;
pub use settings::{Builder, Settings};
pub use stored::{Past, Stored};
