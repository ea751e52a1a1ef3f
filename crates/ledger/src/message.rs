//! What the ledger hears and what it asks for.

use std::time::Duration;

use fleet::{Event, OrganisationName, RequestId};
use smol_str::SmolStr;

/// Number of a shard.
pub type ShardId = u32;

/// Names one non-idempotent request for as long as it is kept.
///
/// A caller that sends the same request again uses the same key.
#[derive(
    Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
)]
pub struct Key {
    /// Organisation that sent it.
    pub organisation: OrganisationName,
    /// Plain service that it is for.
    pub service: SmolStr,
    /// The caller's `Idempotency-Key`.
    pub text: SmolStr,
}

/// What the ledger hears.
#[derive(Clone, Debug)]
pub enum Message {
    /// A request wants to run.
    Claim {
        /// This sending of the request: each sending has an identifier of its own, also when
        /// its key is that of an earlier one.
        request: RequestId,
        /// Its key.
        key: Key,
        /// Digest of method, path and body: the same key with another digest is a conflict.
        digest: u64,
    },
    /// The call has ended; the outcome is to be kept before the caller sees it. Every
    /// [`Verdict::Run`] is followed by exactly one of these.
    Settle {
        /// The key.
        key: Key,
        /// The request that holds the claim.
        request: RequestId,
        /// What came of it.
        outcome: Outcome,
    },
    /// The store answered a read or a write of this node.
    Store(Reply),
    /// Live nodes by name, this node's own included: they decide which is preferred for a shard.
    Nodes(Vec<SmolStr>),
    /// The time asked for by [`Action::Wake`] has come.
    Wake,
}

/// What came of a call.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The target's answer, given again to every repeat.
    Answer {
        /// Status code.
        status: u16,
        /// Content type.
        content_type: SmolStr,
        /// Body.
        body: Vec<u8>,
    },
    /// It ran and was answered, but the answer is too large to be kept. The ledger itself makes
    /// this of an [`Outcome::Answer`].
    Oversize {
        /// Status code.
        status: u16,
        /// Size of the body in bytes.
        bytes: u64,
    },
    /// The call truly was not run; the key may be claimed again.
    NotRun,
    /// The call began and its answer is lost.
    Unknown,
}

/// Number of a store operation of this node.
pub type Ticket = u64;

/// What the store answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// The operation.
    pub ticket: Ticket,
    /// Its result.
    pub result: StoreResult,
}

/// Result of a store operation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreResult {
    /// The value and its revision; revision 0 when there is none. As the answer to a write it
    /// means [`StoreResult::Conflict`] and says what is there instead, which saves a read.
    Value {
        /// Revision of the last change of the key.
        revision: u64,
        /// The value.
        value: Vec<u8>,
    },
    /// The write took effect.
    Written {
        /// Revision of the change.
        revision: u64,
    },
    /// The key has another revision than expected; nothing was written.
    Conflict,
    /// The answer was lost: a write may have taken effect, or may still do so.
    Lost,
    /// The store did not take the call: nothing was written and never will be.
    Down,
    /// The rate of calls is spent: nothing was written and never will be. Not an outage.
    RateLimited,
}

/// What the ledger asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Read a shard.
    Read {
        /// Number of the operation.
        ticket: Ticket,
        /// The shard.
        shard: ShardId,
    },
    /// Write a shard if its revision is still the expected one.
    Write {
        /// Number of the operation.
        ticket: Ticket,
        /// The shard.
        shard: ShardId,
        /// Expected revision; 0 when there is none yet.
        revision: u64,
        /// New value.
        value: Vec<u8>,
    },
    /// The verdict on a claim.
    Verdict {
        /// The request.
        request: RequestId,
        /// What is to be done.
        verdict: Verdict,
    },
    /// The outcome is kept, or cannot be kept now; the caller may see it in either case. Given
    /// once for each [`Message::Settle`].
    Settled {
        /// The request.
        request: RequestId,
        /// Whether the store has it; if not, the ledger goes on trying.
        kept: bool,
    },
    /// Send [`Message::Wake`] after this time.
    Wake(Duration),
    /// Write a log line.
    Log(Event),
}

/// Verdict on a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The claim is recorded: run it, once. Only the receiver of this verdict can ever run it.
    Run {
        /// Last moment, on the clock of [`Ledger::step`](crate::Ledger::step), at which the first
        /// byte may go to a target. After it the request is not sent but settled as
        /// [`Outcome::NotRun`].
        until: Duration,
    },
    /// It ran: give its answer again.
    Replay(Outcome),
    /// It has been claimed and its outcome is not known (it may still run elsewhere).
    Unknown,
    /// The key was used with another body.
    Mismatch,
    /// The store did not answer: this sending is not run.
    Down {
        /// Whether an earlier sending under the key can be excluded. It never can while the
        /// store is silent, since another node may hold a claim under the key; so this is
        /// `false` in all answers of today.
        never_ran: bool,
        /// When the caller may come back.
        retry_after: Duration,
    },
    /// The shard is full of claims that are still kept: not run.
    Full {
        /// When the caller may come back.
        retry_after: Duration,
    },
}

impl Verdict {
    /// Name in log lines.
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
