//! The socket of a caller or a target, which records what ends it and bounds each read.

use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::io::{self, ErrorKind, IoSlice};
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Time for which bytes are discarded after the last answer.
const DISCARD_TIME: Duration = Duration::from_secs(1);
/// Bytes that are read at a time: one less than the size of reads at which the HTTP library begins to
/// double its buffer, which would then keep up to the largest head for each connection.
const READ_BYTES: usize = (8 << 10) - 1;
/// Maximum number of bytes of a response that are kept: the HTTP library accepts no larger head.
const MAX_KEPT_BYTES: usize = 32 << 10;
/// Bytes that are discarded at a time.
const DISCARD_BYTES: usize = 4 << 10;

/// What has been seen at a socket.
#[derive(Debug, Default)]
pub(crate) struct Traffic {
    /// Whether the other side has closed its sending side.
    is_ended: Cell<bool>,
    /// The error that has ended the connection.
    error: Cell<Option<ErrorKind>>,
    /// Number of bytes read.
    bytes_read: Cell<u64>,
    /// Number of bytes written.
    bytes_written: Cell<u64>,
    /// Whether the other side does not read what is to be written.
    is_write_blocked: Cell<bool>,
    /// What has been read since the last request, while the head of its response is awaited.
    kept: RefCell<Option<Vec<u8>>>,
}

impl Traffic {
    /// Returns whether the other side has closed its sending side.
    pub(crate) fn is_ended(&self) -> bool {
        self.is_ended.get()
    }

    /// Returns whether a part of an answer is still to be written, which the other side does not read.
    pub(crate) fn is_write_blocked(&self) -> bool {
        self.is_write_blocked.get()
    }

    /// Returns the number of bytes read.
    pub(crate) fn bytes_read(&self) -> u64 {
        self.bytes_read.get()
    }

    /// Returns the number of bytes read and written.
    pub(crate) fn bytes_moved(&self) -> u64 {
        self.bytes_read.get() + self.bytes_written.get()
    }

    /// Starts to keep what is read.
    pub(crate) fn keep(&self) {
        *self.kept.borrow_mut() = Some(Vec::new());
    }

    /// Returns what has been kept, and keeps no more.
    pub(crate) fn take_kept(&self) -> Vec<u8> {
        self.kept.borrow_mut().take().unwrap_or_default()
    }

    fn record_read(&self, bytes: &[u8]) {
        self.is_ended.set(bytes.is_empty());
        self.bytes_read.set(self.bytes_read.get() + bytes.len() as u64);
        if let Some(kept) = self.kept.borrow_mut().as_mut() {
            let left = MAX_KEPT_BYTES - kept.len();
            kept.extend_from_slice(&bytes[..bytes.len().min(left)]);
        }
    }

    /// Returns the error that has ended the connection.
    pub(crate) fn error(&self) -> Option<ErrorKind> {
        self.error.get()
    }
}

/// A socket.
pub(crate) struct Socket {
    stream: TcpStream,
    traffic: Rc<Traffic>,
}

impl Socket {
    pub(crate) fn new(stream: TcpStream, traffic: Rc<Traffic>) -> Self {
        Self { stream, traffic }
    }

    /// Writes an answer of this node, unless a part of an earlier one is still to be written.
    pub(crate) fn answer(&self, answer: &[u8]) {
        if !self.traffic.is_write_blocked() {
            // The connection is closed next: an answer that does not fit is lost with it.
            self.stream.try_write(answer).ok();
        }
    }

    /// Closes the sending side, then reads and discards what the other side still sends. Closing a
    /// socket with unread bytes resets it, which can take the last answer with it.
    pub(crate) async fn discard(&mut self) {
        let discarding = async {
            poll_fn(|context| Pin::new(&mut *self).poll_shutdown(context)).await?;
            poll_fn(|context| self.poll_discard(context)).await
        };
        // The other side has its answer, or has closed the connection: nothing is left to be done.
        timeout(DISCARD_TIME, discarding).await.ok();
    }

    /// Discards what arrives, until the other side has closed its sending side.
    fn poll_discard(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let mut bytes = [0; DISCARD_BYTES];
        while !self.traffic.is_ended() {
            ready!(Pin::new(&mut *self).poll_read(context, &mut ReadBuf::new(&mut bytes)))?;
        }
        Poll::Ready(Ok(()))
    }

    fn record_write(&self, result: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        self.traffic.is_write_blocked.set(result.is_pending());
        if let Poll::Ready(Ok(bytes)) = &result {
            self.traffic.bytes_written.set(self.traffic.bytes_written.get() + *bytes as u64);
        }
        self.record(result)
    }

    fn record<T>(&self, result: Poll<io::Result<T>>) -> Poll<io::Result<T>> {
        if let Poll::Ready(Err(error)) = &result {
            self.traffic.error.set(Some(error.kind()));
        }
        result
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let mut bytes = [MaybeUninit::uninit(); READ_BYTES];
        let most = buffer.remaining().min(READ_BYTES);
        let mut part = ReadBuf::uninit(&mut bytes[..most]);
        let result = Pin::new(&mut self.stream).poll_read(context, &mut part);
        if let Poll::Ready(Ok(())) = &result {
            buffer.put_slice(part.filled());
            self.traffic.record_read(part.filled());
        }
        self.record(result)
    }
}

impl AsyncWrite for Socket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.record_write(result)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.record_write(result)
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
