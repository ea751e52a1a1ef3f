//! What a target's answer says, and the answers to callers that follow from it.

use std::time::Duration;

use bytes::Bytes;
use hyper::header::HeaderMap;
use hyper::{Response, StatusCode};
use platform::head;

use crate::answer::{Answer, text};
use crate::call::{Call, returned_headers};
use crate::event::FAILED;
use crate::node::Node;

/// Whether an answer belongs to a request.
pub(crate) fn matches_request(headers: &HeaderMap, call: &Call) -> bool {
    headers.get(head::REQUEST_ID).is_some_and(|id| id.as_bytes() == call.id.as_bytes())
}

/// Whether an answer says that the target has not run the request.
pub(crate) fn is_not_run(status: StatusCode, headers: &HeaderMap) -> bool {
    headers.contains_key(head::NOT_RUN) || status == StatusCode::MISDIRECTED_REQUEST
}

/// A target's whole answer, passed on.
pub(crate) fn passthrough(
    status: StatusCode,
    headers: &HeaderMap,
    body: Bytes,
) -> Response<Answer> {
    let mut response = Response::new(Answer::Whole(Some(body)));
    *response.status_mut() = status;
    *response.headers_mut() = returned_headers(headers);
    response
}

/// The answer when a request may have run and what came of it is not known.
pub(crate) fn unknown_outcome(node: &Node, call: &Call) -> Response<Answer> {
    if node.now() >= call.deadline {
        text(StatusCode::GATEWAY_TIMEOUT, "no answer in time")
    } else {
        text(StatusCode::BAD_GATEWAY, "the answer was lost")
    }
}

/// Logs that a target gave no answer to use.
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
        .with("reason", reason)
        .with("ran", ran)
        .with("ms", node.now().saturating_sub(sent).as_millis());
    log::warn!("{event}");
}
