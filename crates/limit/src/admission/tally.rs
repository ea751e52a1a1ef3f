//! Recent demand, counted with exponential decay.

use std::time::Duration;

/// Time in which the weight of the past decays to 1/e, seconds: at a few requests per second, long
/// enough for some ten of them.
pub(super) const TIME_CONSTANT_SECONDS: f64 = 8.0;
/// Requests that are added to those offered in the blocked share, so that single ones do not count
/// as shortage.
const PRIOR: f64 = 1.0;

/// Amounts that were offered, admitted and blocked of late.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Tally {
    offered: f64,
    admitted: f64,
    blocked: f64,
    updated: Duration,
}

impl Tally {
    /// Returns the factor by which amounts have decayed.
    fn decay(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.updated).as_secs_f64();
        (-age / TIME_CONSTANT_SECONDS).exp()
    }

    fn update(&mut self, now: Duration) {
        let decay = self.decay(now);
        self.offered *= decay;
        self.admitted *= decay;
        self.blocked *= decay;
        self.updated = self.updated.max(now);
    }

    pub(super) fn offer(&mut self, now: Duration, amount: f64) {
        self.update(now);
        self.offered += amount;
    }

    pub(super) fn admit(&mut self, now: Duration, amount: f64) {
        self.update(now);
        self.admitted += amount;
    }

    pub(super) fn block(&mut self, now: Duration, amount: f64) {
        self.update(now);
        self.blocked += amount;
    }

    pub(super) fn offered(&self, now: Duration) -> f64 {
        self.offered * self.decay(now)
    }

    pub(super) fn admitted(&self, now: Duration) -> f64 {
        self.admitted * self.decay(now)
    }

    pub(super) fn blocked(&self, now: Duration) -> f64 {
        self.blocked * self.decay(now)
    }

    /// Returns the share of the amount that was blocked.
    pub(super) fn blocked_share(&self, now: Duration) -> f64 {
        let decay = self.decay(now);
        (self.blocked * decay / (self.offered * decay + PRIOR)).min(1.0)
    }

    /// Returns the amount offered here for each offered there; both were last offered at once.
    pub(super) fn ratio(&self, other: &Tally) -> f64 {
        if other.offered > 0.0 { self.offered / other.offered } else { 0.0 }
    }

    /// Returns the share of the amount that was admitted.
    pub(super) fn served_share(&self) -> f64 {
        if self.offered > 0.0 { self.admitted / self.offered } else { 1.0 }
    }
}
