//! Proofs of the store state's age, relayed by the nodes that follow the store closely. Uses
//! neither a clock nor a socket.
//!
//! Every node keeps a watch open at the store that is answered when something changes. Only for
//! followers the store also answers every second without a change, which proves that nothing has
//! changed. The other nodes query a follower: its answer names the position of its state, and how
//! long ago that was the store's latest. A node that knows the same position is up to date as of
//! that long before it sent the query. The time that the answer takes does not matter.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::time::Duration;

use platform::kv::Position;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::query::Queries;
use crate::replica::Replica;

/// Minimum number of followers: some may be lost at any time.
const MIN_FOLLOWERS: usize = 4;
/// Number of nodes per follower.
const NODES_PER_FOLLOWER: usize = 16;
/// Age up to which the last proof counts as a sign that more will come.
const MAX_PROOF_AGE: Duration = Duration::from_millis(1500);
/// Subject of the freshness queries.
const SUBJECT: SmolStr = SmolStr::new_static("revision");

/// A follower's answer to a freshness query.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Freshness {
    /// Number of the query.
    pub query: u64,
    /// The position of the follower's state.
    pub position: Position,
    /// Time since this was known to be the store's position.
    pub age: Duration,
}

impl Freshness {
    /// Returns the time up to which a node that has sent the query at `sent_at` is up to date;
    /// `None` if the answer proves nothing.
    pub fn proves(&self, replica: &Replica, sent_at: Duration) -> Option<Duration> {
        if !replica.includes(self.position) {
            return None;
        }
        sent_at.checked_sub(self.age)
    }
}

/// Chooses the followers and evaluates their proofs.
#[derive(Debug, Default)]
pub struct Relay {
    /// Followers other than this node.
    followers: Vec<SocketAddr>,
    /// Whether this node is not a follower.
    is_relayed: bool,
    /// Whether this node is a follower and some other nodes are not.
    serves_others: bool,
    queries: Queries,
    /// Time of the query that gave the last proof.
    last_proof: Option<Duration>,
}

impl Relay {
    /// Updates the nodes of the system: this one and the others. All nodes with the same set choose
    /// the same followers.
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

    /// Returns the follower to be queried now and the number of the query; `None` if this node is a
    /// follower. `fraction`, from 0 to 1, selects the follower.
    pub fn next_query(&mut self, now: Duration, fraction: f64) -> Option<(SocketAddr, u64)> {
        let index = (fraction * self.followers.len() as f64) as usize;
        let follower = *self.followers.get(index).filter(|_| self.is_relayed)?;
        Some((follower, self.queries.register(now, &SUBJECT, &[follower])))
    }

    /// Returns the time up to which this node's state is up to date, as proved by a follower's
    /// answer; `None` if the answer proves nothing.
    pub fn accept_answer(
        &mut self,
        from: SocketAddr,
        answer: &Freshness,
        replica: &Replica,
    ) -> Option<Duration> {
        let sent_at = self.queries.accept_answer(&SUBJECT, answer.query, from)?;
        if replica.includes(answer.position) {
            self.last_proof = Some(sent_at);
        }
        answer.proves(replica, sent_at)
    }

    /// Returns whether other nodes query this one.
    pub fn serves_others(&self) -> bool {
        self.serves_others
    }

    /// Returns whether proofs arrive, so that the store need not be queried while nothing changes.
    pub fn has_recent_proof(&self, now: Duration) -> bool {
        let is_fresh = |at: Duration| now.saturating_sub(at) <= MAX_PROOF_AGE;
        self.is_relayed && self.last_proof.is_some_and(is_fresh)
    }
}

/// Returns a number that mixes the order of nodes of all failure domains.
fn rank(node: &SocketAddr) -> u64 {
    let mut hasher = DefaultHasher::new();
    node.hash(&mut hasher);
    hasher.finish()
}
