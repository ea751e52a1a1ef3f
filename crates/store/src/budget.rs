//! Budget of calls to the store, shared by purpose.

use std::time::Duration;

use crate::Purpose;

/// Calls that this process may make.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rates {
    /// Writes per second.
    pub writes: f64,
    /// Reads per second; an opened watch counts as one.
    pub reads: f64,
}

/// Two token buckets, one for writes and one for reads.
///
/// Bookings and presets may empty a bucket; other purposes must leave a share of it to them.
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

/// Time over which unused calls add up.
const BURST: Duration = Duration::from_secs(1);
/// Fewest calls that a full bucket holds.
const LEAST_BURST: f64 = 4.0;

impl Budget {
    /// Makes a full budget.
    pub fn new(rates: Rates) -> Self {
        Self { writes: Bucket::new(rates.writes), reads: Bucket::new(rates.reads) }
    }

    /// Changes the rates, for instance when the number of nodes that share the store changes.
    pub fn set_rates(&mut self, rates: Rates) {
        self.writes.rate = rates.writes;
        self.reads.rate = rates.reads;
    }

    /// Takes one write at `now` (time since any fixed moment); says whether there was one left.
    pub fn take_write(&mut self, now: Duration, purpose: Purpose) -> bool {
        self.writes.take(now, purpose)
    }

    /// Takes one read at `now`; says whether there was one left.
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
        (self.rate * BURST.as_secs_f64()).max(LEAST_BURST)
    }

    fn take(&mut self, now: Duration, purpose: Purpose) -> bool {
        let passed = now.saturating_sub(self.updated);
        self.updated = self.updated.max(now);
        self.tokens = (self.tokens + passed.as_secs_f64() * self.rate).min(self.capacity());
        if self.tokens - 1.0 < self.capacity() * purpose.reserve() {
            return false;
        }
        self.tokens -= 1.0;
        debug_assert!(self.tokens >= 0.0, "a bucket never goes below zero");
        true
    }
}
