//! Checks of the answers with which a stream goes on at another engine.

use hyper::Response;
use hyper::StatusCode;
use hyper::header::CONTENT_TYPE;

use crate::reply::is_signed;

/// Media type of a stream of events.
const EVENT_STREAM: &str = "text/event-stream";

/// Returns whether the head of an answer is that of a stream with which another stream can go on.
pub(crate) fn is_stream<T>(response: &Response<T>) -> bool {
    let headers = response.headers();
    let content_type = headers.get(CONTENT_TYPE).map(|value| value.as_bytes().to_ascii_lowercase());
    let is_events = content_type.is_none_or(|value| value.starts_with(EVENT_STREAM.as_bytes()));
    response.status() == StatusCode::OK && is_signed(headers) && is_events
}
