//! What the preset service hears and what it asks for.

use std::sync::Arc;
use std::time::Duration;

use fleet::{Event, NodeName, Version};

use crate::Preset;

/// What the preset service hears.
#[derive(Clone, Debug)]
pub enum Message {
    /// The store's value, as the answer to [`Action::Poll`]; `None` when the key does not
    /// exist. Each poll has exactly one answer, this or [`Message::StoreDown`].
    Stored(Option<Vec<u8>>),
    /// The store's value as a watch told it. It may be old and proves no freshness.
    Watched(Option<Vec<u8>>),
    /// The store did not answer the poll in time.
    StoreDown,
    /// The store's version was not above `version` at `at`, as another node could prove.
    Proved {
        /// The version that the other node has in force.
        version: Version,
        /// When it held at the latest that can be vouched for, by this node's clock.
        at: Duration,
    },
    /// At `at`, a majority of all known nodes had `version` or a lower one in force. Only
    /// nodes that have proved their freshness at some time since they started count.
    Agreed {
        /// The highest version in force among them.
        version: Version,
        /// When the oldest of their answers was asked for, by this node's clock.
        at: Duration,
    },
    /// The full stored value, as another node has it in force.
    PeerValue {
        /// The node.
        node: NodeName,
        /// The value.
        value: Vec<u8>,
    },
    /// Another node told its version in a heartbeat.
    PeerVersion {
        /// The node.
        node: NodeName,
        /// Its version.
        version: Version,
    },
    /// Number of nodes that are alive, and of those that are known, this one included.
    Nodes {
        /// Alive.
        alive: u32,
        /// Known.
        known: u32,
    },
    /// Whether membership trusts its own view.
    Confident(bool),
    /// The time asked for by [`Action::Wake`] has come.
    Wake,
}

/// What the preset service asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// This preset is in force from now on. Versions only grow.
    InForce {
        /// The preset.
        preset: Arc<Preset>,
        /// The stored value, for other nodes.
        value: Arc<[u8]>,
    },
    /// Whether the node can prove its freshness; when it cannot it takes no new work.
    Fresh(bool),
    /// When this node's freshness was last proved by the store, at first or second hand;
    /// `None` for a node that has learned its version from a majority during an outage. It
    /// speaks for the version of the last [`Action::InForce`]: membership must be told of the
    /// two in their order.
    Proof(Option<Duration>),
    /// Whether to hold a watch on the store's value.
    Watch(bool),
    /// Read the store's value now.
    Poll,
    /// Ask a node for the value that it has in force.
    Fetch(NodeName),
    /// Send [`Message::Wake`] after this time.
    Wake(Duration),
    /// Write a log line.
    Log(Event),
}
