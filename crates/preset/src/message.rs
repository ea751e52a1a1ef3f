//! What the preset service hears and what it asks for.

use std::sync::Arc;
use std::time::Duration;

use fleet::{Event, NodeName, Version};

use crate::Preset;

/// What the preset service hears.
#[derive(Clone, Debug)]
pub enum Message {
    /// The store's value, by watch or poll; `None` when the key does not exist.
    Stored(Option<Vec<u8>>),
    /// The store did not answer a watch or poll.
    StoreDown,
    /// The full stored value, as another node has it in force.
    Peer {
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
#[derive(Clone, Debug)]
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
    /// Read the store's value now.
    Poll,
    /// Ask a node for the value that it has in force.
    Ask(NodeName),
    /// Send [`Message::Wake`] after this time.
    Wake(Duration),
    /// Write a log line.
    Log(Event),
}
