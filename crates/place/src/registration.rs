//! Wait for the engines of a service that starts.

use std::time::Duration;

/// Longest wait for engines that have not registered yet.
const MAX_WAIT: Duration = Duration::from_secs(5);

/// Tracks whether the engines of a service have registered.
///
/// A plan for the first few engines would fill their memory, and all of them would need new orders
/// as the others register.
#[derive(Clone, Debug, Default)]
pub struct Registration {
    first_at: Option<Duration>,
    last_at: Duration,
    count: usize,
}

impl Registration {
    /// Updates the number of registered engines. Returns whether a plan may be made: no engine has
    /// registered for one heartbeat, or the maximum wait is over.
    pub fn is_settled(&mut self, now: Duration, count: usize, heartbeat: Duration) -> bool {
        if count == 0 {
            return false;
        }
        let first = *self.first_at.get_or_insert(now);
        if count > self.count {
            self.last_at = now;
        }
        self.count = self.count.max(count);
        let quiet = now.saturating_sub(self.last_at) >= heartbeat;
        quiet || now.saturating_sub(first) >= MAX_WAIT
    }
}
