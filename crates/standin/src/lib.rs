//! Stand-ins for the external systems of magnoliarun: the platform, the model engines and the
//! plain services. They are used by tests, demos and measurements and are never part of a
//! shipped binary.
//!
//! Each stand-in starts in the current process on a loopback port by default and implements
//! the calls of docs/PROTOCOLS.md. The examples of this crate each run one as a separate
//! process. A stand-in runs on a single thread that its handle joins on drop. Dropping or
//! crashing a stand-in closes its listener and all of its connections immediately, as the exit
//! of a process does. The servers use `hyper` because `tiny_http` keeps accepted connections
//! open.
//!
//! Control commands inject faults. `POST /control` accepts a command as JSON, and the `command`
//! method of each handle accepts the same type.

pub mod deployment;
pub mod engine;
mod error;
mod event;
mod http;
pub mod platform;
pub mod service;

pub use error::StartError;
pub use event::EVENTS;
