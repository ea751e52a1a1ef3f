//! A connection of a caller or of another node: serves its requests, and records why it ends.

use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::future::{Future, poll_fn};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use fleet::Event;
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1::{self, Builder};
use hyper::service::Service;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::yield_now;

use crate::answer::Answer;
use crate::event::CONNECTION_ENDED;
use crate::eviction::{PROGRESS_BYTES, Phase, Standing};
use crate::expiry::{Expiry, Reason};
use crate::forward::Origin;
use crate::front::{handle, request_id};
use crate::memory::Holding;
use crate::node::Node;
use crate::pool::set_socket_timeouts;
use crate::receipt::Receipt;
use crate::socket::{Socket, Traffic};
use crate::timer::Timer;

/// Size of the read buffer, unless the configuration allows larger heads. A later configuration may.
const BUFFER_BYTES: usize = 64 << 10;
/// Size of what another node may add to the head of a request that it forwards, bytes.
const ADDED_BYTES: usize = 1 << 10;
/// Bytes of a head that are not counted: they are in the read buffer that each connection has.
const UNCOUNTED_HEAD_BYTES: usize = 4 << 10;
/// Answer to a head that has no room.
const NO_ROOM: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nconnection: close\r\n\
retry-after: 0.10\r\ncontent-length: 0\r\n\r\n";
/// Answer to a head that does not end in time.
const SLOW_HEAD: &[u8] =
    b"HTTP/1.1 408 Request Timeout\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";

/// Why a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Cause {
    /// The caller closed it.
    Caller,
    /// It was lost: reset, or without a sign of the other side for too long.
    Lost,
    /// No request came for too long.
    Idle,
    /// The head of a request did not end in time.
    SlowHead,
    /// What came is no request.
    InvalidHead,
    /// The last answer was the last one on the connection, as it said or as the caller asked.
    LastAnswer,
    /// A request was answered before all of it had arrived, and the rest was not read to its end.
    Unread,
    /// An answer ended before it was complete.
    BrokenAnswer,
    /// It made no progress, and another one had no room.
    Evicted,
    /// There is no room for the head of its request.
    NoRoom,
    /// The process stops.
    Stop,
}

impl Cause {
    fn name(self) -> &'static str {
        match self {
            Cause::Caller => "closed by the caller",
            Cause::Lost => "lost",
            Cause::Idle => "idle",
            Cause::SlowHead => "slow head",
            Cause::InvalidHead => "invalid head",
            Cause::LastAnswer => "last answer",
            Cause::Unread => "request not read",
            Cause::BrokenAnswer => "broken answer",
            Cause::Evicted => "closed for another",
            Cause::NoRoom => "no memory for the head",
            Cause::Stop => "stop",
        }
    }
}

/// What is known of an open connection.
pub(crate) struct State {
    /// Number of the connection, in the order in which they were accepted.
    pub(crate) number: u64,
    traffic: Rc<Traffic>,
    /// Number of requests so far.
    requests: Cell<u64>,
    /// Number of requests in progress.
    in_progress: Cell<u64>,
    /// Whether the last answer was said to be the last one.
    is_last: Cell<bool>,
    expiry: RefCell<Expiry>,
    /// Number of bytes read up to the begin or the end of the last request.
    bytes_before: Cell<u64>,
    /// The rest of a request that was answered before all of it had arrived.
    rest: RefCell<Option<Rest>>,
    /// Whether the rest of an answered request is left unread.
    is_unread: Cell<bool>,
    /// Whether a part of an answer was still to be written when the expiry was last looked at.
    was_blocked: Cell<bool>,
    /// Whether the body of a request is read.
    is_uploading: Cell<bool>,
    /// Time of the last progress, and the number of bytes moved until then.
    progress: Cell<(Duration, u64)>,
    /// Room for the head of the request.
    head: RefCell<Holding>,
    /// Whether the connection ends.
    is_ending: Cell<bool>,
    /// Notified when the connection is to be closed for another one.
    evicted: Notify,
}

/// The rest of a request, which is read and discarded: the connection can be used again after it.
struct Rest {
    body: Incoming,
    /// Number of bytes that are still read.
    bytes_left: usize,
}

impl Rest {
    /// Reads what has arrived. Ready at the end, with whether all of it was read: a rest that is too
    /// large is not.
    fn poll(&mut self, context: &mut Context<'_>) -> Poll<bool> {
        // The end of a body with a length is known with its last byte, and no frame tells of it.
        while !self.body.is_end_stream() {
            let Some(Ok(frame)) = ready!(Pin::new(&mut self.body).poll_frame(context)) else {
                break;
            };
            let bytes = frame.data_ref().map_or(0, Bytes::len);
            if bytes > self.bytes_left {
                return Poll::Ready(false);
            }
            self.bytes_left -= bytes;
        }
        Poll::Ready(true)
    }
}

impl State {
    fn new(node: &Node) -> Self {
        let limits = node.limits();
        let announced = node.announced_time(&limits);
        Self {
            number: node.next_connection(),
            expiry: RefCell::new(Expiry::new(node.now(), announced, limits)),
            bytes_before: Cell::new(0),
            rest: RefCell::default(),
            is_unread: Cell::new(false),
            was_blocked: Cell::new(false),
            is_uploading: Cell::new(false),
            progress: Cell::new((node.now(), 0)),
            head: RefCell::new(node.uploads.begin(node.settings.front)),
            is_ending: Cell::new(false),
            evicted: Notify::new(),
            traffic: Rc::default(),
            requests: Cell::new(0),
            in_progress: Cell::new(0),
            is_last: Cell::new(false),
        }
    }

    /// Returns whether the caller has closed the connection, or it was lost.
    pub(crate) fn is_left(&self) -> bool {
        self.traffic.is_ended() || self.traffic.error().is_some()
    }

    /// Records that a request has arrived.
    pub(crate) fn begin_request(&self, node: &Node) {
        self.progress.set((node.now(), self.traffic.bytes_moved()));
        // A whole head that finds no room is not refused: its size is bounded, as is the number of
        // connections.
        self.reserve_head();
        self.requests.set(self.requests.get() + 1);
        self.in_progress.set(self.in_progress.get() + 1);
        self.bytes_before.set(self.traffic.bytes_read());
        self.expiry.borrow_mut().begin_request();
    }

    /// Records that a request has ended.
    pub(crate) fn end_request(&self, node: &Node) {
        self.progress.set((node.now(), self.traffic.bytes_moved()));
        self.head.borrow_mut().release();
        self.in_progress.set(self.in_progress.get() - 1);
        self.bytes_before.set(self.traffic.bytes_read());
        let limits = node.limits();
        let announced = node.announced_time(&limits);
        let mut expiry = self.expiry.borrow_mut();
        expiry.end_request(node.now(), announced, limits);
        if self.rest.borrow().is_some() {
            expiry.begin_rest();
        }
    }

    /// Records whether the body of a request is read.
    pub(crate) fn set_uploading(&self, is_uploading: bool) {
        self.is_uploading.set(is_uploading);
    }

    /// Returns what the connection waits for, and since when; `None` if it ends.
    pub(crate) fn standing(&self) -> Option<Standing> {
        if self.is_ending.get() {
            return None;
        }
        let (since, _) = self.progress.get();
        let is_blocked = self.traffic.is_write_blocked();
        let has_rest = || self.rest.borrow().is_some();
        let has_head = || self.traffic.bytes_read() > self.bytes_before.get();
        let phase = match self.in_progress.get() {
            _ if self.is_uploading.get() => Phase::Incomplete,
            _ if is_blocked => Phase::Unread,
            1.. => Phase::Running,
            0 if has_rest() || has_head() => Phase::Incomplete,
            0 if self.expiry.borrow().is_between_requests() => Phase::Idle,
            0 => Phase::Incomplete,
        };
        Some(Standing { phase, since })
    }

    /// Returns whether a part of a request is held for the connection.
    pub(crate) fn holds_request(&self) -> bool {
        self.is_uploading.get() || self.head.borrow().bytes() > 0
    }

    /// Closes the connection for another one.
    pub(crate) fn evict(&self) {
        self.is_ending.set(true);
        self.evicted.notify_one();
    }

    /// Records what has been read and written. Returns whether there is room for what has arrived of
    /// a head.
    fn record_progress(&self, now: Duration) -> bool {
        let moved = self.traffic.bytes_moved();
        if moved - self.progress.get().1 >= PROGRESS_BYTES {
            self.progress.set((now, moved));
        }
        if self.in_progress.get() > 0 || self.rest.borrow().is_some() {
            return true;
        }
        self.reserve_head()
    }

    /// Takes room for what has arrived of a head. Returns whether there is room.
    fn reserve_head(&self) -> bool {
        let bytes = (self.traffic.bytes_read() - self.bytes_before.get()) as usize;
        bytes <= UNCOUNTED_HEAD_BYTES
            || self.head.borrow_mut().try_reserve(bytes.next_power_of_two())
    }

    /// Leaves the body of a request that is answered without it, to be read and discarded.
    pub(crate) fn leave_rest(&self, node: &Node, body: Incoming) {
        let bytes_left = node.limits().body_bytes;
        *self.rest.borrow_mut() = Some(Rest { body, bytes_left });
    }

    /// Records that the rest of the request is not read: the answer is the last one.
    pub(crate) fn leave_unread(&self) {
        self.is_unread.set(true);
    }

    /// Reads what has arrived of the rest of an answered request.
    fn poll_rest(&self, node: &Node, context: &mut Context<'_>) {
        let mut rest = self.rest.borrow_mut();
        let polled = rest.as_mut().map(|rest| rest.poll(context));
        if let Some(Poll::Ready(is_read)) = polled {
            *rest = None;
            if !is_read {
                self.leave_unread();
            }
            self.bytes_before.set(self.traffic.bytes_read());
            self.expiry.borrow_mut().end_rest(node.now());
        }
    }

    /// Returns when the connection is to be closed, and why.
    fn expires_at(&self, node: &Node) -> Option<(Duration, Reason)> {
        let limits = node.limits();
        let mut expiry = self.expiry.borrow_mut();
        // The caller's time begins when it has the whole answer.
        if self.traffic.is_write_blocked() {
            self.was_blocked.set(true);
            return None;
        }
        if self.was_blocked.take() {
            expiry.restart(node.now());
        }
        if self.traffic.bytes_read() > self.bytes_before.get() {
            expiry.record_bytes(node.now(), limits.clone());
        }
        expiry.expires_at(&limits, node.stopping_since.get())
    }

    /// Records whether the next answer is the last one on the connection.
    pub(crate) fn set_last(&self, is_last: bool) {
        self.is_last.set(is_last);
    }

    /// Returns why the connection ended, by the result of the HTTP library.
    fn cause(&self, result: &hyper::Result<()>) -> Cause {
        if self.traffic.error().is_some() {
            return Cause::Lost;
        }
        match result {
            Err(error) if error.is_parse() => Cause::InvalidHead,
            Err(error) if error.is_user() || error.is_body_write_aborted() => Cause::BrokenAnswer,
            _ if self.traffic.is_ended() => Cause::Caller,
            Err(_) => Cause::Lost,
            Ok(()) if self.is_last.get() => Cause::LastAnswer,
            Ok(()) => Cause::Unread,
        }
    }
}

/// Counts an open connection.
pub(crate) struct Guard {
    node: Rc<Node>,
    origin: Origin,
    state: Rc<State>,
}

impl Guard {
    /// Counts a connection that has just been accepted.
    pub(crate) fn new(node: &Rc<Node>, origin: Origin) -> Self {
        node.connections.set(node.connections.get() + 1);
        let state = Rc::new(State::new(node));
        node.port(origin).enter(&state);
        Self { node: node.clone(), origin, state }
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.node.connections.set(self.node.connections.get() - 1);
        self.node.port(self.origin).leave(self.state.number);
    }
}

/// Serves the requests on a connection until it ends.
pub(crate) async fn serve(guard: Guard, stream: TcpStream) {
    let (node, state, origin) = (guard.node.clone(), guard.state.clone(), guard.origin);
    set_socket_timeouts(&stream);
    let accepted_at = node.now();
    let handler = Handler { node: node.clone(), state: state.clone(), origin };
    let mut connection = Builder::new()
        .header_read_timeout(None)
        .max_buf_size(node.limits().head_bytes.max(BUFFER_BYTES) + ADDED_BYTES)
        .serve_connection(TokioIo::new(Socket::new(stream, state.traffic.clone())), handler);
    let (cause, error) = match drive(&node, &state, &mut connection).await {
        Ended::Http(result) => {
            let cause = state.cause(&result);
            (cause, result.err().map(|error| error.to_string()))
        }
        Ended::Stopped => (Cause::Stop, None),
        Ended::Expired(Reason::Idle) if node.is_stopping() => (Cause::Stop, None),
        Ended::Expired(Reason::Idle) => (Cause::Idle, None),
        Ended::Expired(Reason::SlowHead) => (Cause::SlowHead, None),
        Ended::Evicted => (Cause::Evicted, None),
        Ended::NoRoom => (Cause::NoRoom, None),
        Ended::Expired(Reason::SlowRest) => {
            state.leave_unread();
            (Cause::Unread, None)
        }
    };
    log_end(&node, &state, origin, accepted_at, cause, &error.unwrap_or_default());
    // What the connection held is released before its last answer is written.
    state.is_ending.set(true);
    state.head.borrow_mut().release();
    state.rest.take();
    let mut socket = connection.into_parts().io.into_inner();
    match cause {
        Cause::SlowHead => socket.answer(SLOW_HEAD),
        Cause::NoRoom => socket.answer(NO_ROOM),
        _ => {}
    }
    // A port without room does not wait for what the caller may still send.
    if cause == Cause::Evicted || node.port(origin).is_full() {
        return;
    }
    if state.is_unread.get()
        || matches!(cause, Cause::SlowHead | Cause::InvalidHead | Cause::NoRoom)
    {
        socket.discard().await;
    }
}

/// Handles the requests on one connection.
struct Handler {
    node: Rc<Node>,
    state: Rc<State>,
    origin: Origin,
}

impl Service<Request<Incoming>> for Handler {
    type Response = Response<Answer>;
    type Error = Infallible;
    type Future = Pin<Box<dyn Future<Output = Result<Response<Answer>, Infallible>>>>;

    fn call(&self, request: Request<Incoming>) -> Self::Future {
        let (node, state, origin) = (self.node.clone(), self.state.clone(), self.origin);
        // The future is dropped before it is first polled if the caller has left already.
        let receipt = Receipt::new(&node, &state, request_id(&request));
        Box::pin(async move { Ok(handle(node, &state, receipt, request, origin).await) })
    }
}

type Connection = http1::Connection<TokioIo<Socket>, Handler>;

/// How the work on a connection ended.
enum Ended {
    /// By the HTTP library.
    Http(hyper::Result<()>),
    /// The connection is to be closed.
    Expired(Reason),
    /// The connection is closed for another one.
    Evicted,
    /// There is no room for the head of a request.
    NoRoom,
    /// The process ends.
    Stopped,
}

/// Drives a connection until it ends or is to be closed.
async fn drive(node: &Node, state: &State, connection: &mut Connection) -> Ended {
    let mut timer = Timer::new();
    loop {
        let ended = poll_fn(|context| {
            // No later request on the connection could be served.
            if node.closed.get() && state.in_progress.get() > 0 {
                state.set_last(true);
                Pin::new(&mut *connection).graceful_shutdown();
            }
            if let Poll::Ready(result) = Pin::new(&mut *connection).poll(context) {
                return Poll::Ready(Ended::Http(result));
            }
            if !state.record_progress(node.now()) {
                return Poll::Ready(Ended::NoRoom);
            }
            state.poll_rest(node, context);
            let Some((at, reason)) = state.expires_at(node) else { return Poll::Pending };
            timer.poll_until(context, node.now(), at).map(|()| Ended::Expired(reason))
        });
        let ended = tokio::select! {
            ended = ended => ended,
            // The connection may be closed earlier from now on.
            () = node.stop_requested.notified() => continue,
            () = node.close_requested.notified() => continue,
            () = state.evicted.notified() => Ended::Evicted,
            () = node.ended.notified() => Ended::Stopped,
        };
        let Ended::Expired(_) = ended else { return ended };
        // A request may have arrived that has not been seen: sockets are checked before this goes on.
        yield_now().await;
        let polled = poll_fn(|context| Poll::Ready(Pin::new(&mut *connection).poll(context))).await;
        if let Poll::Ready(result) = polled {
            return Ended::Http(result);
        }
        if state.expires_at(node).is_some_and(|(at, _)| at <= node.now()) {
            return ended;
        }
    }
}

fn log_end(
    node: &Node,
    state: &State,
    origin: Origin,
    accepted_at: Duration,
    cause: Cause,
    error: &str,
) {
    let event = Event::new(CONNECTION_ENDED)
        .with("connection", state.number)
        .with("origin", format_args!("{origin:?}"))
        .with("cause", cause.name())
        .with("requests", state.requests.get())
        .with("in_progress", state.in_progress.get())
        .with("error", error)
        .with("ms", node.now().saturating_sub(accepted_at).as_millis());
    log::info!("{event}");
    metrics::counter!("magnolia_connections_ended", "cause" => cause.name()).increment(1);
}
