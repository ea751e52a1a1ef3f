//! Health of a target, as observed since it registered.

use std::fmt;
use std::time::Duration;

/// Delay before the first probe of a failed target. A target that hangs answers probes
/// nevertheless.
const FIRST_PROBE_DELAY: Duration = Duration::from_millis(300);
/// Delay before the first probe of a target that a probe decides on: one that has only missed a
/// report, on links that lose packets, is mostly healthy, and one that refuses connections has mostly
/// ended.
const EARLY_PROBE_DELAY: Duration = Duration::from_millis(50);
/// Consecutive unanswered probes after which a target counts as unresponsive.
const MAX_UNANSWERED_PROBES: u32 = 2;
/// Time after which an unanswered probe shows that an unresponsive target is lost. A sound target
/// may be silent for more than a second.
const LOSS_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum delay between probes.
const MAX_PROBE_DELAY: Duration = Duration::from_secs(2);
/// First pause after a target has refused a request because it is full.
const FIRST_FULL_PAUSE: Duration = Duration::from_millis(150);
/// Maximum pause of a target that refuses again each time it is used. It may be draining without
/// this VM knowing, while the store is unavailable.
const MAX_FULL_PAUSE: Duration = Duration::from_millis(2400);
/// A refusal within this time after a pause counts as repeated, and doubles the next pause.
const REPEAT_WINDOW: Duration = Duration::from_millis(300);
/// Time after an answered probe during which faults reported by other VMs are ignored.
const PROBE_VALIDITY: Duration = Duration::from_secs(1);
/// Weight of the latest call in the failure rate.
const FAILURE_RATE_WEIGHT: f64 = 0.15;

/// A fault of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The target does not answer.
    Unresponsive,
    /// The target refuses connections: no process listens there any more.
    Refused,
    /// The target did not report in time.
    ReportTimeout,
    /// Another VM saw the target fail.
    Reported,
    /// The target did not report to another VM in time.
    ReportedTimeout,
    /// The target does not hold the requested layers, or is not the expected target.
    WrongTarget,
    /// The target refused a request because it is full.
    Full,
    /// The target refused a request of another VM because it is full.
    ReportedFull,
    /// A call failed.
    Failed,
}

impl fmt::Display for Fault {
    /// Writes the name of the fault in log lines.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Fault::Unresponsive => "Silent",
            Fault::Refused => "Refused",
            Fault::ReportTimeout => "Mute",
            Fault::Reported => "Reported",
            Fault::ReportedTimeout => "ReportedMute",
            Fault::WrongTarget => "Astray",
            Fault::Full => "Full",
            Fault::ReportedFull => "ReportedFull",
            Fault::Failed => "Failed",
        })
    }
}

/// Why a probe of a target was not answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeFailure {
    /// The target did not answer in time, or not with a report.
    Timeout,
    /// The target refused the connection: no process listens there any more.
    Refused,
}

/// Health of one target.
#[derive(Clone, Debug, Default)]
pub struct Health {
    /// Set while the target is out of use, until it answers a probe or reports.
    down: Option<Down>,
    /// End of the pause after a refusal.
    paused_until: Duration,
    /// Length of that pause.
    pause: Duration,
    /// Whether this VM itself was refused.
    refused_locally: bool,
    /// Fraction of failed calls, as a moving average.
    failure_rate: f64,
    /// Time until which faults reported by other VMs are older than the probe that was answered
    /// here.
    peer_faults_ignored_until: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Down {
    since: Duration,
    /// Time since which nothing has come from the target, as far as this VM could have received it.
    silent_since: Duration,
    probe_at: Duration,
    pause: Duration,
    /// Whether this VM has observed the fault itself.
    local: bool,
    /// Whether missed reports are the only faults.
    report_timeout_only: bool,
    /// Number of unanswered probes.
    unanswered_probes: u32,
    /// Whether an unanswered probe shows that the target is lost.
    lost: bool,
    /// Whether the target has refused a connection.
    refused: bool,
}

impl Down {
    fn is_unresponsive(&self) -> bool {
        self.unanswered_probes >= MAX_UNANSWERED_PROBES
    }
}

impl Health {
    /// Returns whether requests may be sent.
    pub fn is_usable(&self, now: Duration) -> bool {
        self.down.is_none() && self.paused_until <= now
    }

    /// Returns whether the target is out of use.
    pub fn is_down(&self) -> bool {
        self.down.is_some()
    }

    /// Returns the time since the target was taken out of use.
    pub fn time_down(&self, now: Duration) -> Option<Duration> {
        self.down.map(|down| now.saturating_sub(down.since))
    }

    /// Returns the fraction of failed calls, 0 to 1.
    pub fn failure_rate(&self) -> f64 {
        self.failure_rate
    }

    /// Records a fault. Returns whether the target was in use until now and is out of use from now
    /// on.
    pub fn record_fault(&mut self, now: Duration, fault: Fault) -> bool {
        match fault {
            Fault::Full => self.pause(now, true),
            Fault::ReportedFull => self.pause(now, false),
            Fault::Failed => self.failure_rate += FAILURE_RATE_WEIGHT * (1.0 - self.failure_rate),
            Fault::Unresponsive | Fault::Refused | Fault::WrongTarget => {
                self.failure_rate += FAILURE_RATE_WEIGHT * (1.0 - self.failure_rate);
                return self.mark_down(now, fault);
            }
            Fault::ReportTimeout => return self.mark_down(now, fault),
            Fault::Reported | Fault::ReportedTimeout if now < self.peer_faults_ignored_until => {
                return false;
            }
            Fault::Reported | Fault::ReportedTimeout => return self.mark_down(now, fault),
        }
        false
    }

    /// Pauses a full target. Refusals during a pause belong to requests sent before it, and do not
    /// extend it.
    fn pause(&mut self, now: Duration, local: bool) {
        if now < self.paused_until {
            return;
        }
        self.refused_locally = local;
        let is_repeated = !self.pause.is_zero() && now < self.paused_until + REPEAT_WINDOW;
        self.pause =
            if is_repeated { (self.pause * 2).min(MAX_FULL_PAUSE) } else { FIRST_FULL_PAUSE };
        self.paused_until = now + self.pause;
    }

    /// Returns the time left in the pause after a refusal.
    pub fn pause_remaining(&self, now: Duration) -> Option<Duration> {
        self.paused_until.checked_sub(now).filter(|left| !left.is_zero())
    }

    /// Returns the time since this VM was refused, while the target is paused for that refusal.
    pub fn time_since_refusal(&self, now: Duration) -> Option<Duration> {
        let is_active = self.refused_locally && now < self.paused_until;
        is_active.then(|| (now + self.pause).saturating_sub(self.paused_until))
    }

    fn mark_down(&mut self, now: Duration, fault: Fault) -> bool {
        let local = !matches!(fault, Fault::Reported | Fault::ReportedTimeout);
        let report_timeout_only = matches!(fault, Fault::ReportTimeout | Fault::ReportedTimeout);
        if let Some(down) = &mut self.down {
            down.local |= local;
            down.report_timeout_only &= report_timeout_only;
            down.refused |= fault == Fault::Refused;
            return false;
        }
        let is_early = report_timeout_only || fault == Fault::Refused;
        let pause = if is_early { EARLY_PROBE_DELAY } else { FIRST_PROBE_DELAY };
        let down = Down {
            since: now,
            silent_since: now,
            probe_at: now + pause,
            pause,
            local,
            report_timeout_only,
            unanswered_probes: 0,
            lost: false,
            refused: fault == Fault::Refused,
        };
        self.down = Some(down);
        true
    }

    /// Returns whether the target is out of use only for missed reports.
    pub fn is_report_timeout_only(&self) -> bool {
        self.down.is_some_and(|down| down.report_timeout_only)
    }

    /// Records that the probe sent at `sent_at` was not answered. Returns whether this shows for the
    /// first time that the target is lost. Ignores probes sent before the target was last taken out
    /// of use, as they say nothing about the present fault.
    pub fn record_unanswered_probe(&mut self, sent_at: Duration, failure: ProbeFailure) -> bool {
        let Some(down) = self.down.as_mut().filter(|down| down.since <= sent_at) else {
            return false;
        };
        down.unanswered_probes += 1;
        down.refused |= failure == ProbeFailure::Refused;
        let silent_for = sent_at.checked_sub(down.silent_since);
        let shows_loss = silent_for.is_some_and(|silent_for| {
            failure == ProbeFailure::Refused || silent_for >= LOSS_TIMEOUT
        });
        let was_lost = down.lost;
        down.lost = down.is_unresponsive() && shows_loss;
        down.lost && !was_lost
    }

    /// Returns the number of probes that were not answered since the target was taken out of use.
    pub fn unanswered_probes(&self) -> u32 {
        self.down.map_or(0, |down| down.unanswered_probes)
    }

    /// Returns whether the target leaves probes unanswered as well. A single fault may be that of a
    /// link. The target may have ended, or be silent for a while and go on.
    pub fn is_unresponsive(&self) -> bool {
        self.down.is_some_and(|down| down.is_unresponsive())
    }

    /// Returns whether the target must have ended or been cut off: it refuses connections, or has
    /// been silent for longer than a sound target is.
    pub fn is_lost(&self) -> bool {
        self.down.is_some_and(|down| down.lost)
    }

    /// Records that something came from the target, if not an answer to a probe, or that this VM
    /// could receive nothing until now: the target is not lost by what was observed so far.
    pub fn end_silence(&mut self, now: Duration) {
        if let Some(down) = &mut self.down {
            down.silent_since = now;
            down.lost = false;
        }
    }

    /// Returns whether nothing has come from a target out of use for longer than a sound one is
    /// silent.
    pub fn is_silent(&self, now: Duration) -> bool {
        self.down.is_some_and(|down| now.saturating_sub(down.silent_since) >= LOSS_TIMEOUT)
    }

    /// Returns whether a target out of use is presumed to have ended: it has refused a connection, or
    /// nothing has come from it for `silence`.
    pub fn is_presumed_ended(&self, now: Duration, silence: Duration) -> bool {
        let is_silent = |down: Down| now.saturating_sub(down.silent_since) >= silence;
        self.down.is_some_and(|down| down.refused || down.lost || is_silent(down))
    }

    /// Returns whether a target out of use may be sound: it has refused no connection, and has been
    /// silent for no longer than a sound one is.
    pub fn may_be_silent(&self, now: Duration) -> bool {
        self.down.is_some_and(|down| !down.refused && !down.lost) && !self.is_silent(now)
    }

    /// Returns whether this VM itself observed the fault for which the target is out of use.
    pub fn is_locally_observed(&self) -> bool {
        self.down.is_some_and(|down| down.local)
    }

    /// Records a correct answer.
    pub fn record_success(&mut self) {
        self.failure_rate -= FAILURE_RATE_WEIGHT * self.failure_rate;
    }

    /// Returns the target to use after it answered a probe. Returns whether it was out of use.
    pub fn restore(&mut self, now: Duration) -> bool {
        self.peer_faults_ignored_until = now + PROBE_VALIDITY;
        self.down.take().is_some()
    }

    /// Makes a probe due at once, if the target is out of use.
    pub fn probe_at_once(&mut self, now: Duration) {
        if let Some(down) = &mut self.down {
            down.probe_at = now;
        }
    }

    /// Makes a probe due within `delay`, if the target is out of use.
    pub fn probe_within(&mut self, now: Duration, delay: Duration) {
        if let Some(down) = &mut self.down {
            down.probe_at = down.probe_at.min(now + delay);
        }
    }

    /// Returns whether a probe is due, and if so schedules the next one after a longer delay.
    pub fn poll_probe(&mut self, now: Duration) -> bool {
        match &mut self.down {
            Some(down) if down.probe_at <= now => {
                down.pause = (down.pause * 2).min(MAX_PROBE_DELAY);
                down.probe_at = now + down.pause;
                true
            }
            _ => false,
        }
    }
}
