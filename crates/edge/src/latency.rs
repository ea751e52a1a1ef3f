//! How long reports of targets take to arrive at this node, its own delay included.
//!
//! A node that gets little processor time handles answers late. The time that answers usually take
//! therefore tells how long a missing one must be waited for (RFC 6298), whichever side is slow.

use std::time::Duration;

/// Minimum wait for a report: engines answer within a few milliseconds, also under load.
const MIN_LIMIT: Duration = Duration::from_millis(35);
/// Maximum wait for a report. A node that is slower than this still has to find lost engines.
const MAX_LIMIT: Duration = Duration::from_millis(200);
/// Weight of the latest answer in the mean.
const MEAN_WEIGHT: f64 = 0.125;
/// Weight of the latest answer in the mean deviation.
const DEVIATION_WEIGHT: f64 = 0.25;
/// Number of mean deviations above the mean from which an answer is missing.
const DEVIATIONS: f64 = 4.0;

/// Moving averages of the time that answers take, seconds.
#[derive(Clone, Copy, Debug, Default)]
pub struct Latency {
    mean: f64,
    deviation: f64,
}

impl Latency {
    /// Records an answer that took `elapsed`.
    pub fn record(&mut self, elapsed: Duration) {
        let error = elapsed.as_secs_f64() - self.mean;
        self.mean += MEAN_WEIGHT * error;
        self.deviation += DEVIATION_WEIGHT * (error.abs() - self.deviation);
    }

    /// Returns the time after which an answer is missing.
    pub fn limit(&self) -> Duration {
        let limit = Duration::from_secs_f64(self.mean.max(0.0) + DEVIATIONS * self.deviation);
        limit.clamp(MIN_LIMIT, MAX_LIMIT)
    }
}
