//! The operators' configuration: validation, version, propagation.

mod message;
mod preset;
mod service;
mod settings;

pub use message::*;
pub use preset::{Change, Organisation, Preset};
pub use service::Follower;
pub use settings::Settings;
