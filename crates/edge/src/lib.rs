//! The entry process on the users' platform.
//!
//! One thread runs everything in turn: callers' connections, connections to targets, the
//! store, and the decisions of `path` and `place`. Nothing is handed between threads but
//! finished log lines.

mod answer;
mod book;
mod call;
mod claim;
mod clock;
mod diagnose;
mod event;
mod follow;
mod front;
mod heed;
mod keep;
mod lead;
mod lines;
mod link;
mod loan;
mod node;
mod offer;
mod orders;
mod others;
mod part;
mod peers;
mod plain;
mod process;
mod pump;
mod quarantine;
mod question;
mod ready;
mod relay;
mod reply;
mod silence;
mod split;
mod store;
mod stream;
mod watch;
mod word;

pub use book::{Book, Next, Outcome, Sent};
pub use claim::Claim;
pub use event::EVENTS;
pub use lines::line_format;
pub use node::UNREADY_AFTER;
pub use others::Others;
pub use process::{Failure, check, run};
pub use question::Questions;
pub use relay::{Known, Relay};
pub use silence::{Silence, Verdict};
pub use split::{Event as StreamEvent, Splitter};
pub use watch::{Watch, gather_pause};
