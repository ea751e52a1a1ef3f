//! Pending work on a shard.

use std::time::Duration;

use fleet::RequestId;

use crate::{KeyId, Outcome};

/// One pending change of a shard.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    /// Key whose record it changes.
    pub(crate) id: KeyId,
    /// Time of arrival.
    pub(crate) arrived_at: Duration,
    /// Number of the step in which it arrived.
    pub(crate) arrival_step: u64,
    /// Kind of change.
    pub(crate) work: Work,
    /// Time at which a write with its claim was first sent.
    pub(crate) first_write_at: Option<Duration>,
    /// Expected revision of a write of its claim whose answer was lost. The write may still take
    /// effect while the shard has that revision, and cannot once the revision has changed.
    pub(crate) unresolved_revision: Option<u64>,
    /// What the write in flight does for this entry; `None` if no write in flight includes it.
    pub(crate) in_flight: Option<Intent>,
}

/// Kind of change to a shard.
#[derive(Clone, Debug)]
pub(crate) enum Work {
    /// Records a claim.
    Claim {
        /// Attempt that makes the claim.
        request: RequestId,
        /// Digest of the request's method, path and body.
        digest: u64,
    },
    /// Records an outcome.
    Settle {
        /// Attempt that holds the claim.
        request: RequestId,
        /// Digest of the request, if this incarnation still holds the claim.
        digest: Option<u64>,
        /// Outcome of the call.
        outcome: Outcome,
        /// Whether [`Action::Settled`](crate::Action::Settled) has been issued.
        answered: bool,
    },
    /// Ensures that the claim of a refused attempt is not in the store and cannot appear there.
    Release {
        /// Attempt that was refused.
        request: RequestId,
    },
}

/// What a write does for an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Intent {
    /// Records the claim.
    Claim,
    /// Records the outcome, or removes the claim of a call that was not run.
    Settle,
    /// Removes the claim, or advances the revision so that a delayed write of it must fail.
    Remove,
}

/// A claim held by this incarnation, from its verdict until its outcome is recorded.
#[derive(Clone, Debug)]
pub(crate) struct HeldClaim {
    /// Attempt that holds the claim.
    pub(crate) request: RequestId,
    /// Digest of the request's method, path and body.
    pub(crate) digest: u64,
    /// Outcome that is not recorded in the store yet.
    pub(crate) pending: Option<Outcome>,
}

impl Entry {
    /// Creates an entry that no write has included yet.
    pub(crate) fn new(id: KeyId, arrived_at: Duration, arrival_step: u64, work: Work) -> Self {
        Self {
            id,
            arrived_at,
            arrival_step,
            work,
            first_write_at: None,
            unresolved_revision: None,
            in_flight: None,
        }
    }

    /// Turns a refused claim into its release. Returns whether a release is needed, which is the
    /// case if a write of the claim is in flight or its result is unknown.
    pub(crate) fn release(&mut self) -> bool {
        if let Work::Claim { request, .. } = self.work {
            self.work = Work::Release { request };
        }
        self.unresolved_revision.is_some() || self.in_flight == Some(Intent::Claim)
    }
}
