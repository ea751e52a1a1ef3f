//! Runner of scenario scripts, and the performance measures.
//!
//! A script is a text file of directives, each with an input and its expected output,
//! run by the `datadriven` crate. [`process`] runs scripts against nodes that are separate
//! processes, with stand-ins for the platform and the targets; [`virtual_time`] runs them
//! against single decision services on a simulated clock. [`measure`] lists the measures
//! with their bounds.
//!
//! Output of process scripts contains no addresses or times, so that a script gives the
//! same result on every run. Directives that wait poll a condition for at most
//! [`process::MAX_WAIT`].

mod argument;
mod error;
pub mod measure;
pub mod process;
pub mod virtual_time;

pub use error::Error;
