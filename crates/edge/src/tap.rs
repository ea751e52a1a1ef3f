//! Connection whose received bytes are recorded while the head of a response is awaited.
//!
//! The HTTP library removes `Content-Length` from the head of a response in chunks, so that the
//! parsed head does not show that it had both.

use std::cell::RefCell;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use httparse::{EMPTY_HEADER, Response, Status};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Maximum number of bytes recorded for a response: the HTTP library accepts no larger head.
const MAX_BYTES: usize = 32 << 10;
/// Maximum number of fields in a head that the HTTP library accepts.
const MAX_FIELDS: usize = 100;

/// What a connection has received since the last request on it; `None` while no response is awaited.
#[derive(Clone, Default)]
pub(crate) struct Record(Rc<RefCell<Option<Vec<u8>>>>);

impl Record {
    /// Starts to record.
    pub(crate) fn start(&self) {
        *self.0.borrow_mut() = Some(Vec::new());
    }

    /// Ends the record and returns it.
    pub(crate) fn take(&self) -> Vec<u8> {
        self.0.borrow_mut().take().unwrap_or_default()
    }

    fn add(&self, bytes: &[u8]) {
        if let Some(record) = self.0.borrow_mut().as_mut() {
            let left = MAX_BYTES - record.len();
            record.extend_from_slice(&bytes[..bytes.len().min(left)]);
        }
    }
}

/// Returns whether these bytes hold the head of a final response without a field of this name. The
/// head is missing if those of informational responses fill the record.
pub(crate) fn lacks_field(mut bytes: &[u8], name: &str) -> bool {
    loop {
        let mut fields = [EMPTY_HEADER; MAX_FIELDS];
        let mut response = Response::new(&mut fields);
        let Ok(Status::Complete(length)) = response.parse(bytes) else { return false };
        if response.code.is_some_and(|code| code >= 200) {
            return !response.headers.iter().any(|field| field.name.eq_ignore_ascii_case(name));
        }
        bytes = &bytes[length..];
    }
}

/// A stream whose received bytes are added to a record.
pub(crate) struct Tap<S> {
    stream: S,
    record: Record,
}

impl<S> Tap<S> {
    pub(crate) fn new(stream: S, record: Record) -> Self {
        Self { stream, record }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Tap<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        self.record.add(&buffer.filled()[before..]);
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Tap<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
