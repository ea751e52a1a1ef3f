//! Learned times: a running mean and a running deviation.

use std::time::Duration;

/// Weight of a new sample in the mean.
const MEAN_WEIGHT: f64 = 0.125;
/// Weight of a new sample in the deviation.
const DEVIATION_WEIGHT: f64 = 0.25;
/// Deviations above the mean that still count as usual.
const USUAL_DEVIATIONS: f64 = 4.0;

/// A learned time in seconds.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Pace {
    mean: f64,
    deviation: f64,
    samples: u32,
}

impl Pace {
    /// Takes in a sample.
    pub(crate) fn learn(&mut self, sample: f64) {
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

    /// Mean, if anything was learned.
    pub(crate) fn mean(&self) -> Option<f64> {
        (self.samples > 0).then_some(self.mean)
    }

    /// Longest time that is still usual.
    pub(crate) fn usual(&self) -> Option<f64> {
        (self.samples > 0).then_some(self.mean + USUAL_DEVIATIONS * self.deviation)
    }
}

/// `factor` times the usual time, held between two bounds.
pub(crate) fn timeout(usual: Option<f64>, factor: f64, low: Duration, high: Duration) -> Duration {
    usual.map_or(high, |usual| Duration::from_secs_f64(usual * factor).clamp(low, high))
}
