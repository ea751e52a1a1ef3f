//! Response bodies, either complete or streamed in parts.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Frame, SizeHint};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

use super::Cut;

/// One part of a streamed body.
pub(crate) enum Part {
    /// Bytes to send.
    Data(Bytes),
    /// Closes the connection here without a regular end of the body.
    Cut,
}

/// Body of a response.
pub(crate) enum Body {
    /// A complete body; `None` once it has been sent.
    Whole(Option<Bytes>),
    /// A streamed body, which ends regularly when all senders have been dropped.
    Parts(UnboundedReceiver<Part>),
}

/// Writing half of a streamed body.
#[derive(Clone)]
pub(crate) struct Stream {
    parts: UnboundedSender<Part>,
}

impl Stream {
    /// Creates a writer and the body that sends what it writes.
    pub(crate) fn new() -> (Self, Body) {
        let (parts, receiver) = unbounded_channel();
        (Self { parts }, Body::Parts(receiver))
    }

    /// Writes bytes and returns whether the body is still being read.
    pub(crate) fn write(&self, data: impl Into<Bytes>) -> bool {
        self.parts.send(Part::Data(data.into())).is_ok()
    }

    /// Cuts the connection after all bytes written so far.
    pub(crate) fn cut(&self) {
        // Fails only if the connection has closed already.
        let _ = self.parts.send(Part::Cut);
    }

    /// Returns whether the body is no longer being read.
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
