//! Messages that the router handles and actions that it requests.

use std::time::Duration;

use fleet::{AttemptId, Event, Link, Plan, Request, RequestId, Target, TargetName, TokenIndex};
use smol_str::SmolStr;

/// Input of the router.
#[derive(Clone, Debug)]
pub enum Message {
    /// The fleet view has changed.
    Fleet {
        /// All known targets, live and leaving, each with its standing.
        targets: Vec<Target>,
        /// Links between failure domains. Pairs that are not listed count as having
        /// no delay and no rate bound.
        links: Vec<Link>,
    },
    /// A target has reported its load.
    Load(Load),
    /// A target has reported changes of its prefix cache.
    Cache {
        /// The target.
        target: TargetName,
        /// Events in order; the sequence numbers may have gaps.
        events: Vec<CacheEvent>,
    },
    /// An admitted request is to be run.
    Start {
        /// The request.
        request: Request,
        /// Priority for the engines, from 0 (most urgent) to 9.
        priority: u8,
        /// Hashes of the growing prefixes of the prompt, shortest first.
        prefixes: Vec<u64>,
    },
    /// Tokens up to `next` have been delivered to the caller. Sent as a sample, not for each
    /// token.
    Progress {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptId,
        /// Index of the first token not yet delivered.
        next: TokenIndex,
    },
    /// An attempt has ended.
    Ended {
        /// The request.
        request: RequestId,
        /// The attempt. Messages about attempts that have been replaced are ignored.
        attempt: AttemptId,
        /// Index of the first token not delivered.
        next: TokenIndex,
        /// How the attempt ended.
        ending: Ending,
    },
    /// The caller has disconnected.
    CallerDisconnected(RequestId),
    /// Another node has suspected or quarantined a request.
    Quarantine(Quarantine),
    /// Membership has found that a failure domain or rack is lost.
    Lost {
        /// Targets that were lost together.
        targets: Vec<TargetName>,
    },
    /// The operators' preset has set new bounds.
    Bounds(Bounds),
    /// The delay requested by [`Action::Wake`] has passed.
    Wake,
}

/// Bounds of routing from the preset in force.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Retries as a share of recent successes, from 0 to 1.
    pub retry_share: f64,
    /// Maximum number of attempts for one request.
    pub max_attempts: u32,
    /// Time for which a request that crashed its targets stays quarantined.
    pub quarantine_ttl: Duration,
}

/// A target's report of its own load.
#[derive(Clone, Debug, PartialEq)]
pub struct Load {
    /// The target.
    pub target: TargetName,
    /// Streams that the target runs.
    pub running: u32,
    /// Streams queued at the target.
    pub queued: u32,
    /// Tokens per second, as measured by the target.
    pub tokens_per_second: f64,
    /// Age of the report.
    pub age: Duration,
}

/// A change of a target's prefix cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CacheEvent {
    /// Sequence number assigned by the target.
    pub sequence: u64,
    /// Hash of the prefix.
    pub prefix: u64,
    /// Whether the prefix was stored; otherwise it was evicted.
    pub stored: bool,
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ending {
    /// The closing event of the stream arrived.
    Complete,
    /// The target refused the attempt before it ran any of it.
    Refused {
        /// The target.
        target: TargetName,
        /// Whether the target gave as its reason that it is leaving.
        leaving: bool,
        /// Time after which the target accepts a retry, if it named one.
        retry_after: Option<Duration>,
    },
    /// No connection was established and nothing was sent.
    Unreachable {
        /// The target.
        target: TargetName,
    },
    /// The stream ended without its closing event.
    Broken {
        /// The stage that failed, if known; otherwise the first stage is suspected.
        target: Option<TargetName>,
    },
    /// No token arrived within the stall timeout.
    Stalled,
    /// A token arrived whose trail does not match the plan.
    PlanMismatch,
    /// The target answered a plain call with a failure status of its own.
    Failed,
}

/// A request that is suspected of crashing its targets or quarantined for it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Quarantine {
    /// Keyed hash of the organisation and the body.
    pub fingerprint: u64,
    /// Target that was lost while it ran the request.
    pub target: TargetName,
    /// Whether the request is quarantined; otherwise it is only suspected.
    pub confirmed: bool,
    /// Time for which this holds.
    pub ttl: Duration,
}

/// Output of the router.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt to the first stage of its plan.
    Dispatch(Dispatch),
    /// Tell all stages of an attempt to end it.
    Cancel {
        /// The request.
        request: RequestId,
        /// The attempt; all earlier attempts end as well.
        attempt: AttemptId,
        /// The plan that the attempt ran under.
        plan: Plan,
    },
    /// The request has ended.
    Finish {
        /// The request.
        request: RequestId,
        /// How the request ended.
        outcome: Outcome,
    },
    /// Tell the other nodes that a request is suspected or quarantined.
    Quarantine(Quarantine),
    /// Tell membership that a target has refused work because it is leaving.
    Leaving(TargetName),
    /// The capacity of one model or plain service has changed.
    Capacity {
        /// Name of the model or plain service.
        service: SmolStr,
        /// Tokens per second of the planned flow; 0 for a plain service.
        tokens_per_second: f64,
        /// Concurrent streams or calls.
        slots: u32,
    },
    /// Send [`Message::Wake`] after this delay.
    Wake(Duration),
    /// Write a log line.
    Log(Event),
}

/// One attempt at a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Dispatch {
    /// The request.
    pub request: RequestId,
    /// Number of the attempt, one higher than the previous one.
    pub attempt: AttemptId,
    /// Stages that run the attempt. A plain call has one stage with an empty layer range.
    pub plan: Plan,
    /// Index of the first token to be generated.
    pub from: TokenIndex,
    /// Priority for the engines, from 0 (most urgent) to 9.
    pub priority: u8,
    /// Timeout until the first token.
    pub first_timeout: Duration,
    /// Timeout between tokens.
    pub stall_timeout: Duration,
    /// Stages of the previous attempt whose cache can be reused.
    pub reuse: Vec<TargetName>,
}

/// How a request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The whole answer was delivered.
    Complete,
    /// No target has run any of it.
    NotRun {
        /// Time after which the caller may retry.
        retry_after: Duration,
        /// Why it was not run.
        reason: Reason,
    },
    /// A model request was interrupted and is not retried any more.
    Incomplete {
        /// Time after which the caller may retry.
        retry_after: Duration,
        /// Why it is not retried.
        reason: Reason,
    },
    /// A call that must not be repeated may have run, and its result is lost.
    Unknown,
    /// The request is quarantined because targets were lost while they ran it.
    Quarantined {
        /// Time after which the caller may retry.
        retry_after: Duration,
    },
}

/// Why a request was given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// No chain of usable targets covers the model.
    NoPlan,
    /// The model or plain service is not known.
    UnknownService,
    /// The retry budget is exhausted.
    RetryBudgetExhausted,
    /// The maximum number of attempts was reached.
    AttemptsExhausted,
    /// All targets that were tried refused the request or were unreachable.
    Refused,
}
