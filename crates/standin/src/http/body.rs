//! Bodies of answers: whole, or written part by part.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Frame, SizeHint};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

use super::Cut;

/// One part of a streamed body.
pub(crate) enum Part {
    /// Bytes that go out at once.
    Data(Bytes),
    /// The connection breaks here, without a proper end of the body.
    Cut,
}

/// Body of an answer.
pub(crate) enum Body {
    /// All of it; `None` once it has been taken.
    Whole(Option<Bytes>),
    /// Parts as they come; the body ends properly when the sender is dropped.
    Parts(UnboundedReceiver<Part>),
}

/// Writer of a streamed body.
#[derive(Clone)]
pub(crate) struct Stream {
    parts: UnboundedSender<Part>,
}

impl Stream {
    /// Makes a writer and the body that it feeds.
    pub(crate) fn new() -> (Self, Body) {
        let (parts, receiver) = unbounded_channel();
        (Self { parts }, Body::Parts(receiver))
    }

    /// Writes bytes. Returns whether the reader is still there.
    pub(crate) fn write(&self, data: impl Into<Bytes>) -> bool {
        self.parts.send(Part::Data(data.into())).is_ok()
    }

    /// Breaks the connection after what has been written.
    pub(crate) fn cut(&self) {
        // A reader that has gone needs no cut.
        let _ = self.parts.send(Part::Cut);
    }

    /// Whether the reader has gone.
    pub(crate) fn is_closed(&self) -> bool {
        self.parts.is_closed()
    }
}

impl hyper::body::Body for Body {
    type Data = Bytes;
    type Error = Cut;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Cut>>> {
        match self.get_mut() {
            Body::Whole(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Body::Parts(parts) => parts.poll_recv(context).map(|part| match part {
                Some(Part::Data(bytes)) => Some(Ok(Frame::data(bytes))),
                Some(Part::Cut) => Some(Err(Cut)),
                None => None,
            }),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Body::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Body::Whole(Some(bytes)) => SizeHint::with_exact(bytes.len() as u64),
            Body::Whole(None) => SizeHint::with_exact(0),
            Body::Parts(_) => SizeHint::default(),
        }
    }
}
