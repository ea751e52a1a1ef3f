//! Simulated clock, and messages in order of delivery.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Index of a node in its simulation.
pub(super) type NodeIndex = usize;

/// Clock and pending messages, ordered by time of delivery and then by order of scheduling.
#[derive(Debug)]
pub(super) struct Timeline<M> {
    pub(super) now: Duration,
    sequence: u64,
    pending: BTreeMap<(Duration, u64), (NodeIndex, M)>,
    paused: BTreeSet<NodeIndex>,
    lost: BTreeSet<NodeIndex>,
}

impl<M> Timeline<M> {
    /// Returns an empty timeline at time zero.
    pub(super) fn new() -> Self {
        Self {
            now: Duration::ZERO,
            sequence: 0,
            pending: BTreeMap::new(),
            paused: BTreeSet::new(),
            lost: BTreeSet::new(),
        }
    }

    /// Schedules the delivery of `message` to `node` after `delay`.
    pub(super) fn schedule(&mut self, delay: Duration, node: NodeIndex, message: M) {
        self.sequence += 1;
        self.pending.insert((self.now + delay, self.sequence), (node, message));
    }

    /// Removes and returns the next message that is due by `end`, and advances the clock to its
    /// time. Messages to paused nodes are held back; those to lost nodes are dropped.
    pub(super) fn next_due(&mut self, end: Duration) -> Option<(NodeIndex, M)> {
        let lost = &self.lost;
        self.pending.retain(|_, (node, _)| !lost.contains(node));
        let paused = &self.paused;
        let (key, _) = self.pending.iter().find(|(_, (node, _))| !paused.contains(node))?;
        let key = *key;
        if key.0 > end {
            return None;
        }
        self.now = self.now.max(key.0);
        self.pending.remove(&key)
    }

    /// Holds back the messages to a node, or releases them.
    pub(super) fn set_paused(&mut self, node: NodeIndex, paused: bool) {
        if paused {
            self.paused.insert(node);
        } else {
            self.paused.remove(&node);
        }
    }

    /// Marks a node as lost, so that its pending and later messages are dropped.
    pub(super) fn mark_lost(&mut self, node: NodeIndex) {
        self.lost.insert(node);
    }

    /// Returns whether a node is lost.
    pub(super) fn is_lost(&self, node: NodeIndex) -> bool {
        self.lost.contains(&node)
    }
}
