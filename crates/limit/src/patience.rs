//! How long callers wait, learned from those who left and those who were served.

use std::time::Duration;

/// Buckets of waiting time; each is wider than the one before by [`GROWTH`].
const BUCKETS: usize = 32;
/// Upper bound of the first bucket, in seconds.
const FIRST_SECONDS: f64 = 0.05;
/// Ratio of the bounds of neighbouring buckets.
const GROWTH: f64 = 1.3;
/// Weight that samples of a wait keep when a new one of it or a longer one comes.
const KEEP: f64 = 0.995;
/// Share of callers that must still be waiting at the learned patience.
const STAYING: f64 = 0.95;
/// Callers that must have left before anything is taken as learned.
const LEFT_AT_LEAST: f64 = 2.0;

/// Waiting times of callers of one class: when they left, or how long they had
/// waited when they were served.
///
/// A caller that was served would have waited longer, one cannot say how long.
/// The survival function is therefore estimated by the product limit (Kaplan and
/// Meier), which uses such samples for as long as they were at risk.
#[derive(Clone, Debug)]
pub struct Patience {
    left: [f32; BUCKETS],
    served: [f32; BUCKETS],
}

impl Default for Patience {
    fn default() -> Self {
        Self { left: [0.0; BUCKETS], served: [0.0; BUCKETS] }
    }
}

impl Patience {
    /// Notes a caller that left after `waited`.
    pub fn left(&mut self, waited: Duration) {
        let bucket = bucket(waited);
        self.decay(bucket);
        self.left[bucket] += 1.0;
    }

    /// Notes a caller that was still there when its answer came after `waited`.
    pub fn served(&mut self, waited: Duration) {
        let bucket = bucket(waited);
        self.decay(bucket);
        self.served[bucket] += 1.0;
    }

    /// Returns the time for which nearly all callers wait, or `None` when too few have
    /// left to say.
    pub fn learned(&self) -> Option<Duration> {
        let left: f32 = self.left.iter().sum();
        if f64::from(left) < LEFT_AT_LEAST {
            return None;
        }
        let mut at_risk = f64::from(left) + f64::from(self.served.iter().sum::<f32>());
        let mut staying = 1.0;
        for index in 0..BUCKETS {
            let gone = f64::from(self.left[index]);
            if at_risk > 0.0 {
                staying *= 1.0 - (gone / at_risk).min(1.0);
            }
            if staying < STAYING {
                return Some(lower_bound(index));
            }
            at_risk -= gone + f64::from(self.served[index]);
        }
        None
    }

    /// Fades what is known of waits up to `last`.
    ///
    /// A caller that was served early says nothing about longer waits: were those to
    /// fade as well, patience would be forgotten as soon as it is respected.
    fn decay(&mut self, last: usize) {
        for weight in self.left[..=last].iter_mut().chain(&mut self.served[..=last]) {
            *weight *= KEEP as f32;
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

/// Lower bound of a bucket: the promise to its callers must not exceed their patience.
fn lower_bound(index: usize) -> Duration {
    if index == 0 {
        return Duration::from_secs_f64(FIRST_SECONDS / 2.0);
    }
    Duration::from_secs_f64(FIRST_SECONDS * GROWTH.powi(index as i32 - 1))
}
