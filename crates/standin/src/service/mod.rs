//! Stand-ins for plain services, such as the booking service, whose calls must not be repeated.

mod builder;
mod command;
mod server;

pub use builder::{Builder, Service};
pub use command::Command;
pub use server::Run;
