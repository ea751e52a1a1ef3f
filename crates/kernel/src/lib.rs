//! A microkernel: named services, ordered delivery of typed messages and timers between them, a
//! life cycle, and the joining of threads.
//!
//! The kernel has no clock and no socket. Its caller passes `now` (time since the process started)
//! and a message. The kernel delivers the message and all messages that follow from it, and
//! returns the actions that the services request from the outside world. It does not interpret the
//! messages.
//!
//! ```
//! use std::time::Duration;
//! use kernel::{Builder, Context, Service};
//!
//! struct Echo;
//!
//! impl Service<u32, u32> for Echo {
//!     fn name(&self) -> &'static str {
//!         "echo"
//!     }
//!
//!     fn handle(&mut self, message: u32, context: &mut Context<'_, u32, u32>) {
//!         context.act(message + 1);
//!     }
//! }
//!
//! let mut kernel = Builder::new(7).service(Echo).build().expect("names are unique").run();
//! assert_eq!(kernel.step(Duration::ZERO, "echo", 1), vec![2]);
//! ```

mod context;
mod error;
mod life;
mod queue;
mod service;
mod threads;

pub use context::Context;
pub use error::{Duplicate, Panicked};
pub use life::{Builder, Delivering, Draining, Kernel, Ready, Running, Stopped};
pub use service::{Name, Service};
pub use threads::Threads;
