//! Limits of calls per second.

use std::time::Duration;

/// A token bucket that holds one second's worth of calls, at least one.
#[derive(Debug)]
pub(super) struct Rate {
    per_second: f64,
    tokens: f64,
    filled: Duration,
}

impl Rate {
    /// Makes a full bucket.
    pub(super) fn new(per_second: f64) -> Self {
        Self { per_second, tokens: per_second.max(1.0), filled: Duration::ZERO }
    }

    /// Takes one call at `now`; `false` when the rate is exceeded.
    pub(super) fn take(&mut self, now: Duration) -> bool {
        let elapsed = now.saturating_sub(self.filled);
        self.filled = now.max(self.filled);
        self.tokens =
            (self.tokens + elapsed.as_secs_f64() * self.per_second).min(self.per_second.max(1.0));
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
