//! Number of calls in a sliding span of time.

use std::time::Duration;

/// Length of the intervals whose calls are counted together.
const INTERVAL: Duration = Duration::from_millis(250);
/// Number of intervals.
const INTERVALS: usize = 18;
/// Span for which calls are counted.
pub(crate) const SPAN: Duration = Duration::from_millis(250 * INTERVALS as u64);

/// Calls in the last [`SPAN`].
#[derive(Clone, Debug, Default)]
pub(crate) struct Window {
    /// Calls of each interval, by the number of the interval modulo [`INTERVALS`].
    counts: [u16; INTERVALS],
    /// Number of the latest interval, counted from time 0.
    latest: u64,
}

impl Window {
    /// Adds calls at `now`.
    pub(crate) fn add(&mut self, now: Duration, calls: u16) {
        self.advance(now);
        self.add_at(self.latest, calls);
    }

    /// Returns the calls of each interval, the latest first, without zeros at the end.
    pub(crate) fn counts(&mut self, now: Duration) -> Vec<u16> {
        self.advance(now);
        let ages = 0..(INTERVALS as u64).min(self.latest + 1);
        let mut counts: Vec<u16> = ages.map(|age| self.count(self.latest - age)).collect();
        while counts.last() == Some(&0) {
            counts.pop();
        }
        counts
    }

    /// Adds calls of each interval, the latest first.
    pub(crate) fn merge(&mut self, now: Duration, counts: &[u16]) {
        self.advance(now);
        for (age, count) in counts.iter().take(INTERVALS).enumerate() {
            if let Some(interval) = self.latest.checked_sub(age as u64) {
                self.add_at(interval, *count);
            }
        }
    }

    /// Returns the end of the interval whose calls have to pass until those since `start` are at
    /// most `calls`; `None` if they are.
    pub(crate) fn clears(&self, start: Duration, calls: u32) -> Option<Duration> {
        let oldest = (self.latest + 1).saturating_sub(INTERVALS as u64);
        let mut left = calls;
        for interval in (oldest..=self.latest).rev() {
            let end = INTERVAL * (interval + 1) as u32;
            if end <= start {
                return None;
            }
            let count = u32::from(self.count(interval));
            if count > left {
                return Some(end);
            }
            left -= count;
        }
        None
    }

    fn count(&self, interval: u64) -> u16 {
        self.counts[(interval % INTERVALS as u64) as usize]
    }

    fn add_at(&mut self, interval: u64, calls: u16) {
        let count = &mut self.counts[(interval % INTERVALS as u64) as usize];
        *count = count.saturating_add(calls);
    }

    /// Clears the intervals that have begun since the latest one.
    fn advance(&mut self, now: Duration) {
        let present = (now.as_millis() / INTERVAL.as_millis()) as u64;
        let begun = present.saturating_sub(self.latest).min(INTERVALS as u64);
        for age in 0..begun {
            self.counts[((present - age) % INTERVALS as u64) as usize] = 0;
        }
        self.latest = self.latest.max(present);
    }
}
