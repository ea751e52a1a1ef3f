//! State of one organisation in one pool.

use std::time::Duration;

use crate::Rate;
use crate::queue::Queue;

/// Dense id of an organisation at this node.
pub(crate) type OrganisationId = u32;

/// Number of buckets of wait tolerance by which offered load is counted.
const TOLERANCE_BUCKETS: usize = 16;

/// Queue, virtual time and demand of an organisation in a pool.
#[derive(Debug, Default)]
pub(crate) struct Organisation {
    pub(crate) queue: Queue,
    /// Virtual finish time of the last admitted request, in slot-seconds per weight.
    pub(crate) virtual_finish: f64,
    /// Requests started since the oldest queued request last went first.
    pub(crate) starts_since_oldest: u32,
    /// Load offered at this node, in slots.
    pub(crate) offered: Rate,
    /// Load offered at other nodes, in slots.
    pub(crate) offered_elsewhere: f64,
    /// Slots that the organisation may use at this node.
    pub(crate) slots: f64,
    /// Earliest time at which the next refused request may be retried.
    pub(crate) next_retry: Duration,
    offered_by_tolerance: [Rate; TOLERANCE_BUCKETS],
}

impl Organisation {
    /// Adds a request that has arrived to the offered load.
    pub(crate) fn record_arrival(&mut self, now: Duration, cost: f64, tolerance: Duration) {
        self.offered.add(now, cost);
        self.offered_by_tolerance[tolerance_bucket(tolerance)].add(now, cost);
    }

    /// Returns the load offered by callers in lower tolerance buckets, in slots.
    pub(crate) fn offered_by_less_tolerant(&self, now: Duration, tolerance: Duration) -> f64 {
        self.offered_by_tolerance[..tolerance_bucket(tolerance)]
            .iter()
            .map(|rate| rate.get(now))
            .sum()
    }
}

/// Returns the bucket of a wait tolerance. Bounds start at 0.25 s and grow by a factor of 1.5.
fn tolerance_bucket(tolerance: Duration) -> usize {
    let ratio = (tolerance.as_secs_f64() / 0.25).max(1.0);
    ((ratio.ln() / 1.5_f64.ln()) as usize).min(TOLERANCE_BUCKETS - 1)
}

/// Returns the fraction of the credit granted for a wait tolerance: 1 in the lowest bucket,
/// decreasing with the logarithm of the tolerance.
pub(crate) fn credit_fraction(tolerance: Duration) -> f64 {
    1.0 - tolerance_bucket(tolerance) as f64 / TOLERANCE_BUCKETS as f64
}
