//! Classifies the answers of targets, and builds the answers to callers that follow from them.

use std::time::Duration;

use bytes::Bytes;
use hyper::header::{CONTENT_ENCODING, HeaderMap};
use hyper::{Response, StatusCode};
use platform::head;

use crate::answer::{Answer, text};
use crate::call::{Call, returned_headers};
use crate::event::FAILED;
use crate::node::Node;

/// Returns whether an answer belongs to a request.
pub(crate) fn matches_request(headers: &HeaderMap, call: &Call) -> bool {
    headers.get(head::REQUEST_ID).is_some_and(|id| id.as_bytes() == call.id.as_bytes())
}

/// Returns whether an answer states that the target has not run the request.
pub(crate) fn is_not_run(status: StatusCode, headers: &HeaderMap) -> bool {
    headers.contains_key(head::NOT_RUN) || status == StatusCode::MISDIRECTED_REQUEST
}

/// Returns whether a body can be that of a target: it is signed, and not encoded on the way.
pub(crate) fn is_signed(headers: &HeaderMap) -> bool {
    headers.contains_key(head::STAMP) && !headers.contains_key(CONTENT_ENCODING)
}

/// Returns a target's complete answer as an answer to the caller.
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

/// Returns the answer to a request that may have run with an unknown outcome.
pub(crate) fn unknown_outcome(node: &Node, call: &Call) -> Response<Answer> {
    if node.now() >= call.deadline {
        text(StatusCode::GATEWAY_TIMEOUT, "no answer in time")
    } else {
        text(StatusCode::BAD_GATEWAY, "the answer was lost")
    }
}

/// Logs an attempt that gave no usable answer.
pub(crate) fn log_failed_attempt(
    node: &Node,
    call: &Call,
    target: &str,
    reason: &str,
    ran: &str,
    sent: Duration,
) {
    let event = call
        .event(FAILED)
        .with("target", target)
        .with("parts", call.listed_parts())
        .with("reason", reason)
        .with("ran", ran)
        .with("ms", node.now().saturating_sub(sent).as_millis());
    log::warn!("{event}");
}
