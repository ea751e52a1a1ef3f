//! At-most-once execution of non-idempotent requests.

mod message;
mod service;
mod settings;

pub use message::*;
pub use service::Ledger;
pub use settings::Settings;
