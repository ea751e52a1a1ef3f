//! Requests as passed to handlers.

use bytes::Bytes;
use hyper::{HeaderMap, Method};
use serde::de::DeserializeOwned;

/// One request with its complete body.
pub(crate) struct Call {
    /// Request method.
    pub(crate) method: Method,
    /// Path without the query.
    pub(crate) path: String,
    /// Query without the question mark; empty if there is none.
    pub(crate) query: String,
    /// Request headers.
    pub(crate) headers: HeaderMap,
    /// Request body.
    pub(crate) body: Bytes,
}

impl Call {
    /// Parses the body as JSON; treats an empty body as an empty object.
    pub(crate) fn json<T: DeserializeOwned>(&self) -> Result<T, serde_json::Error> {
        if self.body.is_empty() {
            return serde_json::from_slice(b"{}");
        }
        serde_json::from_slice(&self.body)
    }

    /// Returns the value of a header, or an empty string if it is absent or not visible ASCII.
    pub(crate) fn header(&self, name: &str) -> &str {
        self.headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
    }

    /// Returns the value of a query parameter if it is a number.
    pub(crate) fn query_number(&self, name: &str) -> Option<u64> {
        let mut pairs = self.query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name)?.1.parse().ok()
    }
}
