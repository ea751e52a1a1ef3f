//! The longest usual interval between the events of streams, as this node observes it.
//!
//! Engines differ in how long they take for an event, and a node that gets little processor time
//! handles events late. A silence tells something only if it is longer than nearly all intervals of
//! the node's streams.

use std::time::Duration;

/// Minimum silence that may show a stall.
const MIN_LIMIT: Duration = Duration::from_millis(100);
/// Maximum silence that shows one: callers notice pauses from then on.
const MAX_LIMIT: Duration = Duration::from_millis(200);
/// Fraction of the intervals that are shorter than the estimate.
const QUANTILE: f64 = 0.98;
/// Change of the estimate for an interval that exceeds it, seconds.
const STEP_S: f64 = 0.001;

/// Estimate of a quantile of the intervals by stochastic approximation, seconds.
#[derive(Clone, Copy, Debug, Default)]
pub struct Cadence {
    estimate: f64,
}

impl Cadence {
    /// Records the interval between two events of a stream.
    pub fn record(&mut self, interval: Duration) {
        let step = match interval.as_secs_f64() > self.estimate {
            true => QUANTILE,
            false => QUANTILE - 1.0,
        };
        self.estimate = (self.estimate + step * STEP_S).clamp(0.0, MAX_LIMIT.as_secs_f64());
    }

    /// Returns the silence of a stream that may show a stall.
    pub fn limit(&self) -> Duration {
        Duration::from_secs_f64(self.estimate).clamp(MIN_LIMIT, MAX_LIMIT)
    }
}
