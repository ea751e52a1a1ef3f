//! State of the store as this process sees it.

use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// How the store stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// The last call was answered.
    Up,
    /// Calls have failed, too few to speak of an outage.
    Degraded,
    /// An outage.
    Down,
}

/// Outcomes of the last calls, and when it makes sense to call again.
#[derive(Clone, Debug)]
pub struct Health {
    failures: u32,
    since: Duration,
    retry_at: Duration,
    first: Duration,
    most: Duration,
    rng: SmallRng,
}

/// Failures in a row that make an outage.
const OUTAGE_FAILURES: u32 = 3;
/// Largest exponent of the back-off.
const BACKOFF_EXPONENT: u32 = 16;

impl Health {
    /// Makes the state of a store that has not been called; waits grow from `first` to `most`.
    pub fn new(first: Duration, most: Duration, seed: u64) -> Self {
        Self {
            failures: 0,
            since: Duration::ZERO,
            retry_at: Duration::ZERO,
            first,
            most,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// How the store stands.
    pub fn state(&self) -> State {
        match self.failures {
            0 => State::Up,
            failures if failures < OUTAGE_FAILURES => State::Degraded,
            _ => State::Down,
        }
    }

    /// Time since which calls have failed without a break; `None` while the store answers.
    pub fn failing_since(&self) -> Option<Duration> {
        (self.failures > 0).then_some(self.since)
    }

    /// Time before which a new call is not worth while.
    pub fn retry_at(&self) -> Duration {
        self.retry_at
    }

    /// Notes an answer; returns whether an outage has ended by it.
    pub fn record_success(&mut self) -> bool {
        let ended = self.state() == State::Down;
        self.failures = 0;
        self.retry_at = Duration::ZERO;
        ended
    }

    /// Notes a failure at `now`; returns whether an outage has begun by it.
    pub fn record_failure(&mut self, now: Duration) -> bool {
        if self.failures == 0 {
            self.since = now;
        }
        let exponent = self.failures.min(BACKOFF_EXPONENT);
        self.failures = self.failures.saturating_add(1);
        let full = self.first.saturating_mul(1 << exponent).min(self.most);
        // Half of the wait is fixed, half random: nodes that failed together come back apart.
        let jitter = self.rng.random_range(0.5..=1.0);
        self.retry_at = now + full.mul_f64(jitter);
        self.failures == OUTAGE_FAILURES
    }
}
