//! Pending work of this node on one shard, with at most one store operation in flight.

use std::time::Duration;

use crate::entry::{Entry, Work};
use crate::plan::Snapshot;
use crate::{Settings, Shard, Ticket};

/// Pending work on one shard and the state of the shard as this node knows it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Queue {
    /// Value last read or written; `None` if it must be read before the next write.
    pub(crate) snapshot: Option<Snapshot>,
    /// Operation in flight.
    pub(crate) in_flight: Option<Operation>,
    /// Unfinished work.
    pub(crate) entries: Vec<Entry>,
    /// Revision last read or written.
    pub(crate) last_revision: Option<u64>,
    /// Whether the last read found another revision than the operation before it, which usually
    /// means that other nodes also write the shard.
    pub(crate) contended: bool,
    /// Time before which no operation is started, after a failure of the store.
    pub(crate) retry_at: Duration,
}

/// A store operation in flight.
#[derive(Clone, Debug)]
pub(crate) struct Operation {
    /// Number of the operation.
    pub(crate) ticket: Ticket,
    /// Number of the step in which it was started.
    pub(crate) start_step: u64,
    /// The write; `None` for a read.
    pub(crate) write: Option<PendingWrite>,
}

/// A write in flight.
#[derive(Clone, Debug)]
pub(crate) struct PendingWrite {
    /// Expected revision.
    pub(crate) revision: u64,
    /// New value.
    pub(crate) shard: Shard,
    /// Clock readings of the snapshot that the write is based on.
    pub(crate) clock_anchor: (Duration, Duration),
}

impl Queue {
    /// Whether an operation can be started at `now`.
    pub(crate) fn is_ready(&self, now: Duration) -> bool {
        self.in_flight.is_none() && !self.entries.is_empty() && now >= self.retry_at
    }

    /// Returns the next time after `now` at which a retry or a timeout is due. Results of store
    /// operations are not considered.
    pub(crate) fn due(&self, now: Duration, settings: &Settings) -> Option<Duration> {
        let waits = self.in_flight.is_none() && !self.entries.is_empty();
        let retry = waits.then_some(self.retry_at);
        let deadlines = self.entries.iter().filter_map(|entry| deadline(entry, settings));
        retry.into_iter().chain(deadlines).filter(|at| *at > now).min()
    }
}

/// Returns the time at which the caller of an entry is answered even if the store has not answered.
pub(crate) fn deadline(entry: &Entry, settings: &Settings) -> Option<Duration> {
    match entry.work {
        Work::Claim { .. } => Some(entry.arrived_at + settings.claim_timeout),
        Work::Settle { answered: false, .. } => Some(entry.arrived_at + settings.settle_timeout),
        Work::Settle { answered: true, .. } | Work::Release { .. } => None,
    }
}
