//! What is heard of the other nodes, and whether they can serve callers that this one cannot.

use std::time::Duration;

/// How long another node's word counts.
const MAX_MESSAGE_AGE: Duration = Duration::from_millis(1500);

/// When the other nodes were last heard.
#[derive(Clone, Copy, Debug, Default)]
pub struct Reachability {
    /// When any of them last told anything.
    last_message: Option<Duration>,
    /// When one last told that it can check keys.
    last_checking: Option<Duration>,
}

impl Reachability {
    /// Takes what one of them told: whether it can check keys.
    pub fn record(&mut self, now: Duration, checks_keys: bool) {
        self.last_message = Some(now);
        if checks_keys {
            self.last_checking = Some(now);
        }
    }

    /// Whether others can check the keys that this node cannot: one tells so, or none of the
    /// `peers` is heard any more, so that this node is the one that is cut off.
    pub fn can_check_keys(&self, now: Duration, peers: usize) -> bool {
        let is_fresh =
            |at: Option<Duration>| at.is_some_and(|at| now.saturating_sub(at) <= MAX_MESSAGE_AGE);
        let cut_off = !is_fresh(self.last_message) && peers > 0;
        cut_off || is_fresh(self.last_checking)
    }
}
