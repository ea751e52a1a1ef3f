//! What admission hears and what it asks for.

use std::time::Duration;

use fleet::{Event, NodeName, OrganisationName, Request, RequestId};
use smol_str::SmolStr;

/// What admission hears.
#[derive(Clone, Debug)]
pub enum Message {
    /// A caller's request has come in. It is admitted or refused, now or later.
    Arrive(Request),
    /// The first token or byte of the answer went to the caller.
    Started(RequestId),
    /// The request has ended and its capacity is free.
    Finished {
        /// The request.
        request: RequestId,
        /// How it ended.
        ending: Ending,
    },
    /// The caller has hung up, waiting or being served.
    HungUp(RequestId),
    /// What the fleet can carry for one model or plain service, over all nodes.
    Capacity(Capacity),
    /// Live nodes and what their callers ask, this node's own included.
    Peers {
        /// Number of live nodes, at least 1.
        live: u32,
        /// Demand by node and organisation.
        demand: Vec<Demand>,
    },
    /// Bounds set by the operators' preset.
    Bounds(Bounds),
    /// The time asked for by [`Action::Wake`] has come.
    Wake,
}

/// How an admitted request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// The whole answer was given.
    Complete,
    /// It was given up or broke off.
    Failed,
}

/// What the fleet can carry for one model or plain service.
#[derive(Clone, Debug, PartialEq)]
pub struct Capacity {
    /// Model or plain service.
    pub service: SmolStr,
    /// Tokens per second by the maximum flow; 0 for a plain service.
    pub tokens_per_second: f64,
    /// Streams or calls that run at once.
    pub slots: u32,
}

/// Cost of an organisation's requests at one node.
#[derive(Clone, Debug, PartialEq)]
pub struct Demand {
    /// The node.
    pub node: NodeName,
    /// The organisation.
    pub organisation: OrganisationName,
    /// Predicted cost offered, in slots: arrivals per second times seconds of a slot each.
    pub cost: f64,
}

/// Bounds of admission, from the preset in force.
#[derive(Clone, Debug, PartialEq)]
pub struct Bounds {
    /// Weight of each organisation; those not named have weight 1.
    pub weights: Vec<(OrganisationName, f64)>,
    /// Requests that may wait at one node.
    pub queue: usize,
    /// Longest wait in the queue.
    pub wait: Duration,
}

/// What admission asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// The request may go to the targets.
    Admit {
        /// The request.
        request: RequestId,
        /// Urgency for the engines, 0 (most urgent) to 9.
        priority: u8,
    },
    /// The request is not run.
    Refuse {
        /// The request.
        request: RequestId,
        /// Why.
        reason: Reason,
        /// When the caller may come back.
        retry_after: Duration,
    },
    /// This node's demand in slots, for the other nodes.
    Demand(Vec<(OrganisationName, f64)>),
    /// Send [`Message::Wake`] after this time.
    Wake(Duration),
    /// Write a log line.
    Log(Event),
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The queue is full.
    QueueFull,
    /// Its organisation has used its share and more than the rest leave over.
    OverShare,
    /// It cannot be answered before its caller loses patience.
    TooLate,
    /// Nothing in the fleet can run it now.
    NoCapacity,
}
