//! Model engines: each holds a range of layers, batches continuously, honours
//! priorities, caches prompt prefixes and passes activations on to the next
//! stage of a plan.
//!
//! Decoding is deterministic: the text of a token follows from the seed and its
//! index alone, and the length of an answer from the seed and the limit, so any
//! engine continues any stream. What an engine executes stands in its execution
//! log, token by token and layer range by layer range.

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
