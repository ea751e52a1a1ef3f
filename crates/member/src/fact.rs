//! The set of facts of a node, with versions, expiry and a digest.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{Hash, Hasher};
use std::time::Duration;

use fleet::{NodeName, TargetName};
use siphasher::sip::SipHasher13;

use crate::{Fact, Incarnation, State, Update};

/// Minimum remaining time to live of a fact that is merged.
const MIN_MERGE_TTL: Duration = Duration::from_millis(200);

/// Subject of a fact; the set holds at most one fact per key.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) enum Key {
    Leaving(TargetName),
    Quarantine(u64),
    Standing(NodeName),
}

impl Key {
    /// Returns the key of an update, or `None` if it is not stored as a fact.
    pub(crate) fn of(update: &Update) -> Option<Self> {
        match update {
            Update::Standing { node, .. } => Some(Self::Standing(node.clone())),
            Update::Quarantine { fingerprint, .. } => Some(Self::Quarantine(*fingerprint)),
            Update::Leaving { target } => Some(Self::Leaving(target.clone())),
            Update::Demand { .. } => None,
        }
    }
}

#[derive(Clone, Debug)]
struct Entry {
    version: u64,
    update: Update,
    expires: Option<Duration>,
    hash: u64,
    /// Number of heartbeats that still have to carry the fact.
    sends_left: u32,
}

/// Position of a fact in the order of sending. Standings go last, because there are many of them
/// when many nodes start, and they must not delay other facts. Then facts with more sends left
/// go first.
type SendOrder = (bool, Reverse<u32>, Key);

fn send_order(key: &Key, sends_left: u32) -> SendOrder {
    (matches!(key, Key::Standing(_)), Reverse(sends_left), key.clone())
}

/// Set of the facts that a node holds.
#[derive(Clone, Debug)]
pub(crate) struct Facts {
    entries: BTreeMap<Key, Entry>,
    /// Facts with sends left, in the order of sending.
    pending: BTreeSet<SendOrder>,
    /// Exclusive or of the entries' hashes.
    digest: u64,
    /// Maximum number of facts.
    capacity: usize,
    /// Time of the last merge.
    last_change: Duration,
    /// Last key of the previous synchronisation chunk.
    sync_cursor: Option<Key>,
}

impl Facts {
    pub(crate) fn new(capacity: usize) -> Self {
        let sync_cursor = None;
        let (entries, pending) = (BTreeMap::new(), BTreeSet::new());
        Self { entries, pending, digest: 0, capacity, last_change: Duration::ZERO, sync_cursor }
    }

    pub(crate) fn digest(&self) -> u64 {
        self.digest
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the time of the last merge.
    pub(crate) fn last_change(&self) -> Duration {
        self.last_change
    }

    /// Returns the version of the next change to `key`.
    pub(crate) fn next_version(&self, key: &Key) -> u64 {
        self.entries.get(key).map_or(1, |entry| entry.version + 1)
    }

    /// Stores a fact that supersedes the one held, to be sent `sends` times; returns whether it
    /// was stored.
    pub(crate) fn merge(&mut self, now: Duration, fact: &Fact, sends: u32) -> bool {
        let Some(key) = Key::of(&fact.update) else { return false };
        if fact.ttl.is_some_and(|ttl| ttl < MIN_MERGE_TTL) {
            return false;
        }
        let held = self.entries.get(&key);
        if held.is_some_and(|held| !supersedes(fact, held)) {
            return false;
        }
        self.remove(&key);
        if self.entries.len() >= self.capacity {
            self.evict();
        }
        let hash = hash(&key, fact.version, &fact.update);
        let expires = fact.ttl.map(|ttl| now + ttl);
        let (version, update) = (fact.version, fact.update.clone());
        let entry = Entry { version, update, expires, hash, sends_left: sends };
        self.digest ^= hash;
        if sends > 0 {
            self.pending.insert(send_order(&key, sends));
        }
        self.entries.insert(key, entry);
        self.last_change = now;
        true
    }

    /// Removes expired facts.
    pub(crate) fn expire(&mut self, now: Duration) {
        let expired = |entry: &Entry| entry.expires.is_some_and(|expires| expires <= now);
        let keys: Vec<Key> = self
            .entries
            .iter()
            .filter(|(_, entry)| expired(entry))
            .map(|(key, _)| key.clone())
            .collect();
        for key in keys {
            self.remove(&key);
        }
    }

    /// Returns the next `max` facts in the order of sending, and counts them as sent.
    pub(crate) fn next_to_send(&mut self, now: Duration, max: usize) -> Vec<Fact> {
        let first: Vec<SendOrder> = self.pending.iter().take(max).cloned().collect();
        let mut facts = Vec::with_capacity(first.len());
        for order in first {
            self.pending.remove(&order);
            let (_, _, key) = order;
            let Some(entry) = self.entries.get_mut(&key) else { continue };
            entry.sends_left -= 1;
            if entry.sends_left > 0 {
                self.pending.insert(send_order(&key, entry.sends_left));
            }
            facts.push(entry.fact(now));
        }
        facts
    }

    /// Returns the next `max` facts in the order of their keys, for nodes that request all.
    /// After the last fact it starts over.
    pub(crate) fn next_sync_chunk(&mut self, now: Duration, max: usize) -> Vec<Fact> {
        use std::ops::Bound;
        let start = self.sync_cursor.take().map_or(Bound::Unbounded, Bound::Excluded);
        let mut facts = Vec::new();
        let mut last = None;
        for (key, entry) in self.entries.range((start, Bound::Unbounded)).take(max) {
            facts.push(entry.fact(now));
            last = Some(key.clone());
        }
        self.sync_cursor = if facts.len() == max { last } else { None };
        facts
    }

    /// Returns the fact about `key`.
    pub(crate) fn get(&self, now: Duration, key: &Key) -> Option<Fact> {
        self.entries.get(key).map(|entry| entry.fact(now))
    }

    fn remove(&mut self, key: &Key) {
        if let Some(entry) = self.entries.remove(key) {
            self.digest ^= entry.hash;
            self.pending.remove(&send_order(key, entry.sends_left));
        }
    }

    /// Removes the fact that would expire first.
    fn evict(&mut self) {
        let first = self
            .entries
            .iter()
            .min_by_key(|(_, entry)| entry.expires.unwrap_or(Duration::MAX))
            .map(|(key, _)| key.clone());
        if let Some(key) = first {
            self.remove(&key);
        }
    }
}

impl Entry {
    fn fact(&self, now: Duration) -> Fact {
        let ttl = self.expires.map(|expires| expires.saturating_sub(now));
        Fact { version: self.version, ttl, update: self.update.clone() }
    }
}

/// Returns the version of a standing, ordered by incarnation and then by state.
pub(crate) fn standing_version(incarnation: Incarnation, state: State) -> u64 {
    incarnation.saturating_mul(4).saturating_add(state as u64)
}

/// Returns whether `fact` replaces `held`: the higher version wins. Two nodes may assign the same
/// version to different updates about a request; then a confirmed quarantine wins over a
/// suspicion and the higher target name breaks ties, so that all nodes choose the same update.
fn supersedes(fact: &Fact, held: &Entry) -> bool {
    if fact.version != held.version {
        return fact.version > held.version;
    }
    match (&fact.update, &held.update) {
        (
            Update::Quarantine { confirmed, target, .. },
            Update::Quarantine { confirmed: held_confirmed, target: held_target, .. },
        ) => (confirmed, target) > (held_confirmed, held_target),
        _ => false,
    }
}

/// Returns the hash that a fact contributes to the digest. Alive standings contribute 0, because
/// most nodes are alive and known first-hand.
fn hash(key: &Key, version: u64, update: &Update) -> u64 {
    if matches!(update, Update::Standing { state: State::Alive, .. }) {
        return 0;
    }
    let mut hasher = SipHasher13::new();
    key.hash(&mut hasher);
    version.hash(&mut hasher);
    if let Update::Quarantine { target, confirmed, .. } = update {
        (target, confirmed).hash(&mut hasher);
    }
    hasher.finish()
}
