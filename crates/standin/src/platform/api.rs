//! Requests and responses of the etcd v3 JSON API. Bytes are encoded in base64 and
//! 64-bit integers as strings. Responses omit fields with default values.

use std::cmp::Ordering;

use base64::Engine as _;
use base64::prelude::BASE64_STANDARD;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

use super::store::{Change, Compare, Comparison, Entry, Op, Outcome, Range, Revision};

/// A byte string, encoded in base64.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Bytes(pub(super) Vec<u8>);

impl Bytes {
    fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl Serialize for Bytes {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&BASE64_STANDARD.encode(&self.0))
    }
}

impl<'de> Deserialize<'de> for Bytes {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        BASE64_STANDARD.decode(text).map(Self).map_err(serde::de::Error::custom)
    }
}

/// A 64-bit integer. It is serialized as a string and deserialized from a string or a number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Long(pub(super) i64);

impl Long {
    fn is_zero(&self) -> bool {
        self.0 == 0
    }
}

impl Serialize for Long {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(&self.0)
    }
}

#[derive(Deserialize)]
#[serde(untagged)]
enum LongForm {
    Number(i64),
    Text(String),
}

impl<'de> Deserialize<'de> for Long {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        match LongForm::deserialize(deserializer)? {
            LongForm::Number(number) => Ok(Self(number)),
            LongForm::Text(text) => text.parse().map(Self).map_err(serde::de::Error::custom),
        }
    }
}

#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct RangeRequest {
    pub(super) key: Bytes,
    #[serde(alias = "rangeEnd")]
    pub(super) range_end: Bytes,
    pub(super) limit: Long,
}

#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct PutRequest {
    pub(super) key: Bytes,
    pub(super) value: Bytes,
    pub(super) lease: Long,
}

#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct DeleteRequest {
    pub(super) key: Bytes,
    #[serde(alias = "rangeEnd")]
    pub(super) range_end: Bytes,
}

#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct TxnRequest {
    compare: Vec<CompareRequest>,
    success: Vec<OpRequest>,
    failure: Vec<OpRequest>,
}

#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
enum Relation {
    #[default]
    Equal,
    Greater,
    Less,
    #[serde(rename = "NOT_EQUAL")]
    NotEqual,
}

#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
enum Field {
    #[default]
    Version,
    Create,
    Mod,
    Value,
    Lease,
}

#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
struct CompareRequest {
    result: Relation,
    target: Field,
    key: Bytes,
    version: Long,
    #[serde(alias = "createRevision")]
    create_revision: Long,
    #[serde(alias = "modRevision")]
    mod_revision: Long,
    value: Bytes,
    lease: Long,
}

#[derive(Clone, Debug, Deserialize)]
enum OpRequest {
    #[serde(rename = "request_range", alias = "requestRange")]
    Range(RangeRequest),
    #[serde(rename = "request_put", alias = "requestPut")]
    Put(PutRequest),
    #[serde(rename = "request_delete_range", alias = "requestDeleteRange")]
    Delete(DeleteRequest),
}

#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct LeaseRequest {
    #[serde(rename = "TTL")]
    pub(super) ttl: Long,
    #[serde(rename = "ID")]
    pub(super) id: Long,
}

#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct WatchRequest {
    #[serde(alias = "createRequest")]
    pub(super) create_request: WatchCreate,
}

#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct WatchCreate {
    pub(super) key: Bytes,
    #[serde(alias = "rangeEnd")]
    pub(super) range_end: Bytes,
    #[serde(alias = "startRevision")]
    pub(super) start_revision: Long,
    #[serde(alias = "progressNotify")]
    pub(super) progress_notify: bool,
}

#[derive(Clone, Debug, Serialize)]
pub(super) struct Header {
    pub(super) cluster_id: Long,
    pub(super) member_id: Long,
    pub(super) revision: Long,
    pub(super) raft_term: Long,
}

impl Header {
    pub(super) fn new(revision: Revision) -> Self {
        Self {
            cluster_id: Long(1),
            member_id: Long(1),
            revision: Long(revision),
            raft_term: Long(1),
        }
    }
}

#[derive(Clone, Debug, Serialize)]
pub(super) struct KeyValue {
    key: Bytes,
    #[serde(skip_serializing_if = "Long::is_zero")]
    create_revision: Long,
    mod_revision: Long,
    #[serde(skip_serializing_if = "Long::is_zero")]
    version: Long,
    #[serde(skip_serializing_if = "Bytes::is_empty")]
    value: Bytes,
    #[serde(skip_serializing_if = "Long::is_zero")]
    lease: Long,
}

impl KeyValue {
    fn new(entry: Entry) -> Self {
        Self {
            key: Bytes(entry.key),
            create_revision: Long(entry.created),
            mod_revision: Long(entry.modified),
            version: Long(entry.version),
            value: Bytes(entry.value),
            lease: Long(entry.lease),
        }
    }

    fn tombstone(entry: Entry) -> Self {
        Self::new(Entry { created: 0, version: 0, value: Vec::new(), lease: 0, ..entry })
    }
}

/// Response to a unary call. Fields that the call does not set are omitted.
#[derive(Clone, Debug, Default, Serialize)]
pub(super) struct Response {
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(super) header: Option<Header>,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub(super) kvs: Vec<KeyValue>,
    #[serde(skip_serializing_if = "Long::is_zero")]
    pub(super) count: Long,
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub(super) more: bool,
    #[serde(skip_serializing_if = "Long::is_zero")]
    pub(super) deleted: Long,
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub(super) succeeded: bool,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub(super) responses: Vec<OpResponse>,
    #[serde(rename = "ID", skip_serializing_if = "Long::is_zero")]
    pub(super) id: Long,
    #[serde(rename = "TTL", skip_serializing_if = "Long::is_zero")]
    pub(super) ttl: Long,
}

#[derive(Clone, Debug, Serialize)]
pub(super) enum OpResponse {
    #[serde(rename = "response_range")]
    Range(Response),
    #[serde(rename = "response_put")]
    Put(Response),
    #[serde(rename = "response_delete_range")]
    Delete(Response),
}

/// One line of a streamed response.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Line<T> {
    pub(super) result: T,
}

#[derive(Clone, Debug, Default, Serialize)]
pub(super) struct WatchResponse {
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(super) header: Option<Header>,
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub(super) created: bool,
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub(super) canceled: bool,
    #[serde(skip_serializing_if = "Long::is_zero")]
    pub(super) compact_revision: Long,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub(super) events: Vec<WatchEvent>,
}

#[derive(Clone, Debug, Serialize)]
pub(super) struct WatchEvent {
    #[serde(skip_serializing_if = "Option::is_none")]
    r#type: Option<&'static str>,
    kv: KeyValue,
}

impl WatchEvent {
    pub(super) fn new(change: Change) -> Self {
        match change.deleted {
            true => Self { r#type: Some("DELETE"), kv: KeyValue::tombstone(change.entry) },
            false => Self { r#type: None, kv: KeyValue::new(change.entry) },
        }
    }
}

/// Body of an error response.
#[derive(Clone, Debug, Serialize)]
pub(super) struct ErrorBody {
    pub(super) error: String,
    pub(super) message: String,
    pub(super) code: u32,
}

impl RangeRequest {
    pub(super) fn into_op(self) -> Op {
        let limit = usize::try_from(self.limit.0).unwrap_or(0);
        Op::Range { range: Range { start: self.key.0, end: self.range_end.0 }, limit }
    }
}

impl PutRequest {
    pub(super) fn into_op(self) -> Op {
        Op::Put { key: self.key.0, value: self.value.0, lease: self.lease.0 }
    }
}

impl DeleteRequest {
    pub(super) fn into_op(self) -> Op {
        Op::Delete(Range { start: self.key.0, end: self.range_end.0 })
    }
}

/// Conditions of a transaction, and the operations to run when they hold or do not hold.
pub(super) struct Txn {
    pub(super) conditions: Vec<Compare>,
    pub(super) then: Vec<Op>,
    pub(super) otherwise: Vec<Op>,
}

impl TxnRequest {
    pub(super) fn into_txn(self) -> Txn {
        let ops = |list: Vec<OpRequest>| list.into_iter().map(OpRequest::into_op).collect();
        Txn {
            conditions: self.compare.into_iter().map(CompareRequest::into_compare).collect(),
            then: ops(self.success),
            otherwise: ops(self.failure),
        }
    }
}

impl OpRequest {
    fn into_op(self) -> Op {
        match self {
            OpRequest::Range(request) => request.into_op(),
            OpRequest::Put(request) => request.into_op(),
            OpRequest::Delete(request) => request.into_op(),
        }
    }
}

impl CompareRequest {
    fn into_compare(self) -> Compare {
        let comparison = match self.target {
            Field::Version => Comparison::Version(self.version.0),
            Field::Create => Comparison::Created(self.create_revision.0),
            Field::Mod => Comparison::Modified(self.mod_revision.0),
            Field::Value => Comparison::Value(self.value.0),
            Field::Lease => Comparison::Lease(self.lease.0),
        };
        let accepts: &[Ordering] = match self.result {
            Relation::Equal => &[Ordering::Equal],
            Relation::Greater => &[Ordering::Greater],
            Relation::Less => &[Ordering::Less],
            Relation::NotEqual => &[Ordering::Less, Ordering::Greater],
        };
        Compare { key: self.key.0, comparison, accepts }
    }
}

impl Response {
    /// Converts the outcome of one operation to a response without a header.
    pub(super) fn new(outcome: Outcome) -> Self {
        match outcome {
            Outcome::Entries { entries, count } => Self {
                more: entries.len() < count,
                count: Long(i64::try_from(count).unwrap_or(i64::MAX)),
                kvs: entries.into_iter().map(KeyValue::new).collect(),
                ..Self::default()
            },
            Outcome::Put => Self::default(),
            Outcome::Deleted(count) => {
                Self { deleted: Long(i64::try_from(count).unwrap_or(i64::MAX)), ..Self::default() }
            }
        }
    }

    /// Converts the outcome of one operation in a transaction to an element of `responses`.
    pub(super) fn txn_item(outcome: Outcome) -> OpResponse {
        let wrap = match &outcome {
            Outcome::Entries { .. } => OpResponse::Range,
            Outcome::Put => OpResponse::Put,
            Outcome::Deleted(_) => OpResponse::Delete,
        };
        wrap(Self::new(outcome))
    }

    /// Sets the header to one with `revision`.
    pub(super) fn with_header(mut self, revision: Revision) -> Self {
        self.header = Some(Header::new(revision));
        self
    }
}
