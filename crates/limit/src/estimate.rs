//! What is known of a class of requests.

use std::time::Duration;

use crate::rate::Mean;
use crate::{Patience, Settings};

/// Times and patience learned for a class of requests.
#[derive(Clone, Debug, Default)]
pub struct Estimate {
    /// From admission to the end, in seconds: how long a slot is held.
    hold: Mean,
    /// From admission to the first token, in seconds.
    start: Mean,
    /// How long its callers wait.
    pub patience: Patience,
    /// When it was last used, to forget the least recently used class.
    pub(crate) used: Duration,
}

impl Estimate {
    /// Notes that the answer began `after` admission.
    pub fn started(&mut self, after: Duration) {
        self.start.add(after.as_secs_f64());
    }

    /// Notes that the slot was held for `held`.
    pub fn finished(&mut self, held: Duration) {
        self.hold.add(held.as_secs_f64());
    }

    /// Whether no request of the class has ended yet, so that its hold is assumed.
    pub fn is_guess(&self) -> bool {
        self.hold.get().is_none()
    }

    /// Predicted time for which a slot is held, in seconds.
    pub fn hold_seconds(&self, settings: &Settings) -> f64 {
        self.hold.get().unwrap_or(settings.hold.as_secs_f64()).max(0.001)
    }

    /// Predicted time from admission to what the caller waits for: the first token of
    /// a streamed answer, the end of a whole one; in seconds.
    pub fn answer_seconds(&self, stream: bool) -> f64 {
        if stream {
            return self.start.get().unwrap_or(0.0);
        }
        self.hold.get().unwrap_or(0.0)
    }

    /// Learned or assumed patience.
    pub fn patience(&self, stream: bool, settings: &Settings) -> Duration {
        let assumed = if stream { settings.stream_patience } else { settings.whole_patience };
        self.patience.learned().unwrap_or(assumed)
    }
}
