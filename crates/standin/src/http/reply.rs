//! Answers that handlers give.

use std::fmt;

use bytes::Bytes;
use hyper::StatusCode;
use serde::Serialize;

use super::{Body, Stream};

/// The connection is broken without an answer, or in the middle of one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Cut;

impl fmt::Display for Cut {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "connection cut as commanded")
    }
}

impl std::error::Error for Cut {}

/// An answer.
pub(crate) struct Reply {
    /// Status code.
    pub(crate) status: StatusCode,
    /// Content type.
    pub(crate) content_type: &'static str,
    /// Further headers.
    pub(crate) headers: Vec<(&'static str, String)>,
    /// Body.
    pub(crate) body: Body,
}

/// Body of an error answer.
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
    /// An answer with a JSON body.
    pub(crate) fn json(status: StatusCode, value: &impl Serialize) -> Self {
        let bytes = serde_json::to_vec(value).unwrap_or_default();
        Self::whole(status, "application/json", bytes)
    }

    /// An answer with any body.
    pub(crate) fn whole(
        status: StatusCode,
        content_type: &'static str,
        bytes: impl Into<Bytes>,
    ) -> Self {
        let body = Body::Whole(Some(bytes.into()));
        Self { status, content_type, headers: Vec::new(), body }
    }

    /// An answer that is written part by part.
    pub(crate) fn stream(content_type: &'static str) -> (Stream, Self) {
        let (stream, body) = Stream::new();
        (stream, Self { status: StatusCode::OK, content_type, headers: Vec::new(), body })
    }

    /// An error of the given type.
    pub(crate) fn error(status: StatusCode, kind: &str, message: &str) -> Self {
        Self::json(status, &Failure { error: Detail { r#type: kind, message } })
    }

    /// The call was not run.
    pub(crate) fn not_run(status: StatusCode, kind: &str, message: &str) -> Self {
        let mut reply = Self::error(status, kind, message);
        reply.headers.push(("magnolia-run", "not-run".to_owned()));
        reply
    }
}
