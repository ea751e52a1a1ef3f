//! Tracks orders whose effect is not visible yet, and engines that must not receive orders for a
//! while.

use std::collections::HashMap;
use std::time::Duration;

use fleet::Layers;
use site::TargetKey;

/// Pause after a refused order before the engine's report is fetched and it may be ordered again.
const REORDER_PAUSE: Duration = Duration::from_millis(500);
/// The same pause for an engine that did not answer an order.
const NO_ANSWER_PAUSE: Duration = Duration::from_millis(2500);
/// Time that an order may take beyond the time to load its layers.
const LOAD_MARGIN: Duration = Duration::from_millis(1500);

/// Outcome of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The engine carries the order out, or had done so before.
    Accepted,
    /// The engine is not in the state that the leader assumed.
    Refused,
    /// Another node leads.
    Fenced,
    /// The engine may carry the order out, now or later.
    Unknown,
}

/// An order that was sent.
#[derive(Clone, Copy, Debug)]
pub struct Sent {
    /// Layers that the engine is to hold.
    pub layers: Layers,
    /// Time that the engine needs to load them.
    pub load: Duration,
    /// Whether the engine held no layers before the order, as far as is known.
    pub is_empty: bool,
}

/// What the leader does after the outcome of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FollowUp {
    /// Counts one more order that the engine has accepted.
    CountAccepted,
    /// Fetches the engine's report.
    Refresh,
    /// Marks the engine down until a probe is answered. Without this, nothing would detect the loss
    /// of an engine that serves no requests.
    MarkDown,
}

/// An order whose effect is not visible yet.
#[derive(Clone, Copy, Debug)]
struct Pending {
    layers: Layers,
    /// Time at which the engine's report is fetched if the order still has no effect.
    until: Duration,
}

/// Orders and pauses of engines, as the leader knows them.
#[derive(Debug, Default)]
pub struct Tracker {
    pending: HashMap<TargetKey, Pending>,
    /// Engines that must not be ordered, and the time at which their reports are fetched.
    paused: HashMap<TargetKey, Duration>,
}

impl Tracker {
    /// Makes the reports of engines with pending orders due, because this node has begun or ceased
    /// to lead: another node may have sent orders meanwhile.
    pub fn recheck_pending(&mut self, now: Duration) {
        for pending in self.pending.values_mut() {
            pending.until = pending.until.min(now + REORDER_PAUSE);
        }
    }

    /// Returns the layers that an engine will hold after its pending order.
    pub fn pending(&self, id: &str) -> Option<Layers> {
        self.pending.get(id).map(|pending| pending.layers)
    }

    /// Returns whether an engine must not receive orders for now.
    pub fn is_paused(&self, id: &str) -> bool {
        self.paused.contains_key(id)
    }

    /// Excludes an engine from orders until its report is fetched: what it holds is not known.
    pub fn pause(&mut self, id: TargetKey, now: Duration) {
        self.paused.insert(id, now + REORDER_PAUSE);
    }

    /// Records the outcome of an order. Returns what to do next.
    pub fn record(
        &mut self,
        id: &TargetKey,
        sent: Sent,
        outcome: Outcome,
        now: Duration,
    ) -> FollowUp {
        let Sent { layers, load, is_empty } = sent;
        match outcome {
            Outcome::Accepted => {
                let until = now + load + LOAD_MARGIN;
                self.pending.insert(id.clone(), Pending { layers, until });
                FollowUp::CountAccepted
            }
            // The engine is most likely busy with an order of the previous leader, which planned
            // from the same state.
            Outcome::Refused if is_empty => {
                self.pending.insert(id.clone(), Pending { layers, until: now + load });
                FollowUp::Refresh
            }
            Outcome::Refused | Outcome::Fenced => {
                self.pause(id.clone(), now);
                FollowUp::Refresh
            }
            Outcome::Unknown => {
                // The engine may still carry the order out, so another engine is ordered meanwhile.
                self.paused.insert(id.clone(), now + NO_ANSWER_PAUSE);
                FollowUp::MarkDown
            }
        }
    }

    /// Removes orders whose effect is visible in `held`, the layers that an engine holds, and
    /// orders to engines that are gone. Returns the engines whose reports are to be fetched now. An
    /// engine without a report has to be paused again.
    pub fn take_overdue(
        &mut self,
        now: Duration,
        held: impl Fn(&TargetKey) -> Option<Option<Layers>>,
    ) -> Vec<TargetKey> {
        self.pending
            .retain(|id, pending| held(id).is_some_and(|held| held != Some(pending.layers)));
        let overdue = self.pending.extract_if(|_, pending| pending.until <= now);
        let mut engines: Vec<TargetKey> = overdue.map(|(id, _)| id).collect();
        engines.extend(self.paused.extract_if(|_, until| *until <= now).map(|(id, _)| id));
        engines
    }
}
