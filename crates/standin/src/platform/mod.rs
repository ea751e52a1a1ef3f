//! The platform: a small key-value service with compare-and-swap, leases and
//! watches in the JSON form of the etcd v3 calls, and the lagging list of VMs.

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
    Change, Compare, Comparison, Entry, Failure, Lease, MAX_VALUE_BYTES, Op, Outcome, Range,
    Revision, Store,
};
