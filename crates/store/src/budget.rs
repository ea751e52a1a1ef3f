//! Budget of calls to the store, divided between purposes.

use std::time::Duration;

use crate::Purpose;

/// Rates of calls that a process may make.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rates {
    /// Writes per second.
    pub writes: f64,
    /// Reads per second; opening a watch counts as one read.
    pub reads: f64,
}

/// Two token buckets, one for writes and one for reads.
///
/// The ledger and the preset may empty a bucket; other purposes must leave a share of it to them.
#[derive(Clone, Debug)]
pub struct Budget {
    writes: Bucket,
    reads: Bucket,
}

#[derive(Clone, Debug)]
struct Bucket {
    rate: f64,
    tokens: f64,
    updated: Duration,
}

/// Time for which unused calls accumulate.
const BURST: Duration = Duration::from_secs(1);
/// Smallest capacity of a bucket, in calls.
const MIN_CAPACITY: f64 = 4.0;

impl Budget {
    /// Creates a budget with full buckets.
    pub fn new(rates: Rates) -> Self {
        Self { writes: Bucket::new(rates.writes), reads: Bucket::new(rates.reads) }
    }

    /// Sets the rates, for example when the number of nodes that share the store changes.
    pub fn set_rates(&mut self, rates: Rates) {
        self.writes.rate = rates.writes;
        self.reads.rate = rates.reads;
    }

    /// Takes one write at `now`, a time since any fixed moment, and returns whether the budget
    /// allowed it.
    pub fn take_write(&mut self, now: Duration, purpose: Purpose) -> bool {
        self.writes.take(now, purpose)
    }

    /// Takes one read at `now` and returns whether the budget allowed it.
    pub fn take_read(&mut self, now: Duration, purpose: Purpose) -> bool {
        self.reads.take(now, purpose)
    }
}

impl Bucket {
    fn new(rate: f64) -> Self {
        let mut bucket = Self { rate, tokens: 0.0, updated: Duration::ZERO };
        bucket.tokens = bucket.capacity();
        bucket
    }

    fn capacity(&self) -> f64 {
        (self.rate * BURST.as_secs_f64()).max(MIN_CAPACITY)
    }

    fn take(&mut self, now: Duration, purpose: Purpose) -> bool {
        let elapsed = now.saturating_sub(self.updated);
        self.updated = self.updated.max(now);
        self.tokens = (self.tokens + elapsed.as_secs_f64() * self.rate).min(self.capacity());
        if self.tokens - 1.0 < self.capacity() * purpose.reserve() {
            return false;
        }
        self.tokens -= 1.0;
        debug_assert!(self.tokens >= 0.0, "a bucket never goes below zero");
        true
    }
}
