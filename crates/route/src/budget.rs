//! Retry budget: retries are a bounded share of recent successes.

use std::time::Duration;

/// Time in which the reserve fills up without any success.
const REFILL: f64 = 10.0;

/// Retries that may still be made.
#[derive(Clone, Debug)]
pub(crate) struct Budget {
    share: f64,
    reserve: f64,
    left: f64,
    refilled: Duration,
}

impl Budget {
    /// A full budget.
    pub(crate) fn new(share: f64, reserve: f64) -> Self {
        Self { share, reserve, left: reserve, refilled: Duration::ZERO }
    }

    /// Changes the retries per success.
    pub(crate) fn set_share(&mut self, share: f64) {
        self.share = share;
    }

    /// A request has completed. `running` streams may each break once, so that the loss of
    /// a failure domain is paid from what was saved up while all went well.
    pub(crate) fn deposit(&mut self, running: usize) {
        let most = self.reserve.max(running as f64);
        self.left = (self.left + self.share).min(most.max(self.left));
    }

    /// Takes one retry, if one is left.
    pub(crate) fn withdraw(&mut self, now: Duration) -> bool {
        let passed = now.saturating_sub(self.refilled).as_secs_f64();
        self.refilled = now;
        if self.left < self.reserve {
            self.left = (self.left + passed * self.reserve / REFILL).min(self.reserve);
        }
        if self.left < 1.0 {
            return false;
        }
        self.left -= 1.0;
        true
    }
}
