//! Availability of the store as observed by this process.

use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// Availability of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// The last call was answered.
    Up,
    /// The last calls have failed, but fewer in a row than make an outage.
    Degraded,
    /// The store has an outage.
    Down,
}

/// Tracks the results of the last calls and the back-off after failures.
#[derive(Clone, Debug)]
pub struct Health {
    failures: u32,
    failing_since: Duration,
    retry_at: Duration,
    min_backoff: Duration,
    max_backoff: Duration,
    rng: SmallRng,
}

/// Number of consecutive failures that make an outage.
const OUTAGE_FAILURES: u32 = 3;
/// Largest exponent of the exponential back-off.
const MAX_BACKOFF_EXPONENT: u32 = 16;

impl Health {
    /// Creates the state of a store that has not been called yet. The back-off grows from
    /// `min_backoff` to `max_backoff`, less a random part.
    pub fn new(min_backoff: Duration, max_backoff: Duration, seed: u64) -> Self {
        Self {
            failures: 0,
            failing_since: Duration::ZERO,
            retry_at: Duration::ZERO,
            min_backoff,
            max_backoff,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Returns the availability of the store.
    pub fn state(&self) -> State {
        match self.failures {
            0 => State::Up,
            failures if failures < OUTAGE_FAILURES => State::Degraded,
            _ => State::Down,
        }
    }

    /// Returns the time of the first failure since the last answer; `None` while the store answers.
    pub fn failing_since(&self) -> Option<Duration> {
        (self.failures > 0).then_some(self.failing_since)
    }

    /// Returns the end of the current back-off.
    pub fn retry_at(&self) -> Duration {
        self.retry_at
    }

    /// Records an answer and returns whether it ended an outage.
    pub fn record_success(&mut self) -> bool {
        let ended = self.state() == State::Down;
        self.failures = 0;
        self.retry_at = Duration::ZERO;
        ended
    }

    /// Records a failure at `now` and returns whether it started an outage.
    pub fn record_failure(&mut self, now: Duration) -> bool {
        if self.failures == 0 {
            self.failing_since = now;
        }
        let exponent = self.failures.min(MAX_BACKOFF_EXPONENT);
        self.failures = self.failures.saturating_add(1);
        let backoff = self.min_backoff.saturating_mul(1 << exponent).min(self.max_backoff);
        // Randomises half of the back-off, so that nodes that failed together retry at different
        // times.
        let jitter = self.rng.random_range(0.5..=1.0);
        self.retry_at = now + backoff.mul_f64(jitter);
        self.failures == OUTAGE_FAILURES
    }
}
