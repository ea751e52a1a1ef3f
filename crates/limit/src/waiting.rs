//! Requests of one organisation that wait for a slot.

use std::collections::BTreeMap;
use std::time::Duration;

use fleet::{Request, RequestId};

use crate::Class;

/// Order of arrival at this node.
pub(crate) type Sequence = u64;

/// A request that waits.
#[derive(Clone, Debug)]
pub(crate) struct Waiting {
    pub(crate) request: Request,
    pub(crate) class: Class,
    pub(crate) sequence: Sequence,
    pub(crate) arrived: Duration,
    /// Predicted slot-seconds.
    pub(crate) cost: f64,
    /// Whether `cost` is the assumed one: no request of the class has ended here yet.
    pub(crate) is_guess: bool,
    /// From arrival, how long the caller is taken to wait.
    pub(crate) patience: Duration,
    /// Predicted time from admission to what the caller waits for.
    pub(crate) answer: Duration,
    /// Place in the queue: least first.
    pub(crate) rank: i64,
}

impl Waiting {
    /// Last moment at which its admission still makes sense.
    pub(crate) fn latest(&self) -> Duration {
        self.arrived + self.patience.saturating_sub(self.answer)
    }

    /// Whether a third of the time that it may wait has passed.
    pub(crate) fn is_pressed(&self, now: Duration) -> bool {
        let may_wait = self.patience.saturating_sub(self.answer);
        now.saturating_sub(self.arrived) * 3 >= may_wait
    }
}

/// Waiting requests by rank, with a second index by arrival.
///
/// Invariant: both indexes name the same requests.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    by_rank: BTreeMap<(i64, Sequence), Waiting>,
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

    /// Predicted slot-seconds of all that wait.
    pub(crate) fn cost(&self) -> f64 {
        self.cost
    }

    /// Predicted slot-seconds of those that go before one that comes now with `rank`;
    /// guessed costs count as none.
    pub(crate) fn cost_before(&self, rank: i64) -> f64 {
        let before = self.by_rank.range(..=(rank, Sequence::MAX)).map(|(_, waiting)| waiting);
        before.filter(|waiting| !waiting.is_guess).map(|waiting| waiting.cost).sum()
    }

    /// Replaces the guessed cost of all that wait of `class` by a learned one.
    pub(crate) fn learn(&mut self, class: Class, cost: f64) {
        let guessed = self.by_rank.values_mut().filter(|w| w.is_guess && w.class == class);
        for waiting in guessed {
            self.cost += cost - waiting.cost;
            waiting.cost = cost;
            waiting.is_guess = false;
        }
    }

    pub(crate) fn first(&self) -> Option<&Waiting> {
        self.by_rank.first_key_value().map(|(_, waiting)| waiting)
    }

    pub(crate) fn push(&mut self, waiting: Waiting) {
        self.cost += waiting.cost;
        self.by_arrival.insert(waiting.sequence, waiting.rank);
        self.by_rank.insert((waiting.rank, waiting.sequence), waiting);
        debug_assert_eq!(self.by_rank.len(), self.by_arrival.len());
    }

    pub(crate) fn pop_first(&mut self) -> Option<Waiting> {
        let key = *self.by_rank.first_key_value()?.0;
        self.take(key)
    }

    pub(crate) fn pop_oldest(&mut self) -> Option<Waiting> {
        let (&sequence, &rank) = self.by_arrival.first_key_value()?;
        self.take((rank, sequence))
    }

    pub(crate) fn pop_last(&mut self) -> Option<Waiting> {
        let key = *self.by_rank.last_key_value()?.0;
        self.take(key)
    }

    pub(crate) fn remove(&mut self, request: RequestId) -> Option<Waiting> {
        let key = *self.by_rank.iter().find(|(_, waiting)| waiting.request.id == request)?.0;
        self.take(key)
    }

    pub(crate) fn class_of(&self, request: RequestId) -> Option<Class> {
        let mut waiting = self.by_rank.values();
        waiting.find(|waiting| waiting.request.id == request).map(|waiting| waiting.class)
    }

    /// Takes all that cannot be answered in time any more.
    pub(crate) fn take_late(&mut self, now: Duration) -> Vec<Waiting> {
        let late: Vec<_> = self
            .by_rank
            .iter()
            .filter(|(_, waiting)| waiting.latest() < now)
            .map(|(&key, _)| key)
            .collect();
        late.into_iter().filter_map(|key| self.take(key)).collect()
    }

    fn take(&mut self, key: (i64, Sequence)) -> Option<Waiting> {
        let waiting = self.by_rank.remove(&key)?;
        self.by_arrival.remove(&key.1);
        self.cost = if self.is_empty() { 0.0 } else { self.cost - waiting.cost };
        Some(waiting)
    }
}
