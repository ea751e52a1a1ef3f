//! Queue of pending messages in a fixed order.

use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;
use std::time::Duration;

use crate::Name;

/// A message with its destination and due time.
pub(crate) struct Envelope<M> {
    pub(crate) due: Duration,
    pub(crate) to: Name,
    pub(crate) message: M,
    /// Sequence number of sending; breaks ties between equal due times.
    sequence: u64,
}

impl<M> PartialEq for Envelope<M> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl<M> Eq for Envelope<M> {}

impl<M> PartialOrd for Envelope<M> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<M> Ord for Envelope<M> {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.due, self.sequence).cmp(&(other.due, other.sequence))
    }
}

/// Queue of envelopes, ordered by due time and then by the order of sending.
pub(crate) struct Queue<M> {
    envelopes: BinaryHeap<Reverse<Envelope<M>>>,
    sequence: u64,
}

impl<M> Queue<M> {
    pub(crate) fn new() -> Self {
        Self { envelopes: BinaryHeap::new(), sequence: 0 }
    }

    pub(crate) fn push(&mut self, due: Duration, to: Name, message: M) {
        let sequence = self.sequence;
        self.sequence += 1;
        self.envelopes.push(Reverse(Envelope { due, to, message, sequence }));
    }

    pub(crate) fn next_due(&self) -> Option<Duration> {
        self.envelopes.peek().map(|Reverse(envelope)| envelope.due)
    }

    /// Removes the first envelope if it is due at `now`.
    pub(crate) fn pop(&mut self, now: Duration) -> Option<Envelope<M>> {
        if self.next_due()? > now {
            return None;
        }
        self.envelopes.pop().map(|Reverse(envelope)| envelope)
    }
}
