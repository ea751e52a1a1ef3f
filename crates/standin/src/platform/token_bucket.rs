//! Rate limit in calls per second.

use std::time::Duration;

/// A token bucket whose capacity is one second of calls, but at least one call.
#[derive(Debug)]
pub(super) struct TokenBucket {
    per_second: f64,
    tokens: f64,
    refilled_at: Duration,
}

impl TokenBucket {
    /// Creates a full bucket that refills at `per_second` tokens per second.
    pub(super) fn new(per_second: f64) -> Self {
        Self { per_second, tokens: per_second.max(1.0), refilled_at: Duration::ZERO }
    }

    /// Refills the bucket up to `now` and consumes one token. Returns `false` when no whole
    /// token is available.
    pub(super) fn try_acquire(&mut self, now: Duration) -> bool {
        let elapsed = now.saturating_sub(self.refilled_at);
        self.refilled_at = now.max(self.refilled_at);
        self.tokens =
            (self.tokens + elapsed.as_secs_f64() * self.per_second).min(self.per_second.max(1.0));
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
