//! Trials of quarantined parts of prompts: single requests that show whether a part still crashes
//! targets.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::Fingerprint;

/// Time from the quarantine of a part to its first trial. By then the engines that it crashed have
/// usually loaded their layers again.
const FIRST_DELAY: Duration = Duration::from_secs(30);
/// Factor between the delays of successive trials: each trial of a part that still crashes targets
/// costs one.
const DELAY_FACTOR: u32 = 4;
/// Maximum delay before a trial.
const MAX_DELAY: Duration = Duration::from_secs(24 * 3600);

#[derive(Clone, Copy, Debug)]
struct Trial {
    /// Number of trials so far.
    number: u32,
    due_at: Duration,
    /// Whether one request may run now.
    permitted: bool,
}

/// Trials of all quarantined parts.
#[derive(Clone, Debug, Default)]
pub struct Trials {
    parts: BTreeMap<Fingerprint, Trial>,
}

impl Trials {
    /// Schedules the next trial of a part that was tried `number` times. An earlier schedule stays
    /// if it knows as many trials.
    pub fn schedule(&mut self, part: Fingerprint, number: u32, now: Duration) {
        if self.parts.get(&part).is_some_and(|known| known.number >= number) {
            return;
        }
        let due_at = now + Self::delay(number);
        let permitted = self.parts.get(&part).is_some_and(|known| known.permitted);
        self.parts.insert(part, Trial { number, due_at, permitted });
    }

    /// Returns the delay before the next trial of a part that was tried `number` times.
    pub fn delay(number: u32) -> Duration {
        FIRST_DELAY.saturating_mul(DELAY_FACTOR.saturating_pow(number)).min(MAX_DELAY)
    }

    /// Returns the number of trials of a part so far; `None` if no trial is scheduled.
    pub fn number(&self, part: Fingerprint) -> Option<u32> {
        self.parts.get(&part).map(|trial| trial.number)
    }

    /// Returns the time until the next trial of a part is due; `None` if none is scheduled.
    pub fn time_left(&self, part: Fingerprint, now: Duration) -> Option<Duration> {
        self.parts.get(&part).map(|trial| trial.due_at.saturating_sub(now))
    }

    /// Permits one request with a part to run.
    pub fn permit(&mut self, part: Fingerprint) {
        if let Some(trial) = self.parts.get_mut(&part) {
            trial.permitted = true;
        }
    }

    /// Returns whether one request with a part may run.
    pub fn is_permitted(&self, part: Fingerprint) -> bool {
        self.parts.get(&part).is_some_and(|trial| trial.permitted)
    }

    /// Takes the permission to run one request with a part. Returns whether there was one.
    pub fn take_permission(&mut self, part: Fingerprint) -> bool {
        let trial = self.parts.get_mut(&part);
        trial.is_some_and(|trial| std::mem::take(&mut trial.permitted))
    }

    /// Removes a part that is no longer quarantined.
    pub fn remove(&mut self, part: Fingerprint) {
        self.parts.remove(&part);
    }
}
