//! Stand-ins for what magnoliarun meets outside: the platform, the model
//! engines and the plain services. They serve tests, demos and measurements and
//! are never part of a shipped binary.
//!
//! Each stand-in is started in this process on a loopback port and answers the
//! calls of docs/PROTOCOLS.md; the examples of this crate run one as a process
//! of its own. A stand-in runs on a single thread that its handle joins on drop.
//! Dropping or crashing a stand-in closes its listener and all its connections
//! at once, as the end of a process does. That is why they are built on `hyper`
//! and not on `tiny_http`, which keeps accepted connections open.
//!
//! Faults are commands: `POST /control` takes one as JSON, and each handle has a
//! `command` method that takes the same type.

pub mod deployment;
pub mod engine;
mod error;
mod event;
mod http;
pub mod platform;
pub mod service;

pub use error::StartError;
pub use event::EVENTS;
