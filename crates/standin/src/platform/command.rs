//! Commands that change what the platform does.

use fleet::Vm;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// How the platform behaves during an outage.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outage {
    /// No outage.
    #[default]
    Off,
    /// Calls are refused at once; nothing is written. Watches are cut.
    Refuse,
    /// Calls get no answer and are cut when the outage ends; nothing is written.
    /// Watches stay open and silent.
    Hang,
}

/// A command, as `POST /control` takes it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Command {
    /// Begins or ends an outage of the key-value service.
    Outage(Outage),
    /// Begins or ends an outage of the list of VMs.
    ListOutage(Outage),
    /// Delay of each call, in milliseconds, before it takes effect.
    DelayMs(u64),
    /// Cuts the connection in place of the answers of the next `count` writes of keys
    /// that begin with `prefix`.
    Lose {
        /// Beginning of the key.
        prefix: SmolStr,
        /// Number of writes.
        count: u32,
        /// Whether the writes take effect.
        applied: bool,
    },
    /// Cuts all open watches.
    CutWatches,
    /// Forgets all changes up to now: a watch from an earlier revision is cancelled.
    Compact,
    /// Replaces the list of VMs; readers see it without lag.
    SetVms(Vec<Vm>),
    /// A VM joins, or replaces the one of its name.
    Join(Box<Vm>),
    /// A VM is marked as leaving.
    Leaving(SmolStr),
    /// A VM goes off the list.
    Remove(SmolStr),
    /// How long readers of the list lag behind, in milliseconds.
    LagMs(u64),
    /// Calls per second that are taken.
    Rates {
        /// Reads, watches and renewals of leases.
        reads: f64,
        /// Writes.
        writes: f64,
    },
}
