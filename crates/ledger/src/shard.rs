//! Content of one shard.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use fleet::RequestId;

use crate::{KeyId, Outcome, Settings};

/// Claims and outcomes kept in one stored value.
///
/// The clock of a shard is the sum of the intervals between reading one value and writing the
/// next, each measured by the writer on its own monotonic clock. It never runs ahead of real time,
/// so a record's age is never overestimated, and the nodes' clocks need not be synchronised.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Shard {
    /// Nonce of the last write: the writer's incarnation and the ticket of the operation.
    pub nonce: (u64, u64),
    /// Clock of the shard; see the type.
    pub clock: Duration,
    records: BTreeMap<KeyId, Arc<Record>>,
    bytes: usize,
    open: usize,
}

/// One claim and, once it is known, its outcome.
#[derive(Clone, Debug, PartialEq)]
pub struct Record {
    /// Incarnation of the process that holds the claim.
    pub incarnation: u64,
    /// Attempt that holds the claim.
    pub request: RequestId,
    /// Digest of the request's method, path and body.
    pub digest: u64,
    /// Reading of the shard's clock when the claim was recorded or, later, its outcome.
    pub at: Duration,
    /// Outcome of the call; `None` until it is recorded.
    pub outcome: Option<Outcome>,
}

/// A stored value is not a shard in a known form.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DecodeError;

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "stored shard is malformed or has an unknown format version")
    }
}

impl std::error::Error for DecodeError {}

/// Upper bound of the size of a record without its outcome, in bytes, including its framing in the
/// stored value.
const RECORD_BYTES: usize = 80;
/// Upper bound of the size of an outcome without content type and body, in bytes.
const ANSWER_BYTES: usize = 24;

impl Record {
    /// Whether the claim is held by attempt `request` of process incarnation `incarnation`.
    pub fn is_held_by(&self, incarnation: u64, request: RequestId) -> bool {
        self.incarnation == incarnation && self.request == request
    }

    /// Returns an upper bound of the record's size in the stored value, in bytes.
    pub fn size(&self) -> usize {
        RECORD_BYTES + self.outcome.as_ref().map_or(0, outcome_size)
    }
}

/// Returns an upper bound of an outcome's size in the stored value, in bytes.
pub(crate) fn outcome_size(outcome: &Outcome) -> usize {
    match outcome {
        Outcome::Answer { content_type, body, .. } => {
            ANSWER_BYTES + content_type.len() + body.len()
        }
        _ => ANSWER_BYTES,
    }
}

impl Shard {
    /// Returns the record of a key.
    pub fn get(&self, id: &KeyId) -> Option<&Record> {
        self.records.get(id).map(Arc::as_ref)
    }

    /// Iterates over all records in key order.
    pub fn records(&self) -> impl Iterator<Item = (&KeyId, &Record)> {
        self.records.iter().map(|(id, record)| (id, record.as_ref()))
    }

    /// Returns an upper bound of the size of the stored value, in bytes.
    pub fn size(&self) -> usize {
        self.bytes
    }

    /// Inserts the record of a key, replacing an earlier one.
    pub fn put(&mut self, id: KeyId, record: Record) {
        self.remove(&id);
        self.bytes += record.size();
        self.open += usize::from(record.outcome.is_none());
        self.records.insert(id, Arc::new(record));
    }

    /// Removes the record of a key, if there is one.
    pub fn remove(&mut self, id: &KeyId) {
        let Some(record) = self.records.remove(id) else { return };
        self.bytes -= record.size();
        self.open -= usize::from(record.outcome.is_none());
    }

    /// Whether there is room for one more claim and the reserve for its answer.
    pub(crate) fn has_room(&self, settings: &Settings) -> bool {
        let claim = RECORD_BYTES + settings.reserve_bytes;
        self.bytes + self.open * settings.reserve_bytes + claim <= settings.max_shard_bytes
    }

    /// Whether an outcome fits without using space reserved for other open claims. An outcome no
    /// larger than the reserve always fits.
    pub(crate) fn has_room_for(&self, outcome: &Outcome, settings: &Settings) -> bool {
        let size = outcome_size(outcome);
        let reserved = self.open.saturating_sub(1) * settings.reserve_bytes;
        size <= settings.reserve_bytes || self.bytes + reserved + size <= settings.max_shard_bytes
    }

    /// Removes records past their retention and returns how many were removed.
    ///
    /// A record past the maximum retention is always removed. While the shard is larger than the
    /// compaction threshold, records past the guaranteed retention are removed too, oldest first.
    pub(crate) fn compact(&mut self, settings: &Settings) -> usize {
        let before = self.records.len();
        let mut past_retention: Vec<(Duration, KeyId)> = Vec::new();
        for (id, record) in &self.records {
            let retention = match record.outcome {
                Some(_) => settings.retention,
                None => settings.open_retention,
            };
            if self.clock.saturating_sub(record.at) >= retention {
                past_retention.push((record.at, *id));
            }
        }
        past_retention.sort_unstable();
        for (at, id) in past_retention {
            let expired = self.clock.saturating_sub(at) >= settings.max_retention;
            if expired || self.bytes > settings.compaction_threshold_bytes {
                self.remove(&id);
            }
        }
        before - self.records.len()
    }
}
