//! What membership hears and what it asks for.

use std::net::SocketAddr;
use std::time::Duration;

use fleet::{Event, NodeName, OrganisationName, Target, TargetName, Version, Vm};

/// Counts the lives of a node: grows when it starts and when it refutes a suspicion.
pub type Incarnation = u64;

/// What membership hears.
#[derive(Clone, Debug)]
pub enum Message {
    /// The platform's list; it lags.
    Listed(Vec<Vm>),
    /// The platform's list could not be had.
    ListUnavailable,
    /// A heartbeat came from another node and wants [`Action::Reply`].
    Received(Heartbeat),
    /// The reply to one of this node's own heartbeats.
    Replied(Heartbeat),
    /// A heartbeat to a node was not answered in time.
    NoReply(NodeName),
    /// Update of this node's own for all others.
    Publish(Update),
    /// The version of the configuration in force here.
    Preset(Version),
    /// When this node's freshness was last proved, as `preset::Action::Proof` says; `None`
    /// for a version learned from a majority.
    Proof(Option<Duration>),
    /// What the callers of this node ask, by organisation, in tokens per second; replaces
    /// what was told before.
    Demand(Vec<(OrganisationName, f64)>),
    /// A target has refused work because it is leaving, or an operator drains it.
    Leaving(TargetName),
    /// This node is about to stop.
    Leave,
    /// The time asked for by [`Action::Wake`] has come.
    Wake,
}

/// A sign of life with facts piggybacked.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Heartbeat {
    /// The sender.
    pub from: NodeName,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Grows with each heartbeat of one incarnation.
    pub sequence: u64,
    /// Highest configuration version in force at the sender.
    pub preset: Version,
    /// Update.
    pub facts: Vec<Fact>,
    /// Whether the sender is about to stop.
    pub leaving: bool,
    /// Digest of the sender's set of facts.
    pub digest: u64,
    /// Asks for all facts of the receiver.
    pub wants_facts: bool,
    /// Age of the sender's last proof that its configuration is current; `Duration::MAX` when
    /// it has learned it from a majority, `None` when it has had no proof since its start.
    pub proof_age: Option<Duration>,
    /// Sample of the demand at the sender, in replies only; see [`Action::Demand`].
    pub demand: Vec<(OrganisationName, f64)>,
}

/// A piece of news with its version.
#[derive(Clone, Debug, PartialEq)]
pub struct Fact {
    /// Grows with each change of the same news; higher replaces lower.
    pub version: u64,
    /// How long it still holds; `None` for as long as its subject lives.
    pub ttl: Option<Duration>,
    /// What it says.
    pub update: Update,
}

/// Update that spreads between nodes.
#[derive(Clone, Debug, PartialEq)]
pub enum Update {
    /// How a node stands.
    Standing {
        /// The node.
        node: NodeName,
        /// Its incarnation.
        incarnation: Incarnation,
        /// Where it is reached.
        address: SocketAddr,
        /// How it stands.
        state: State,
    },
    /// A request not to be run, or a suspect.
    Quarantine {
        /// Keyed hash of organisation and body.
        fingerprint: u64,
        /// Target that was lost.
        target: TargetName,
        /// Condemned, or only a suspect.
        confirmed: bool,
    },
    /// What an organisation's callers ask of a node.
    Demand {
        /// The node.
        node: NodeName,
        /// The organisation.
        organisation: OrganisationName,
        /// Predicted cost, in tokens per second.
        cost: f64,
    },
    /// A target that takes no new work.
    Leaving {
        /// The target.
        target: TargetName,
    },
}

/// How a node stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum State {
    /// Answers.
    Alive,
    /// Has not answered for a while.
    Suspect,
    /// Has not answered for long.
    Dead,
    /// Has said that it stops.
    Left,
}

/// A node as this one sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct Node {
    /// Its name.
    pub name: NodeName,
    /// Where it is reached.
    pub address: SocketAddr,
    /// How it stands.
    pub state: State,
    /// Configuration version it last told.
    pub preset: Version,
}

/// What membership asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a heartbeat; its reply comes as [`Message::Replied`] or [`Message::NoReply`].
    Send {
        /// The receiver.
        to: NodeName,
        /// Where it is reached.
        address: SocketAddr,
        /// The heartbeat.
        heartbeat: Heartbeat,
    },
    /// Reply to the heartbeat just heard.
    Reply(Heartbeat),
    /// The other nodes have changed.
    Nodes(Vec<Node>),
    /// The targets have changed; their standing joins list, refusals, drains and news.
    Targets(Vec<Target>),
    /// Targets of one rack or failure domain went together.
    Lost(Vec<TargetName>),
    /// Update from another node, new to this one.
    Learned {
        /// What it says.
        update: Update,
        /// How long it holds.
        ttl: Option<Duration>,
    },
    /// Another node has a higher configuration version.
    NewerPreset {
        /// That node.
        node: NodeName,
        /// Its address.
        address: SocketAddr,
        /// Its version.
        version: Version,
    },
    /// The store's version was not above `version` at `at`, as another node could prove.
    Proved {
        /// The other node's version.
        version: Version,
        /// When, by this node's clock.
        at: Duration,
    },
    /// A majority of the known nodes had `version` or a lower one in force at `at`.
    Agreed {
        /// The highest version among them.
        version: Version,
        /// When the oldest of their answers was asked for, by this node's clock.
        at: Duration,
    },
    /// Demand by organisation over all live nodes, this one included: exact where each
    /// heartbeat holds all organisations, else an unbiased estimate.
    Demand {
        /// Number of live nodes, this one included.
        live: u32,
        /// Tokens per second by organisation.
        totals: Vec<(OrganisationName, f64)>,
    },
    /// Whether this node trusts its own view; it does not after a pause or alone in a partition.
    Confident(bool),
    /// Send [`Message::Wake`] after this time.
    Wake(Duration),
    /// Write a log line.
    Log(Event),
}
