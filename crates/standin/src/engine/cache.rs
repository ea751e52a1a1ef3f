//! The bounded cache of prompt prefixes and the events that report its changes.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use serde::Serialize;

/// Events retained for `GET /events`.
const MAX_EVENTS: usize = 4096;
/// Every n-th event is never published, so that readers see gaps in the sequence.
const DROPPED_EVENT_INTERVAL: u64 = 17;

/// Kind of change of a prefix.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum Kind {
    Stored,
    Evicted,
}

/// One event of `GET /events`.
#[derive(Clone, Debug, Serialize)]
pub(super) struct CacheEvent {
    sequence: u64,
    kind: Kind,
    prefix: u64,
    #[serde(skip)]
    at: Option<Instant>,
}

/// Response of `GET /events`.
#[derive(Clone, Debug, Default, Serialize)]
pub(super) struct Events {
    events: Vec<CacheEvent>,
}

/// Cached prefixes in LRU order, the least recently used first.
#[derive(Debug)]
pub(super) struct Cache {
    capacity: usize,
    prefixes: VecDeque<u64>,
    events: VecDeque<CacheEvent>,
    sequence: u64,
}

impl Cache {
    /// Creates an empty cache for `capacity` prefixes.
    pub(super) fn new(capacity: usize) -> Self {
        Self { capacity, prefixes: VecDeque::new(), events: VecDeque::new(), sequence: 0 }
    }

    /// Returns the number of leading `prefixes` that are cached; they are sorted shortest first.
    pub(super) fn leading_hits(&self, prefixes: &[u64]) -> usize {
        prefixes.iter().take_while(|prefix| self.prefixes.contains(prefix)).count()
    }

    /// Stores `prefixes` and evicts the least recently used ones beyond the capacity.
    pub(super) fn store(&mut self, prefixes: &[u64]) {
        // Stores the longest first, so that it is evicted first: a prefix is of use only together
        // with all shorter ones.
        for prefix in prefixes.iter().rev() {
            let held = self.prefixes.len();
            self.prefixes.retain(|other| other != prefix);
            self.prefixes.push_back(*prefix);
            if self.prefixes.len() > held {
                self.record(Kind::Stored, *prefix);
            }
        }
        while self.prefixes.len() > self.capacity {
            if let Some(prefix) = self.prefixes.pop_front() {
                self.record(Kind::Evicted, prefix);
            }
        }
    }

    /// Evicts all prefixes.
    pub(super) fn clear(&mut self) {
        while let Some(prefix) = self.prefixes.pop_front() {
            self.record(Kind::Evicted, prefix);
        }
    }

    /// Returns all cached prefixes.
    pub(super) fn list(&self) -> Vec<u64> {
        self.prefixes.iter().copied().collect()
    }

    /// Returns the events with sequence number `from` or higher that are at least `lag` old.
    pub(super) fn events(&self, from: u64, lag: Duration) -> Events {
        let old = |event: &&CacheEvent| event.at.is_none_or(|at| at.elapsed() >= lag);
        let events = self.events.iter().filter(|event| event.sequence >= from).filter(old);
        Events { events: events.cloned().collect() }
    }

    fn record(&mut self, kind: Kind, prefix: u64) {
        self.sequence += 1;
        if self.sequence.is_multiple_of(DROPPED_EVENT_INTERVAL) {
            return;
        }
        if self.events.len() == MAX_EVENTS {
            self.events.pop_front();
        }
        let at = Some(Instant::now());
        self.events.push_back(CacheEvent { sequence: self.sequence, kind, prefix, at });
    }
}
