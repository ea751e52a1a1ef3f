//! The entry process: stands between callers on the platform and the back ends.
//!
//! A single thread serves callers' connections, connections to targets and the store, and runs the
//! decisions of `path` and `place`. Only formatted log lines are handed to another thread.

mod answer;
mod call;
mod claim;
mod clock;
mod contact;
mod diagnose;
mod dispatch;
mod event;
mod evidence;
mod follow;
mod forward;
mod front;
mod lead;
mod lines;
mod loan;
mod mark;
mod node;
mod notice;
mod orders;
mod peers;
mod persistence;
mod pool;
mod process;
mod pump;
mod quarantine;
mod query;
mod reachability;
mod ready;
mod recency;
mod relay;
mod replica;
mod reply;
mod segment;
mod split;
mod store;
mod stream;
mod tracker;
mod unary;
mod watch;
mod watchdog;

pub use claim::Claim;
pub use contact::Contact;
pub use event::EVENTS;
pub use lines::line_format;
pub use node::UNREADY_AFTER;
pub use pool::set_socket_timeouts;
pub use process::{Failure, check, run};
pub use query::Queries;
pub use reachability::Reachability;
pub use recency::{REWRITE_TIME, Recency};
pub use relay::{Freshness, Relay};
pub use replica::{Listing, Mutation, Replica, Stated};
pub use split::{Event as StreamEvent, Splitter};
pub use tracker::{FollowUp, Outcome, Sent, Tracker};
pub use watch::{Watch, batch_pause};
pub use watchdog::{Verdict, Watchdog};
