//! One organisation's part in one lane.

use std::time::Duration;

use crate::Rate;
use crate::waiting::Queue;

/// Dense id of an organisation at this node.
pub(crate) type OrganisationId = u32;

/// Buckets of patience by which offered cost is counted.
const URGENCIES: usize = 16;

/// Queue, virtual time and demand of an organisation in a lane.
#[derive(Debug, Default)]
pub(crate) struct Organisation {
    pub(crate) queue: Queue,
    /// Virtual finish time of its last admitted request, in slot-seconds per weight.
    pub(crate) finish: f64,
    /// Starts since its oldest request was last preferred.
    pub(crate) starts: u32,
    /// Cost offered at this node, in slots.
    pub(crate) offered: Rate,
    /// Cost offered at other nodes, in slots.
    pub(crate) elsewhere: f64,
    /// Slots that it may use at this node.
    pub(crate) slots: f64,
    /// When the next refused request may come back.
    pub(crate) next_return: Duration,
    by_urgency: [Rate; URGENCIES],
}

impl Organisation {
    /// Counts a request that has come in.
    pub(crate) fn offer(&mut self, now: Duration, cost: f64, patience: Duration) {
        self.offered.add(now, cost);
        self.by_urgency[urgency(patience)].add(now, cost);
    }

    /// Cost offered by callers with less patience, in slots.
    pub(crate) fn offered_before(&self, now: Duration, patience: Duration) -> f64 {
        self.by_urgency[..urgency(patience)].iter().map(|rate| rate.get(now)).sum()
    }
}

/// Bucket of a patience: each is half as long again as the one before, from 0.25 s.
fn urgency(patience: Duration) -> usize {
    let ratio = (patience.as_secs_f64() / 0.25).max(1.0);
    ((ratio.ln() / 1.5_f64.ln()) as usize).min(URGENCIES - 1)
}

/// Part of the credit that a patience is worth: 1 for the least, falling with its logarithm.
pub(crate) fn credit_part(patience: Duration) -> f64 {
    1.0 - urgency(patience) as f64 / URGENCIES as f64
}
