//! Wait of a watch on the store, and what its answer proves. Uses neither a clock nor a socket.

use std::time::Duration;

/// Maximum time for which the store holds a watch without changes. A dead connection is detected at
/// most this long after the answer was due.
const MAX_WAIT: Duration = Duration::from_millis(2000);
/// Minimum time for which the store holds a watch without changes, unless the known state is already
/// old: limits the rate of calls.
const MIN_WAIT: Duration = Duration::from_millis(100);
/// Time for which the store holds a watch of a node that others query.
const FOLLOWER_WAIT: Duration = Duration::from_millis(1000);
/// Time for which the store holds a watch while other nodes prove that nothing has changed; the
/// store holds no call for longer than 30 s.
const LONG_WAIT: Duration = Duration::from_secs(25);
/// Margin between the age of the known state at which an answer is due at the latest and the maximum
/// age of the state.
const AGE_MARGIN: Duration = Duration::from_millis(300);
/// Time that the answers to a watch and to the one after it may take.
const ANSWER_MARGIN: Duration = Duration::from_millis(200);
/// Minimum pause after changes before the next watch, so that one answer carries several changes.
const MIN_BATCH_PAUSE: Duration = Duration::from_millis(200);
/// Maximum pause after changes: delays what targets or operators write by this much.
const MAX_BATCH_PAUSE: Duration = Duration::from_millis(800);
/// Share of each node in the pause: the store notifies all nodes of every change.
const BATCH_PAUSE_PER_NODE: Duration = Duration::from_millis(25);

/// A call that waits for changes.
#[derive(Clone, Copy, Debug)]
pub struct Watch {
    /// Time at which the call is sent.
    sent_at: Duration,
    /// Maximum time for which the store holds the call.
    wait: Duration,
}

impl Watch {
    /// Returns a watch sent at `now`, when the state up to the time `known` is known. `max_age` is
    /// the age of the state at which the node stops serving callers. An answer with changes proves
    /// little about the state's age, so the next watch waits less.
    pub fn new(now: Duration, known: Option<Duration>, max_age: Duration) -> Self {
        let age = now.saturating_sub(known.unwrap_or(now));
        let latest = max_age.saturating_sub(AGE_MARGIN).max(MIN_WAIT);
        Self { sent_at: now, wait: longest_wait(max_age).min(latest.saturating_sub(age)) }
    }

    /// Returns a watch that is answered only on changes, while other nodes prove that there are
    /// none.
    pub fn long(now: Duration) -> Self {
        Self { sent_at: now, wait: LONG_WAIT }
    }

    /// Returns whether the watch is answered only on changes.
    pub fn is_long(&self) -> bool {
        self.wait == LONG_WAIT
    }

    /// Shortens the watch for a node that others query, so that their state is not much older.
    pub fn shortened(self) -> Self {
        Self { wait: self.wait.min(FOLLOWER_WAIT), ..self }
    }

    /// Returns a watch that is answered at once. A watch that the store holds would delay the
    /// detection of its return.
    pub fn immediate(now: Duration) -> Self {
        Self { sent_at: now, wait: Duration::ZERO }
    }

    /// Returns the maximum time for which the store holds the call.
    pub fn wait(&self) -> Duration {
        self.wait
    }

    /// Returns the time up to which the state is known after an answer at `now`.
    ///
    /// The store held a watch without changes for the whole wait. An answer with changes may have
    /// been in transit for any time.
    pub fn known_until(&self, now: Duration, has_changes: bool) -> Duration {
        let held = if has_changes { Duration::ZERO } else { self.wait };
        self.sent_at + held.min(now.saturating_sub(self.sent_at))
    }
}

/// Returns the longest wait of a watch that leaves time for the pause after changes and for answers
/// before the known state is `max_age` old.
fn longest_wait(max_age: Duration) -> Duration {
    max_age.saturating_sub(MAX_BATCH_PAUSE + ANSWER_MARGIN).clamp(MIN_WAIT, MAX_WAIT)
}

/// Returns the pause after changes if `vms` nodes watch the store and the known state must be
/// younger than `max_age`.
pub fn batch_pause(vms: usize, max_age: Duration) -> Duration {
    let pause = (BATCH_PAUSE_PER_NODE * vms as u32).clamp(MIN_BATCH_PAUSE, MAX_BATCH_PAUSE);
    pause.min(max_age.saturating_sub(longest_wait(max_age) + ANSWER_MARGIN))
}
