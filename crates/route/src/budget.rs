//! Retry budget: limits retries to a share of recent successes.

use std::time::Duration;

/// Time in which an empty reserve refills without any success.
const REFILL_SECONDS: f64 = 10.0;

/// Number of retries that are currently allowed.
#[derive(Clone, Debug)]
pub(crate) struct Budget {
    share: f64,
    reserve: f64,
    available: f64,
    refilled_at: Duration,
}

impl Budget {
    /// Creates a full budget.
    pub(crate) fn new(share: f64, reserve: f64) -> Self {
        Self { share, reserve, available: reserve, refilled_at: Duration::ZERO }
    }

    /// Changes the number of retries earned by each success.
    pub(crate) fn set_share(&mut self, share: f64) {
        self.share = share;
    }

    /// Credits a completed request. The budget may grow to the number of `running` streams, so
    /// that each of them can be retried when a failure domain is lost.
    pub(crate) fn deposit(&mut self, running: usize) {
        let max = self.reserve.max(running as f64);
        self.available = (self.available + self.share).min(max.max(self.available));
    }

    /// Takes one retry from the budget. Returns false if none is available.
    pub(crate) fn withdraw(&mut self, now: Duration) -> bool {
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.refilled_at = now;
        if self.available < self.reserve {
            self.available =
                (self.available + elapsed * self.reserve / REFILL_SECONDS).min(self.reserve);
        }
        if self.available < 1.0 {
            return false;
        }
        self.available -= 1.0;
        true
    }
}
