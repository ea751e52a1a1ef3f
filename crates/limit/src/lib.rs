//! Admission: urgency, fair shares, queues, retry budget.

mod message;
mod service;
mod settings;

pub use message::*;
pub use service::Limiter;
pub use settings::Settings;
