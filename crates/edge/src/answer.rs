//! Bodies of answers to callers.

use std::error::Error;
use std::fmt;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use hyper::header::{CONTENT_TYPE, RETRY_AFTER};
use hyper::{Response, StatusCode};

use crate::queue::Receiver;
use crate::receipt::Receipt;

/// The body ended before the answer was complete. The caller's connection is closed in this case,
/// so that the answer is not taken for a complete one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Broken;

impl fmt::Display for Broken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the answer ended before it was complete")
    }
}

impl Error for Broken {}

/// What an answer consists of.
enum Content {
    /// A complete body; `None` once it has been sent.
    Whole(Option<Bytes>),
    /// A stream of events.
    Events(Receiver),
}

/// Body of an answer.
pub(crate) struct Answer {
    content: Content,
    /// The request that is answered.
    receipt: Option<Receipt>,
}

impl Answer {
    /// Returns a complete body.
    pub(crate) fn whole(bytes: Bytes) -> Self {
        Self { content: Content::Whole(Some(bytes)), receipt: None }
    }

    /// Returns a stream of events.
    pub(crate) fn events(receiver: Receiver) -> Self {
        Self { content: Content::Events(receiver), receipt: None }
    }

    /// Attaches the request that is answered. It ends with the answer.
    pub(crate) fn attach(&mut self, mut receipt: Receipt) {
        // A complete body is written together with its head, and left out if the request is a HEAD.
        if matches!(self.content, Content::Whole(_)) {
            receipt.record_whole();
        }
        self.receipt = Some(receipt);
    }
}

impl Body for Answer {
    type Data = Bytes;
    type Error = Broken;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Broken>>> {
        let answer = self.get_mut();
        match &mut answer.content {
            Content::Whole(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Content::Events(receiver) => {
                let next = ready!(receiver.poll_next(context));
                if let (None, Some(receipt)) = (&next, &mut answer.receipt) {
                    receipt.record_whole();
                }
                Poll::Ready(next.map(|result| result.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self.content, Content::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match &self.content {
            Content::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Content::Events(_) => SizeHint::default(),
        }
    }
}

/// Returns a plain-text answer of this node.
pub(crate) fn text(status: StatusCode, reason: &'static str) -> Response<Answer> {
    let mut response = Response::new(Answer::whole(Bytes::from_static(reason.as_bytes())));
    *response.status_mut() = status;
    let content_type = hyper::header::HeaderValue::from_static("text/plain");
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
}

/// Returns a plain-text answer of this node with the delay after which the caller may retry.
pub(crate) fn retry_later(
    status: StatusCode,
    reason: &'static str,
    after: Duration,
) -> Response<Answer> {
    let mut response = text(status, reason);
    let seconds = format!("{:.2}", after.as_secs_f64());
    // The formatted number is always a valid header value.
    if let Ok(value) = seconds.parse() {
        response.headers_mut().insert(RETRY_AFTER, value);
    }
    response
}
