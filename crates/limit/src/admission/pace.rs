//! How fast the queued requests of one rank are admitted.

use std::time::Duration;

use super::tally::TIME_CONSTANT_SECONDS;

/// Admissions and time assumed before any were observed: a first admission in a quarter of a
/// second. What is known fades into it, so that a queue that was of no use is tried again.
const PRIOR_ADMITTED: f64 = 2.0;
const PRIOR_SECONDS: f64 = 0.5;

/// Admissions of one rank, and the time during which requests of it were queued.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Pace {
    admitted: f64,
    seconds: f64,
    updated: Duration,
    /// Whether requests of the rank are queued.
    is_waiting: bool,
}

impl Pace {
    fn update(&mut self, now: Duration) {
        let passed = now.saturating_sub(self.updated).as_secs_f64();
        let decay = (-passed / TIME_CONSTANT_SECONDS).exp();
        self.admitted *= decay;
        self.seconds *= decay;
        if self.is_waiting {
            self.seconds += passed;
        }
        self.updated = self.updated.max(now);
    }

    pub(super) fn record_queued(&mut self, now: Duration) {
        self.update(now);
        self.is_waiting = true;
    }

    pub(super) fn record_left(&mut self, now: Duration, is_admitted: bool, others_wait: bool) {
        self.update(now);
        if is_admitted {
            self.admitted += 1.0;
        }
        self.is_waiting = others_wait;
    }

    /// Returns the mean time until the next queued request is admitted. All requests of the rank
    /// were admitted at this `rate` of late, per second.
    pub(super) fn expected_wait(&mut self, now: Duration, rate: f64) -> Duration {
        self.update(now);
        let prior = PRIOR_ADMITTED.max(rate * PRIOR_SECONDS);
        Duration::from_secs_f64((self.seconds + PRIOR_SECONDS) / (self.admitted + prior))
    }
}
