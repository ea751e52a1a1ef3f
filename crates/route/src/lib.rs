//! Pipeline plans, target choice, recovery of streams, quarantine.

mod message;
mod service;
mod settings;

pub use message::*;
pub use service::Router;
pub use settings::Settings;
