//! HTTP replies to callers.

use std::fmt::Display;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use edge::Share;
use fleet::RequestId;
use http_body_util::{Either, Full};
use hyper::Response;
use hyper::body::{Body, Frame};
use hyper::header::{CONTENT_TYPE, HeaderName, HeaderValue, RETRY_AFTER};
use serde_json::{Value, json};
use tokio::sync::mpsc;

use super::shared::hex;
use crate::{Answer, End, Reason, api};

/// Header that states how a request ended.
const RUN_HEADER: HeaderName = HeaderName::from_static("magnolia-run");
/// Header with the request id of the sending, for `magnoliactl explain`.
const REQUEST_HEADER: HeaderName = HeaderName::from_static("magnolia-request");

/// A streamed body.
pub(crate) struct Stream(mpsc::Receiver<Bytes>);

impl Body for Stream {
    type Data = Bytes;
    type Error = std::convert::Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        self.0.poll_recv(context).map(|chunk| chunk.map(|chunk| Ok(Frame::data(chunk))))
    }
}

/// Body of a reply.
pub(crate) type Payload = Either<Full<Bytes>, Stream>;

/// A reply to a caller.
pub(crate) struct Reply {
    response: Response<Payload>,
}

impl Reply {
    fn new(status: u16, content_type: &str, payload: Payload) -> Self {
        let mut response = Response::new(payload);
        let status = hyper::StatusCode::from_u16(status);
        *response.status_mut() = status.unwrap_or(hyper::StatusCode::BAD_GATEWAY);
        if let Ok(value) = HeaderValue::from_str(content_type) {
            response.headers_mut().insert(CONTENT_TYPE, value);
        }
        Self { response }
    }

    fn header(mut self, name: HeaderName, value: &str) -> Self {
        if let Ok(value) = HeaderValue::from_str(value) {
            self.response.headers_mut().insert(name, value);
        }
        self
    }

    /// Creates a reply with a JSON document.
    pub(crate) fn json(status: u16, body: &Value, request: RequestId) -> Self {
        let payload = Either::Left(Full::new(Bytes::from(body.to_string())));
        Self::new(status, "application/json", payload).header(REQUEST_HEADER, &hex(request))
    }

    /// Creates an error reply. `request` is `None` if the call was rejected before it reached the
    /// decision thread.
    pub(crate) fn error(
        status: u16,
        kind: &str,
        message: &str,
        request: Option<RequestId>,
    ) -> Self {
        let body = api::error(kind, message, request).to_string();
        let payload = Either::Left(Full::new(Bytes::from(body)));
        let reply = Self::new(status, "application/json", payload);
        match request {
            Some(request) => reply.header(REQUEST_HEADER, &hex(request)),
            None => reply,
        }
    }

    /// Creates a reply that streams server-sent events.
    pub(crate) fn stream(request: RequestId, chunks: mpsc::Receiver<Bytes>) -> Self {
        Self::new(200, "text/event-stream", Either::Right(Stream(chunks)))
            .header(hyper::header::CACHE_CONTROL, "no-store")
            .header(REQUEST_HEADER, &hex(request))
    }

    /// Creates a reply with the answer of a plain service, which holds its share until the caller
    /// has it.
    pub(crate) fn answer(answer: Answer, share: Option<Share>, request: RequestId) -> Self {
        let body = Bytes::from(answer.body);
        let body = match share {
            Some(share) => share.attach(body),
            None => body,
        };
        let payload = Either::Left(Full::new(body));
        Self::new(answer.status, &answer.content_type, payload)
            .header(REQUEST_HEADER, &hex(request))
    }

    /// Sets the header that states how the request ended.
    pub(crate) fn run(self, run: &str) -> Self {
        self.header(RUN_HEADER, run)
    }

    /// Sets `Retry-After`, in whole seconds rounded up and at least 1.
    pub(crate) fn retry_after(self, after: Duration) -> Self {
        let seconds = after.as_secs() + u64::from(after.subsec_nanos() > 0);
        self.header(RETRY_AFTER, &seconds.max(1).to_string())
    }

    /// Sets `Idempotency-Key` to the key under which the ledger stores the request.
    pub(crate) fn key(self, key: &str) -> Self {
        self.header(HeaderName::from_static("idempotency-key"), key)
    }

    /// Converts the reply to an HTTP response.
    pub(crate) fn into_response(self) -> Response<Payload> {
        self.response
    }
}

/// Formats a server-sent event.
pub(crate) fn event(id: &impl Display, data: &Value) -> Bytes {
    Bytes::from(format!("id: {id}\ndata: {data}\n\n"))
}

/// Formats the closing event and the `[DONE]` marker.
pub(crate) fn closing_event(id: &impl Display, data: &Value) -> Bytes {
    Bytes::from(format!("id: {id}\ndata: {data}\n\ndata: [DONE]\n\n"))
}

/// Formats the last event of a stream that failed. No closing event follows it.
pub(crate) fn failure_event(end: &End, request: RequestId) -> Bytes {
    let mut body = api::error(name(end), message(end), Some(request));
    body["error"]["run"] = json!(name(end));
    body["error"]["retry_after"] = json!(retry_after(end).as_secs().max(1));
    Bytes::from(format!("data: {body}\n\n"))
}

/// Returns the name of an end, as in the `Magnolia-Run` header.
pub(crate) fn name(end: &End) -> &'static str {
    match end {
        End::Complete | End::Stored(_) => "complete",
        End::NotRun { .. } => "not-run",
        End::AttemptNotRun { .. } | End::Mismatch => "attempt-not-run",
        End::Unknown => "unknown",
        End::Incomplete { .. } => "incomplete",
        End::Quarantined { .. } => "quarantined",
        End::Abandoned => "abandoned",
    }
}

/// Returns the reason of an end, for logs and error bodies.
pub(crate) fn reason(end: &End) -> &'static str {
    match end {
        End::Complete => "complete",
        End::Stored(_) => "stored",
        End::NotRun { reason, .. } | End::Incomplete { reason, .. } => reason.name(),
        End::AttemptNotRun { .. } => "store_down",
        End::Unknown => "outcome_unknown",
        End::Quarantined { .. } => "quarantined",
        End::Mismatch => "key_reused",
        End::Abandoned => "hung_up",
    }
}

fn message(end: &End) -> &'static str {
    match end {
        End::NotRun { reason: Reason::Route(route::Reason::UnknownService), .. } => {
            "no such model or service; the request was not run"
        }
        End::NotRun { .. } => "the request was not run; send it again after Retry-After seconds",
        End::AttemptNotRun { .. } => {
            "this sending was not run; whether an earlier one with this key ran cannot be \
             determined now; send it again with the same key after Retry-After seconds"
        }
        End::Unknown => {
            "a call to a target was started and its outcome is unknown; it will not be run again; \
             send it again with the same key to query the outcome"
        }
        End::Incomplete { .. } => "the answer is incomplete",
        End::Quarantined { .. } => {
            "quarantined because targets failed while they ran it; it may be sent again after \
             Retry-After seconds"
        }
        End::Mismatch => "the key was used with another body; this sending was not run",
        End::Complete | End::Stored(_) | End::Abandoned => "",
    }
}

fn retry_after(end: &End) -> Duration {
    match end {
        End::NotRun { retry_after, .. }
        | End::AttemptNotRun { retry_after }
        | End::Incomplete { retry_after, .. }
        | End::Quarantined { retry_after } => *retry_after,
        _ => Duration::from_secs(1),
    }
}

fn status(end: &End) -> u16 {
    match end {
        End::NotRun { reason: Reason::Route(route::Reason::UnknownService), .. } => 404,
        End::NotRun {
            reason: Reason::Limit(limit::Reason::OverShare | limit::Reason::QueueFull),
            ..
        } => 429,
        End::NotRun { .. } | End::AttemptNotRun { .. } => 503,
        End::Unknown | End::Incomplete { .. } => 502,
        End::Quarantined { .. } => 422,
        End::Mismatch => 409,
        End::Complete | End::Stored(_) | End::Abandoned => 200,
    }
}

/// Creates the reply for an end that occurred before any part of the answer was sent. `keyed`
/// states that an earlier sending of the request may have run, which this node cannot
/// determine, so that `not-run` is reported as `attempt-not-run`.
pub(crate) fn for_end(end: &End, request: RequestId, keyed: bool) -> Reply {
    if let End::Stored(answer) = end {
        return Reply::answer(answer.clone(), None, request).run("complete");
    }
    let run = match name(end) {
        "not-run" if keyed => "attempt-not-run",
        run => run,
    };
    Reply::error(status(end), reason(end), message(end), Some(request))
        .run(run)
        .retry_after(retry_after(end))
}
