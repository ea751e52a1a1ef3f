//! What is known about the execution of a request.

use std::fmt;

use hyper::StatusCode;
use hyper::header::HeaderMap;

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

    /// Returns the value that stands for this in log lines.
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
