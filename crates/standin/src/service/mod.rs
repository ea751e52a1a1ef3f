//! Plain services, among them the booking engine, whose calls may not be repeated.

mod builder;
mod command;
mod server;

pub use builder::{Builder, Service};
pub use command::Command;
pub use server::Run;
