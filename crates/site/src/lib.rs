//! A deployment as its operators configure it and as its targets register.
//!
//! Plain data without clock or socket. The `platform` crate decodes into these types; all other
//! crates read them and do not depend on the names of the platform.

mod bounds;
mod config;
mod model;
mod notice;
mod rate;
mod report;
mod route;
mod target;

pub use bounds::{Bounds, Limits};
pub use config::{Config, Organisation, Service};
pub use model::{Card, Model};
pub use notice::Notice;
pub use rate::Rate;
pub use report::{Report, Stall};
pub use route::{Backend, Kind, Route};
pub use target::{State, Target, TargetKey};
