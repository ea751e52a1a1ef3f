//! Waiting for the engines of a service that starts.

use std::time::Duration;

/// Longest wait for engines that have not registered yet.
const MOST_WAIT: Duration = Duration::from_secs(5);

/// Whether the engines of a service have registered.
///
/// A plan made for the first few of them would fill these to the brim, and all would have to
/// be ordered anew as the others come.
#[derive(Clone, Debug, Default)]
pub struct Registration {
    first: Option<Duration>,
    last: Duration,
    count: usize,
}

impl Registration {
    /// Takes the number of engines that have registered. Returns whether a plan may be made:
    /// no engine came for one heartbeat, or the wait was long enough.
    pub fn is_settled(&mut self, now: Duration, count: usize, heartbeat: Duration) -> bool {
        if count == 0 {
            return false;
        }
        let first = *self.first.get_or_insert(now);
        if count > self.count {
            self.last = now;
        }
        self.count = self.count.max(count);
        let quiet = now.saturating_sub(self.last) >= heartbeat;
        quiet || now.saturating_sub(first) >= MOST_WAIT
    }
}
