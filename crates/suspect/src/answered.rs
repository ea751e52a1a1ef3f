//! Requests that were answered recently, and so do not crash their targets.

use std::collections::{HashMap, VecDeque};

use crate::Fingerprint;

/// Maximum answers kept. A request that many callers send stays among them for as long as they send
/// it.
const MAX_ANSWERS: usize = 4096;

/// Fingerprints of the most recent answers.
#[derive(Clone, Debug, Default)]
pub struct Answered {
    recent: VecDeque<Fingerprint>,
    /// Number of occurrences of each fingerprint in `recent`.
    counts: HashMap<Fingerprint, u32>,
}

impl Answered {
    /// Records an answer.
    pub fn record(&mut self, fingerprint: Fingerprint) {
        if self.recent.len() == MAX_ANSWERS {
            self.forget_oldest();
        }
        self.recent.push_back(fingerprint);
        *self.counts.entry(fingerprint).or_default() += 1;
    }

    /// Returns whether a request was answered recently.
    pub fn contains(&self, fingerprint: Fingerprint) -> bool {
        self.counts.contains_key(&fingerprint)
    }

    fn forget_oldest(&mut self) {
        let Some(oldest) = self.recent.pop_front() else { return };
        if let Some(count) = self.counts.get_mut(&oldest) {
            *count -= 1;
            if *count == 0 {
                self.counts.remove(&oldest);
            }
        }
    }
}
