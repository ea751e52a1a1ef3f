//! Inputs and outputs of the limiter.

use std::time::Duration;

use fleet::{Event, NodeName, OrganisationName, Request, RequestId};
use smol_str::SmolStr;

/// Input of the limiter.
#[derive(Clone, Debug)]
pub enum Message {
    /// A caller's request has arrived. It is admitted or refused, now or later.
    Arrive(Request),
    /// The first token or byte of the answer was sent to the caller.
    Started(RequestId),
    /// The request has ended and its capacity is free.
    Finished {
        /// The request.
        request: RequestId,
        /// How it ended.
        ending: Ending,
    },
    /// The caller has hung up while its request was queued or running.
    HungUp(RequestId),
    /// Capacity of the whole fleet for one model or plain service.
    Capacity(Capacity),
    /// Live nodes and the demand of their callers. Demand reported by this node is ignored.
    Peers {
        /// Number of live nodes, at least 1.
        live: u32,
        /// Demand by node and organisation.
        demand: Vec<Demand>,
    },
    /// Bounds set by the operators' preset.
    Bounds(Bounds),
    /// The delay requested by [`Action::Wake`] has elapsed.
    Wake,
}

/// How an admitted request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// The whole answer was delivered.
    Complete,
    /// The request was abandoned or its answer was cut off.
    Failed,
}

/// Capacity of the fleet for one model or plain service.
#[derive(Clone, Debug, PartialEq)]
pub struct Capacity {
    /// Model or plain service.
    pub service: SmolStr,
    /// Tokens per second by the maximum flow; 0 for a plain service.
    pub tokens_per_second: f64,
    /// Number of streams or calls that can run concurrently.
    pub slots: u32,
}

/// Predicted cost of an organisation's requests at one node.
#[derive(Clone, Debug, PartialEq)]
pub struct Demand {
    /// The node.
    pub node: NodeName,
    /// The organisation.
    pub organisation: OrganisationName,
    /// Offered load, in slots: arrivals per second times predicted slot-seconds per request.
    pub cost: f64,
}

/// Bounds on admission, from the preset in force.
#[derive(Clone, Debug, PartialEq)]
pub struct Bounds {
    /// Weight of each organisation; organisations that are not listed have weight 1.
    pub weights: Vec<(OrganisationName, f64)>,
    /// Maximum number of queued requests at one node, per model or plain service.
    pub queue: usize,
    /// Upper bound on the wait tolerance of any caller, and so on the time in the queue.
    pub wait: Duration,
}

/// Output of the limiter.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// The request may be sent to the targets.
    Admit {
        /// The request.
        request: RequestId,
        /// Priority for the engines, 0 (most urgent) to 9.
        priority: u8,
    },
    /// The request is not run.
    Refuse {
        /// The request.
        request: RequestId,
        /// The reason of the refusal.
        reason: Reason,
        /// Delay after which the caller may retry.
        retry_after: Duration,
    },
    /// This node's demand by organisation, in slots, to be sent to the other nodes.
    Demand(Vec<(OrganisationName, f64)>),
    /// Send [`Message::Wake`] after this delay.
    Wake(Duration),
    /// Write a log line.
    Log(Event),
}

/// Reason of a refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The queue is full.
    QueueFull,
    /// The request cannot be answered in time, and its organisation offers more load than
    /// the slots that it may use at this node.
    OverShare,
    /// The request cannot be answered within its caller's wait tolerance.
    TooLate,
    /// The fleet has no slot for the model or plain service.
    NoCapacity,
}
