//! Responses that handlers return.

use std::fmt;

use bytes::Bytes;
use hyper::StatusCode;
use serde::Serialize;

use super::{Body, Stream};

/// The connection is to be closed before or in the middle of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Cut;

impl fmt::Display for Cut {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "connection cut as commanded")
    }
}

impl std::error::Error for Cut {}

/// A response.
pub(crate) struct Reply {
    /// Status code.
    pub(crate) status: StatusCode,
    /// Content type.
    pub(crate) content_type: &'static str,
    /// Additional headers.
    pub(crate) headers: Vec<(&'static str, String)>,
    /// Body.
    pub(crate) body: Body,
}

/// Body of an error response.
#[derive(Serialize)]
struct Failure<'a> {
    error: Detail<'a>,
}

#[derive(Serialize)]
struct Detail<'a> {
    r#type: &'a str,
    message: &'a str,
}

impl Reply {
    /// Returns a response with a JSON body.
    pub(crate) fn json(status: StatusCode, value: &impl Serialize) -> Self {
        let bytes = serde_json::to_vec(value).unwrap_or_default();
        Self::whole(status, "application/json", bytes)
    }

    /// Returns a response with a complete body of any content type.
    pub(crate) fn whole(
        status: StatusCode,
        content_type: &'static str,
        bytes: impl Into<Bytes>,
    ) -> Self {
        let body = Body::Whole(Some(bytes.into()));
        Self { status, content_type, headers: Vec::new(), body }
    }

    /// Returns a response with a streamed body, and the writer of that body.
    pub(crate) fn stream(content_type: &'static str) -> (Stream, Self) {
        let (stream, body) = Stream::new();
        (stream, Self { status: StatusCode::OK, content_type, headers: Vec::new(), body })
    }

    /// Returns an error response with the error type `kind`.
    pub(crate) fn error(status: StatusCode, kind: &str, message: &str) -> Self {
        Self::json(status, &Failure { error: Detail { r#type: kind, message } })
    }

    /// Returns an error response that states that the request was not run.
    pub(crate) fn not_run(status: StatusCode, kind: &str, message: &str) -> Self {
        let mut reply = Self::error(status, kind, message);
        reply.headers.push(("magnolia-run", "not-run".to_owned()));
        reply
    }
}
