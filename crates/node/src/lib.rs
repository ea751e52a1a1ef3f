//! The entry node: all decision services under one kernel, and the shells that
//! join them to callers, targets, other nodes, the platform and operators.
//!
//! [`Node`] is the composition. It has no clock, thread or socket: whoever
//! drives it passes the time and a [`Message`] and performs the [`Action`]s that
//! come back. [`shell`] drives it in a process; scenarios drive it in virtual
//! time.

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
