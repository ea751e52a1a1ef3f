//! The entry node: the decision services under one kernel, and the shell that connects them to
//! callers, targets, other nodes, the platform and operators.
//!
//! [`Node`] composes the services. It has no clock, thread or socket: its driver passes the time
//! and a [`Message`], and performs the [`Action`]s that it returns. [`shell`] drives it in a
//! process; tests drive it in virtual time.

pub mod api;
pub mod control;
mod event;
pub mod identity;
mod message;
mod node;
mod requests;
mod services;
pub mod settings;
pub mod shell;

pub use event::EVENTS;
pub use message::{Action, Answer, Arrival, End, Message, Reason, Request};
pub use node::{Config, Node};
pub use settings::Settings;
