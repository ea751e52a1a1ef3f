//! Queue of one organisation's requests that wait for a slot.

use std::collections::BTreeMap;
use std::time::Duration;

use fleet::{Request, RequestId};

use crate::Class;

/// Number of a request in order of arrival at this node.
pub(crate) type Sequence = u64;

/// A request with the predictions that decide on its admission.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    pub(crate) request: Request,
    pub(crate) class: Class,
    pub(crate) sequence: Sequence,
    pub(crate) arrived: Duration,
    /// Predicted slot-seconds.
    pub(crate) cost: f64,
    /// Whether `cost` is the default because no request of the class has completed here yet.
    pub(crate) is_assumed: bool,
    /// Time from arrival for which the caller is expected to wait.
    pub(crate) tolerance: Duration,
    /// Predicted time from admission to the first token of a streamed answer or to the end
    /// of a whole one.
    pub(crate) response: Duration,
    /// Position in the queue; the lowest rank runs first.
    pub(crate) rank: i64,
}

impl Entry {
    /// Returns the latest time of admission at which the request can be answered in time.
    pub(crate) fn admission_deadline(&self) -> Duration {
        self.arrived + self.tolerance.saturating_sub(self.response)
    }

    /// Whether a third of the time that the request may wait in the queue has elapsed.
    pub(crate) fn is_urgent(&self, now: Duration) -> bool {
        let may_wait = self.tolerance.saturating_sub(self.response);
        now.saturating_sub(self.arrived) * 3 >= may_wait
    }
}

/// Queued requests by rank, with a second index by arrival.
///
/// Invariant: both indexes hold the same requests.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    by_rank: BTreeMap<(i64, Sequence), Entry>,
    by_arrival: BTreeMap<Sequence, i64>,
    cost: f64,
}

impl Queue {
    pub(crate) fn len(&self) -> usize {
        self.by_arrival.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.by_arrival.is_empty()
    }

    /// Predicted slot-seconds of all queued requests.
    pub(crate) fn cost(&self) -> f64 {
        self.cost
    }

    /// Returns the predicted slot-seconds of the requests that run before a new one with
    /// `rank`. Assumed costs are not counted.
    pub(crate) fn cost_ahead(&self, rank: i64) -> f64 {
        let before = self.by_rank.range(..=(rank, Sequence::MAX)).map(|(_, entry)| entry);
        before.filter(|entry| !entry.is_assumed).map(|entry| entry.cost).sum()
    }

    /// Replaces the assumed cost of all queued requests of `class` by a learned one.
    pub(crate) fn set_learned_cost(&mut self, class: Class, cost: f64) {
        let assumed = self.by_rank.values_mut().filter(|w| w.is_assumed && w.class == class);
        for entry in assumed {
            self.cost += cost - entry.cost;
            entry.cost = cost;
            entry.is_assumed = false;
        }
    }

    pub(crate) fn first(&self) -> Option<&Entry> {
        self.by_rank.first_key_value().map(|(_, entry)| entry)
    }

    pub(crate) fn push(&mut self, entry: Entry) {
        self.cost += entry.cost;
        self.by_arrival.insert(entry.sequence, entry.rank);
        self.by_rank.insert((entry.rank, entry.sequence), entry);
        debug_assert_eq!(self.by_rank.len(), self.by_arrival.len());
    }

    pub(crate) fn pop_first(&mut self) -> Option<Entry> {
        let key = *self.by_rank.first_key_value()?.0;
        self.remove_key(key)
    }

    pub(crate) fn pop_oldest(&mut self) -> Option<Entry> {
        let (&sequence, &rank) = self.by_arrival.first_key_value()?;
        self.remove_key((rank, sequence))
    }

    pub(crate) fn pop_last(&mut self) -> Option<Entry> {
        let key = *self.by_rank.last_key_value()?.0;
        self.remove_key(key)
    }

    pub(crate) fn remove(&mut self, request: RequestId) -> Option<Entry> {
        let key = *self.by_rank.iter().find(|(_, entry)| entry.request.id == request)?.0;
        self.remove_key(key)
    }

    pub(crate) fn class_of(&self, request: RequestId) -> Option<Class> {
        let mut entries = self.by_rank.values();
        entries.find(|entry| entry.request.id == request).map(|entry| entry.class)
    }

    /// Removes and returns all requests that can no longer be answered in time.
    pub(crate) fn remove_late(&mut self, now: Duration) -> Vec<Entry> {
        let late: Vec<_> = self
            .by_rank
            .iter()
            .filter(|(_, entry)| entry.admission_deadline() < now)
            .map(|(&key, _)| key)
            .collect();
        late.into_iter().filter_map(|key| self.remove_key(key)).collect()
    }

    fn remove_key(&mut self, key: (i64, Sequence)) -> Option<Entry> {
        let entry = self.by_rank.remove(&key)?;
        self.by_arrival.remove(&key.1);
        self.cost = if self.is_empty() { 0.0 } else { self.cost - entry.cost };
        Some(entry)
    }
}
