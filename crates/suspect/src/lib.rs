//! Requests that crash the targets that run them.
//!
//! A [`Fingerprint`] tells that two attempts are the same request, whatever their ids and
//! whichever node they come to.

mod fingerprint;

pub use fingerprint::{Fingerprint, fingerprint};
