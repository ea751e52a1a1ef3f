//! Demand by organisation, estimated from samples that replies to heartbeats carry.
//!
//! Each sample holds at most a fixed number of entries, drawn with probability proportional to
//! demand and weighted by the inverse probability. The mean over the samples of all nodes is
//! then an unbiased estimate of the mean demand at a node. If all organisations fit into a
//! sample, the entries are exact.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use fleet::OrganisationName;
use rand::RngExt;
use rand::rngs::SmallRng;

/// Time for which a sample is used.
const SAMPLE_WINDOW: Duration = Duration::from_secs(10);

/// An organisation and its demand, in slots.
type Share = (OrganisationName, f64);

/// Demand at this node and samples of the demand at other nodes.
#[derive(Clone, Debug, Default)]
pub(crate) struct Demand {
    own: BTreeMap<OrganisationName, f64>,
    samples: VecDeque<(Duration, Vec<Share>)>,
}

impl Demand {
    /// Replaces this node's demand.
    pub(crate) fn set(&mut self, own: Vec<Share>) {
        self.own = own.into_iter().filter(|(_, cost)| *cost > 0.0).collect();
    }

    /// Replaces this node's demand of one organisation.
    pub(crate) fn set_one(&mut self, organisation: OrganisationName, cost: f64) {
        if cost > 0.0 {
            self.own.insert(organisation, cost);
        } else {
            self.own.remove(&organisation);
        }
    }

    /// Draws at most `max` entries of this node's demand.
    pub(crate) fn sample(&self, max: usize, rng: &mut SmallRng) -> Vec<Share> {
        if self.own.len() <= max {
            return self.own.iter().map(|(name, cost)| (name.clone(), *cost)).collect();
        }
        // Systematic sampling: points at distance `step` on the cumulative demand.
        let sum: f64 = self.own.values().sum();
        let step = sum / max as f64;
        let mut point = rng.random_range(0.0..1.0) * step;
        let mut end = 0.0;
        let mut shares = Vec::with_capacity(max);
        for (name, cost) in &self.own {
            end += cost;
            let mut hits = 0.0;
            while point < end {
                hits += 1.0;
                point += step;
            }
            if hits > 0.0 {
                shares.push((name.clone(), hits * step));
            }
        }
        shares
    }

    /// Adds a sample from another node.
    pub(crate) fn add_sample(&mut self, now: Duration, shares: Vec<Share>) {
        self.samples.push_back((now, shares));
    }

    /// Returns the demand by organisation over `live` nodes, this one included.
    pub(crate) fn totals(&mut self, now: Duration, live: u32) -> Vec<Share> {
        while self.samples.front().is_some_and(|(at, _)| *at + SAMPLE_WINDOW < now) {
            self.samples.pop_front();
        }
        let mut totals = self.own.clone();
        if self.samples.is_empty() {
            return totals.into_iter().collect();
        }
        let weight = f64::from(live.saturating_sub(1)) / self.samples.len() as f64;
        for (name, cost) in self.samples.iter().flat_map(|(_, shares)| shares) {
            *totals.entry(name.clone()).or_default() += cost * weight;
        }
        totals.into_iter().collect()
    }
}
