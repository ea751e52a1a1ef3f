//! What is still to happen, in order of time.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Number of a node of a simulation.
pub(super) type NodeIndex = usize;

/// Messages that are still to be heard, by time and order of their making.
#[derive(Debug)]
pub(super) struct Timeline<M> {
    pub(super) now: Duration,
    order: u64,
    due: BTreeMap<(Duration, u64), (NodeIndex, M)>,
    paused: BTreeSet<NodeIndex>,
    lost: BTreeSet<NodeIndex>,
}

impl<M> Timeline<M> {
    /// Makes an empty timeline at time zero.
    pub(super) fn new() -> Self {
        Self {
            now: Duration::ZERO,
            order: 0,
            due: BTreeMap::new(),
            paused: BTreeSet::new(),
            lost: BTreeSet::new(),
        }
    }

    /// Lets `node` hear `message` after `delay`.
    pub(super) fn after(&mut self, delay: Duration, node: NodeIndex, message: M) {
        self.order += 1;
        self.due.insert((self.now + delay, self.order), (node, message));
    }

    /// Takes the next message that is due by `end`, and moves the time to it. Messages of
    /// paused nodes wait; those of lost ones are dropped.
    pub(super) fn next(&mut self, end: Duration) -> Option<(NodeIndex, M)> {
        let lost = &self.lost;
        self.due.retain(|_, (node, _)| !lost.contains(node));
        let paused = &self.paused;
        let (key, _) = self.due.iter().find(|(_, (node, _))| !paused.contains(node))?;
        let key = *key;
        if key.0 > end {
            return None;
        }
        self.now = self.now.max(key.0);
        self.due.remove(&key)
    }

    /// Holds back, or lets through, what a node hears.
    pub(super) fn pause(&mut self, node: NodeIndex, paused: bool) {
        if paused {
            self.paused.insert(node);
        } else {
            self.paused.remove(&node);
        }
    }

    /// Ends a node.
    pub(super) fn lose(&mut self, node: NodeIndex) {
        self.lost.insert(node);
    }

    /// Whether a node is gone.
    pub(super) fn is_lost(&self, node: NodeIndex) -> bool {
        self.lost.contains(&node)
    }
}
