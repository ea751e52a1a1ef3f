//! Which prompt prefixes a target probably has in its cache.
//!
//! Cache events come late and with gaps. After a gap what was known is uncertain, not
//! wrong: it counts less, and each gap makes it count less again.

use std::collections::{HashMap, VecDeque};

use crate::CacheEvent;

/// Prefixes remembered of one target.
const CAPACITY: usize = 4096;
/// What certainty is left after a gap.
const GAP_FACTOR: f64 = 0.5;
/// Gaps after which a prefix is forgotten.
const FORGET_AFTER_GAPS: u32 = 4;

/// View of one target's prefix cache.
#[derive(Clone, Debug, Default)]
pub(crate) struct View {
    /// Prefix and the number of gaps seen when it was stored.
    stored: HashMap<u64, u32>,
    order: VecDeque<u64>,
    next: u64,
    gaps: u32,
}

impl View {
    /// Takes in events; those at or below the last number are dropped as repeated.
    pub(crate) fn apply(&mut self, events: &[CacheEvent]) {
        for event in events {
            if event.sequence < self.next {
                continue;
            }
            if event.sequence > self.next && self.next > 0 {
                self.gaps += 1;
            }
            self.next = event.sequence + 1;
            if event.stored {
                self.store(event.prefix);
            } else {
                self.stored.remove(&event.prefix);
            }
        }
    }

    /// Share of the prompt that is probably cached, between 0 and 1. `prefixes` are the
    /// hashes of the growing prefixes, shortest first.
    pub(crate) fn share(&self, prefixes: &[u64]) -> f64 {
        if self.stored.is_empty() || prefixes.is_empty() {
            return 0.0;
        }
        let longest = prefixes.iter().rposition(|prefix| self.stored.contains_key(prefix));
        let Some(longest) = longest else { return 0.0 };
        let gaps = self.gaps - self.stored[&prefixes[longest]];
        if gaps >= FORGET_AFTER_GAPS {
            return 0.0;
        }
        let certainty = GAP_FACTOR.powi(gaps.cast_signed());
        certainty * (longest + 1) as f64 / prefixes.len() as f64
    }

    fn store(&mut self, prefix: u64) {
        if self.stored.insert(prefix, self.gaps).is_none() {
            self.order.push_back(prefix);
        }
        while self.order.len() > CAPACITY {
            if let Some(oldest) = self.order.pop_front() {
                self.stored.remove(&oldest);
            }
        }
    }
}
