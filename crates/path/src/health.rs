//! What was seen of a target since it registered.

use std::fmt;
use std::time::Duration;

/// First pause before a target that failed is probed: one that hangs answers probes all the
/// while.
const FIRST_PROBE: Duration = Duration::from_millis(300);
/// First pause before a target that only gave no report in time is probed: where links lose
/// packets, most of those are well.
const FIRST_MUTE_PROBE: Duration = Duration::from_millis(50);
/// Probes in a row without an answer after which a target counts as lost.
const LOST_PROBES: u32 = 2;
/// Longest pause between probes.
const MOST_PROBE: Duration = Duration::from_secs(2);
/// First pause after a target said that it cannot take more.
const FULL_PAUSE: Duration = Duration::from_millis(150);
/// Longest such pause, when it says so each time that it is used again: it may be leaving,
/// unknown to this node while the store is away.
const MOST_FULL_PAUSE: Duration = Duration::from_millis(2400);
/// A target that refuses within this time of its pause has refused again.
const AGAIN: Duration = Duration::from_millis(300);
/// How long the answer to a probe goes before what other nodes say.
const TRUST: Duration = Duration::from_secs(1);
/// Weight of the newest call in the failure rate.
const RATE_WEIGHT: f64 = 0.15;

/// What went wrong at a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// It does not answer, or refuses connections.
    Unresponsive,
    /// It gave no report in time.
    ReportTimeout,
    /// Another node saw it fail.
    Reported,
    /// It gave another node no report in time.
    ReportedTimeout,
    /// It does not hold the layers that it was asked for, or is another one.
    WrongTarget,
    /// It cannot take more for now.
    Full,
    /// It could not take more from another node.
    ReportedFull,
    /// A call failed.
    Failed,
}

impl fmt::Display for Fault {
    /// Writes the name that log lines have for the fault.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Fault::Unresponsive => "Silent",
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

/// Whether a target can be used.
#[derive(Clone, Debug, Default)]
pub struct Health {
    /// Set while the target is left out until a probe shows that it is well.
    down: Option<Down>,
    /// Not before this time, after it was full.
    paused: Duration,
    /// Length of that pause.
    pause: Duration,
    /// Whether this node itself was refused.
    pause_own: bool,
    /// Share of calls that failed, newest first.
    rate: f64,
    /// Until when other nodes' word is older than the probe that was answered here.
    trusted: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Down {
    since: Duration,
    probe_at: Duration,
    pause: Duration,
    /// Whether this node saw it fail itself.
    own: bool,
    /// Whether it only gave no report in time.
    mute: bool,
    /// Probes without an answer.
    unanswered: u32,
}

impl Health {
    /// Whether requests may be sent.
    pub fn is_usable(&self, now: Duration) -> bool {
        self.down.is_none() && self.paused <= now
    }

    /// Whether the target is left out.
    pub fn is_down(&self) -> bool {
        self.down.is_some()
    }

    /// How long the target has been left out.
    pub fn time_down(&self, now: Duration) -> Option<Duration> {
        self.down.map(|down| now.saturating_sub(down.since))
    }

    /// Share of calls that failed, 0 to 1.
    pub fn failure_rate(&self) -> f64 {
        self.rate
    }

    /// Notes a fault; returns whether the target is newly left out.
    pub fn record_fault(&mut self, now: Duration, fault: Fault) -> bool {
        match fault {
            Fault::Full => self.pause(now, true),
            Fault::ReportedFull => self.pause(now, false),
            Fault::Failed => self.rate += RATE_WEIGHT * (1.0 - self.rate),
            Fault::Unresponsive | Fault::WrongTarget => {
                self.rate += RATE_WEIGHT * (1.0 - self.rate);
                return self.leave_out(now, true, false);
            }
            Fault::ReportTimeout => return self.leave_out(now, true, true),
            Fault::Reported | Fault::ReportedTimeout if now < self.trusted => return false,
            Fault::Reported => return self.leave_out(now, false, false),
            Fault::ReportedTimeout => return self.leave_out(now, false, true),
        }
        false
    }

    /// Pauses a target that is full. Refusals of what was sent before the pause are one with
    /// it.
    fn pause(&mut self, now: Duration, own: bool) {
        if now < self.paused {
            return;
        }
        self.pause_own = own;
        let again = !self.pause.is_zero() && now < self.paused + AGAIN;
        self.pause = if again { (self.pause * 2).min(MOST_FULL_PAUSE) } else { FULL_PAUSE };
        self.paused = now + self.pause;
    }

    /// How long the target gets nothing because it refused.
    pub fn pause_remaining(&self, now: Duration) -> Option<Duration> {
        self.paused.checked_sub(now).filter(|left| !left.is_zero())
    }

    /// How long ago this node was refused, while the target is paused for that.
    pub fn time_since_refusal(&self, now: Duration) -> Option<Duration> {
        let is_on = self.pause_own && now < self.paused;
        is_on.then(|| (now + self.pause).saturating_sub(self.paused))
    }

    fn leave_out(&mut self, now: Duration, own: bool, mute: bool) -> bool {
        if let Some(down) = &mut self.down {
            down.own |= own;
            down.mute &= mute;
            return false;
        }
        let pause = if mute { FIRST_MUTE_PROBE } else { FIRST_PROBE };
        let down = Down { since: now, probe_at: now + pause, pause, own, mute, unanswered: 0 };
        self.down = Some(down);
        true
    }

    /// Whether all that is known against the target is that it gave no report in time.
    pub fn is_report_timeout_only(&self) -> bool {
        self.down.is_some_and(|down| down.mute)
    }

    /// Notes that a probe sent at `asked` had no answer. One that was sent before the target
    /// was last left out tells nothing of it now.
    pub fn record_unanswered_probe(&mut self, asked: Duration) {
        if let Some(down) = self.down.as_mut().filter(|down| down.since <= asked) {
            down.unanswered += 1;
        }
    }

    /// Whether the target is gone, as far as this node can tell: it does not answer probes
    /// either. That it is left out alone may be the fault of a link.
    pub fn is_lost(&self) -> bool {
        self.down.is_some_and(|down| down.unanswered >= LOST_PROBES)
    }

    /// Whether this node itself saw the fault for which the target is left out.
    pub fn is_locally_observed(&self) -> bool {
        self.down.is_some_and(|down| down.own)
    }

    /// Notes an answer that was as it should be.
    pub fn record_success(&mut self) {
        self.rate -= RATE_WEIGHT * self.rate;
    }

    /// Notes that a probe was answered; the target is used again. Returns whether it was
    /// left out.
    pub fn restore(&mut self, now: Duration) -> bool {
        self.trusted = now + TRUST;
        self.down.take().is_some()
    }

    /// Whether a probe is due; the next is due after a longer pause.
    pub fn poll_probe(&mut self, now: Duration) -> bool {
        match &mut self.down {
            Some(down) if down.probe_at <= now => {
                down.pause = (down.pause * 2).min(MOST_PROBE);
                down.probe_at = now + down.pause;
                true
            }
            _ => false,
        }
    }
}
