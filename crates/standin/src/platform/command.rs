//! Control commands that inject faults into the platform and edit its list of VMs.

use fleet::Vm;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Outage mode of a platform service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outage {
    /// No outage.
    #[default]
    Off,
    /// Calls fail immediately and nothing is written. When the key-value service enters this
    /// mode, open watches are disconnected.
    Refuse,
    /// Calls hang until the mode changes and are then disconnected; nothing is written.
    /// Watches stay open but deliver nothing.
    Hang,
}

/// A control command, the body of `POST /control`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Command {
    /// Sets the outage mode of the key-value service.
    Outage(Outage),
    /// Sets the outage mode of the list of VMs.
    ListOutage(Outage),
    /// Sets the delay of each call before it takes effect, in milliseconds.
    DelayMs(u64),
    /// Closes the connection instead of responding to the next `count` writes of keys
    /// that start with `prefix`.
    Lose {
        /// Key prefix.
        prefix: SmolStr,
        /// Number of writes.
        count: u32,
        /// Whether the writes are applied before the connection is closed.
        applied: bool,
    },
    /// Disconnects all open watches.
    CutWatches,
    /// Compacts the history at the current revision. A watch that reads from an earlier
    /// revision is cancelled.
    Compact,
    /// Replaces the list of VMs. Readers see the new list without lag.
    SetVms(Vec<Vm>),
    /// Adds a VM, or replaces the VM with the same name.
    Join(Box<Vm>),
    /// Marks the VM with this name as leaving.
    Leaving(SmolStr),
    /// Removes the VM with this name from the list.
    Remove(SmolStr),
    /// Sets the lag of reads of the list behind its changes, in milliseconds.
    LagMs(u64),
    /// Sets the rate limits, in calls per second.
    Rates {
        /// Limit of reads, watches and lease calls.
        reads: f64,
        /// Limit of writes, transactions that write, and deletions.
        writes: f64,
    },
}
