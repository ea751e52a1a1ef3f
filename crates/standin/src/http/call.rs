//! Calls as handlers see them.

use bytes::Bytes;
use hyper::{HeaderMap, Method};
use serde::de::DeserializeOwned;

/// One call with its whole body.
pub(crate) struct Call {
    /// Method.
    pub(crate) method: Method,
    /// Path without the query.
    pub(crate) path: String,
    /// Query without the question mark; empty when there is none.
    pub(crate) query: String,
    /// Headers.
    pub(crate) headers: HeaderMap,
    /// Body.
    pub(crate) body: Bytes,
}

impl Call {
    /// Reads the body as JSON; an empty body reads as an empty object.
    pub(crate) fn json<T: DeserializeOwned>(&self) -> Result<T, serde_json::Error> {
        if self.body.is_empty() {
            return serde_json::from_slice(b"{}");
        }
        serde_json::from_slice(&self.body)
    }

    /// Value of a header, empty when it is absent or not text.
    pub(crate) fn header(&self, name: &str) -> &str {
        self.headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
    }

    /// A number in the query.
    pub(crate) fn number(&self, name: &str) -> Option<u64> {
        let mut pairs = self.query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name)?.1.parse().ok()
    }
}
