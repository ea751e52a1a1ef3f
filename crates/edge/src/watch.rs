//! How long a watch of the store waits, and what its answer proves. No clock, no socket.

use std::time::Duration;

/// How long the store holds a watch that has nothing to tell. A connection gone silent is
/// noticed no later than this after it should have answered.
const MAX_WAIT: Duration = Duration::from_millis(2000);
/// The same where other nodes go by the answer.
const FOLLOWER_WAIT: Duration = Duration::from_millis(1000);
/// The same where other nodes prove that nothing has changed; the store holds no call longer than
/// half a minute.
const LONG_WAIT: Duration = Duration::from_secs(25);
/// Age that what is known of the store does not pass while it answers: below the one at which
/// a node asks for no new callers.
const MAX_AGE: Duration = Duration::from_millis(2700);
/// Shortest pause after changes before the next are asked for, so that one call brings several.
const MIN_BATCH_PAUSE: Duration = Duration::from_millis(200);
/// Longest such pause: what a target or the operators write is in force this much later.
const MAX_BATCH_PAUSE: Duration = Duration::from_millis(800);
/// What each node adds to the pause: all of them are told of each change.
const BATCH_PAUSE_PER_NODE: Duration = Duration::from_millis(25);

/// A call that waits for changes.
#[derive(Clone, Copy, Debug)]
pub struct Watch {
    /// When the store is asked.
    asked: Duration,
    /// How long it holds the call at the most.
    wait: Duration,
}

impl Watch {
    /// A call at `now`, when everything up to the moment `known` is known. An answer with changes
    /// proves little; the call after it waits so much less that what is known does not grow old.
    pub fn new(now: Duration, known: Option<Duration>) -> Self {
        let age = now.saturating_sub(known.unwrap_or(now));
        Self { asked: now, wait: MAX_WAIT.min(MAX_AGE.saturating_sub(age)) }
    }

    /// A call that is answered when something changes, and hardly else: that nothing does others
    /// prove.
    pub fn long(now: Duration) -> Self {
        Self { asked: now, wait: LONG_WAIT }
    }

    /// Whether nothing but a change is waited for.
    pub fn is_long(&self) -> bool {
        self.wait == LONG_WAIT
    }

    /// The same for a node by which others go, so that what they know is not much older.
    pub fn shortened(self) -> Self {
        Self { wait: self.wait.min(FOLLOWER_WAIT), ..self }
    }

    /// A call that is to be answered at once: one that the store holds would hide its return.
    pub fn immediate(now: Duration) -> Self {
        Self { asked: now, wait: Duration::ZERO }
    }

    /// How long the store holds the call at the most.
    pub fn wait(&self) -> Duration {
        self.wait
    }

    /// The moment up to which everything is known when the answer has come at `now`.
    ///
    /// An answer without changes was held for the whole wait. One with changes may have been on
    /// its way for any time.
    pub fn known_until(&self, now: Duration, has_changes: bool) -> Duration {
        let held = if has_changes { Duration::ZERO } else { self.wait };
        self.asked + held.min(now.saturating_sub(self.asked))
    }
}

/// Pause after changes, where `vms` nodes follow the store.
pub fn batch_pause(vms: usize) -> Duration {
    (BATCH_PAUSE_PER_NODE * vms as u32).clamp(MIN_BATCH_PAUSE, MAX_BATCH_PAUSE)
}
