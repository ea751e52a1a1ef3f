//! Attempts that ended without their answer, until it is known whether a target was lost.

use std::collections::VecDeque;
use std::time::Duration;

use fleet::TargetName;

use crate::Fingerprint;

/// How long after an attempt ended the loss of one of its targets may still show.
const WINDOW: Duration = Duration::from_secs(1);
/// Most attempts kept; the oldest go first.
const MOST_KEPT: usize = 2048;

/// An attempt that ended without its answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Interruption {
    /// The request.
    pub fingerprint: Fingerprint,
    /// Targets that it was to pass.
    pub targets: Vec<TargetName>,
    /// When it was sent.
    pub sent_at: Duration,
    /// When it ended.
    pub ended_at: Duration,
    /// Whether nothing of an answer had come.
    pub before_output: bool,
}

/// Attempts that ended lately.
#[derive(Clone, Debug, Default)]
pub struct Interruptions {
    recent: VecDeque<Interruption>,
}

impl Interruptions {
    /// Keeps an attempt of which no target is known to be lost yet.
    pub fn push(&mut self, interruption: Interruption) {
        if self.recent.len() == MOST_KEPT {
            self.recent.pop_front();
        }
        self.recent.push_back(interruption);
    }

    /// Forgets those that ended too long ago.
    pub fn expire(&mut self, now: Duration) {
        self.recent.retain(|one| now.saturating_sub(one.ended_at) <= WINDOW);
    }

    /// When an attempt at a request ended last of which no target is known to be lost.
    pub fn last_ended(&self, fingerprint: Fingerprint) -> Option<Duration> {
        let own = self.recent.iter().rev().find(|one| one.fingerprint == fingerprint);
        own.map(|one| one.ended_at)
    }

    /// Takes the attempts that the loss of a target, seen at `now`, can have ended. Each counts
    /// for one loss only, and not for one that was seen before it was sent.
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
