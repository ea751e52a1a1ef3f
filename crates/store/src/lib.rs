//! Client of the platform's key-value service.
//!
//! The service implements the published JSON form of the etcd v3 API. This crate offers blocking
//! calls with a time-out. When a write fails, the error states whether it *did not* take effect or
//! *may have*, which a caller of compare-and-swap must know. The crate also divides a budget of
//! calls between purposes, tracks outages, counts calls, and follows a key without missing a
//! revision.

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
