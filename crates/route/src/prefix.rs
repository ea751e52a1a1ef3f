//! Estimates which prompt prefixes a target has in its cache.
//!
//! Cache events arrive late and with gaps in their numbering. After a gap, known prefixes become
//! uncertain rather than invalid, so each gap lowers the certainty of all prefixes stored before
//! it.

use std::collections::{HashMap, VecDeque};

use crate::CacheEvent;

/// Maximum number of prefixes tracked for each target.
const MAX_PREFIXES: usize = 4096;
/// Factor applied to the certainty of a prefix for each gap since it was stored.
const CERTAINTY_PER_GAP: f64 = 0.5;
/// Number of gaps after which a prefix no longer counts as cached.
const MAX_GAPS: u32 = 4;

/// State of one target's prefix cache, as learned from its events.
#[derive(Clone, Debug, Default)]
pub(crate) struct View {
    /// Maps each prefix to the number of gaps seen when it was stored.
    stored: HashMap<u64, u32>,
    insertion_order: VecDeque<u64>,
    next_sequence: u64,
    gaps: u32,
}

impl View {
    /// Applies cache events in order. Events whose number was already passed are repeats and are
    /// dropped.
    pub(crate) fn apply(&mut self, events: &[CacheEvent]) {
        for event in events {
            if event.sequence < self.next_sequence {
                continue;
            }
            if event.sequence > self.next_sequence && self.next_sequence > 0 {
                self.gaps += 1;
            }
            self.next_sequence = event.sequence + 1;
            if event.stored {
                self.store(event.prefix);
            } else {
                self.stored.remove(&event.prefix);
            }
        }
    }

    /// Returns the share of the prompt that is probably cached, between 0 and 1. `prefixes` holds
    /// the hashes of the prompt's growing prefixes, shortest first.
    pub(crate) fn cached_share(&self, prefixes: &[u64]) -> f64 {
        if self.stored.is_empty() || prefixes.is_empty() {
            return 0.0;
        }
        let longest = prefixes.iter().rposition(|prefix| self.stored.contains_key(prefix));
        let Some(longest) = longest else { return 0.0 };
        let gaps = self.gaps - self.stored[&prefixes[longest]];
        if gaps >= MAX_GAPS {
            return 0.0;
        }
        let certainty = CERTAINTY_PER_GAP.powi(gaps.cast_signed());
        certainty * (longest + 1) as f64 / prefixes.len() as f64
    }

    fn store(&mut self, prefix: u64) {
        if self.stored.insert(prefix, self.gaps).is_none() {
            self.insertion_order.push_back(prefix);
        }
        while self.insertion_order.len() > MAX_PREFIXES {
            if let Some(oldest) = self.insertion_order.pop_front() {
                self.stored.remove(&oldest);
            }
        }
    }
}
