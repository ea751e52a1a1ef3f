//! What the node hears and what it asks for.

use std::sync::Arc;
use std::time::Duration;

use fleet::{AttemptId, Event, Link, Plan, RequestId, Target, TokenIndex};
use smol_str::SmolStr;

/// A message to one of the node's services.
#[derive(Clone, Debug)]
pub enum Message {
    /// To the service that follows each request from arrival to answer.
    Request(Request),
    /// To admission.
    Limit(limit::Message),
    /// To admission: what the callers of all live nodes ask, this node's included.
    Demand {
        /// Number of live nodes, this one included.
        live: u32,
        /// Slots by organisation.
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

/// A caller's request as it comes in.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// The request. Its identifier is new for each sending.
    pub request: fleet::Request,
    /// Hashes of the growing prefixes of the prompt, shortest first.
    pub prefixes: Vec<u64>,
    /// For a call that may not be repeated, its key and the digest of method, path and body.
    pub claim: Option<(ledger::Key, u64)>,
}

/// What becomes of a request, on its way through the services.
#[derive(Clone, Debug)]
pub enum Request {
    /// A caller sent it.
    Arrive(Arrival),
    /// The ledger decided on its claim.
    Verdict {
        /// The request.
        request: RequestId,
        /// The verdict.
        verdict: ledger::Verdict,
    },
    /// The ledger has kept its outcome, or cannot keep it now.
    Settled(RequestId),
    /// Admission lets it through.
    Admit {
        /// The request.
        request: RequestId,
        /// Urgency for the engines, 0 (most urgent) to 9.
        priority: u8,
    },
    /// Admission refuses it.
    Refuse {
        /// The request.
        request: RequestId,
        /// Why.
        reason: limit::Reason,
        /// When the caller may come back.
        retry_after: Duration,
    },
    /// Routing wants to send an attempt.
    Dispatch(route::Dispatch),
    /// Its first token or byte went to the caller.
    Started(RequestId),
    /// One of its attempts has ended.
    Ended {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptId,
        /// Number of the first token not delivered.
        next: TokenIndex,
        /// How it ended.
        ending: route::Ending,
        /// The answer to a plain call.
        answer: Option<Answer>,
    },
    /// Routing is done with it.
    Finish {
        /// The request.
        request: RequestId,
        /// How it ended.
        outcome: route::Outcome,
    },
    /// Its caller has gone.
    CallerDisconnected(RequestId),
    /// Whether the node can prove that its configuration is in force.
    Fresh(bool),
    /// Models and plain services that the fleet offers.
    Services(Vec<SmolStr>),
    /// The node takes no new requests from now on.
    Close,
}

/// A whole answer to a plain call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// Status code.
    pub status: u16,
    /// Content type.
    pub content_type: SmolStr,
    /// Body.
    pub body: Vec<u8>,
}

/// What the node asks of its shell.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send an attempt to the first stage of its plan.
    Dispatch {
        /// The attempt.
        dispatch: route::Dispatch,
        /// Last moment at which the first byte may go out; `None` when there is no bound.
        until: Option<Duration>,
    },
    /// Tell all stages of an attempt to end it.
    Cancel {
        /// The request.
        request: RequestId,
        /// The attempt; all lower ones end too.
        attempt: AttemptId,
        /// The plan that it ran under.
        plan: Plan,
    },
    /// Answer the caller; nothing more will be asked for this request.
    Finish {
        /// The request.
        request: RequestId,
        /// What the caller is told.
        end: End,
    },
    /// Read a shard of the ledger.
    Read {
        /// Number of the operation.
        ticket: ledger::Ticket,
        /// The shard.
        shard: ledger::ShardId,
    },
    /// Write a shard of the ledger if its revision is still the expected one.
    Write {
        /// Number of the operation.
        ticket: ledger::Ticket,
        /// The shard.
        shard: ledger::ShardId,
        /// Expected revision; 0 when there is none yet.
        revision: u64,
        /// New value.
        value: Vec<u8>,
    },
    /// Number of claims held here whose outcome the store does not have.
    UnsettledClaims(usize),
    /// Send a heartbeat to another node.
    Heartbeat {
        /// The receiver.
        to: fleet::NodeName,
        /// Where it is reached.
        address: std::net::SocketAddr,
        /// The heartbeat.
        heartbeat: member::Heartbeat,
    },
    /// Reply to the heartbeat just heard.
    Reply(member::Heartbeat),
    /// Make a call of the order service; never its wake or log.
    Order(order::Action),
    /// Whether to hold a watch on the stored preset.
    WatchPreset(bool),
    /// Read the stored preset now.
    ReadPreset,
    /// Ask another node for the preset that it has in force.
    FetchPreset(fleet::NodeName),
    /// This preset is in force from now on.
    InForce {
        /// The preset.
        preset: Arc<preset::Preset>,
        /// The stored value.
        value: Arc<[u8]>,
    },
    /// Whether the node takes new work.
    Fresh(bool),
    /// The nodes have changed.
    Nodes(Vec<member::Node>),
    /// The targets have changed.
    Targets(Vec<Target>),
    /// Write a log line.
    Log(Event),
}

/// What a caller is told at the end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum End {
    /// The whole answer, which the relay holds.
    Complete,
    /// The answer kept from an earlier sending.
    Stored(Answer),
    /// No target has run it.
    NotRun {
        /// Why.
        reason: Reason,
        /// When the caller may come back.
        retry_after: Duration,
    },
    /// This sending was not run; whether an earlier one ran is not known.
    AttemptNotRun {
        /// When the caller may come back.
        retry_after: Duration,
    },
    /// It began, and its outcome is not known.
    Unknown,
    /// It broke off, and no attempt is left.
    Incomplete {
        /// Why.
        reason: Reason,
        /// When the caller may come back.
        retry_after: Duration,
    },
    /// Targets were lost to it.
    Quarantined {
        /// When the caller may try anew.
        retry_after: Duration,
    },
    /// Its key was used with another body.
    Mismatch,
    /// Its caller has gone; nobody is told.
    Abandoned,
}

/// Why a request was not answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// Admission refused it.
    Limit(limit::Reason),
    /// Routing gave it up.
    Route(route::Reason),
    /// The node cannot prove that its configuration is in force.
    Stale,
    /// The node is about to stop.
    Closing,
    /// The platform's store does not answer.
    StoreDown,
    /// The claim was not used in time.
    ClaimExpired,
}

impl Reason {
    /// Name for logs and error bodies.
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
