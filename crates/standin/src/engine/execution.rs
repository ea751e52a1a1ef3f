//! The execution log of an engine.

use std::collections::VecDeque;

use fleet::{AttemptId, Layers, RequestId, TokenIndex};
use serde::{Deserialize, Serialize};

use super::wire::hex;

/// Entries retained; older ones are dropped.
const MAX_ENTRIES: usize = 1_000_000;

/// One token executed through a range of layers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Execution {
    /// Id of the request.
    #[serde(with = "hex")]
    pub request: RequestId,
    /// Number of the attempt.
    pub attempt: AttemptId,
    /// Index of the token.
    pub index: TokenIndex,
    /// Layers that executed the token.
    pub layers: Layers,
}

/// Bounded log of executions, oldest first.
#[derive(Debug, Default)]
pub(super) struct Log {
    entries: VecDeque<Execution>,
}

impl Log {
    /// Appends an execution.
    pub(super) fn push(&mut self, execution: Execution) {
        if self.entries.len() == MAX_ENTRIES {
            self.entries.pop_front();
        }
        self.entries.push_back(execution);
    }

    /// Returns the retained executions, oldest first.
    pub(super) fn list(&self) -> Vec<Execution> {
        self.entries.iter().copied().collect()
    }
}
