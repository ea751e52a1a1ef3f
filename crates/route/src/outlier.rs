//! Health of a target: ejection after failures or when it has become slow, and the way back.

use std::time::Duration;

/// Doublings of the ejection time at most.
const MOST_DOUBLINGS: u32 = 5;
/// Failed plain calls in a row that eject.
const FAILURES_IN_A_ROW: u32 = 5;
/// Weight of a new sample in the recent slowness.
const RECENT_WEIGHT: f64 = 0.2;
/// Weight of a new sample in the usual slowness.
const USUAL_WEIGHT: f64 = 0.005;
/// Samples before slowness is judged.
const LEAST_SAMPLES: u32 = 24;
/// A stream still moving this long after an ejection shows that nothing had failed.
const GRACE: Duration = Duration::from_millis(50);
/// Recent over usual slowness that ejects.
const SLOW_FACTOR: f64 = 2.5;

/// Health of one target.
#[derive(Clone, Debug, Default)]
pub(crate) struct Health {
    ejected: Option<Ejection>,
    strikes: u32,
    failures: u32,
    recent: f64,
    usual: f64,
    samples: u32,
    /// Last sign of life of a stream through the target.
    alive: Duration,
    /// Requests that stalled on the target since it last showed life.
    stalls: u32,
}

#[derive(Clone, Copy, Debug)]
struct Ejection {
    cause: Cause,
    since: Duration,
    until: Duration,
    probing: bool,
}

/// Why a target is left out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Cause {
    /// A connection or stream broke, or nothing came any more.
    Failed,
    /// It has become slow.
    Slow,
    /// Membership says that it is lost.
    Lost,
}

/// Whether a target may be given work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Admission {
    /// It may.
    Open,
    /// One attempt may try it.
    Probe,
    /// It may not.
    Closed,
}

impl Health {
    /// Whether the target may be given work now.
    pub(crate) fn admission(&self, now: Duration) -> Admission {
        match self.ejected {
            None => Admission::Open,
            Some(ejection) if now >= ejection.until && !ejection.probing => Admission::Probe,
            Some(_) => Admission::Closed,
        }
    }

    /// Whether the target is left out of the plans.
    pub(crate) fn is_out(&self, now: Duration) -> bool {
        self.ejected.is_some_and(|ejection| now < ejection.until)
    }

    /// Why the target is left out or on probation.
    pub(crate) fn cause(&self) -> Option<Cause> {
        self.ejected.map(|ejection| ejection.cause)
    }

    /// Time from which an ejected target may be probed.
    pub(crate) fn probe_at(&self) -> Option<Duration> {
        self.ejected.filter(|ejection| !ejection.probing).map(|ejection| ejection.until)
    }

    /// Leaves the target out; each time twice as long as the time before. False if it was
    /// left out already.
    pub(crate) fn eject(&mut self, now: Duration, base: Duration, cause: Cause) -> bool {
        if self.ejected.is_some_and(|ejection| now < ejection.until) {
            return false;
        }
        let until = now + base * 2u32.pow(self.strikes.min(MOST_DOUBLINGS));
        self.ejected = Some(Ejection { cause, since: now, until, probing: false });
        self.strikes += 1;
        self.failures = 0;
        true
    }

    /// Notes that one attempt tries the ejected target.
    pub(crate) fn probe(&mut self) {
        if let Some(ejection) = &mut self.ejected {
            ejection.probing = true;
        }
    }

    /// The trying attempt ended without a word on the target; another may try.
    pub(crate) fn probe_over(&mut self) {
        if let Some(ejection) = &mut self.ejected {
            ejection.probing = false;
        }
    }

    /// A stream through the target, sent at `sent`, moved; true if that brings it back.
    #[must_use]
    pub(crate) fn works(&mut self, now: Duration, sent: Duration) -> bool {
        self.alive = now;
        self.failures = 0;
        self.stalls = 0;
        let Some(ejection) = self.ejected else { return false };
        let probed = ejection.probing && sent >= ejection.since;
        let denied = ejection.cause == Cause::Failed
            && sent < ejection.since
            && now > ejection.since + GRACE;
        if probed || denied {
            self.ejected = None;
            self.recent = self.usual;
        }
        probed || denied
    }

    /// A stream stalled and the target may be the cause; returns how many did.
    pub(crate) fn stalled(&mut self) -> u32 {
        self.stalls += 1;
        self.stalls
    }

    /// Another target was found to be the slow one: slowness is judged anew.
    pub(crate) fn forgive(&mut self) {
        self.recent = self.usual;
    }

    /// A request completed through the target: old strikes count less.
    pub(crate) fn succeeded(&mut self) {
        self.strikes = self.strikes.saturating_sub(1);
    }

    /// A plain call failed; true if that is one too many.
    pub(crate) fn failed(&mut self) -> bool {
        self.failures += 1;
        self.failures >= FAILURES_IN_A_ROW
    }

    /// Last sign of life of a stream through the target.
    pub(crate) fn alive(&self) -> Duration {
        self.alive
    }

    /// Takes in a gap between tokens as a multiple of the model's mean gap.
    pub(crate) fn pace(&mut self, ratio: f64) {
        if self.samples == 0 && self.usual == 0.0 {
            self.usual = ratio;
            self.recent = ratio;
        }
        self.samples = self.samples.saturating_add(1);
        self.recent += RECENT_WEIGHT * (ratio - self.recent);
        let weight = if self.samples < LEAST_SAMPLES { RECENT_WEIGHT } else { USUAL_WEIGHT };
        self.usual += weight * (ratio - self.usual);
    }

    /// How much slower than usual the target has become, when it is too much.
    pub(crate) fn slowness(&self) -> Option<f64> {
        let factor = self.recent / self.usual.max(f64::MIN_POSITIVE);
        (self.samples >= LEAST_SAMPLES && factor > SLOW_FACTOR).then_some(factor)
    }

    /// Recent gap between tokens over the usual one, at least 1.
    pub(crate) fn factor(&self) -> f64 {
        if self.samples < LEAST_SAMPLES || self.usual <= 0.0 {
            return 1.0;
        }
        (self.recent / self.usual).max(1.0)
    }
}
