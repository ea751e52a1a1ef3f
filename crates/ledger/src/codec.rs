//! Encodes and decodes the stored form of a shard: a protocol buffer with a format version.

use std::time::Duration;

use prost::Message;

use crate::{DecodeError, Outcome, Record, Shard};

/// Version of the stored form.
const FORMAT: u32 = 1;
/// Values of `StoredRecord::kind`.
const KIND_OPEN: u32 = 0;
const KIND_ANSWER: u32 = 1;
const KIND_OVERSIZE: u32 = 2;
const KIND_UNKNOWN: u32 = 3;

#[derive(Clone, PartialEq, Message)]
struct StoredShard {
    #[prost(uint32, tag = "1")]
    format: u32,
    #[prost(fixed64, tag = "2")]
    life: u64,
    #[prost(uint64, tag = "3")]
    ticket: u64,
    #[prost(uint64, tag = "4")]
    clock_ms: u64,
    #[prost(message, repeated, tag = "5")]
    records: Vec<StoredRecord>,
}

#[derive(Clone, PartialEq, Message)]
struct StoredRecord {
    #[prost(bytes = "vec", tag = "1")]
    key: Vec<u8>,
    #[prost(fixed64, tag = "2")]
    life: u64,
    #[prost(bytes = "vec", tag = "3")]
    request: Vec<u8>,
    #[prost(fixed64, tag = "4")]
    digest: u64,
    #[prost(uint64, tag = "5")]
    at_ms: u64,
    #[prost(uint32, tag = "6")]
    kind: u32,
    #[prost(uint32, tag = "7")]
    status: u32,
    #[prost(string, tag = "8")]
    content_type: String,
    #[prost(bytes = "vec", tag = "9")]
    body: Vec<u8>,
    #[prost(uint64, tag = "10")]
    bytes: u64,
}

impl Shard {
    /// Encodes the shard into its stored form.
    pub fn encode(&self) -> Vec<u8> {
        let stored = StoredShard {
            format: FORMAT,
            life: self.nonce.0,
            ticket: self.nonce.1,
            clock_ms: millis(self.clock),
            records: self.records().map(|(id, record)| encode_record(id, record)).collect(),
        };
        stored.encode_to_vec()
    }

    /// Decodes the stored form. An empty value decodes to an empty shard.
    ///
    /// # Errors
    ///
    /// Returns [`DecodeError`] if the value is malformed or has another format version. Its claims
    /// are then unknown, so no request whose key belongs to the shard may run.
    pub fn decode(value: &[u8]) -> Result<Self, DecodeError> {
        let mut shard = Shard::default();
        if value.is_empty() {
            return Ok(shard);
        }
        let stored = StoredShard::decode(value).map_err(|_| DecodeError)?;
        if stored.format != FORMAT {
            return Err(DecodeError);
        }
        shard.nonce = (stored.life, stored.ticket);
        shard.clock = Duration::from_millis(stored.clock_ms);
        for record in stored.records {
            let id = record.key.as_slice().try_into().map_err(|_| DecodeError)?;
            shard.put(id, decode_record(record)?);
        }
        Ok(shard)
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

fn encode_record(id: &[u8], record: &Record) -> StoredRecord {
    let mut stored = StoredRecord {
        key: id.to_vec(),
        life: record.incarnation,
        request: record.request.to_le_bytes().to_vec(),
        digest: record.digest,
        at_ms: millis(record.at),
        ..StoredRecord::default()
    };
    match &record.outcome {
        // The record of a call that was not run is removed instead of stored with that outcome.
        None | Some(Outcome::NotRun) => stored.kind = KIND_OPEN,
        Some(Outcome::Unknown) => stored.kind = KIND_UNKNOWN,
        Some(Outcome::Oversize { status, bytes }) => {
            stored.kind = KIND_OVERSIZE;
            stored.status = u32::from(*status);
            stored.bytes = *bytes;
        }
        Some(Outcome::Answer { status, content_type, body }) => {
            stored.kind = KIND_ANSWER;
            stored.status = u32::from(*status);
            stored.content_type = content_type.to_string();
            stored.body = body.clone();
        }
    }
    stored
}

fn decode_record(stored: StoredRecord) -> Result<Record, DecodeError> {
    let request = stored.request.as_slice().try_into().map_err(|_| DecodeError)?;
    let status = u16::try_from(stored.status).map_err(|_| DecodeError)?;
    let outcome = match stored.kind {
        KIND_OPEN => None,
        KIND_UNKNOWN => Some(Outcome::Unknown),
        KIND_OVERSIZE => Some(Outcome::Oversize { status, bytes: stored.bytes }),
        KIND_ANSWER => {
            let content_type = stored.content_type.into();
            Some(Outcome::Answer { status, content_type, body: stored.body })
        }
        _ => return Err(DecodeError),
    };
    Ok(Record {
        incarnation: stored.life,
        request: u128::from_le_bytes(request),
        digest: stored.digest,
        at: Duration::from_millis(stored.at_ms),
        outcome,
    })
}
