//! What callers are told, as HTTP.

use std::fmt::Display;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use fleet::RequestId;
use http_body_util::{Either, Full};
use hyper::Response;
use hyper::body::{Body, Frame};
use hyper::header::{CONTENT_TYPE, HeaderName, HeaderValue, RETRY_AFTER};
use serde_json::{Value, json};
use tokio::sync::mpsc;

use super::shared::hex;
use crate::{Answer, End, Reason, api};

/// Header that says what happened to a request.
const RUN: HeaderName = HeaderName::from_static("magnolia-run");
/// Header that names the sending, for `magnoliactl explain`.
const REQUEST: HeaderName = HeaderName::from_static("magnolia-request");

/// A body that streams.
pub(crate) struct Stream(mpsc::Receiver<Bytes>);

impl Body for Stream {
    type Data = Bytes;
    type Error = std::convert::Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        self.0.poll_recv(context).map(|piece| piece.map(|piece| Ok(Frame::data(piece))))
    }
}

/// Body of an answer.
pub(crate) type Payload = Either<Full<Bytes>, Stream>;

/// An answer to a caller.
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

    /// A JSON document.
    pub(crate) fn json(status: u16, body: &Value, request: RequestId) -> Self {
        let payload = Either::Left(Full::new(Bytes::from(body.to_string())));
        Self::new(status, "application/json", payload).header(REQUEST, &hex(request))
    }

    /// An error; `request` is absent when it was turned away before any decision.
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
            Some(request) => reply.header(REQUEST, &hex(request)),
            None => reply,
        }
    }

    /// A stream of events.
    pub(crate) fn stream(request: RequestId, pieces: mpsc::Receiver<Bytes>) -> Self {
        Self::new(200, "text/event-stream", Either::Right(Stream(pieces)))
            .header(hyper::header::CACHE_CONTROL, "no-store")
            .header(REQUEST, &hex(request))
    }

    /// A plain service's answer.
    pub(crate) fn answer(answer: Answer, request: RequestId) -> Self {
        let payload = Either::Left(Full::new(Bytes::from(answer.body)));
        Self::new(answer.status, &answer.content_type, payload).header(REQUEST, &hex(request))
    }

    /// Says what happened to the request.
    pub(crate) fn run(self, run: &str) -> Self {
        self.header(RUN, run)
    }

    /// Says when the caller may come back, in whole seconds rounded up.
    pub(crate) fn retry_after(self, after: Duration) -> Self {
        let seconds = after.as_secs() + u64::from(after.subsec_nanos() > 0);
        self.header(RETRY_AFTER, &seconds.max(1).to_string())
    }

    /// Gives the caller the key under which the request is kept.
    pub(crate) fn key(self, key: &str) -> Self {
        self.header(HeaderName::from_static("idempotency-key"), key)
    }

    /// The response.
    pub(crate) fn into_response(self) -> Response<Payload> {
        self.response
    }
}

/// A server-sent event.
pub(crate) fn event(id: &impl Display, data: &Value) -> Bytes {
    Bytes::from(format!("id: {id}\ndata: {data}\n\n"))
}

/// The closing event and the end of the stream.
pub(crate) fn closing_event(id: &impl Display, data: &Value) -> Bytes {
    Bytes::from(format!("id: {id}\ndata: {data}\n\ndata: [DONE]\n\n"))
}

/// The last event of a stream that broke off; no closing event follows.
pub(crate) fn failure_event(end: &End, request: RequestId) -> Bytes {
    let mut body = api::error(name(end), message(end), Some(request));
    body["error"]["run"] = json!(name(end));
    body["error"]["retry_after"] = json!(retry_after(end).as_secs().max(1));
    Bytes::from(format!("data: {body}\n\n"))
}

/// Name of an end, as in the `Magnolia-Run` header.
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

/// Why a request ended as it did, for logs and error bodies.
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
            "this sending was not run; whether an earlier one with this key ran could not be \
             found out now; ask again with the same key after Retry-After seconds"
        }
        End::Unknown => {
            "a call to a target began and its outcome is not known; it will not be run again; \
             ask again with the same key"
        }
        End::Incomplete { .. } => "the answer broke off and is not whole",
        End::Quarantined { .. } => {
            "given up for good after targets were lost to it; it may be tried anew after \
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

/// The answer for an end that came before any of the answer was sent. `keyed` tells that an
/// earlier sending of the request may have run, which this node cannot know.
pub(crate) fn of_end(end: &End, request: RequestId, keyed: bool) -> Reply {
    if let End::Stored(answer) = end {
        return Reply::answer(answer.clone(), request).run("complete");
    }
    let run = match name(end) {
        "not-run" if keyed => "attempt-not-run",
        run => run,
    };
    Reply::error(status(end), reason(end), message(end), Some(request))
        .run(run)
        .retry_after(retry_after(end))
}
