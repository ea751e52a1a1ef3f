//! Requests per second.

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Millionths of a request in a request.
const SCALE: f64 = 1e6;

/// A number of requests per second, in millionths of a request per second. Larger rates than fit
/// count as the largest one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Rate(u64);

impl Rate {
    /// Returns a rate; `None` for a negative number or one that is no number.
    pub fn new(per_second: f64) -> Option<Self> {
        // Conversion of a float saturates.
        (per_second >= 0.0).then_some(Self((per_second * SCALE) as u64))
    }

    /// Returns the number of requests per second.
    pub fn per_second(self) -> f64 {
        self.0 as f64 / SCALE
    }

    /// Returns the time between two requests, at most `max`.
    pub fn interval(self, max: Duration) -> Duration {
        let seconds = 1.0 / self.per_second();
        Duration::try_from_secs_f64(seconds).map_or(max, |interval| interval.min(max))
    }
}

impl fmt::Display for Rate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.per_second())
    }
}
