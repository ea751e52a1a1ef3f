//! Work that waits for a shard.

use std::time::Duration;

use fleet::RequestId;

use crate::{KeyId, Outcome};

/// One piece of work.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    /// Key that it concerns.
    pub(crate) id: KeyId,
    /// When it arrived.
    pub(crate) arrived: Duration,
    /// Number of the step in which it arrived.
    pub(crate) step: u64,
    /// What is to be done.
    pub(crate) work: Work,
    /// When a write with its claim was first sent.
    pub(crate) attempted: Option<Duration>,
    /// Expected revision of a write with its claim whose answer was lost. While the shard has
    /// that revision, the write may still take effect; once it has another, it never can.
    pub(crate) late: Option<u64>,
    /// What the write in flight does for it.
    pub(crate) flight: Option<Intent>,
}

/// What is to be done.
#[derive(Clone, Debug)]
pub(crate) enum Work {
    /// Record a claim.
    Claim {
        /// Sending that wants it.
        request: RequestId,
        /// Digest of the request.
        digest: u64,
    },
    /// Record an outcome.
    Settle {
        /// Sending that holds the claim.
        request: RequestId,
        /// Digest of the request, if this life made the claim.
        digest: Option<u64>,
        /// What came of it.
        outcome: Outcome,
        /// Whether the caller has been let go.
        told: bool,
    },
    /// Make sure that a claim whose caller was refused is not, and never will be, in the store.
    Release {
        /// Sending that was refused.
        request: RequestId,
    },
}

/// What a write does for a piece of work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Intent {
    /// It records the claim.
    Claim,
    /// It records the outcome.
    Settle,
    /// It removes the claim, or moves the revision on so that a late write must fail.
    Remove,
}

/// A claim that this life holds, from its verdict until its outcome is kept.
#[derive(Clone, Debug)]
pub(crate) struct Held {
    /// Sending that holds it.
    pub(crate) request: RequestId,
    /// Digest of the request.
    pub(crate) digest: u64,
    /// Outcome that is not in the store yet.
    pub(crate) pending: Option<Outcome>,
}

impl Entry {
    /// Work that has not been tried.
    pub(crate) fn new(id: KeyId, arrived: Duration, step: u64, work: Work) -> Self {
        Self { id, arrived, step, work, attempted: None, late: None, flight: None }
    }

    /// Turns a claim that has been refused into its release; says whether one is needed.
    pub(crate) fn release(&mut self) -> bool {
        if let Work::Claim { request, .. } = self.work {
            self.work = Work::Release { request };
        }
        self.late.is_some() || self.flight == Some(Intent::Claim)
    }
}
