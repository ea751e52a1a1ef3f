//! Exponentially decaying rates and means.

use std::time::Duration;

/// An amount per second, averaged with exponential decay.
#[derive(Clone, Copy, Debug, Default)]
pub struct Rate {
    per_second: f64,
    updated: Duration,
}

/// Time in which the weight of the past decays to 1/e, in seconds.
const TIME_CONSTANT_SECONDS: f64 = 4.0;

impl Rate {
    /// Adds an amount at `now`.
    pub fn add(&mut self, now: Duration, amount: f64) {
        self.per_second = self.get(now) + amount / TIME_CONSTANT_SECONDS;
        self.updated = now;
    }

    /// Returns the rate at `now`, per second.
    pub fn get(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.updated).as_secs_f64();
        self.per_second * (-age / TIME_CONSTANT_SECONDS).exp()
    }
}

/// A mean that becomes an exponential moving average after [`MAX_MEAN_SAMPLES`] samples.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Mean {
    value: f64,
    samples: u32,
}

/// Number of samples from which the weight of a new sample stays constant.
const MAX_MEAN_SAMPLES: u32 = 32;

impl Mean {
    pub(crate) fn add(&mut self, sample: f64) {
        self.samples = (self.samples + 1).min(MAX_MEAN_SAMPLES);
        self.value += (sample - self.value) / f64::from(self.samples);
    }

    pub(crate) fn get(&self) -> Option<f64> {
        (self.samples > 0).then_some(self.value)
    }
}
