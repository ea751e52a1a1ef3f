//! Decaying rates and means.

use std::time::Duration;

/// An amount per second that forgets exponentially.
#[derive(Clone, Copy, Debug, Default)]
pub struct Rate {
    per_second: f64,
    at: Duration,
}

/// Time over which a rate forgets all but 1/e of the past, in seconds.
const MEMORY_SECONDS: f64 = 4.0;

impl Rate {
    /// Adds an amount at `now`.
    pub fn add(&mut self, now: Duration, amount: f64) {
        self.per_second = self.get(now) + amount / MEMORY_SECONDS;
        self.at = now;
    }

    /// Returns the rate at `now`, per second.
    pub fn get(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.at).as_secs_f64();
        self.per_second * (-age / MEMORY_SECONDS).exp()
    }
}

/// A mean that weighs recent samples more.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Mean {
    value: f64,
    samples: u32,
}

/// Samples after which the weight of a new one no longer falls.
const MEAN_SAMPLES: u32 = 32;

impl Mean {
    pub(crate) fn add(&mut self, sample: f64) {
        self.samples = (self.samples + 1).min(MEAN_SAMPLES);
        self.value += (sample - self.value) / f64::from(self.samples);
    }

    pub(crate) fn get(&self) -> Option<f64> {
        (self.samples > 0).then_some(self.value)
    }
}
