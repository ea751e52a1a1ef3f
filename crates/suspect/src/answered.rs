//! Requests that were answered lately: they crash no target.

use std::collections::{HashMap, VecDeque};

use crate::Fingerprint;

/// Answers remembered: a request that many callers send is among them as long as they do.
const MOST_KEPT: usize = 4096;

/// Fingerprints of the last answers.
#[derive(Clone, Debug, Default)]
pub struct Answered {
    last: VecDeque<Fingerprint>,
    /// How often each is among the last.
    counts: HashMap<Fingerprint, u32>,
}

impl Answered {
    /// Notes an answer.
    pub fn record(&mut self, fingerprint: Fingerprint) {
        if self.last.len() == MOST_KEPT {
            self.forget_oldest();
        }
        self.last.push_back(fingerprint);
        *self.counts.entry(fingerprint).or_default() += 1;
    }

    /// Whether a request was answered lately.
    pub fn contains(&self, fingerprint: Fingerprint) -> bool {
        self.counts.contains_key(&fingerprint)
    }

    fn forget_oldest(&mut self) {
        let Some(oldest) = self.last.pop_front() else { return };
        if let Some(count) = self.counts.get_mut(&oldest) {
            *count -= 1;
            if *count == 0 {
                self.counts.remove(&oldest);
            }
        }
    }
}
