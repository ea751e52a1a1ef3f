//! Counts of calls by purpose.

use std::sync::atomic::{AtomicU64, Ordering};

use crate::Purpose;

/// Counts of calls since the creation of the client.
#[derive(Debug, Default)]
pub struct Counts {
    reads: [AtomicU64; Purpose::COUNT],
    writes: [AtomicU64; Purpose::COUNT],
    failed: [AtomicU64; Purpose::COUNT],
}

/// Numbers of calls for one purpose.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Reads and watches.
    pub reads: u64,
    /// Writes and lease calls.
    pub writes: u64,
    /// Failed calls of either kind, including those that the budget rejected.
    pub failed: u64,
}

impl Counts {
    /// Returns the numbers of calls for `purpose`.
    pub fn usage(&self, purpose: Purpose) -> Usage {
        let index = purpose.index();
        Usage {
            reads: self.reads[index].load(Ordering::Relaxed),
            writes: self.writes[index].load(Ordering::Relaxed),
            failed: self.failed[index].load(Ordering::Relaxed),
        }
    }

    pub(crate) fn read(&self, purpose: Purpose) {
        self.reads[purpose.index()].fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn write(&self, purpose: Purpose) {
        self.writes[purpose.index()].fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn fail(&self, purpose: Purpose) {
        self.failed[purpose.index()].fetch_add(1, Ordering::Relaxed);
    }
}
