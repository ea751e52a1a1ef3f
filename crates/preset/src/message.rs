//! Messages and actions of the preset service.

use std::sync::Arc;
use std::time::Duration;

use fleet::{Event, NodeName, Version};

use crate::Preset;

/// Input of the preset service.
#[derive(Clone, Debug)]
pub enum Message {
    /// Value of the store, as the answer to [`Action::Poll`]; `None` when the key does not
    /// exist. Each poll has exactly one answer, this or [`Message::StoreDown`].
    Stored(Option<Vec<u8>>),
    /// Value of the store, as reported by a watch. It may be outdated and proves no freshness.
    Watched(Option<Vec<u8>>),
    /// The store did not answer the poll in time.
    StoreDown,
    /// Another node has proved that the version in the store was not above `version` at `at`.
    Proved {
        /// Version in force on the other node.
        version: Version,
        /// Latest time for which the proof holds, by this node's clock.
        at: Duration,
    },
    /// A majority of all known nodes had `version` or a lower version in force at `at`. Only
    /// nodes that have proved their freshness at least once since they started count.
    Agreed {
        /// Highest version in force among the majority.
        version: Version,
        /// Time at which the oldest of their answers was requested, by this node's clock.
        at: Duration,
    },
    /// Full stored value that is in force on another node.
    PeerValue {
        /// Name of the node.
        node: NodeName,
        /// Stored value.
        value: Vec<u8>,
    },
    /// Version in force on another node, as sent in a heartbeat.
    PeerVersion {
        /// Name of the node.
        node: NodeName,
        /// Version in force.
        version: Version,
    },
    /// Numbers of nodes, this one included.
    Nodes {
        /// Number of nodes that are alive.
        alive: u32,
        /// Number of known nodes.
        known: u32,
    },
    /// Whether membership trusts its own view.
    Confident(bool),
    /// The time requested by [`Action::Wake`] has passed.
    Wake,
}

/// Output of the preset service.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Puts a preset in force. Versions only increase.
    InForce {
        /// Preset in force.
        preset: Arc<Preset>,
        /// Stored value that holds the preset, to be sent to other nodes.
        value: Arc<[u8]>,
    },
    /// Reports whether the node can prove its freshness. Without a proof it accepts no new work.
    Fresh(bool),
    /// Reports the latest time for which the store has proved this node's freshness, directly or
    /// through another node; `None` for a node that has learned its version from a majority
    /// during an outage. The proof applies to the version of the last [`Action::InForce`], so
    /// membership must receive the two in order.
    Proof(Option<Duration>),
    /// Opens or closes the watch on the store's value.
    Watch(bool),
    /// Reads the store's value now.
    Poll,
    /// Requests the value that a node has in force.
    Fetch(NodeName),
    /// Sends [`Message::Wake`] after this time.
    Wake(Duration),
    /// Writes a log line.
    Log(Event),
}
