//! One target as this VM sees it.

use std::time::Duration;

use fleet::Layers;
use site::{State, Target};

use crate::availability::Availability;
use crate::health::Health;

/// Shortest interval at which one VM asks an engine for its report.
const QUESTION_INTERVAL: Duration = Duration::from_millis(600);
/// Streams that must pause before their first engine is in doubt: one alone may wait for a
/// long prompt.
const DOUBTFUL_STREAMS: u32 = 3;
/// Pace from which an engine counts as slow: reports scatter around 1.
const SLOW: f64 = 1.5;

/// A target and what was seen of it.
#[derive(Clone, Debug)]
pub struct Entry {
    /// What it registered.
    pub target: Target,
    /// Layers that it holds, by its newest report or entry.
    pub layers: Option<Layers>,
    /// Orders that it has accepted since its start; `None` when that is not known.
    pub orders: Option<u64>,
    /// When the store or an answer to an order last told of a change of these two.
    pub(crate) layers_changed_at: Duration,
    /// Time of its work relative to the usual; above 1 it is slow.
    pub slowdown: f64,
    /// When its report was last asked for.
    pub(crate) report_requested_at: Duration,
    /// What was seen.
    pub health: Health,
    /// What it said that it wants.
    pub availability: Availability,
    /// Until when it is used less, as it told another VM that it wants nothing.
    pub(crate) deprioritised_until: Duration,
    /// Requests of this VM that it runs.
    pub running_requests: u32,
    /// Tokens of memory that requests of this VM hold there.
    pub tokens: f64,
    /// Tokens of memory that requests of other VMs hold there, as far as they tell.
    pub(crate) peer_tokens: f64,
    /// Tokens of prompts of this VM that are being read there.
    pub prefill_tokens: f64,
    /// Streams of this VM that began at this engine.
    pub streams: u32,
    /// Streams that began at this engine and pause.
    pub stalled_streams: u32,
    /// Time at which an entry that is missing from the store counts as gone.
    pub(crate) removed_at: Option<Duration>,
}

impl Entry {
    /// A target that nothing was seen of yet.
    pub(crate) fn new(target: Target) -> Self {
        Self {
            layers: target.layers,
            orders: orders(&target),
            layers_changed_at: Duration::ZERO,
            slowdown: 1.0,
            report_requested_at: Duration::ZERO,
            health: Health::default(),
            availability: Availability::default(),
            deprioritised_until: Duration::ZERO,
            running_requests: 0,
            tokens: 0.0,
            peer_tokens: 0.0,
            prefill_tokens: 0.0,
            streams: 0,
            stalled_streams: 0,
            removed_at: None,
            target,
        }
    }

    /// Whether it runs layers of a model.
    pub fn is_engine(&self) -> bool {
        !self.target.card.is_empty()
    }

    /// Whether it works much slower than usual.
    pub fn is_slow(&self) -> bool {
        self.slowdown > SLOW
    }

    /// Whether most of the streams that began here pause: an engine of their path may be lost.
    pub fn has_stalled_streams(&self) -> bool {
        self.stalled_streams >= DOUBTFUL_STREAMS && self.stalled_streams * 2 > self.streams
    }

    /// Whether its report may be asked for; not again for a while.
    pub(crate) fn poll_report_request(&mut self, now: Duration) -> bool {
        let due = now.saturating_sub(self.report_requested_at) >= QUESTION_INTERVAL;
        if due {
            self.report_requested_at = now;
        }
        due
    }

    /// Whether requests may be sent.
    pub fn is_usable(&self, now: Duration) -> bool {
        self.is_usable_by(now, now)
    }

    /// Whether requests may be sent, as far as it wants any by `then`.
    pub(crate) fn is_usable_by(&self, now: Duration, then: Duration) -> bool {
        !self.is_draining() && self.availability.is_usable(then) && self.health.is_usable(now)
    }

    /// Whether it is to be used less, by another VM's word.
    pub fn is_deprioritised(&self, now: Duration) -> bool {
        now < self.deprioritised_until
    }

    /// Whether it is leaving, by its entry or its own word.
    pub fn is_draining(&self) -> bool {
        self.target.state == State::Draining || self.availability.is_draining()
    }
}

/// Orders that a target has accepted when it registers. An engine that holds layers was
/// ordered before this node knew it.
pub(crate) fn orders(target: &Target) -> Option<u64> {
    target.layers.is_none().then_some(0)
}
