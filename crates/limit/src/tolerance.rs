//! Estimate of how long callers wait before they abandon a request.

use std::time::Duration;

/// Number of buckets of waiting time; bucket widths grow by [`GROWTH`].
const BUCKETS: usize = 32;
/// Upper bound of the first bucket, in seconds.
const FIRST_SECONDS: f64 = 0.05;
/// Ratio of the bounds of adjacent buckets.
const GROWTH: f64 = 1.3;
/// Factor applied to the weights of all samples of a wait when a sample of the same or a
/// longer wait is added.
const DECAY: f64 = 0.995;
/// Fraction of callers that must still be waiting at the estimated tolerance.
const SURVIVAL: f64 = 0.95;
/// Minimum weight of abandoned requests for an estimate.
const MIN_ABANDONED: f64 = 2.0;

/// Waiting times of callers of one class: how long they waited before they abandoned the
/// request or were served.
///
/// A caller that was served would have waited for an unknown further time, so its sample
/// is censored. The survival function is therefore estimated by the product-limit
/// estimator (Kaplan and Meier), which counts censored samples while they are at risk.
#[derive(Clone, Debug)]
pub struct Tolerance {
    abandoned: [f32; BUCKETS],
    served: [f32; BUCKETS],
}

impl Default for Tolerance {
    fn default() -> Self {
        Self { abandoned: [0.0; BUCKETS], served: [0.0; BUCKETS] }
    }
}

impl Tolerance {
    /// Records a caller that abandoned its request after `waited`.
    pub fn record_abandoned(&mut self, waited: Duration) {
        let bucket = bucket(waited);
        self.decay(bucket);
        self.abandoned[bucket] += 1.0;
    }

    /// Records a caller that was still waiting when it was served after `waited`.
    pub fn record_served(&mut self, waited: Duration) {
        let bucket = bucket(waited);
        self.decay(bucket);
        self.served[bucket] += 1.0;
    }

    /// Returns the time for which a fraction `SURVIVAL` of callers waits, or `None` when
    /// too few have abandoned their requests for an estimate.
    pub fn estimate(&self) -> Option<Duration> {
        let abandoned: f32 = self.abandoned.iter().sum();
        if f64::from(abandoned) < MIN_ABANDONED {
            return None;
        }
        let mut at_risk = f64::from(abandoned) + f64::from(self.served.iter().sum::<f32>());
        let mut survival = 1.0;
        for index in 0..BUCKETS {
            let abandoned_here = f64::from(self.abandoned[index]);
            if at_risk > 0.0 {
                survival *= 1.0 - (abandoned_here / at_risk).min(1.0);
            }
            if survival < SURVIVAL {
                return Some(lower_bound(index));
            }
            at_risk -= abandoned_here + f64::from(self.served[index]);
        }
        None
    }

    /// Decays the samples in buckets up to and including `last`.
    ///
    /// Samples of longer waits keep their weight, because a caller that was served early
    /// carries no information about them. If they decayed as well, the estimate would be
    /// lost once requests are answered within it and no caller abandons any more.
    fn decay(&mut self, last: usize) {
        for weight in self.abandoned[..=last].iter_mut().chain(&mut self.served[..=last]) {
            *weight *= DECAY as f32;
        }
    }
}

fn bucket(waited: Duration) -> usize {
    let ratio = waited.as_secs_f64() / FIRST_SECONDS;
    if ratio <= 1.0 {
        return 0;
    }
    let index = ratio.ln() / GROWTH.ln();
    (index.ceil() as usize).min(BUCKETS - 1)
}

/// Returns the lower bound of a bucket, so that the estimate does not exceed the time for
/// which callers in the bucket wait.
fn lower_bound(index: usize) -> Duration {
    if index == 0 {
        return Duration::from_secs_f64(FIRST_SECONDS / 2.0);
    }
    Duration::from_secs_f64(FIRST_SECONDS * GROWTH.powi(index as i32 - 1))
}
