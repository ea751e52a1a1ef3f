//! Inputs and outputs of membership.

use std::net::SocketAddr;
use std::time::Duration;

use fleet::{Event, NodeName, OrganisationName, Target, TargetName, Version, Vm};

/// Number that a node increases when it starts and when it refutes a suspicion.
pub type Incarnation = u64;

/// Input of membership.
#[derive(Clone, Debug)]
pub enum Message {
    /// The platform's list, which lags.
    Listed(Vec<Vm>),
    /// The platform's list could not be fetched.
    ListUnavailable,
    /// A heartbeat from another node; it is answered by [`Action::Reply`].
    Received(Heartbeat),
    /// The reply to one of this node's own heartbeats.
    Replied(Heartbeat),
    /// A heartbeat to the node was not answered in time.
    NoReply(NodeName),
    /// An update of this node's own for all other nodes.
    Publish(Update),
    /// The version of the configuration in force at this node.
    Preset(Version),
    /// Time of the last proof that this node's configuration was current, from
    /// `preset::Action::Proof`; `None` for a version learned from a majority.
    Proof(Option<Duration>),
    /// Demand of this node's callers by organisation, in slots; replaces the previous demand.
    Demand(Vec<(OrganisationName, f64)>),
    /// A target has refused work because it is leaving, or an operator drains it.
    Leaving(TargetName),
    /// This node is about to stop.
    Leave,
    /// The delay requested by [`Action::Wake`] has elapsed.
    Wake,
}

/// A heartbeat with piggybacked facts.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Heartbeat {
    /// The sender.
    pub from: NodeName,
    /// Incarnation of the sender.
    pub incarnation: Incarnation,
    /// Number that the sender increases with each heartbeat.
    pub sequence: u64,
    /// Highest configuration version in force at the sender.
    pub preset: Version,
    /// Piggybacked facts.
    pub facts: Vec<Fact>,
    /// Whether the sender is about to stop.
    pub leaving: bool,
    /// Digest of the sender's set of facts.
    pub digest: u64,
    /// Whether the sender requests all facts of the receiver.
    pub wants_facts: bool,
    /// Age of the sender's last proof that its configuration is current; `Duration::MAX` if
    /// the version was learned from a majority, `None` if there was no proof since its start.
    pub proof_age: Option<Duration>,
    /// Sample of the demand at the sender, in replies only; see [`Action::Demand`].
    pub demand: Vec<(OrganisationName, f64)>,
}

/// An update with its version.
#[derive(Clone, Debug, PartialEq)]
pub struct Fact {
    /// Version among the updates with the same subject; higher replaces lower.
    pub version: u64,
    /// Time for which the fact still holds; `None` if it does not expire.
    pub ttl: Option<Duration>,
    /// The update.
    pub update: Update,
}

/// An update that spreads between nodes.
#[derive(Clone, Debug, PartialEq)]
pub enum Update {
    /// State of a node.
    Standing {
        /// The node.
        node: NodeName,
        /// Incarnation of the node.
        incarnation: Incarnation,
        /// Address at which other nodes reach it.
        address: SocketAddr,
        /// State of the node.
        state: State,
    },
    /// A request that is suspected or confirmed to crash targets.
    Quarantine {
        /// Keyed hash of organisation and body.
        fingerprint: u64,
        /// Target that was lost.
        target: TargetName,
        /// Whether the request is confirmed and must not run, or only suspected.
        confirmed: bool,
    },
    /// Demand of an organisation's callers at a node.
    Demand {
        /// The node.
        node: NodeName,
        /// The organisation.
        organisation: OrganisationName,
        /// Predicted cost, in slots.
        cost: f64,
    },
    /// A target that takes no new work.
    Leaving {
        /// The target.
        target: TargetName,
    },
}

/// State of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum State {
    /// The node answers heartbeats.
    Alive,
    /// The node has missed several heartbeats in a row.
    Suspect,
    /// The node has not refuted the suspicion in time, or another node has replaced it.
    Dead,
    /// The node has announced that it stops.
    Left,
}

/// A node as seen by this node.
#[derive(Clone, Debug, PartialEq)]
pub struct Node {
    /// Name of the node.
    pub name: NodeName,
    /// Address at which other nodes reach it.
    pub address: SocketAddr,
    /// State of the node.
    pub state: State,
    /// Highest configuration version that it has reported in its incarnation.
    pub preset: Version,
}

/// Output of membership.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a heartbeat; the outcome is reported as [`Message::Replied`] or
    /// [`Message::NoReply`].
    Send {
        /// The receiver.
        to: NodeName,
        /// Address of the receiver.
        address: SocketAddr,
        /// The heartbeat.
        heartbeat: Heartbeat,
    },
    /// Reply to the heartbeat just received.
    Reply(Heartbeat),
    /// The other nodes have changed.
    Nodes(Vec<Node>),
    /// The targets have changed. Their standing merges the list, refusals, drains and updates
    /// from other nodes.
    Targets(Vec<Target>),
    /// Targets of one rack or failure domain were lost together.
    Lost(Vec<TargetName>),
    /// An update from another node that is new to this node.
    Learned {
        /// The update.
        update: Update,
        /// Time for which it holds; `None` if it does not expire.
        ttl: Option<Duration>,
    },
    /// Another node has a higher configuration version.
    NewerPreset {
        /// The other node.
        node: NodeName,
        /// Address of the other node.
        address: SocketAddr,
        /// Version of the other node.
        version: Version,
    },
    /// Another node has proved that the store's version was not above `version` at `at`.
    Proved {
        /// Version of the other node.
        version: Version,
        /// Time of the proof, by this node's clock.
        at: Duration,
    },
    /// A majority of the known nodes had `version` or a lower one in force at `at`.
    Agreed {
        /// The highest version among them.
        version: Version,
        /// Time at which the oldest of their replies was requested, by this node's clock.
        at: Duration,
    },
    /// Demand by organisation over all live nodes, this one included: exact if each heartbeat
    /// holds all organisations, otherwise an unbiased estimate.
    Demand {
        /// Number of live nodes, this one included.
        live: u32,
        /// Demand by organisation, in slots.
        totals: Vec<(OrganisationName, f64)>,
    },
    /// Whether this node trusts its own view. It does not for a while after a pause, nor while
    /// a majority of the nodes does not answer.
    Confident(bool),
    /// Send [`Message::Wake`] after this delay.
    Wake(Duration),
    /// Write a log line.
    Log(Event),
}
