//! Questions to other nodes whose answers may come late, twice or not at all.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

use smol_str::SmolStr;

/// The newest question on each subject, and who may still answer it.
#[derive(Debug, Default)]
pub struct Queries {
    newest: u64,
    pending: HashMap<SmolStr, Query>,
}

#[derive(Debug)]
struct Query {
    number: u64,
    asked_at: Duration,
    queried: HashSet<SocketAddr>,
}

impl Queries {
    /// Numbers a new question to `nodes`; answers to the one before it on the same subject no
    /// longer count.
    pub fn register(&mut self, now: Duration, subject: &SmolStr, nodes: &[SocketAddr]) -> u64 {
        self.newest += 1;
        let queried = nodes.iter().copied().collect();
        let query = Query { number: self.newest, asked_at: now, queried };
        self.pending.insert(subject.clone(), query);
        self.newest
    }

    /// When the question of an answer that counts was asked: the answer is the node's first to the
    /// newest question.
    pub fn accept_answer(
        &mut self,
        subject: &str,
        number: u64,
        node: SocketAddr,
    ) -> Option<Duration> {
        let query = self.pending.get_mut(subject).filter(|query| query.number == number)?;
        query.queried.remove(&node).then_some(query.asked_at)
    }
}
