//! Findings about a configuration before it is put in force.
//!
//! A [`Document`] is a configuration as written: it keeps what a node merges, rounds or replaces when
//! it reads one (two services of one name, two owners of a key, attempts of 0), which [`site::Config`]
//! does not hold any more. [`check`] returns all findings: those of the decoder, contradictions
//! ([`review`]) and differences from the version in force ([`compare`]). The platform's format is
//! decoded in the `platform` crate; [`preset`] reads the product's own. Plain data in, findings out,
//! without I/O.

mod check;
mod compare;
mod document;
mod finding;
mod fingerprint;
pub mod preset;
mod review;

pub use check::{Decoded, check};
pub use compare::compare;
pub use document::{Backend, Document, Key, Limits, Organisation, Place, Route, Service, Setting};
pub use finding::{Cause, Finding, Severity};
pub use fingerprint::fingerprint;
pub use review::{Bounds, review};
