//! The shells: they turn the world into messages and actions into calls.

mod attempt;
mod callers;
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

pub use process::{Ports, Process, StartError};
pub use store::PRESET_KEY;
