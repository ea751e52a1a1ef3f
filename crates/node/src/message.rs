//! Messages that the node handles and actions that it requests.

use std::sync::Arc;
use std::time::Duration;

use fleet::{AttemptId, Event, Link, Plan, RequestId, Target, TokenIndex};
use smol_str::SmolStr;

/// A message to one of the node's services.
#[derive(Clone, Debug)]
pub enum Message {
    /// To the service that tracks each request from arrival to answer.
    Request(Request),
    /// To admission.
    Limit(limit::Message),
    /// To admission: the demand at all live nodes, this node included.
    Demand {
        /// Number of live nodes, this one included.
        live: u32,
        /// Demand by organisation, in slots.
        totals: Vec<(fleet::OrganisationName, f64)>,
    },
    /// To routing.
    Route(route::Message),
    /// To routing: the targets of the fleet.
    Targets(Vec<Target>),
    /// To routing: the links between failure domains.
    Links(Vec<Link>),
    /// To the ledger.
    Ledger(ledger::Message),
    /// To membership.
    Member(member::Message),
    /// To the order service.
    Order(order::Message),
    /// To the preset service.
    Preset(preset::Message),
}

/// A request as received from its caller.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// The request. Its identifier is unique to this sending.
    pub request: fleet::Request,
    /// Hashes of the growing prefixes of the prompt, shortest first.
    pub prefixes: Vec<u64>,
    /// Idempotency key and digest of method, path and body, for a call that must not be repeated.
    pub claim: Option<(ledger::Key, u64)>,
}

/// Input of the service that tracks requests.
#[derive(Clone, Debug)]
pub enum Request {
    /// A caller has sent a request.
    Arrive(Arrival),
    /// The ledger has decided on the claim of a request.
    Verdict {
        /// The request.
        request: RequestId,
        /// The verdict.
        verdict: ledger::Verdict,
    },
    /// The ledger has recorded the outcome of a request, or cannot record it now.
    Settled(RequestId),
    /// Admission has admitted a request.
    Admit {
        /// The request.
        request: RequestId,
        /// Priority for the engines, from 0 (most urgent) to 9.
        priority: u8,
    },
    /// Admission has refused a request.
    Refuse {
        /// The request.
        request: RequestId,
        /// Reason of the refusal.
        reason: limit::Reason,
        /// Delay after which the caller may retry.
        retry_after: Duration,
    },
    /// Routing has planned an attempt.
    Dispatch(route::Dispatch),
    /// The first token or byte of an answer has been sent to the caller.
    Started(RequestId),
    /// An attempt of a request has ended.
    Ended {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptId,
        /// Index of the first token not delivered.
        next: TokenIndex,
        /// How the attempt ended.
        ending: route::Ending,
        /// The answer of the target, for a plain call.
        answer: Option<Answer>,
    },
    /// Routing has finished a request.
    Finish {
        /// The request.
        request: RequestId,
        /// How the request ended.
        outcome: route::Outcome,
    },
    /// The caller of a request has disconnected.
    CallerDisconnected(RequestId),
    /// Whether the node can prove that its preset is in force.
    Fresh(bool),
    /// Models and plain services that the fleet offers.
    Services(Vec<SmolStr>),
    /// The node stops and takes no new requests.
    Close,
}

/// The complete answer to a plain call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status code.
    pub status: u16,
    /// Media type of the body.
    pub content_type: SmolStr,
    /// Bytes of the body.
    pub body: Vec<u8>,
}

/// Action that the node requests from its shell.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send an attempt to the first stage of its plan.
    Dispatch {
        /// The attempt.
        dispatch: route::Dispatch,
        /// Latest time, on the node's clock, at which the first byte may be sent; `None` if
        /// unbounded.
        until: Option<Duration>,
    },
    /// Tell all stages of an attempt to end it.
    Cancel {
        /// The request.
        request: RequestId,
        /// The attempt; all earlier attempts end as well.
        attempt: AttemptId,
        /// The plan that the attempt ran under.
        plan: Plan,
    },
    /// Answer the caller. This is the last action for the request.
    Finish {
        /// The request.
        request: RequestId,
        /// End to report to the caller.
        end: End,
    },
    /// Read a shard of the ledger.
    Read {
        /// Number of the operation.
        ticket: ledger::Ticket,
        /// The shard.
        shard: ledger::ShardId,
    },
    /// Write a shard of the ledger if its revision in the store is the expected one.
    Write {
        /// Number of the operation.
        ticket: ledger::Ticket,
        /// The shard.
        shard: ledger::ShardId,
        /// Expected revision; 0 if the shard is not stored yet.
        revision: u64,
        /// New value.
        value: Vec<u8>,
    },
    /// Update the number of claims held by this node whose outcome is not in the store.
    UnsettledClaims(usize),
    /// Send a heartbeat to another node.
    Heartbeat {
        /// The receiver.
        to: fleet::NodeName,
        /// Address of the receiver.
        address: std::net::SocketAddr,
        /// The heartbeat.
        heartbeat: member::Heartbeat,
    },
    /// Reply to the heartbeat that was just received.
    Reply(member::Heartbeat),
    /// Make a call of the order service; never [`order::Action::Wake`] or
    /// [`order::Action::Log`].
    Order(order::Action),
    /// Start or stop the watch on the stored preset.
    WatchPreset(bool),
    /// Read the preset from the store.
    ReadPreset,
    /// Fetch the preset in force from another node.
    FetchPreset(fleet::NodeName),
    /// Apply a preset that has come into force.
    InForce {
        /// The preset.
        preset: Arc<preset::Preset>,
        /// The preset as stored.
        value: Arc<[u8]>,
    },
    /// Update whether the node can prove that its preset is in force; if not, it takes no new
    /// work.
    Fresh(bool),
    /// Update the list of nodes.
    Nodes(Vec<member::Node>),
    /// Update the list of targets.
    Targets(Vec<Target>),
    /// Write a log line.
    Log(Event),
}

/// End of a request as reported to its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum End {
    /// The answer is complete; the relay holds it.
    Complete,
    /// An earlier sending ran; this is its recorded answer.
    Stored(Answer),
    /// No target has run the request.
    NotRun {
        /// Reason of the end.
        reason: Reason,
        /// Delay after which the caller may retry.
        retry_after: Duration,
    },
    /// This sending was not run; whether an earlier one ran is not known.
    AttemptNotRun {
        /// Delay after which the caller may retry.
        retry_after: Duration,
    },
    /// The request may have run, and its outcome is not known.
    Unknown,
    /// The answer broke off, and the request is not attempted again.
    Incomplete {
        /// Reason of the end.
        reason: Reason,
        /// Delay after which the caller may retry.
        retry_after: Duration,
    },
    /// The request is quarantined because it crashed its targets.
    Quarantined {
        /// Delay after which the caller may retry.
        retry_after: Duration,
    },
    /// The idempotency key was used before with another body.
    Mismatch,
    /// The caller has disconnected; no answer is sent.
    Abandoned,
}

/// Reason why a request was not answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// Admission has refused the request.
    Limit(limit::Reason),
    /// Routing has given up the request.
    Route(route::Reason),
    /// The node cannot prove that its preset is in force.
    Stale,
    /// The node stops and takes no new requests.
    Closing,
    /// The platform's store does not answer.
    StoreDown,
    /// The claim expired before the call was sent to a target.
    ClaimExpired,
}

impl Reason {
    /// Returns the name of the reason in log lines and error bodies.
    pub fn name(self) -> &'static str {
        match self {
            Reason::Limit(limit::Reason::QueueFull) => "queue_full",
            Reason::Limit(limit::Reason::OverShare) => "over_share",
            Reason::Limit(limit::Reason::TooLate) => "too_late",
            Reason::Limit(limit::Reason::NoCapacity) => "no_capacity",
            Reason::Route(route::Reason::NoPlan) => "no_plan",
            Reason::Route(route::Reason::UnknownService) => "unknown_service",
            Reason::Route(route::Reason::RetryBudgetExhausted) => "retry_budget_spent",
            Reason::Route(route::Reason::AttemptsExhausted) => "attempts_spent",
            Reason::Route(route::Reason::Refused) => "refused_by_targets",
            Reason::Stale => "configuration_not_proved",
            Reason::Closing => "closing",
            Reason::StoreDown => "store_down",
            Reason::ClaimExpired => "claim_expired",
        }
    }
}
