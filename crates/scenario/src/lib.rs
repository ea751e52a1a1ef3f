//! The scenario language, and the measures.
//!
//! A script is a text file of directives, each with an input and the output that is
//! expected of it, run by the `datadriven` crate. [`process`] runs scripts against
//! nodes that are processes of their own, with stand-ins for the platform and the
//! targets; [`virtual_time`] runs them against single decision services without any
//! clock. [`measure`] lists what is measured, with the bounds that hold.
//!
//! Output never contains addresses or times, so that a script's verdict is the same
//! on every run. Waiting is polling for a condition, within [`process::MAX_WAIT`].

mod argument;
mod error;
pub mod measure;
pub mod process;
pub mod virtual_time;

pub use error::Error;
