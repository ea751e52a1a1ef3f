//! A VM's view of its targets, and the selection of a path or target for each request.
//!
//! [`Table`] stores what targets have registered, the health observed since then, and the load that
//! this VM has placed on them. It has no clock and no socket: callers pass `now`, the time since
//! the process started.

mod availability;
mod budget;
mod entry;
mod health;
mod missed;
mod participants;
mod prompt;
mod search;
mod table;

pub use availability::Availability;
pub use budget::Budget;
pub use entry::Entry;
pub use health::{Fault, Health, ProbeFailure};
pub use missed::{Agreement, MissedReports, engines_to_ask};
pub use participants::{Participants, Share};
pub use prompt::{Level, Prompt, Rank, Ranks};
pub use search::{Path, Stage};
pub use table::{Query, Table};
