//! The work of this node on one shard: at most one store operation at a time.

use std::time::Duration;

use crate::entry::{Entry, Work};
use crate::plan::Known;
use crate::{Settings, Shard, Ticket};

/// State of one shard at this node.
#[derive(Clone, Debug, Default)]
pub(crate) struct Lane {
    /// Value last seen.
    pub(crate) known: Option<Known>,
    /// Operation in flight.
    pub(crate) flight: Option<Flight>,
    /// Work that is not finished, in order of arrival.
    pub(crate) entries: Vec<Entry>,
    /// Revision last seen.
    pub(crate) seen: Option<u64>,
    /// Whether another node has been seen to write this shard between two operations.
    pub(crate) contended: bool,
    /// Time before which no operation is begun.
    pub(crate) retry_at: Duration,
}

/// An operation in flight.
#[derive(Clone, Debug)]
pub(crate) struct Flight {
    /// Its number.
    pub(crate) ticket: Ticket,
    /// Number of the step in which it was begun.
    pub(crate) step: u64,
    /// What it writes; `None` for a read.
    pub(crate) write: Option<Written>,
}

/// A write in flight.
#[derive(Clone, Debug)]
pub(crate) struct Written {
    /// Expected revision.
    pub(crate) revision: u64,
    /// New value.
    pub(crate) shard: Shard,
    /// Anchor of the shard's clock.
    pub(crate) anchor: (Duration, Duration),
}

impl Lane {
    /// Whether an operation could be begun at `now`.
    pub(crate) fn is_ready(&self, now: Duration) -> bool {
        self.flight.is_none() && !self.entries.is_empty() && now >= self.retry_at
    }

    /// Next time after `now` at which this lane must be looked at, store operations apart.
    pub(crate) fn due(&self, now: Duration, settings: &Settings) -> Option<Duration> {
        let waits = self.flight.is_none() && !self.entries.is_empty();
        let retry = waits.then_some(self.retry_at);
        let deadlines = self.entries.iter().filter_map(|entry| deadline(entry, settings));
        retry.into_iter().chain(deadlines).filter(|at| *at > now).min()
    }
}

/// Time at which the caller of a piece of work is let go.
pub(crate) fn deadline(entry: &Entry, settings: &Settings) -> Option<Duration> {
    match entry.work {
        Work::Claim { .. } => Some(entry.arrived + settings.claim_wait),
        Work::Settle { told: false, .. } => Some(entry.arrived + settings.settle_wait),
        Work::Settle { told: true, .. } | Work::Release { .. } => None,
    }
}
