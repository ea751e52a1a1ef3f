//! What is known about the execution of a request.

use std::fmt;

use hyper::StatusCode;
use hyper::header::{HeaderMap, HeaderName, HeaderValue};

/// Whether a forwarded request has run, on the answer of the node that handled it.
const RAN: HeaderName = HeaderName::from_static("magnolia-ran");

/// Whether a request has run, as far as an answer, or its loss, shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Execution {
    /// No target has run the request, and none will.
    NotRun,
    /// A target has run it.
    Ran,
    /// A target may have run it.
    Unknown,
}

impl Execution {
    /// Returns what an answer of a target shows about a request that was meant for the target with
    /// the id `expected`.
    pub fn of_target(status: StatusCode, headers: &HeaderMap, expected: &str) -> Self {
        if platform::states_not_run(status, headers, expected) {
            Self::NotRun
        } else if promises_not_run(status) {
            Self::Unknown
        } else {
            Self::Ran
        }
    }

    /// Returns what the answer of another node shows about a forwarded request.
    pub fn of_node(status: StatusCode, headers: &HeaderMap) -> Self {
        match headers.get(RAN).map(HeaderValue::as_bytes) {
            Some(b"no") => Self::NotRun,
            Some(b"yes") => Self::Ran,
            // Builds up to eacf3c2 state nothing, and pass on what their targets answer: their 503
            // may be that of a target that has run the request.
            None if status.is_success() => Self::Ran,
            _ => Self::Unknown,
        }
    }

    /// States this in the head of an answer to another node.
    pub fn write(self, headers: &mut HeaderMap) {
        headers.insert(RAN, HeaderValue::from_static(self.name()));
    }

    /// Returns the value that stands for this in log lines and between nodes.
    pub fn name(self) -> &'static str {
        match self {
            Self::NotRun => "no",
            Self::Ran => "yes",
            Self::Unknown => "unknown",
        }
    }
}

impl fmt::Display for Execution {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// Returns whether a status tells a caller that the request has not run and never will.
pub fn promises_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}
