//! Model engines. Each holds a range of layers, batches continuously, schedules
//! streams by priority, caches prompt prefixes and sends activations to the next
//! stage of a plan.
//!
//! Decoding is deterministic: the text of a token depends only on the seed and its
//! index, and the length of an answer only on the seed and the limit, so any
//! engine can continue any stream. The execution log of an engine records each
//! token with the range of layers that executed it.

mod builder;
mod cache;
mod command;
mod compute;
mod decode;
mod deliver;
mod execution;
mod load;
mod open;
mod order;
mod server;
mod session;
mod state;
mod wire;

pub use builder::{Builder, Crash, Engine};
pub use command::Command;
pub use decode::{Finish, answer_length, answer_text, token_text};
pub use execution::Execution;
pub use wire::CRASH_MARKER_PREFIX;
pub(crate) use wire::hex;
