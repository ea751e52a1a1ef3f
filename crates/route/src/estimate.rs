//! Estimates of times: a running mean and a running mean deviation.

use std::time::Duration;

/// Weight of a new sample in the mean.
const MEAN_WEIGHT: f64 = 0.125;
/// Weight of a new sample in the deviation.
const DEVIATION_WEIGHT: f64 = 0.25;
/// Deviations above the mean at which the upper bound of a normal sample lies.
const UPPER_BOUND_DEVIATIONS: f64 = 4.0;

/// Estimate of a time in seconds.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Estimate {
    mean: f64,
    deviation: f64,
    samples: u32,
}

impl Estimate {
    /// Records a sample.
    pub(crate) fn record(&mut self, sample: f64) {
        if self.samples == 0 {
            self.mean = sample;
            self.deviation = sample / 2.0;
        } else {
            let error = sample - self.mean;
            self.mean += MEAN_WEIGHT * error;
            self.deviation += DEVIATION_WEIGHT * (error.abs() - self.deviation);
        }
        self.samples = self.samples.saturating_add(1);
    }

    /// Returns the mean, if there are any samples.
    pub(crate) fn mean(&self) -> Option<f64> {
        (self.samples > 0).then_some(self.mean)
    }

    /// Returns the longest time that is considered normal, if there are any samples.
    pub(crate) fn upper_bound(&self) -> Option<f64> {
        (self.samples > 0).then_some(self.mean + UPPER_BOUND_DEVIATIONS * self.deviation)
    }
}

/// Returns `factor` times the upper bound of a normal time, clamped to `min` and `max`. Without an
/// upper bound it returns `max`.
pub(crate) fn timeout(
    upper_bound: Option<f64>,
    factor: f64,
    min: Duration,
    max: Duration,
) -> Duration {
    upper_bound
        .map_or(max, |upper_bound| Duration::from_secs_f64(upper_bound * factor).clamp(min, max))
}
