//! A micro-kernel: services under names, delivery of typed messages and timers
//! between them in a fixed order, the life cycle, and the joining of threads.
//!
//! The kernel has no clock and no socket. Whoever drives it passes `now` (time
//! since the process began) and a message; the kernel delivers it, and all that
//! follows from it, and returns the actions that the services ask of the outside
//! world. It knows nothing of what the messages mean.
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
