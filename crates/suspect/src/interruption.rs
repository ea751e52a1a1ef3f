//! Attempts that ended without an answer, kept until it is known whether a target was lost.

use std::collections::VecDeque;
use std::time::Duration;

use fleet::TargetName;

use crate::Fingerprint;

/// Time after the end of an attempt during which the loss of one of its targets may still be
/// detected.
const DETECTION_WINDOW: Duration = Duration::from_secs(1);
/// Maximum attempts kept; the oldest are dropped first.
const MAX_ATTEMPTS: usize = 2048;

/// An attempt that ended without an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Interruption {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Fingerprints of the shared parts of its prompt, in the order of the prompt; empty once the
    /// request has run past the point at which requests crash targets.
    pub parts: Vec<Fingerprint>,
    /// Targets on the path of the attempt.
    pub targets: Vec<TargetName>,
    /// Time at which the attempt was sent.
    pub sent_at: Duration,
    /// Time at which the attempt ended.
    pub ended_at: Duration,
    /// Whether the attempt ended before any part of an answer arrived.
    pub before_output: bool,
}

/// Attempts that ended recently.
#[derive(Clone, Debug, Default)]
pub struct Interruptions {
    recent: VecDeque<Interruption>,
}

impl Interruptions {
    /// Adds an attempt of which no target is known to be lost yet.
    pub fn push(&mut self, interruption: Interruption) {
        if self.recent.len() == MAX_ATTEMPTS {
            self.recent.pop_front();
        }
        self.recent.push_back(interruption);
    }

    /// Drops attempts that ended too long ago.
    pub fn expire(&mut self, now: Duration) {
        self.recent.retain(|one| now.saturating_sub(one.ended_at) <= DETECTION_WINDOW);
    }

    /// Returns the time at which the latest attempt at a request ended, among those without a known
    /// lost target.
    pub fn last_ended(&self, fingerprint: Fingerprint) -> Option<Duration> {
        let own = self.recent.iter().rev().find(|one| one.fingerprint == fingerprint);
        own.map(|one| one.ended_at)
    }

    /// Removes and returns the attempts that the loss of a target, detected at `now`, can have
    /// ended. Each attempt counts for one loss only, and not for a loss detected before the attempt
    /// was sent.
    pub fn take_lost_with(&mut self, now: Duration, target: &str) -> Vec<Interruption> {
        self.expire(now);
        let ended = |one: &Interruption| {
            one.sent_at <= now && one.targets.iter().any(|name| name == target)
        };
        let (taken, kept): (Vec<_>, Vec<_>) = self.recent.drain(..).partition(ended);
        self.recent.extend(kept);
        taken
    }
}
