//! State of one target, as this VM sees it.

use std::time::Duration;

use fleet::Layers;
use site::{State, Target};

use crate::availability::Availability;
use crate::health::Health;

/// Minimum interval between the report requests of one VM to one engine.
const REPORT_INTERVAL: Duration = Duration::from_millis(600);
/// Minimum number of stalled streams before their first engine is suspected. A single stream may
/// just wait for a long prompt.
const MIN_STALLED_STREAMS: u32 = 3;
/// Slowdown above which an engine counts as slow. Reported values scatter around 1.
const SLOW_THRESHOLD: f64 = 1.5;

/// A registered target with the state observed since.
#[derive(Clone, Debug)]
pub struct Entry {
    /// The registration.
    pub target: Target,
    /// Time at which this VM learned of the target.
    pub registered_at: Duration,
    /// Layers that the target holds, from its latest report or store entry.
    pub layers: Option<Layers>,
    /// Number of orders that the target has accepted since its start; `None` while unknown.
    pub orders: Option<u64>,
    /// Time of the last change of `layers` or `orders` by the store or by an answer to an order.
    pub(crate) layers_changed_at: Duration,
    /// Work time relative to the usual time; above 1 the target is slow.
    pub slowdown: f64,
    /// Time of the last report request.
    pub(crate) report_requested_at: Duration,
    /// Observed health.
    pub health: Health,
    /// Availability that the target has announced.
    pub availability: Availability,
    /// End of the time for which the target is used less, because it has told another VM to back
    /// off.
    pub(crate) deprioritised_until: Duration,
    /// Number of requests of this VM that are running on the target.
    pub running_requests: u32,
    /// Tokens that requests of this VM hold in the memory of the target.
    pub tokens: f64,
    /// Tokens that requests of other VMs hold there, as reported by those VMs.
    pub(crate) peer_tokens: f64,
    /// Prompt tokens of this VM that are being prefilled there.
    pub prefill_tokens: f64,
    /// Number of streams of this VM whose first engine this is.
    pub streams: u32,
    /// Number of those streams that are stalled.
    pub stalled_streams: u32,
    /// Time from which a target without a store entry counts as removed.
    pub(crate) removed_at: Option<Duration>,
    /// Whether the target has been removed. It is known until the last request of this VM there has
    /// ended: some targets leave without a notice but the removal of their entry, and serve the
    /// requests that they have.
    pub(crate) removed: bool,
}

impl Entry {
    /// Returns the entry of a target that has not been observed yet.
    pub(crate) fn new(now: Duration, target: Target) -> Self {
        Self {
            registered_at: now,
            layers: target.layers,
            orders: initial_orders(&target),
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
            removed: false,
            target,
        }
    }

    /// Returns whether the target runs layers of a model.
    pub fn is_engine(&self) -> bool {
        !self.target.card.is_empty()
    }

    /// Returns whether the target is much slower than usual.
    pub fn is_slow(&self) -> bool {
        self.slowdown > SLOW_THRESHOLD
    }

    /// Returns whether most of the streams that start here are stalled: an engine on their path may
    /// be lost.
    pub fn has_stalled_streams(&self) -> bool {
        self.stalled_streams >= MIN_STALLED_STREAMS && self.stalled_streams * 2 > self.streams
    }

    /// Returns whether a report request is due, and if so starts the interval until the next one.
    pub(crate) fn poll_report_request(&mut self, now: Duration) -> bool {
        let due = now.saturating_sub(self.report_requested_at) >= REPORT_INTERVAL;
        if due {
            self.report_requested_at = now;
        }
        due
    }

    /// Returns whether requests may be sent.
    pub fn is_usable(&self, now: Duration) -> bool {
        self.is_usable_by(now, now)
    }

    /// Returns whether requests may be sent, with back-offs evaluated at `then` instead of `now`.
    pub(crate) fn is_usable_by(&self, now: Duration, then: Duration) -> bool {
        !self.is_draining() && self.availability.is_usable(then) && self.health.is_usable(now)
    }

    /// Returns whether requests may be sent, or may be soon: a target out of use may be sound, and
    /// silent for a moment.
    pub(crate) fn may_be_usable_soon(&self, now: Duration) -> bool {
        let accepts = !self.is_draining() && self.availability.is_usable(now);
        accepts && (self.health.is_usable(now) || self.health.may_be_silent(now))
    }

    /// Returns whether the target is used less, because it has told another VM to back off.
    pub fn is_deprioritised(&self, now: Duration) -> bool {
        now < self.deprioritised_until
    }

    /// Returns whether the target drains, by its store entry or the lack of one, or its own
    /// announcement.
    pub fn is_draining(&self) -> bool {
        self.removed || self.target.state == State::Draining || self.availability.is_draining()
    }
}

/// Returns the number of orders that a target has accepted when it registers. An engine that
/// already holds layers took orders before this VM knew it, so the number is unknown.
pub(crate) fn initial_orders(target: &Target) -> Option<u64> {
    target.layers.is_none().then_some(0)
}
