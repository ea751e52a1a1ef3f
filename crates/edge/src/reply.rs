//! Classifies the answers of targets, and builds the answers to callers that follow from them.

use std::time::Duration;

use bytes::Bytes;
use hyper::header::{CONTENT_ENCODING, HeaderMap};
use hyper::{Response, StatusCode};
use platform::head;

use crate::answer::{Answer, text};
use crate::call::{Call, returned_headers};
use crate::event::FAILED;
use crate::execution::Execution;
use crate::node::Node;

/// Reason of an attempt that the target answered with a status of those that promise that the
/// request has not run, without a statement that it has not.
pub(crate) const UNPROVEN_REFUSAL: &str = "refusal without proof";

/// Returns whether an answer belongs to a request.
pub(crate) fn matches_request(headers: &HeaderMap, call: &Call) -> bool {
    headers.get(head::REQUEST_ID).is_some_and(|id| id.as_bytes() == call.id.as_bytes())
}

/// Returns whether a body can be that of a target: it is signed, and not encoded on the way.
pub(crate) fn is_signed(headers: &HeaderMap) -> bool {
    headers.contains_key(head::STAMP) && !headers.contains_key(CONTENT_ENCODING)
}

/// Returns a complete answer of a target or another node as an answer to the caller.
pub(crate) fn passthrough(
    status: StatusCode,
    headers: &HeaderMap,
    body: Bytes,
) -> Response<Answer> {
    let mut response = Response::new(Answer::whole(body));
    *response.status_mut() = status;
    *response.headers_mut() = returned_headers(headers);
    response
}

/// An answer to a caller or another node, and what is known about the execution of the request.
pub(crate) struct Reply {
    pub(crate) response: Response<Answer>,
    pub(crate) execution: Execution,
}

impl Reply {
    /// Returns the refusal of a request that has not run and never will.
    pub(crate) fn refused(response: Response<Answer>) -> Self {
        Self { response, execution: Execution::NotRun }
    }

    /// Returns the answer of a target that has run the request.
    pub(crate) fn ran(response: Response<Answer>) -> Self {
        Self { response, execution: Execution::Ran }
    }

    /// Returns the answer to a request that may have run with an unknown outcome.
    pub(crate) fn unknown(node: &Node, call: &Call) -> Self {
        let response = match node.now() >= call.deadline {
            true => text(StatusCode::GATEWAY_TIMEOUT, "no answer in time"),
            false => text(StatusCode::BAD_GATEWAY, "the outcome is unknown"),
        };
        Self { response, execution: Execution::Unknown }
    }
}

/// Why an attempt gave no usable answer, for the log.
pub(crate) struct Failure {
    reason: &'static str,
    execution: Execution,
    /// The status that the target answered, if it did.
    status: Option<StatusCode>,
}

impl Failure {
    pub(crate) fn new(reason: &'static str, execution: Execution) -> Self {
        Self { reason, execution, status: None }
    }

    /// Returns the failure of an attempt to which the target answered with this status.
    pub(crate) fn answered(reason: &'static str, execution: Execution, status: StatusCode) -> Self {
        Self { reason, execution, status: Some(status) }
    }

    /// Logs the failure of an attempt at a target.
    pub(crate) fn log(&self, node: &Node, call: &Call, target: &str, sent_at: Duration) {
        let mut event = call
            .event(FAILED)
            .with("target", target)
            .with("parts", call.listed_parts())
            .with("reason", self.reason)
            .with("ran", self.execution);
        if let Some(status) = self.status {
            event = event.with("status", status.as_u16());
        }
        let event = event.with("ms", node.now().saturating_sub(sent_at).as_millis());
        log::warn!("{event}");
    }
}
