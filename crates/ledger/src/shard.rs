//! The content of one shard.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use fleet::RequestId;

use crate::{KeyId, Outcome, Settings};

/// Claims and outcomes that are kept in one stored value.
///
/// The clock of a shard is the sum of the times that its writers measured, each on its own
/// monotonic clock, between seeing one value and writing the next. It never runs ahead of true
/// time, so a record is never taken for older than it is; it needs no agreement between clocks.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Shard {
    /// Nonce of the last write: the writer's life and its ticket.
    pub nonce: (u64, u64),
    /// Time that has passed for this shard.
    pub clock: Duration,
    records: BTreeMap<KeyId, Arc<Record>>,
    bytes: usize,
    open: usize,
}

/// One claim.
#[derive(Clone, Debug, PartialEq)]
pub struct Record {
    /// Life of the process that holds the claim.
    pub life: u64,
    /// Sending that holds the claim.
    pub request: RequestId,
    /// Digest of the request.
    pub digest: u64,
    /// Shard's clock when the claim was made, or when its outcome was added.
    pub at: Duration,
    /// What came of it; `None` while that is not known.
    pub outcome: Option<Outcome>,
}

/// A stored value that is no shard of a known form.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Unreadable;

impl fmt::Display for Unreadable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the stored value is no shard of a known form")
    }
}

impl std::error::Error for Unreadable {}

/// Bytes of a record without its answer, its frame in the stored value included.
const RECORD_BYTES: usize = 80;
/// Bytes of an answer without content type and body.
const ANSWER_BYTES: usize = 24;

impl Record {
    /// Whether this claim is held by a sending of one life of a process.
    pub fn is_held_by(&self, life: u64, request: RequestId) -> bool {
        self.life == life && self.request == request
    }

    /// Upper bound of the size in the stored value, in bytes.
    pub fn size(&self) -> usize {
        RECORD_BYTES + self.outcome.as_ref().map_or(0, answer_size)
    }
}

/// Upper bound of the size of an outcome in the stored value, in bytes.
pub(crate) fn answer_size(outcome: &Outcome) -> usize {
    match outcome {
        Outcome::Answer { content_type, body, .. } => {
            ANSWER_BYTES + content_type.len() + body.len()
        }
        _ => ANSWER_BYTES,
    }
}

impl Shard {
    /// The record under a key.
    pub fn get(&self, id: &KeyId) -> Option<&Record> {
        self.records.get(id).map(Arc::as_ref)
    }

    /// All records in order of their keys.
    pub fn records(&self) -> impl Iterator<Item = (&KeyId, &Record)> {
        self.records.iter().map(|(id, record)| (id, record.as_ref()))
    }

    /// Upper bound of the size of the stored value in bytes.
    pub fn size(&self) -> usize {
        self.bytes
    }

    /// Puts a record under a key.
    pub fn put(&mut self, id: KeyId, record: Record) {
        self.remove(&id);
        self.bytes += record.size();
        self.open += usize::from(record.outcome.is_none());
        self.records.insert(id, Arc::new(record));
    }

    /// Removes the record under a key.
    pub fn remove(&mut self, id: &KeyId) {
        let Some(record) = self.records.remove(id) else { return };
        self.bytes -= record.size();
        self.open -= usize::from(record.outcome.is_none());
    }

    /// Whether one more claim and its answer find room.
    pub(crate) fn has_room(&self, settings: &Settings) -> bool {
        let claim = RECORD_BYTES + settings.reserve_bytes;
        self.bytes + self.open * settings.reserve_bytes + claim <= settings.max_bytes
    }

    /// Whether an answer finds room without taking any that is reserved for others. One that is
    /// no larger than the reserve always does.
    pub(crate) fn has_room_for(&self, outcome: &Outcome, settings: &Settings) -> bool {
        let size = answer_size(outcome);
        let others = self.open.saturating_sub(1) * settings.reserve_bytes;
        size <= settings.reserve_bytes || self.bytes + others + size <= settings.max_bytes
    }

    /// Drops records past their retention; returns how many.
    ///
    /// A record past the longest retention always goes. While the shard is larger than its
    /// roomy size, those past the promised retention go too, oldest first.
    pub(crate) fn compact(&mut self, settings: &Settings) -> usize {
        let before = self.records.len();
        let mut old: Vec<(Duration, KeyId)> = Vec::new();
        for (id, record) in &self.records {
            let promised = match record.outcome {
                Some(_) => settings.retention,
                None => settings.open_retention,
            };
            if self.clock.saturating_sub(record.at) >= promised {
                old.push((record.at, *id));
            }
        }
        old.sort_unstable();
        for (at, id) in old {
            let expired = self.clock.saturating_sub(at) >= settings.longest_retention;
            if expired || self.bytes > settings.roomy_bytes {
                self.remove(&id);
            }
        }
        before - self.records.len()
    }
}
