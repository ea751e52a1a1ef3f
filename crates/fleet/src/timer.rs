//! One pending timer of a state machine that asks for its wakes by actions.

use std::time::Duration;

/// A wake this much early is taken as due.
const EARLY: Duration = Duration::from_millis(5);
/// A wake this much overdue is taken as lost.
const LOST: Duration = Duration::from_secs(1);

/// Remembers the wake that has been asked for, so that a machine that is stepped often
/// does not ask for one with each step.
#[derive(Clone, Copy, Debug, Default)]
pub struct Timer {
    armed: Option<Duration>,
}

impl Timer {
    /// Notes that a wake has come at `now`. One that was asked for before an earlier one
    /// took its place changes nothing.
    pub fn fired(&mut self, now: Duration) {
        if self.armed.is_some_and(|armed| armed <= now + EARLY) {
            self.armed = None;
        }
    }

    /// Returns how long to wait for `due`, or `None` when the wake already asked for is
    /// soon enough.
    pub fn arm(&mut self, now: Duration, due: Duration) -> Option<Duration> {
        let due = due.max(now + Duration::from_millis(1));
        if self.armed.is_some_and(|armed| armed <= due && now < armed + LOST) {
            return None;
        }
        self.armed = Some(due);
        Some(due - now)
    }
}
