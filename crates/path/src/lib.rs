//! Targets as this VM sees them, and the choice of where a request goes.
//!
//! [`Table`] keeps what targets registered, what was seen of them since, and what this VM
//! has sent them. It has no clock and no socket: callers pass `now`, the time since the
//! process began.

mod availability;
mod budget;
mod entry;
mod health;
mod participants;
mod search;
mod table;

pub use availability::Availability;
pub use budget::Budget;
pub use entry::Entry;
pub use health::{Fault, Health};
pub use participants::{Participants, Share};
pub use search::{Path, Stage};
pub use table::{Query, Table};
