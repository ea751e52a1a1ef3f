//! Messages that wait for their time, in a fixed order.

use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;
use std::time::Duration;

use crate::Name;

/// A message on its way to a service.
pub(crate) struct Letter<M> {
    pub(crate) due: Duration,
    pub(crate) to: Name,
    pub(crate) message: M,
    /// Order of sending; breaks ties between letters due at once.
    sequence: u64,
}

impl<M> PartialEq for Letter<M> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl<M> Eq for Letter<M> {}

impl<M> PartialOrd for Letter<M> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<M> Ord for Letter<M> {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.due, self.sequence).cmp(&(other.due, other.sequence))
    }
}

/// Letters ordered by due time, then by order of sending.
pub(crate) struct Queue<M> {
    letters: BinaryHeap<Reverse<Letter<M>>>,
    sequence: u64,
}

impl<M> Queue<M> {
    pub(crate) fn new() -> Self {
        Self { letters: BinaryHeap::new(), sequence: 0 }
    }

    pub(crate) fn push(&mut self, due: Duration, to: Name, message: M) {
        let sequence = self.sequence;
        self.sequence += 1;
        self.letters.push(Reverse(Letter { due, to, message, sequence }));
    }

    pub(crate) fn next_due(&self) -> Option<Duration> {
        self.letters.peek().map(|Reverse(letter)| letter.due)
    }

    /// Takes the first letter that is due at `now`.
    pub(crate) fn pop(&mut self, now: Duration) -> Option<Letter<M>> {
        if self.next_due()? > now {
            return None;
        }
        self.letters.pop().map(|Reverse(letter)| letter)
    }
}
