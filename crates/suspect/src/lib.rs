//! Requests that crash the targets that run them.
//!
//! A [`Fingerprint`] tells that two attempts are the same request, whatever their ids and
//! whichever node they come to. [`Suspects`] keeps which targets were lost under which
//! fingerprint, and condemns those that crash their targets. No clock, no socket: callers pass
//! `now`, and tell other nodes.

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
