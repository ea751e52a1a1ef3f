//! Bodies of the JSON form of the etcd v3 API. Keys and values are base64, 64-bit integers are
//! strings, and fields that hold the zero value may be absent.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde::{Deserialize, Deserializer, Serialize, Serializer, de};

/// Bytes, encoded in base64.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Bytes(pub(crate) Vec<u8>);

/// A 64-bit integer, written as a string and read from a string or a number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Number(pub(crate) u64);

impl Serialize for Bytes {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&STANDARD.encode(&self.0))
    }
}

impl<'de> Deserialize<'de> for Bytes {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        STANDARD.decode(text).map(Bytes).map_err(de::Error::custom)
    }
}

impl Serialize for Number {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(&self.0)
    }
}

#[derive(Deserialize)]
#[serde(untagged)]
enum StringOrNumber {
    Text(String),
    Number(u64),
}

impl<'de> Deserialize<'de> for Number {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        match StringOrNumber::deserialize(deserializer)? {
            StringOrNumber::Text(text) => text.parse().map(Number).map_err(de::Error::custom),
            StringOrNumber::Number(number) => Ok(Number(number)),
        }
    }
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct Header {
    pub(crate) revision: Number,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct KeyValue {
    pub(crate) key: Bytes,
    pub(crate) value: Bytes,
    pub(crate) create_revision: Number,
    pub(crate) mod_revision: Number,
    pub(crate) version: Number,
}

#[derive(Debug, Default, Serialize)]
pub(crate) struct RangeRequest {
    pub(crate) key: Bytes,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) range_end: Option<Bytes>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) revision: Option<Number>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct RangeResponse {
    pub(crate) header: Header,
    pub(crate) kvs: Vec<KeyValue>,
}

#[derive(Debug, Serialize)]
pub(crate) struct Compare {
    pub(crate) key: Bytes,
    pub(crate) target: &'static str,
    pub(crate) result: &'static str,
    pub(crate) mod_revision: Number,
}

impl Compare {
    pub(crate) fn revision(key: &str, revision: u64) -> Self {
        Self {
            key: Bytes(key.as_bytes().to_vec()),
            target: "MOD",
            result: "EQUAL",
            mod_revision: Number(revision),
        }
    }
}

#[derive(Debug, Serialize)]
pub(crate) struct PutRequest {
    pub(crate) key: Bytes,
    pub(crate) value: Bytes,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) lease: Option<Number>,
}

#[derive(Debug, Serialize)]
pub(crate) struct DeleteRequest {
    pub(crate) key: Bytes,
}

#[derive(Debug, Serialize)]
pub(crate) enum Operation {
    #[serde(rename = "request_put")]
    Put(PutRequest),
    #[serde(rename = "request_range")]
    Range(RangeRequest),
    #[serde(rename = "request_delete_range")]
    Delete(DeleteRequest),
}

#[derive(Debug, Serialize)]
pub(crate) struct TxnRequest {
    pub(crate) compare: Vec<Compare>,
    pub(crate) success: Vec<Operation>,
    pub(crate) failure: Vec<Operation>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct TxnResponse {
    pub(crate) header: Header,
    pub(crate) succeeded: bool,
    pub(crate) responses: Vec<OperationResponse>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct OperationResponse {
    pub(crate) response_range: Option<RangeResponse>,
}

#[derive(Debug, Serialize)]
pub(crate) struct GrantRequest {
    #[serde(rename = "TTL")]
    pub(crate) ttl: Number,
}

#[derive(Debug, Serialize)]
pub(crate) struct LeaseRequest {
    #[serde(rename = "ID")]
    pub(crate) id: Number,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct LeaseResponse {
    #[serde(rename = "ID")]
    pub(crate) id: Number,
    #[serde(rename = "TTL")]
    pub(crate) ttl: Number,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct KeepaliveResponse {
    pub(crate) result: LeaseResponse,
}

#[derive(Debug, Serialize)]
pub(crate) struct WatchRequest {
    pub(crate) create_request: WatchCreate,
}

#[derive(Debug, Serialize)]
pub(crate) struct WatchCreate {
    pub(crate) key: Bytes,
    pub(crate) start_revision: Number,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct WatchLine {
    pub(crate) result: Option<WatchResponse>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct WatchResponse {
    pub(crate) created: bool,
    pub(crate) canceled: bool,
    pub(crate) compact_revision: Number,
    pub(crate) events: Vec<WatchEvent>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct WatchEvent {
    #[serde(rename = "type")]
    pub(crate) kind: Option<String>,
    pub(crate) kv: KeyValue,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct Failure {
    pub(crate) code: u32,
    #[serde(alias = "error")]
    pub(crate) message: String,
}
