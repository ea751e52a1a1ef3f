//! Messages to the ledger and actions that it requests.

use std::time::Duration;

use fleet::{Event, OrganisationName, RequestId};
use smol_str::SmolStr;

/// Number of a shard.
pub type ShardId = u32;

/// Identifies a non-idempotent request while its record is kept.
///
/// A caller that repeats a request uses the same key.
#[derive(
    Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
)]
pub struct Key {
    /// Organisation of the caller.
    pub organisation: OrganisationName,
    /// Plain service that the request is for.
    pub service: SmolStr,
    /// Value of the caller's `Idempotency-Key` header.
    pub text: SmolStr,
}

/// Input of the ledger.
#[derive(Clone, Debug)]
pub enum Message {
    /// Asks whether a request may run.
    Claim {
        /// Identifier of this attempt; every attempt has its own, also when it repeats an earlier
        /// request with the same key.
        request: RequestId,
        /// Key of the request.
        key: Key,
        /// Digest of method, path and body: the same key with another digest is a conflict.
        digest: u64,
    },
    /// Reports the end of a call. The outcome is to be recorded before the caller sees it. Every
    /// [`Verdict::Run`] is followed by exactly one of these.
    Settle {
        /// Key of the request.
        key: Key,
        /// Attempt that holds the claim.
        request: RequestId,
        /// Outcome of the call.
        outcome: Outcome,
    },
    /// Reports the result of a read or write requested by this node.
    Store(Reply),
    /// Names of the live nodes, including this one, among which the preferred node of a shard is
    /// chosen.
    Nodes(Vec<SmolStr>),
    /// The delay requested by [`Action::Wake`] has passed.
    Wake,
}

/// Outcome of a call.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// Answer of the target, replayed to every repeat of the request.
    Answer {
        /// Status code.
        status: u16,
        /// Content type.
        content_type: SmolStr,
        /// Body.
        body: Vec<u8>,
    },
    /// The call was answered, but the answer is too large to be stored. The ledger substitutes this
    /// for an [`Outcome::Answer`].
    Oversize {
        /// Status code.
        status: u16,
        /// Size of the body in bytes.
        bytes: u64,
    },
    /// The call certainly was not run; the key may be claimed again.
    NotRun,
    /// The call was started and its answer was lost.
    Unknown,
}

/// Number of a store operation, unique within one incarnation of a node.
pub type Ticket = u64;

/// Result of a store operation, with the operation's number.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// Number of the operation.
    pub ticket: Ticket,
    /// Result of the operation.
    pub result: StoreResult,
}

/// Result of a store operation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreResult {
    /// Current value and its revision, which is 0 if the key does not exist. As the result of a
    /// write it means [`StoreResult::Conflict`] and spares the read that would follow.
    Value {
        /// Revision of the last change of the key.
        revision: u64,
        /// Current value.
        value: Vec<u8>,
    },
    /// The write took effect.
    Written {
        /// Revision of the change.
        revision: u64,
    },
    /// The revision was not the expected one; nothing was written.
    Conflict,
    /// The answer was lost; a write may have taken effect or may still do so.
    Lost,
    /// The store did not accept the call; nothing was written or will be.
    Down,
    /// The rate limit of calls was reached; nothing was written or will be. Does not count as an
    /// outage.
    RateLimited,
}

/// Output of the ledger.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Reads a shard.
    Read {
        /// Number of the operation.
        ticket: Ticket,
        /// Shard of the operation.
        shard: ShardId,
    },
    /// Writes a shard if its revision is still the expected one.
    Write {
        /// Number of the operation.
        ticket: Ticket,
        /// Shard of the operation.
        shard: ShardId,
        /// Expected revision; 0 if the key must not exist.
        revision: u64,
        /// New value.
        value: Vec<u8>,
    },
    /// Answers a [`Message::Claim`].
    Verdict {
        /// Attempt that made the claim.
        request: RequestId,
        /// Verdict on the claim.
        verdict: Verdict,
    },
    /// Answers a [`Message::Settle`], exactly once. The caller may now see the outcome, whether or
    /// not it has been recorded.
    Settled {
        /// Attempt that held the claim.
        request: RequestId,
        /// Whether the outcome is recorded in the store. If it timed out, the ledger keeps trying.
        kept: bool,
    },
    /// Requests a [`Message::Wake`] after this delay.
    Wake(Duration),
    /// Logs an event.
    Log(Event),
}

/// Verdict on a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The claim is recorded. The receiver of this verdict, and no other attempt, may run the
    /// request, once.
    Run {
        /// Deadline, on the clock of [`Ledger::step`](crate::Ledger::step), for sending the first
        /// byte to a target. After it the request is not sent but settled as
        /// [`Outcome::NotRun`].
        until: Duration,
    },
    /// The request has run; its outcome answers this attempt too.
    Replay(Outcome),
    /// The key is claimed and the outcome is unknown; the request may still be running elsewhere.
    Unknown,
    /// The key was used for a request with another digest.
    Mismatch,
    /// The store is unavailable or did not answer in time; this attempt is not run.
    Down {
        /// Whether it is certain that no earlier attempt with the key ran. Always `false` at
        /// present, because another node may hold a claim on the key while the store does not
        /// answer.
        never_ran: bool,
        /// Delay after which the caller may retry.
        retry_after: Duration,
    },
    /// The shard has no room for another claim; this attempt is not run.
    Full {
        /// Delay after which the caller may retry.
        retry_after: Duration,
    },
}

impl Verdict {
    /// Returns the name of the verdict in log lines.
    pub fn name(&self) -> &'static str {
        match self {
            Verdict::Run { .. } => "run",
            Verdict::Replay(_) => "replay",
            Verdict::Unknown => "unknown",
            Verdict::Mismatch => "mismatch",
            Verdict::Down { .. } => "down",
            Verdict::Full { .. } => "full",
        }
    }
}
