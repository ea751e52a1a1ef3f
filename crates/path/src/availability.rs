//! What a target has announced to this VM: that it drains, or that it wants no requests for a time.

use std::time::Duration;

/// Longest back-off that a target is granted.
const MAX_BACKOFF: Duration = Duration::from_secs(600);
/// Time after which another request may be sent while the first one after a back-off has not been
/// accepted.
const TRIAL_TIMEOUT: Duration = Duration::from_millis(500);

/// Announcements of one process start of a target. Only a restart of the target resets them:
/// reports, store entries, probes and messages from other VMs do not.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Availability {
    /// Whether the target has announced that it drains.
    draining: bool,
    /// End of the back-off.
    backoff_until: Duration,
    trial: Trial,
}

/// State of the first request after a back-off.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Trial {
    /// No trial request is needed.
    #[default]
    None,
    /// The trial request has not been sent yet.
    Due,
    /// The trial request was sent at this time.
    Sent(Duration),
}

impl Availability {
    /// Returns whether requests may be sent.
    pub fn is_usable(&self, now: Duration) -> bool {
        let trial_over = match self.trial {
            Trial::Sent(at) => now >= at + TRIAL_TIMEOUT,
            Trial::None | Trial::Due => true,
        };
        !self.draining && !self.is_backing_off(now) && trial_over
    }

    /// Returns whether the target has announced that it drains.
    pub fn is_draining(&self) -> bool {
        self.draining
    }

    /// Returns whether the target is backing off. It is then sent no probe and no report request
    /// either.
    pub fn is_backing_off(&self, now: Duration) -> bool {
        now < self.backoff_until
    }

    /// Returns the time left until the back-off ends.
    pub fn backoff_remaining(&self, now: Duration) -> Option<Duration> {
        self.backoff_until.checked_sub(now).filter(|left| !left.is_zero())
    }

    /// Returns whether the target drains or backs off.
    pub fn is_restricted(&self, now: Duration) -> bool {
        self.draining || self.is_backing_off(now)
    }

    /// Records that the target drains. Returns whether this was not known before.
    pub fn mark_draining(&mut self) -> bool {
        !std::mem::replace(&mut self.draining, true)
    }

    /// Records a requested back-off. A shorter request does not end an earlier back-off. Returns
    /// whether the back-off became longer.
    pub fn back_off(&mut self, now: Duration, pause: Duration) -> bool {
        let until = now + pause.min(MAX_BACKOFF);
        let is_longer = until > self.backoff_until && until > now;
        if is_longer {
            self.backoff_until = until;
            self.trial = Trial::Due;
        }
        is_longer
    }

    /// Records that a request is sent.
    pub fn request_sent(&mut self, now: Duration) {
        if self.trial != Trial::None {
            self.trial = Trial::Sent(now);
        }
    }

    /// Records that the target has accepted a request.
    pub fn request_accepted(&mut self, now: Duration) {
        if !self.is_backing_off(now) {
            self.trial = Trial::None;
        }
    }
}
