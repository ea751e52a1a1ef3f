//! The key-value store: a state machine without a clock. Callers pass the current time.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::fmt;
use std::ops::Bound;
use std::time::Duration;

/// Revision of the store. Each operation, transaction or lease expiry that changes the store
/// increments it by one.
pub type Revision = i64;
/// Identifier of a lease; 0 stands for no lease.
pub type LeaseId = i64;

/// Maximum size of a value, in bytes.
pub const MAX_VALUE_BYTES: usize = 1024 * 1024;
/// Maximum number of changes kept for watches that start at an earlier revision.
const MAX_HISTORY_CHANGES: usize = 10_000;

/// A key-value pair with its metadata.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The key.
    pub key: Vec<u8>,
    /// The value.
    pub value: Vec<u8>,
    /// Revision at which the key was created.
    pub created: Revision,
    /// Revision of the last change of the key.
    pub modified: Revision,
    /// Number of writes since the key was created, including the first.
    pub version: i64,
    /// Lease that the key is attached to; 0 for none.
    pub lease: LeaseId,
}

/// One change of a key, as watches deliver it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// The entry after the change. For a deletion only `key` and `modified` are meaningful.
    pub entry: Entry,
    /// Whether the key was deleted.
    pub deleted: bool,
}

/// A range of keys, from `start` inclusive to `end` exclusive.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Range {
    /// First key.
    pub start: Vec<u8>,
    /// First key after the range. Empty selects the single key `start`; one zero byte selects
    /// all keys from `start` on.
    pub end: Vec<u8>,
}

impl Range {
    /// Returns whether `key` is in the range.
    pub fn contains(&self, key: &[u8]) -> bool {
        if self.end.is_empty() {
            return key == self.start;
        }
        key >= self.start.as_slice() && (self.end == [0] || key < self.end.as_slice())
    }

    fn upper_bound(&self) -> Bound<Vec<u8>> {
        match self.end.as_slice() {
            [] => Bound::Included(self.start.clone()),
            [0] => Bound::Unbounded,
            _ => Bound::Excluded(self.end.clone()),
        }
    }
}

/// Attribute of a key that a condition compares, with the value to compare it with.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Comparison {
    /// Revision at which the key was created; 0 for an absent key.
    Created(Revision),
    /// Revision of the last change; 0 for an absent key.
    Modified(Revision),
    /// Version of the key; 0 for an absent key.
    Version(i64),
    /// Lease of the key; 0 for none or an absent key.
    Lease(LeaseId),
    /// Value of the key. A condition on the value of an absent key never holds.
    Value(Vec<u8>),
}

/// One condition of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Compare {
    /// The key.
    pub key: Vec<u8>,
    /// Right operand of the comparison; the left operand is the key's own attribute.
    pub comparison: Comparison,
    /// The orderings that satisfy the condition.
    pub accepts: &'static [std::cmp::Ordering],
}

/// One operation on the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Op {
    /// Reads keys.
    Range {
        /// Keys to read.
        range: Range,
        /// Maximum number of entries to return; 0 for all.
        limit: usize,
    },
    /// Writes a key.
    Put {
        /// The key.
        key: Vec<u8>,
        /// The value.
        value: Vec<u8>,
        /// Lease to attach the key to; 0 for none.
        lease: LeaseId,
    },
    /// Deletes keys.
    Delete(Range),
}

/// Result of one operation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Result of a read.
    Entries {
        /// Entries read, up to the limit.
        entries: Vec<Entry>,
        /// Number of keys in the range, regardless of the limit.
        count: usize,
    },
    /// The key was written.
    Put,
    /// Number of keys deleted.
    Deleted(usize),
}

/// Error of a store operation. The store is left unchanged, except that expired leases
/// are removed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The value exceeds [`MAX_VALUE_BYTES`].
    TooLarge,
    /// The lease does not exist or has expired.
    LeaseNotFound,
    /// The requested revision has been compacted. Contains the oldest available revision.
    Compacted(Revision),
    /// The key is empty.
    EmptyKey,
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Failure::TooLarge => write!(f, "etcdserver: request is too large"),
            Failure::LeaseNotFound => write!(f, "etcdserver: requested lease not found"),
            Failure::Compacted(_) => {
                write!(f, "etcdserver: mvcc: required revision has been compacted")
            }
            Failure::EmptyKey => write!(f, "etcdserver: key is not provided"),
        }
    }
}

impl std::error::Error for Failure {}

#[derive(Clone, Copy, Debug)]
struct Grant {
    ttl: Duration,
    deadline: Duration,
}

/// The key-value store. The `now` arguments of its methods are the time since the store was
/// created and never decrease from call to call.
#[derive(Debug)]
pub struct Store {
    revision: Revision,
    compacted: Revision,
    entries: BTreeMap<Vec<u8>, Entry>,
    history: VecDeque<Change>,
    leases: HashMap<LeaseId, Grant>,
    next_lease: LeaseId,
}

impl Default for Store {
    fn default() -> Self {
        Self {
            revision: 1,
            compacted: 0,
            entries: BTreeMap::new(),
            history: VecDeque::new(),
            leases: HashMap::new(),
            next_lease: 1,
        }
    }
}

impl Store {
    /// Returns the revision of the last change.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Runs `then` if all conditions hold and `otherwise` if not, atomically and in one revision.
    ///
    /// Returns whether the conditions held, and the outcomes in the order of the operations.
    ///
    /// # Errors
    ///
    /// Returns an error and applies no operation when any operation is invalid.
    pub fn transact(
        &mut self,
        now: Duration,
        conditions: &[Compare],
        then: &[Op],
        otherwise: &[Op],
    ) -> Result<(bool, Vec<Outcome>), Failure> {
        self.expire(now);
        let succeeded = conditions.iter().all(|condition| self.condition_holds(condition));
        let ops = if succeeded { then } else { otherwise };
        for op in ops {
            self.validate(op)?;
        }
        let revision = self.revision + 1;
        let outcomes = ops.iter().map(|op| self.apply(op, revision)).collect();
        Ok((succeeded, outcomes))
    }

    /// Runs a single operation.
    ///
    /// # Errors
    ///
    /// Returns an error and does not apply the operation when it is invalid.
    pub fn run(&mut self, now: Duration, op: &Op) -> Result<Outcome, Failure> {
        self.expire(now);
        self.validate(op)?;
        Ok(self.apply(op, self.revision + 1))
    }

    /// Grants a lease and returns its identifier. The store chooses one if `id` is 0.
    pub fn grant(&mut self, now: Duration, id: LeaseId, ttl: Duration) -> LeaseId {
        self.expire(now);
        let id = if id == 0 { self.next_lease } else { id };
        self.next_lease = self.next_lease.max(id) + 1;
        self.leases.insert(id, Grant { ttl, deadline: now + ttl });
        id
    }

    /// Renews a lease and returns its time to live, or `None` if it does not exist or has
    /// expired.
    pub fn renew(&mut self, now: Duration, id: LeaseId) -> Option<Duration> {
        self.expire(now);
        let grant = self.leases.get_mut(&id)?;
        grant.deadline = now + grant.ttl;
        Some(grant.ttl)
    }

    /// Revokes a lease and deletes the keys attached to it.
    ///
    /// # Errors
    ///
    /// Returns an error when the lease does not exist or has expired.
    pub fn revoke(&mut self, now: Duration, id: LeaseId) -> Result<(), Failure> {
        self.expire(now);
        self.leases.remove(&id).ok_or(Failure::LeaseNotFound)?;
        self.delete_lease_keys(id);
        Ok(())
    }

    /// Removes the leases that have expired by `now` and deletes the keys attached to them.
    pub fn expire(&mut self, now: Duration) {
        let mut expired: Vec<LeaseId> = self
            .leases
            .iter()
            .filter(|(_, grant)| grant.deadline <= now)
            .map(|(id, _)| *id)
            .collect();
        expired.sort_unstable();
        for id in expired {
            self.leases.remove(&id);
            self.delete_lease_keys(id);
        }
    }

    /// Returns the changes in `range` from revision `from` on, in the order of their revisions.
    ///
    /// # Errors
    ///
    /// Returns an error when `from` is older than the oldest revision that is kept.
    pub fn changes(&self, range: &Range, from: Revision) -> Result<Vec<Change>, Failure> {
        if from < self.compacted {
            return Err(Failure::Compacted(self.compacted));
        }
        let first = self.history.partition_point(|change| change.entry.modified < from);
        let kept = self.history.range(first..);
        Ok(kept.filter(|change| range.contains(&change.entry.key)).cloned().collect())
    }

    /// Discards the changes before `revision`, which is capped at the current revision.
    pub fn compact(&mut self, revision: Revision) {
        self.compacted = self.compacted.max(revision.min(self.revision));
        let compacted = self.compacted;
        self.history.retain(|change| change.entry.modified >= compacted);
    }

    fn condition_holds(&self, condition: &Compare) -> bool {
        let entry = self.entries.get(&condition.key);
        let number = |field: fn(&Entry) -> i64| entry.map_or(0, field);
        let ordering = match &condition.comparison {
            Comparison::Created(right) => number(|entry| entry.created).cmp(right),
            Comparison::Modified(right) => number(|entry| entry.modified).cmp(right),
            Comparison::Version(right) => number(|entry| entry.version).cmp(right),
            Comparison::Lease(right) => number(|entry| entry.lease).cmp(right),
            Comparison::Value(right) => match entry {
                Some(entry) => entry.value.cmp(right),
                None => return false,
            },
        };
        condition.accepts.contains(&ordering)
    }

    fn validate(&self, op: &Op) -> Result<(), Failure> {
        match op {
            Op::Put { key, .. } if key.is_empty() => Err(Failure::EmptyKey),
            Op::Put { value, .. } if value.len() > MAX_VALUE_BYTES => Err(Failure::TooLarge),
            Op::Put { lease, .. } if *lease != 0 && !self.leases.contains_key(lease) => {
                Err(Failure::LeaseNotFound)
            }
            _ => Ok(()),
        }
    }

    fn apply(&mut self, op: &Op, revision: Revision) -> Outcome {
        match op {
            Op::Range { range, limit } => self.read(range, *limit),
            Op::Put { key, value, lease } => {
                self.put(key.clone(), value.clone(), *lease, revision);
                Outcome::Put
            }
            Op::Delete(range) => Outcome::Deleted(self.delete(range, revision)),
        }
    }

    fn entries_in(&self, range: &Range) -> impl Iterator<Item = &Entry> {
        let bounds = (Bound::Included(range.start.clone()), range.upper_bound());
        // An end at or before the start selects nothing. `BTreeMap::range` would panic on an end
        // before the start.
        let empty = matches!(&bounds.1, Bound::Excluded(end) if *end <= range.start);
        let bounds = if empty { None } else { Some(bounds) };
        bounds.into_iter().flat_map(|bounds| self.entries.range(bounds)).map(|(_, entry)| entry)
    }

    fn read(&self, range: &Range, limit: usize) -> Outcome {
        let count = self.entries_in(range).count();
        let limit = if limit == 0 { usize::MAX } else { limit };
        Outcome::Entries { entries: self.entries_in(range).take(limit).cloned().collect(), count }
    }

    fn put(&mut self, key: Vec<u8>, value: Vec<u8>, lease: LeaseId, revision: Revision) {
        let (created, version) =
            self.entries.get(&key).map_or((revision, 0), |entry| (entry.created, entry.version));
        let entry = Entry {
            key: key.clone(),
            value,
            created,
            modified: revision,
            version: version + 1,
            lease,
        };
        self.entries.insert(key, entry.clone());
        self.record_change(Change { entry, deleted: false }, revision);
    }

    fn delete(&mut self, range: &Range, revision: Revision) -> usize {
        let keys: Vec<Vec<u8>> = self.entries_in(range).map(|entry| entry.key.clone()).collect();
        for key in &keys {
            if let Some(mut entry) = self.entries.remove(key) {
                entry.modified = revision;
                entry.value.clear();
                self.record_change(Change { entry, deleted: true }, revision);
            }
        }
        keys.len()
    }

    fn delete_lease_keys(&mut self, id: LeaseId) {
        let keys: Vec<Vec<u8>> = self
            .entries
            .values()
            .filter(|entry| entry.lease == id)
            .map(|entry| entry.key.clone())
            .collect();
        let revision = self.revision + 1;
        for key in keys {
            self.delete(&Range { start: key, end: Vec::new() }, revision);
        }
    }

    fn record_change(&mut self, change: Change, revision: Revision) {
        debug_assert!(revision >= self.revision, "revisions never decrease");
        self.revision = revision;
        self.history.push_back(change);
        if self.history.len() > MAX_HISTORY_CHANGES {
            let oldest = self.history[0].entry.modified;
            self.compact(oldest + 1);
        }
    }
}
