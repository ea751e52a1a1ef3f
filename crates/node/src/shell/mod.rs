//! The shell around the decision services: threads and tasks that convert network and
//! store events into messages, and carry out actions as calls.

mod attempt;
mod body;
mod callers;
mod connection;
mod convert;
mod core;
mod explain;
mod intake;
mod loads;
pub mod logging;
mod operators;
mod orders;
mod peers;
mod process;
mod relay;
mod reply;
mod shared;
mod store;
mod unused;

pub use process::{Ports, Process, StartError};
pub use store::PRESET_KEY;
