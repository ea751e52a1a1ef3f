//! Word of how old the store's state is, from the nodes that follow it closely. No clock, no
//! socket.
//!
//! Every node has a call open at the store that is answered when something changes. Only
//! followers also have it answered every second though nothing changed, which proves that nothing
//! did. The others ask a follower instead: its answer names the revision that it knows,
//! and how long ago that was all there was. A node that knows the same revision knows as much,
//! as of so long before it asked; however long the answer took, it proves no more than that.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::time::Duration;

use platform::kv::Revision;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::query::Queries;

/// Fewest nodes that follow the store closely: some may be lost at any time.
const MIN_FOLLOWERS: usize = 4;
/// Nodes for each follower.
const NODES_PER_FOLLOWER: usize = 16;
/// How long a proof counts as a sign that more will come.
const MAX_PROOF_AGE: Duration = Duration::from_millis(1500);
/// Subject of the questions.
const SUBJECT: SmolStr = SmolStr::new_static("revision");

/// What a follower answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Freshness {
    /// Number of the question.
    pub query: u64,
    /// The revision that it knows.
    pub revision: Revision,
    /// How long ago this was the store's revision.
    pub age: Duration,
}

/// Who follows the store closely, and what others prove.
#[derive(Debug, Default)]
pub struct Relay {
    /// Followers but for this node.
    followers: Vec<SocketAddr>,
    /// Whether this node is not one of them.
    is_relayed: bool,
    /// Whether this node is one of them, and others are not.
    serves_others: bool,
    queries: Queries,
    /// When the last proof was asked for.
    last_proof: Option<Duration>,
}

impl Relay {
    /// Takes who is there: this node and the others. All nodes that know the same choose the same
    /// followers.
    pub fn set_nodes(&mut self, own: SocketAddr, others: &[SocketAddr]) {
        let count = MIN_FOLLOWERS.max((others.len() + 1).div_ceil(NODES_PER_FOLLOWER));
        let mut nodes: Vec<SocketAddr> = others.iter().copied().chain([own]).collect();
        nodes.sort_by_key(|node| (rank(node), *node));
        nodes.truncate(count);
        self.is_relayed = !nodes.contains(&own);
        self.serves_others = !self.is_relayed && others.len() + 1 > count;
        nodes.retain(|node| *node != own);
        self.followers = nodes;
    }

    /// The follower to be asked now, drawn by `luck` from 0 to 1, with the question's number;
    /// `None` for a follower.
    pub fn next_query(&mut self, now: Duration, fraction: f64) -> Option<(SocketAddr, u64)> {
        let drawn = (fraction * self.followers.len() as f64) as usize;
        let follower = *self.followers.get(drawn).filter(|_| self.is_relayed)?;
        Some((follower, self.queries.register(now, &SUBJECT, &[follower])))
    }

    /// The moment up to which a node that knows `revision` knows everything, by a follower's
    /// answer.
    pub fn accept_answer(
        &mut self,
        from: SocketAddr,
        known: &Freshness,
        revision: Revision,
    ) -> Option<Duration> {
        let asked = self.queries.accept_answer(&SUBJECT, known.query, from)?;
        if revision < known.revision {
            return None;
        }
        self.last_proof = Some(asked);
        asked.checked_sub(known.age)
    }

    /// Whether other nodes go by what this one knows.
    pub fn serves_others(&self) -> bool {
        self.serves_others
    }

    /// Whether proofs come, so that the store need not be asked as long as nothing changes.
    pub fn has_recent_proof(&self, now: Duration) -> bool {
        let is_fresh = |at: Duration| now.saturating_sub(at) <= MAX_PROOF_AGE;
        self.is_relayed && self.last_proof.is_some_and(is_fresh)
    }
}

/// A number by which nodes of all failure domains mix.
fn rank(node: &SocketAddr) -> u64 {
    let mut hasher = DefaultHasher::new();
    node.hash(&mut hasher);
    hasher.finish()
}
