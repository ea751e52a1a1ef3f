//! Questions to other nodes whose answers may come late, twice or not at all.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

use smol_str::SmolStr;

/// The newest question on each subject, and who may still answer it.
#[derive(Debug, Default)]
pub struct Questions {
    newest: u64,
    open: HashMap<SmolStr, Question>,
}

#[derive(Debug)]
struct Question {
    number: u64,
    asked_at: Duration,
    asked: HashSet<SocketAddr>,
}

impl Questions {
    /// Numbers a new question to `nodes`; answers to the one before it on the same subject no
    /// longer count.
    pub fn ask(&mut self, now: Duration, subject: &SmolStr, nodes: &[SocketAddr]) -> u64 {
        self.newest += 1;
        let asked = nodes.iter().copied().collect();
        let question = Question { number: self.newest, asked_at: now, asked };
        self.open.insert(subject.clone(), question);
        self.newest
    }

    /// When the question of an answer that counts was asked: the answer is the node's first to the
    /// newest question.
    pub fn answered(&mut self, subject: &str, number: u64, node: SocketAddr) -> Option<Duration> {
        let question = self.open.get_mut(subject).filter(|question| question.number == number)?;
        question.asked.remove(&node).then_some(question.asked_at)
    }
}
