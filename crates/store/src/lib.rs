//! Client of the platform's key-value service.
//!
//! The service speaks the published JSON form of the etcd v3 calls. This crate turns them into
//! blocking calls with a deadline, and tells apart what a caller of compare-and-swap must know:
//! whether a write that was not answered *did not* take effect or *may have*. It shares a budget
//! of calls between purposes, keeps the state of an outage visible, counts what it spends, and
//! follows a key without missing a revision.

mod budget;
mod call;
mod client;
mod commit;
mod counts;
mod error;
mod event;
mod follow;
mod health;
mod lease;
mod purpose;
mod settings;

pub use budget::{Budget, Rates};
pub use client::{Cas, Client, Entry, Guard, Listing, Revision, Write};
pub use commit::Commit;
pub use counts::{Counts, Usage};
pub use error::{Cause, Effect, Error};
pub use event::EVENTS;
pub use follow::{Follower, Update};
pub use health::{Health, State};
pub use lease::LeaseId;
pub use purpose::Purpose;
pub use settings::{Builder, Settings};
