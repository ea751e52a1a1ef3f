//! Tracks messages of other nodes, and whether other nodes can serve callers that this one cannot.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Age up to which the last message of another node counts.
const MAX_MESSAGE_AGE: Duration = Duration::from_millis(1500);

/// Times of the last messages from other nodes.
#[derive(Clone, Debug, Default)]
pub struct Reachability {
    /// Time of the last message of any node.
    last_message: Option<Duration>,
    /// Time of the last message of a node that could check keys.
    last_checking: Option<Duration>,
    /// Times of the last messages in which nodes stated that they reach targets.
    reaching: BTreeMap<SocketAddr, Duration>,
}

impl Reachability {
    /// Records a message of another node, and whether that node can check keys.
    pub fn record(&mut self, now: Duration, checks_keys: bool) {
        self.last_message = Some(now);
        if checks_keys {
            self.last_checking = Some(now);
        }
    }

    /// Records whether another node states that it reaches targets.
    pub fn record_contact(&mut self, now: Duration, node: SocketAddr, reaches_targets: bool) {
        if reaches_targets {
            self.reaching.insert(node, now);
        } else {
            self.forget(node);
        }
    }

    /// Removes a node from those that reach targets, because it does not or cannot be connected to.
    pub fn forget(&mut self, node: SocketAddr) {
        self.reaching.remove(&node);
    }

    /// Returns the nodes that reach targets.
    pub fn reaching(&self, now: Duration) -> Vec<SocketAddr> {
        let recent = self.reaching.iter().filter(|(_, at)| is_recent(now, **at));
        recent.map(|(node, _)| *node).collect()
    }

    /// Returns whether any node reaches targets.
    pub fn any_reaching(&self, now: Duration) -> bool {
        self.reaching.values().any(|at| is_recent(now, *at))
    }

    /// Returns whether other nodes can check the keys that this node cannot: either one reported
    /// so, or none of `peers` nodes is heard any more and this node is the one that is cut off.
    pub fn can_check_keys(&self, now: Duration, peers: usize) -> bool {
        let is_fresh = |at: Option<Duration>| at.is_some_and(|at| is_recent(now, at));
        let cut_off = !is_fresh(self.last_message) && peers > 0;
        cut_off || is_fresh(self.last_checking)
    }
}

fn is_recent(now: Duration, at: Duration) -> bool {
    now.saturating_sub(at) <= MAX_MESSAGE_AGE
}
