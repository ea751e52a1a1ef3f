//! Stand-in for the platform: a small key-value service that implements transactions,
//! leases and watches of the etcd v3 JSON API, and a list of VMs that reads return with a lag.

mod api;
mod command;
mod counter;
mod server;
mod state;
mod store;
mod token_bucket;
mod vm_list;
mod watch;

pub use command::{Command, Outage};
pub use counter::{Counter, Operation};
pub use server::{Builder, Platform};
pub use store::{
    Change, Compare, Comparison, Entry, Failure, LeaseId, MAX_VALUE_BYTES, Op, Outcome, Range,
    Revision, Store,
};
