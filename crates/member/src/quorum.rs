//! Recent replies of other nodes, and the majorities that follow from them.

use std::collections::VecDeque;
use std::time::Duration;

use fleet::Version;

use crate::peer::Reply;

/// Number of outcomes that are kept.
const MAX_OUTCOMES: usize = 16;
/// Minimum number of outcomes for a majority to count.
const MIN_OUTCOMES: usize = 4;

/// Outcomes of this node's last heartbeats; used when there are too many nodes for a full mesh.
#[derive(Clone, Debug, Default)]
pub(crate) struct Outcomes {
    recent: VecDeque<(Duration, Option<Reply>)>,
}

/// A majority that agrees on a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Agreement {
    /// The highest version among them.
    pub(crate) version: Version,
    /// Time at which the oldest of their replies was requested.
    pub(crate) at: Duration,
}

impl Outcomes {
    /// Records the outcome of a heartbeat sent at `requested`.
    pub(crate) fn push(&mut self, requested: Duration, reply: Option<Reply>) {
        self.recent.push_back((requested, reply));
        if self.recent.len() > MAX_OUTCOMES {
            self.recent.pop_front();
        }
    }

    /// Discards all outcomes.
    pub(crate) fn clear(&mut self) {
        self.recent.clear();
    }

    /// Whether a majority of the heartbeats sent since `since` was answered.
    pub(crate) fn majority_answered(&self, since: Duration) -> bool {
        let since_then = self.recent.iter().filter(|(requested, _)| *requested >= since);
        let (mut total, mut answered) = (0, 0);
        for (_, reply) in since_then {
            total += 1;
            answered += usize::from(reply.is_some());
        }
        total >= MIN_OUTCOMES && answered * 2 > total
    }

    /// Returns the agreement if a majority of the last heartbeats was answered by voters.
    pub(crate) fn agreement(&self) -> Option<Agreement> {
        let voters: Vec<Reply> = self
            .recent
            .iter()
            .filter_map(|(_, reply)| *reply)
            .filter(|reply| reply.voter)
            .collect();
        if self.recent.len() < MAX_OUTCOMES || voters.len() * 2 <= self.recent.len() {
            return None;
        }
        let version = voters.iter().map(|reply| reply.preset).max()?;
        let at = voters.iter().map(|reply| reply.requested).min()?;
        Some(Agreement { version, at })
    }
}

/// Returns the agreement of the majority of `known` nodes, this one included, with the newest
/// replies. This node counts towards it if it is a `voter`.
pub(crate) fn majority(known: usize, voter: bool, replies: &mut [Reply]) -> Option<Agreement> {
    let needed = known / 2 + 1 - usize::from(voter);
    replies.sort_by_key(|reply| std::cmp::Reverse(reply.requested));
    let newest = replies.get(..needed)?;
    let version = newest.iter().map(|reply| reply.preset).max()?;
    let at = newest.iter().map(|reply| reply.requested).min()?;
    Some(Agreement { version, at })
}
