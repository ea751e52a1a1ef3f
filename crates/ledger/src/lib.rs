//! At-most-once execution of non-idempotent requests.
//!
//! Before the first byte of such a request is sent to a target, a claim on its key is recorded in
//! the store. Claims are grouped into shards, each stored as one value and changed only by
//! compare-and-swap: the attempt whose write takes effect holds the claim permanently. No lease is
//! involved. Claims and outcomes that arrive for a shard while a write is in flight are batched
//! into the next write. An outcome is stored with its claim and answers every repeated request.
//!
//! [`Ledger`] is a state machine: it requests reads and writes through [`Action`] and receives
//! their results through [`Message::Store`].

mod codec;
mod entry;
mod event;
mod message;
mod operation;
mod placement;
mod plan;
mod queue;
mod service;
mod settings;
mod shard;

pub use event::EVENTS;
pub use message::*;
pub use placement::{KeyId, SHARD_COUNT, key_id, preferred_node, shard_of, store_key};
pub use service::Ledger;
pub use settings::{Builder, Settings, Weakness};
pub use shard::{DecodeError, Record, Shard};
