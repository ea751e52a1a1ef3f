//! Tracks messages of other nodes, and whether other nodes can serve callers that this one cannot.

use std::time::Duration;

/// Age up to which the last message of another node counts.
const MAX_MESSAGE_AGE: Duration = Duration::from_millis(1500);

/// Times of the last messages from other nodes.
#[derive(Clone, Copy, Debug, Default)]
pub struct Reachability {
    /// Time of the last message of any node.
    last_message: Option<Duration>,
    /// Time of the last message of a node that could check keys.
    last_checking: Option<Duration>,
}

impl Reachability {
    /// Records a message of another node, and whether that node can check keys.
    pub fn record(&mut self, now: Duration, checks_keys: bool) {
        self.last_message = Some(now);
        if checks_keys {
            self.last_checking = Some(now);
        }
    }

    /// Returns whether other nodes can check the keys that this node cannot: either one reported
    /// so, or none of `peers` nodes is heard any more and this node is the one that is cut off.
    pub fn can_check_keys(&self, now: Duration, peers: usize) -> bool {
        let is_fresh =
            |at: Option<Duration>| at.is_some_and(|at| now.saturating_sub(at) <= MAX_MESSAGE_AGE);
        let cut_off = !is_fresh(self.last_message) && peers > 0;
        cut_off || is_fresh(self.last_checking)
    }
}
