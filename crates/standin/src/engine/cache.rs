//! The bounded cache of prompt prefixes, and the events that tell of it.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use serde::Serialize;

/// Events that are kept for readers.
const MAX_EVENTS: usize = 4096;
/// One in this many events is never published.
const DROPPED_EVENT_INTERVAL: u64 = 17;

/// What happened to a prefix.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum Kind {
    Stored,
    Evicted,
}

/// One event, as `GET /events` gives it.
#[derive(Clone, Debug, Serialize)]
pub(super) struct CacheEvent {
    sequence: u64,
    kind: Kind,
    prefix: u64,
    #[serde(skip)]
    at: Option<Instant>,
}

/// Answer of `GET /events`.
#[derive(Clone, Debug, Default, Serialize)]
pub(super) struct Events {
    events: Vec<CacheEvent>,
}

/// Prefixes held, the least recently used first.
#[derive(Debug)]
pub(super) struct Cache {
    capacity: usize,
    prefixes: VecDeque<u64>,
    events: VecDeque<CacheEvent>,
    sequence: u64,
}

impl Cache {
    /// Makes an empty cache for `capacity` prefixes.
    pub(super) fn new(capacity: usize) -> Self {
        Self { capacity, prefixes: VecDeque::new(), events: VecDeque::new(), sequence: 0 }
    }

    /// Number of leading prefixes held; `prefixes` grow, shortest first.
    pub(super) fn leading_hits(&self, prefixes: &[u64]) -> usize {
        prefixes.iter().take_while(|prefix| self.prefixes.contains(prefix)).count()
    }

    /// Holds all of `prefixes`, and evicts what is then too much.
    pub(super) fn store(&mut self, prefixes: &[u64]) {
        // The longest goes in first: it is of use only together with all shorter ones, and
        // is evicted before them.
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

    /// Evicts everything.
    pub(super) fn clear(&mut self) {
        while let Some(prefix) = self.prefixes.pop_front() {
            self.record(Kind::Evicted, prefix);
        }
    }

    /// Prefixes held.
    pub(super) fn list(&self) -> Vec<u64> {
        self.prefixes.iter().copied().collect()
    }

    /// Events from number `from` on that are at least `lag` old.
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
