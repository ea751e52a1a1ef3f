//! At-most-once execution of non-idempotent requests.
//!
//! Before the first byte of such a request goes to a target, a claim under its key is recorded in
//! the store. Claims are kept in shards, one stored value each, and a shard is changed only by
//! compare-and-swap: whoever's write takes effect holds the claim, for good. No lease takes part.
//! All claims and outcomes that arrive for a shard while a write is in flight go into the next
//! write. An outcome is kept beside its claim and answers every repeat.
//!
//! [`Ledger`] is a state machine: it asks for reads and writes by [`Action`] and is told their
//! results by [`Message::Store`].

mod codec;
mod drive;
mod entry;
mod event;
mod lane;
mod message;
mod place;
mod plan;
mod service;
mod settings;
mod shard;

pub use event::EVENTS;
pub use message::*;
pub use place::{KeyId, SHARDS, key_id, preferred, shard_of, store_key};
pub use service::Ledger;
pub use settings::{Builder, Settings, Weakness};
pub use shard::{Record, Shard, Unreadable};
