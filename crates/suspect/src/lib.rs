//! Detection of requests that crash the targets that run them.
//!
//! A [`Fingerprint`] identifies all attempts at the same request, whatever their ids and whichever
//! node they reach. [`Suspects`] records which targets were lost under which fingerprint, and
//! quarantines fingerprints that crash their targets. It has no clock and no socket: callers pass
//! `now`, and inform the other nodes.

mod answered;
mod fingerprint;
mod interruption;
mod loss;
mod settings;
mod suspects;

pub use answered::Answered;
pub use fingerprint::{Fingerprint, fingerprint};
pub use interruption::{Interruption, Interruptions};
pub use loss::{Loss, Place};
pub use settings::{Builder, Settings};
pub use suspects::{Decision, Status, Suspects};
