//! Detection of requests, and of parts of prompts, that crash the targets that run them.
//!
//! A [`Fingerprint`] identifies all attempts at the same request, whatever their ids and whichever
//! node they reach, or all requests that share a part of their prompts. [`Suspects`] records which targets were lost under which fingerprint, and
//! quarantines fingerprints that crash their targets. It has no clock and no socket: callers pass
//! `now`, and inform the other nodes.

mod answered;
mod fingerprint;
mod interruption;
mod loss;
mod passes;
mod record;
mod settings;
mod subject;
mod suspects;
mod trials;

pub use answered::Answered;
pub use fingerprint::{Fingerprint, fingerprint, named_part_fingerprint, part_fingerprint};
pub use interruption::{Interruption, Interruptions};
pub use loss::{Loss, Place};
pub use passes::Passes;
pub use settings::{Builder, Settings};
pub use subject::Subject;
pub use suspects::{Decision, Doubt, Scope, Status, Suspects};
pub use trials::Trials;
