//! Health of a target: ejection after failures or when it has become slow, and its return.

use std::time::Duration;

/// Maximum number of times that the ejection time is doubled.
const MAX_BACKOFF_DOUBLINGS: u32 = 5;
/// Consecutive failed plain calls that eject a target.
const MAX_CONSECUTIVE_FAILURES: u32 = 5;
/// Weight of a new sample in the recent gap ratio.
const RECENT_WEIGHT: f64 = 0.2;
/// Weight of a new sample in the baseline gap ratio.
const BASELINE_WEIGHT: f64 = 0.005;
/// Minimum number of samples before slowness is assessed.
const MIN_SAMPLES: u32 = 24;
/// Progress of an older stream this long after an ejection shows that the target had not failed.
const PROGRESS_GRACE: Duration = Duration::from_millis(50);
/// Ratio of recent to baseline gap ratio that ejects a target.
const SLOW_FACTOR: f64 = 2.5;

/// Health of one target.
#[derive(Clone, Debug, Default)]
pub(crate) struct Health {
    ejected: Option<Ejection>,
    backoff_exponent: u32,
    failures: u32,
    recent: f64,
    baseline: f64,
    samples: u32,
    /// Time of the last progress of a stream through the target.
    last_progress: Duration,
    /// Stalls at the target since its last progress.
    stalls: u32,
}

#[derive(Clone, Copy, Debug)]
struct Ejection {
    cause: Cause,
    since: Duration,
    until: Duration,
    probing: bool,
}

/// Why a target is ejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Cause {
    /// A connection or stream broke, or no token arrived in time.
    Failed,
    /// The target has become slow.
    Slow,
    /// Membership reports the target as lost.
    Lost,
}

/// Whether a target may be given work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Admission {
    /// Any work.
    Open,
    /// One attempt as a probe.
    Probe,
    /// No work.
    Closed,
}

impl Health {
    /// Returns whether the target may be given work now.
    pub(crate) fn admission(&self, now: Duration) -> Admission {
        match self.ejected {
            None => Admission::Open,
            Some(ejection) if now >= ejection.until && !ejection.probing => Admission::Probe,
            Some(_) => Admission::Closed,
        }
    }

    /// Returns whether the target is excluded from the plans.
    pub(crate) fn is_ejected(&self, now: Duration) -> bool {
        self.ejected.is_some_and(|ejection| now < ejection.until)
    }

    /// Returns why the target is ejected or awaits the result of a probe.
    pub(crate) fn cause(&self) -> Option<Cause> {
        self.ejected.map(|ejection| ejection.cause)
    }

    /// Returns the time from which an ejected target may be probed.
    pub(crate) fn probe_at(&self) -> Option<Duration> {
        self.ejected.filter(|ejection| !ejection.probing).map(|ejection| ejection.until)
    }

    /// Ejects the target. Each repetition doubles the time, up to a maximum. Returns false if the
    /// target is ejected already.
    pub(crate) fn eject(&mut self, now: Duration, base: Duration, cause: Cause) -> bool {
        if self.ejected.is_some_and(|ejection| now < ejection.until) {
            return false;
        }
        let until = now + base * 2u32.pow(self.backoff_exponent.min(MAX_BACKOFF_DOUBLINGS));
        self.ejected = Some(Ejection { cause, since: now, until, probing: false });
        self.backoff_exponent += 1;
        self.failures = 0;
        true
    }

    /// Records that an attempt probes the ejected target.
    pub(crate) fn start_probe(&mut self) {
        if let Some(ejection) = &mut self.ejected {
            ejection.probing = true;
        }
    }

    /// The probing attempt ended without a result for the target, so another attempt may probe it.
    pub(crate) fn end_probe(&mut self) {
        if let Some(ejection) = &mut self.ejected {
            ejection.probing = false;
        }
    }

    /// Records progress of a stream sent through the target at `sent`. Returns whether that ends
    /// an ejection.
    #[must_use]
    pub(crate) fn record_progress(&mut self, now: Duration, sent: Duration) -> bool {
        self.last_progress = now;
        self.failures = 0;
        self.stalls = 0;
        let Some(ejection) = self.ejected else { return false };
        let probed = ejection.probing && sent >= ejection.since;
        let contradicted = ejection.cause == Cause::Failed
            && sent < ejection.since
            && now > ejection.since + PROGRESS_GRACE;
        if probed || contradicted {
            self.ejected = None;
            self.recent = self.baseline;
        }
        probed || contradicted
    }

    /// Records a stall that the target may have caused. Returns the stalls since its last
    /// progress.
    pub(crate) fn record_stall(&mut self) -> u32 {
        self.stalls += 1;
        self.stalls
    }

    /// Restarts the slowness assessment, because another target was found to be the slow one.
    pub(crate) fn reset_slowness(&mut self) {
        self.recent = self.baseline;
    }

    /// Records a completed request, which shortens the next ejection.
    pub(crate) fn record_success(&mut self) {
        self.backoff_exponent = self.backoff_exponent.saturating_sub(1);
    }

    /// Records a failed plain call. Returns whether the target is to be ejected for it.
    pub(crate) fn record_failure(&mut self) -> bool {
        self.failures += 1;
        self.failures >= MAX_CONSECUTIVE_FAILURES
    }

    /// Returns the time of the last progress of a stream through the target.
    pub(crate) fn last_progress(&self) -> Duration {
        self.last_progress
    }

    /// Records a gap between tokens as a multiple of the model's mean gap.
    pub(crate) fn record_gap_ratio(&mut self, ratio: f64) {
        if self.samples == 0 && self.baseline == 0.0 {
            self.baseline = ratio;
            self.recent = ratio;
        }
        self.samples = self.samples.saturating_add(1);
        self.recent += RECENT_WEIGHT * (ratio - self.recent);
        let weight = if self.samples < MIN_SAMPLES { RECENT_WEIGHT } else { BASELINE_WEIGHT };
        self.baseline += weight * (ratio - self.baseline);
    }

    /// Returns how much slower than its baseline the target has become, if that exceeds the limit.
    pub(crate) fn slowness(&self) -> Option<f64> {
        let factor = self.recent / self.baseline.max(f64::MIN_POSITIVE);
        (self.samples >= MIN_SAMPLES && factor > SLOW_FACTOR).then_some(factor)
    }

    /// Returns the ratio of the recent to the baseline gap ratio, at least 1.
    pub(crate) fn slowdown(&self) -> f64 {
        if self.samples < MIN_SAMPLES || self.baseline <= 0.0 {
            return 1.0;
        }
        (self.recent / self.baseline).max(1.0)
    }
}
