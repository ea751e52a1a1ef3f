//! Queries to other nodes, whose answers may arrive late, more than once or not at all.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

use smol_str::SmolStr;

/// The latest query on each subject, and the nodes that may still answer it.
#[derive(Debug, Default)]
pub struct Queries {
    newest: u64,
    pending: HashMap<SmolStr, Query>,
}

#[derive(Debug)]
struct Query {
    number: u64,
    sent_at: Duration,
    queried: HashSet<SocketAddr>,
}

impl Queries {
    /// Registers a new query to `nodes` and returns its number. Answers to the previous query on
    /// the same subject no longer count.
    pub fn register(&mut self, now: Duration, subject: &SmolStr, nodes: &[SocketAddr]) -> u64 {
        self.newest += 1;
        let queried = nodes.iter().copied().collect();
        let query = Query { number: self.newest, sent_at: now, queried };
        self.pending.insert(subject.clone(), query);
        self.newest
    }

    /// Returns when the query of an answer was sent. Returns `None` if the answer does not count,
    /// because it is not the node's first to the latest query on the subject.
    pub fn accept_answer(
        &mut self,
        subject: &str,
        number: u64,
        node: SocketAddr,
    ) -> Option<Duration> {
        let query = self.pending.get_mut(subject).filter(|query| query.number == number)?;
        query.queried.remove(&node).then_some(query.sent_at)
    }
}
