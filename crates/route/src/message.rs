//! What routing hears and what it asks for.

use std::time::Duration;

use fleet::{AttemptId, Event, Link, Plan, Request, RequestId, Target, TargetName, TokenIndex};
use smol_str::SmolStr;

/// What routing hears.
#[derive(Clone, Debug)]
pub enum Message {
    /// The view of the fleet has changed: live and leaving targets, and links.
    Fleet {
        /// All targets known, each with its standing.
        targets: Vec<Target>,
        /// Links between failure domains; pairs not named are fast.
        links: Vec<Link>,
    },
    /// A target's own report of its load.
    Load(Load),
    /// Cache events of a target.
    Cache {
        /// The target.
        target: TargetName,
        /// Events in order; numbers may have gaps.
        events: Vec<CacheEvent>,
    },
    /// An admitted request is to be run.
    Start {
        /// The request.
        request: Request,
        /// Urgency for the engines, 0 (most urgent) to 9.
        priority: u8,
        /// Hashes of the growing prefixes of the prompt, shortest first.
        prefixes: Vec<u64>,
    },
    /// Tokens up to `next` have been delivered to the caller (a sample, not each token).
    Progress {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptId,
        /// Number of the first token not yet delivered.
        next: TokenIndex,
    },
    /// An attempt has ended.
    Ended {
        /// The request.
        request: RequestId,
        /// The attempt; endings of attempts that have been replaced are ignored.
        attempt: AttemptId,
        /// Number of the first token not delivered.
        next: TokenIndex,
        /// How it ended.
        ending: Ending,
    },
    /// The caller has gone.
    CallerDisconnected(RequestId),
    /// Another node has quarantined a request.
    Quarantine(Quarantine),
    /// A failure domain or rack has been lost, as membership sees it.
    Lost {
        /// Targets that went together.
        targets: Vec<TargetName>,
    },
    /// Bounds set by the operators' preset.
    Bounds(Bounds),
    /// The time asked for by [`Action::Wake`] has come.
    Wake,
}

/// Bounds of routing, from the preset in force.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Retries as a share of recent successes, 0 to 1.
    pub retry_share: f64,
    /// Most attempts at one request.
    pub max_attempts: u32,
    /// How long a condemned request stays quarantined.
    pub quarantine_ttl: Duration,
}

/// A target's report of its load.
#[derive(Clone, Debug, PartialEq)]
pub struct Load {
    /// The target.
    pub target: TargetName,
    /// Streams that it runs.
    pub running: u32,
    /// Streams that wait at it.
    pub queued: u32,
    /// Tokens per second that it passes, as it measures them.
    pub tokens_per_second: f64,
    /// How old the report is.
    pub age: Duration,
}

/// A change of a target's prefix cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CacheEvent {
    /// Number in the target's own order.
    pub sequence: u64,
    /// Hash of the prefix.
    pub prefix: u64,
    /// Stored, or evicted.
    pub stored: bool,
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ending {
    /// The closing event came.
    Complete,
    /// The target refused before it ran anything.
    Refused {
        /// The target.
        target: TargetName,
        /// Whether it said that it is leaving.
        leaving: bool,
        /// When the target says it may be asked again.
        retry_after: Option<Duration>,
    },
    /// No connection came about: nothing was sent.
    Unreachable {
        /// The target.
        target: TargetName,
    },
    /// The stream ended without its closing event.
    Broken {
        /// The stage that failed, when it is known; else the first stage is suspected.
        target: Option<TargetName>,
    },
    /// Nothing came within the stall timeout.
    Stalled,
    /// A token came whose trail does not follow the plan.
    PlanMismatch,
    /// The answer to a plain call came with a failure status of the target's own.
    Failed,
}

/// A request that is not to be run for a time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Quarantine {
    /// Keyed hash of organisation and body.
    pub fingerprint: u64,
    /// Target that was lost while it ran the request.
    pub target: TargetName,
    /// Whether it is condemned, or only a suspect.
    pub confirmed: bool,
    /// How long the fact holds.
    pub ttl: Duration,
}

/// What routing asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt to the first stage of the plan.
    Dispatch(Dispatch),
    /// Tell all stages of an attempt to end it.
    Cancel {
        /// The request.
        request: RequestId,
        /// The attempt; all lower ones end too.
        attempt: AttemptId,
        /// The plan that it ran under.
        plan: Plan,
    },
    /// The request has ended.
    Finish {
        /// The request.
        request: RequestId,
        /// How.
        outcome: Outcome,
    },
    /// Tell the other nodes.
    Quarantine(Quarantine),
    /// Tell membership that a target has said that it is leaving.
    Leaving(TargetName),
    /// What the fleet can carry for one model or plain service.
    Capacity {
        /// Model or plain service.
        service: SmolStr,
        /// Tokens per second by the maximum flow; 0 for a plain service.
        tokens_per_second: f64,
        /// Streams or calls at once.
        slots: u32,
    },
    /// Send [`Message::Wake`] after this time.
    Wake(Duration),
    /// Write a log line.
    Log(Event),
}

/// One attempt at a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Dispatch {
    /// The request.
    pub request: RequestId,
    /// The attempt, one higher than the last.
    pub attempt: AttemptId,
    /// Where it goes. A plain call has one stage with an empty layer range.
    pub plan: Plan,
    /// Number of the first token that is to come.
    pub from: TokenIndex,
    /// Urgency for the engines, 0 (most urgent) to 9.
    pub priority: u8,
    /// Longest time to the first token.
    pub first_timeout: Duration,
    /// Longest time between tokens.
    pub stall_timeout: Duration,
    /// Stages of the attempt before whose cache can be reused.
    pub reuse: Vec<TargetName>,
}

/// How a request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The whole answer was delivered.
    Complete,
    /// No target has run any of it.
    NotRun {
        /// When the caller may come back.
        retry_after: Duration,
        /// Why.
        reason: Reason,
    },
    /// A model request broke off, and no attempt is left.
    Incomplete {
        /// When the caller may come back.
        retry_after: Duration,
        /// Why.
        reason: Reason,
    },
    /// A call that may not be repeated began, and its outcome is lost.
    Unknown,
    /// Targets were lost to the request.
    Quarantined {
        /// When the caller may try anew.
        retry_after: Duration,
    },
}

/// Why a request was given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// No chain of live targets covers the model.
    NoPlan,
    /// The model or plain service is not known.
    UnknownService,
    /// The retry budget is spent.
    RetryBudgetExhausted,
    /// The highest number of attempts was reached.
    AttemptsExhausted,
    /// All targets refused.
    Refused,
}
