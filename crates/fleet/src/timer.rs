//! Single pending timer of a state machine that requests its wake-ups as actions.

use std::time::Duration;

/// A wake-up may arrive this much early and still count as due.
const EARLY_TOLERANCE: Duration = Duration::from_millis(5);
/// A wake-up that is overdue by this much counts as lost.
const LOST_AFTER: Duration = Duration::from_secs(1);

/// Tracks the requested wake-up, so that a state machine that is stepped often does not request one
/// in each step.
#[derive(Clone, Copy, Debug, Default)]
pub struct Timer {
    due_at: Option<Duration>,
}

impl Timer {
    /// Records that a wake-up has arrived at `now`. A wake-up that was requested before an earlier
    /// one replaced it has no effect.
    pub fn fired(&mut self, now: Duration) {
        if self.due_at.is_some_and(|due_at| due_at <= now + EARLY_TOLERANCE) {
            self.due_at = None;
        }
    }

    /// Returns the time to wait until `due`, or `None` if the requested wake-up is early enough.
    pub fn arm(&mut self, now: Duration, due: Duration) -> Option<Duration> {
        let due = due.max(now + Duration::from_millis(1));
        if self.due_at.is_some_and(|due_at| due_at <= due && now < due_at + LOST_AFTER) {
            return None;
        }
        self.due_at = Some(due);
        Some(due - now)
    }
}
