//! What a target has said that it wants, to this VM itself.

use std::time::Duration;

/// Longest pause that a target is granted.
const MOST_BACKOFF: Duration = Duration::from_secs(600);
/// How long the first request after a pause may take before another one is tried.
const TRIAL_TIME: Duration = Duration::from_millis(500);

/// Availability of one start of a target. Nothing but another start of it takes them away: no report,
/// no entry in the store, no probe and no word of another VM.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Availability {
    /// It said that it leaves.
    draining: bool,
    /// Until when it wants nothing.
    backoff: Duration,
    trial: Trial,
}

/// The first request after a pause.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Trial {
    /// None is needed.
    #[default]
    None,
    /// It is to be sent.
    Due,
    /// It was sent then.
    Sent(Duration),
}

impl Availability {
    /// Whether requests may be sent.
    pub fn is_usable(&self, now: Duration) -> bool {
        let tried = match self.trial {
            Trial::Sent(at) => now >= at + TRIAL_TIME,
            Trial::None | Trial::Due => true,
        };
        !self.draining && !self.is_backing_off(now) && tried
    }

    /// Whether the target said that it leaves.
    pub fn is_draining(&self) -> bool {
        self.draining
    }

    /// Whether the target wants nothing now, not even a question.
    pub fn is_backing_off(&self, now: Duration) -> bool {
        now < self.backoff
    }

    /// How long the target still wants nothing.
    pub fn backoff_remaining(&self, now: Duration) -> Option<Duration> {
        self.backoff.checked_sub(now).filter(|left| !left.is_zero())
    }

    /// Whether there is anything to remember.
    pub fn is_restricted(&self, now: Duration) -> bool {
        self.draining || self.is_backing_off(now)
    }

    /// Notes that the target leaves; returns whether that is news.
    pub fn mark_draining(&mut self) -> bool {
        !std::mem::replace(&mut self.draining, true)
    }

    /// Notes that the target wants nothing for a time; a shorter one does not end the pause that
    /// it asked for before. Returns whether the pause has grown.
    pub fn back_off(&mut self, now: Duration, pause: Duration) -> bool {
        let until = now + pause.min(MOST_BACKOFF);
        let grows = until > self.backoff && until > now;
        if grows {
            self.backoff = until;
            self.trial = Trial::Due;
        }
        grows
    }

    /// Notes that a request is sent.
    pub fn request_sent(&mut self, now: Duration) {
        if self.trial != Trial::None {
            self.trial = Trial::Sent(now);
        }
    }

    /// Notes that the target has taken a request.
    pub fn request_accepted(&mut self, now: Duration) {
        if !self.is_backing_off(now) {
            self.trial = Trial::None;
        }
    }
}
