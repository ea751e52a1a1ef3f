//! Orders whose effect is not seen yet, and engines that are not to be ordered for a while.

use std::collections::HashMap;
use std::time::Duration;

use fleet::Layers;
use site::TargetKey;

/// Pause before an engine whose order went wrong is asked, and ordered again.
const REORDER_PAUSE: Duration = Duration::from_millis(500);
/// The same for an engine that did not answer.
const NO_ANSWER_PAUSE: Duration = Duration::from_millis(2500);
/// How long an order is expected to take beyond the time to load.
const LOAD_MARGIN: Duration = Duration::from_millis(1500);

/// What came of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It has begun, or was done already.
    Accepted,
    /// The engine is in another state than was thought.
    Refused,
    /// Another node leads.
    Fenced,
    /// It may be carried out, now or later.
    Unknown,
}

/// An order that was sent.
#[derive(Clone, Copy, Debug)]
pub struct Sent {
    /// Layers that the engine is to hold.
    pub layers: Layers,
    /// Time that it needs to load them.
    pub load: Duration,
    /// Whether it held none before, as far as is known.
    pub is_empty: bool,
}

/// What follows from the outcome of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FollowUp {
    /// The engine has accepted one more order.
    CountAccepted,
    /// The engine is asked for its state.
    Refresh,
    /// The engine is left out until a probe shows that it is there: where no request passes
    /// it, nobody else would notice.
    MarkDown,
}

/// An order whose effect is not seen yet.
#[derive(Clone, Copy, Debug)]
struct Pending {
    layers: Layers,
    /// When the engine is asked what became of it.
    until: Duration,
}

/// What the leader knows of its orders.
#[derive(Debug, Default)]
pub struct Tracker {
    pending: HashMap<TargetKey, Pending>,
    /// Engines that are asked at a time, and not ordered before.
    paused: HashMap<TargetKey, Duration>,
}

impl Tracker {
    /// Forgets orders that are pending: this node has just begun or ceased to lead.
    pub fn clear_pending(&mut self) {
        self.pending.clear();
    }

    /// Layers that an engine will hold after its pending order.
    pub fn pending(&self, id: &str) -> Option<Layers> {
        self.pending.get(id).map(|pending| pending.layers)
    }

    /// Whether an engine is not to be ordered for now.
    pub fn is_paused(&self, id: &str) -> bool {
        self.paused.contains_key(id)
    }

    /// Leaves an engine alone for a while.
    pub fn pause(&mut self, id: TargetKey, now: Duration) {
        self.paused.insert(id, now + REORDER_PAUSE);
    }

    /// Notes the outcome of an order.
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
            // Most likely it is at an order of the leader before, who saw the same.
            Outcome::Refused if is_empty => {
                self.pending.insert(id.clone(), Pending { layers, until: now + load });
                FollowUp::Refresh
            }
            Outcome::Refused | Outcome::Fenced => {
                self.pause(id.clone(), now);
                FollowUp::Refresh
            }
            Outcome::Unknown => {
                // It may be carried out late; meanwhile another engine is better.
                self.paused.insert(id.clone(), now + NO_ANSWER_PAUSE);
                FollowUp::MarkDown
            }
        }
    }

    /// Forgets orders whose effect shows in what engines hold, and those of engines that are
    /// gone; returns the engines that are to be asked now.
    pub fn take_overdue(
        &mut self,
        now: Duration,
        held: impl Fn(&TargetKey) -> Option<Option<Layers>>,
    ) -> Vec<TargetKey> {
        self.pending
            .retain(|id, pending| held(id).is_some_and(|held| held != Some(pending.layers)));
        let overdue = self.pending.extract_if(|_, pending| pending.until <= now);
        let mut asked: Vec<TargetKey> = overdue.map(|(id, _)| id).collect();
        asked.extend(self.paused.extract_if(|_, until| *until <= now).map(|(id, _)| id));
        asked
    }
}
