//! Questions to other nodes whose answers may come late, twice or not at all.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

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
    asked: HashSet<SocketAddr>,
}

impl Questions {
    /// Numbers a new question to `nodes`; answers to the one before it on the same subject no
    /// longer count.
    pub fn ask(&mut self, subject: &SmolStr, nodes: &[SocketAddr]) -> u64 {
        self.newest += 1;
        let question = Question { number: self.newest, asked: nodes.iter().copied().collect() };
        self.open.insert(subject.clone(), question);
        self.newest
    }

    /// Whether an answer counts: it is the node's first to the newest question.
    pub fn answered(&mut self, subject: &str, number: u64, node: SocketAddr) -> bool {
        let question = self.open.get_mut(subject).filter(|question| question.number == number);
        question.is_some_and(|question| question.asked.remove(&node))
    }
}
