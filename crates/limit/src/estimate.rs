//! Estimates for a class of requests.

use std::time::Duration;

use crate::rate::Mean;
use crate::{Settings, Tolerance};

/// Service times and wait tolerance estimated for a class of requests.
#[derive(Clone, Debug, Default)]
pub struct Estimate {
    /// Time from admission to the end, in seconds, for which a slot is held.
    hold: Mean,
    /// Time from admission to the first token, in seconds.
    first_token: Mean,
    /// Wait tolerance of the callers.
    pub tolerance: Tolerance,
    /// Time of the last use; the least recently used class is evicted.
    pub(crate) used: Duration,
}

impl Estimate {
    /// Records that the answer began `after` admission.
    pub fn started(&mut self, after: Duration) {
        self.first_token.add(after.as_secs_f64());
    }

    /// Records that the slot was held for `held`.
    pub fn finished(&mut self, held: Duration) {
        self.hold.add(held.as_secs_f64());
    }

    /// Whether no request of the class has completed yet, so that [`Settings::hold`] applies.
    pub fn is_assumed(&self) -> bool {
        self.hold.get().is_none()
    }

    /// Returns the predicted time for which a slot is held, in seconds.
    pub fn hold_seconds(&self, settings: &Settings) -> f64 {
        self.hold.get().unwrap_or(settings.hold.as_secs_f64()).max(0.001)
    }

    /// Returns the predicted time from admission to the first token of a streamed answer or
    /// to the end of a whole one, in seconds; 0 until one is measured.
    pub fn response_seconds(&self, stream: bool) -> f64 {
        if stream {
            return self.first_token.get().unwrap_or(0.0);
        }
        self.hold.get().unwrap_or(0.0)
    }

    /// Returns the estimated wait tolerance, or the one from `settings` until there is one.
    pub fn tolerance(&self, stream: bool, settings: &Settings) -> Duration {
        let assumed = if stream { settings.stream_tolerance } else { settings.whole_tolerance };
        self.tolerance.estimate().unwrap_or(assumed)
    }
}
