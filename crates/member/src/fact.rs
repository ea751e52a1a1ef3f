//! The facts that a node holds, with versions, expiry and a digest.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{Hash, Hasher};
use std::time::Duration;

use fleet::{NodeName, TargetName};
use siphasher::sip::SipHasher13;

use crate::{Fact, Incarnation, State, Update};

/// Less than this left, a fact is not taken over any more.
const MIN_MERGE_TTL: Duration = Duration::from_millis(200);

/// What a fact is about; there is one fact for each key.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) enum Key {
    Leaving(TargetName),
    Quarantine(u64),
    Standing(NodeName),
}

impl Key {
    /// The key of a piece of news; `None` for news that is not kept as a fact.
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
    /// Heartbeats that are still to carry it.
    sends_left: u32,
}

/// Place of a fact in the order of sending: word of nodes last, because it is plentiful when
/// many start and must not hold up the rest; then by the number of heartbeats left.
type SendOrder = (bool, Reverse<u32>, Key);

fn send_order(key: &Key, sends_left: u32) -> SendOrder {
    (matches!(key, Key::Standing(_)), Reverse(sends_left), key.clone())
}

/// The facts of one node.
#[derive(Clone, Debug)]
pub(crate) struct Facts {
    entries: BTreeMap<Key, Entry>,
    /// Facts still to be sent, in the order of sending.
    pending: BTreeSet<SendOrder>,
    /// Exclusive or of the entries' hashes.
    digest: u64,
    capacity: usize,
    /// When the last change came in.
    last_change: Duration,
    /// Where the last answer to a node that asked for all ended.
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

    /// When the last change came in.
    pub(crate) fn last_change(&self) -> Duration {
        self.last_change
    }

    /// Version of the next change to `key`.
    pub(crate) fn next_version(&self, key: &Key) -> u64 {
        self.entries.get(key).map_or(1, |entry| entry.version + 1)
    }

    /// Takes a fact over when it is newer than the one held, to be sent `sends` times.
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

    /// Drops what has expired.
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

    /// Picks up to `max` facts, urgent ones and those sent least first, and counts them as
    /// sent.
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

    /// The next `max` facts in order of their keys, for a node that asks for all.
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

    /// The fact about `key`.
    pub(crate) fn get(&self, now: Duration, key: &Key) -> Option<Fact> {
        self.entries.get(key).map(|entry| entry.fact(now))
    }

    fn remove(&mut self, key: &Key) {
        if let Some(entry) = self.entries.remove(key) {
            self.digest ^= entry.hash;
            self.pending.remove(&send_order(key, entry.sends_left));
        }
    }

    /// Drops the fact that would expire first.
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

/// Version of a standing: a higher incarnation goes first, then the worse state.
pub(crate) fn standing_version(incarnation: Incarnation, state: State) -> u64 {
    incarnation.saturating_mul(4).saturating_add(state as u64)
}

/// Higher versions win. Two nodes may give one version to different news about a request;
/// then the stricter news wins, so that all nodes choose the same.
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

/// Word that a node is alive counts for nothing: most nodes are, and know it first-hand.
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
