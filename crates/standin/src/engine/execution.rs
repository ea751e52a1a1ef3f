//! The log of what an engine has executed.

use std::collections::VecDeque;

use fleet::{AttemptId, Layers, RequestId, TokenIndex};
use serde::{Deserialize, Serialize};

use super::wire::hex;

/// Entries that are kept; older ones are dropped.
const MAX_ENTRIES: usize = 1_000_000;

/// One token executed through a range of layers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Execution {
    /// The request.
    #[serde(with = "hex")]
    pub request: RequestId,
    /// The attempt.
    pub attempt: AttemptId,
    /// The token.
    pub index: TokenIndex,
    /// The layers.
    pub layers: Layers,
}

/// Executions in order, bounded.
#[derive(Debug, Default)]
pub(super) struct Log {
    entries: VecDeque<Execution>,
}

impl Log {
    /// Adds an execution.
    pub(super) fn push(&mut self, execution: Execution) {
        if self.entries.len() == MAX_ENTRIES {
            self.entries.pop_front();
        }
        self.entries.push_back(execution);
    }

    /// All executions kept.
    pub(super) fn list(&self) -> Vec<Execution> {
        self.entries.iter().copied().collect()
    }
}
