//! A connection of a caller or of another node: serves its requests, and records why it ends.

use std::cell::Cell;
use std::convert::Infallible;
use std::fmt;
use std::rc::Rc;
use std::time::Duration;

use fleet::Event;
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpStream;
use tokio::pin;

use crate::event::CONNECTION_ENDED;
use crate::forward::Origin;
use crate::front::handle;
use crate::node::Node;
use crate::pool::set_socket_timeouts;
use crate::socket::{Socket, Traffic};

/// Minimum size of the read buffer that `hyper` accepts.
const MIN_BUFFER_BYTES: usize = 8 << 10;

/// Why a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Cause {
    /// The caller closed it.
    Caller,
    /// It was lost: reset, or without a sign of the other side for too long.
    Lost,
    /// No request came for too long, or the head of one did not end in time.
    Idle,
    /// What came is no request.
    InvalidHead,
    /// The last answer was the last one on the connection, as it said or as the caller asked.
    LastAnswer,
    /// A request was answered before all of it had arrived.
    Unread,
    /// An answer ended before it was complete.
    BrokenAnswer,
    /// The process stops.
    Stop,
}

impl Cause {
    fn name(self) -> &'static str {
        match self {
            Cause::Caller => "closed by the caller",
            Cause::Lost => "lost",
            Cause::Idle => "idle",
            Cause::InvalidHead => "invalid head",
            Cause::LastAnswer => "last answer",
            Cause::Unread => "request not read",
            Cause::BrokenAnswer => "broken answer",
            Cause::Stop => "stop",
        }
    }
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
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
}

impl State {
    fn new(number: u64) -> Self {
        Self {
            number,
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
    pub(crate) fn begin_request(&self) {
        self.requests.set(self.requests.get() + 1);
        self.in_progress.set(self.in_progress.get() + 1);
    }

    /// Records that a request has ended.
    pub(crate) fn end_request(&self) {
        self.in_progress.set(self.in_progress.get() - 1);
    }

    /// Records whether the next answer is the last one on the connection.
    pub(crate) fn set_last(&self, is_last: bool) {
        self.is_last.set(is_last);
    }

    /// Returns why the connection ended, by the result of the HTTP library.
    fn cause(&self, result: &hyper::Result<()>, is_stopping: bool) -> Cause {
        if self.traffic.error().is_some() {
            return Cause::Lost;
        }
        match result {
            Err(error) if error.is_timeout() => Cause::Idle,
            Err(error) if error.is_parse() => Cause::InvalidHead,
            Err(error) if error.is_user() || error.is_body_write_aborted() => Cause::BrokenAnswer,
            Ok(()) | Err(_) if self.traffic.is_ended() => Cause::Caller,
            Err(_) => Cause::Lost,
            Ok(()) if self.is_last.get() => Cause::LastAnswer,
            Ok(()) if is_stopping => Cause::Stop,
            Ok(()) => Cause::Unread,
        }
    }
}

/// Counts an open connection.
struct Guard(Rc<Node>);

impl Guard {
    fn new(node: &Rc<Node>) -> Self {
        node.connections.set(node.connections.get() + 1);
        Self(node.clone())
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.0.connections.set(self.0.connections.get() - 1);
    }
}

/// Serves the requests on a connection until it ends.
pub(crate) async fn serve(node: Rc<Node>, stream: TcpStream, origin: Origin) {
    let _guard = Guard::new(&node);
    set_socket_timeouts(&stream);
    let accepted_at = node.now();
    let state = Rc::new(State::new(node.next_connection()));
    let limits = node.config().map(|config| config.limits.clone()).unwrap_or_default();
    let service = {
        let (node, state) = (node.clone(), state.clone());
        service_fn(move |request| {
            let (node, state) = (node.clone(), state.clone());
            async move { Ok::<_, Infallible>(handle(node, &state, request, origin).await) }
        })
    };
    let connection = Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout)
        .max_buf_size(limits.head_bytes.max(MIN_BUFFER_BYTES))
        .keep_alive(!node.stopping.get())
        .serve_connection(TokioIo::new(Socket::new(stream, state.traffic.clone())), service);
    pin!(connection);
    let result = tokio::select! {
        result = connection.as_mut() => result,
        () = node.stop_requested.notified() => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    log_end(&node, &state, origin, accepted_at, result);
}

fn log_end(
    node: &Node,
    state: &State,
    origin: Origin,
    accepted_at: Duration,
    result: hyper::Result<()>,
) {
    let cause = state.cause(&result, node.stopping.get());
    let error = result.err().map(|error| error.to_string()).unwrap_or_default();
    let event = Event::new(CONNECTION_ENDED)
        .with("connection", state.number)
        .with("origin", format_args!("{origin:?}"))
        .with("cause", cause)
        .with("requests", state.requests.get())
        .with("in_progress", state.in_progress.get())
        .with("error", error)
        .with("ms", node.now().saturating_sub(accepted_at).as_millis());
    log::info!("{event}");
    metrics::counter!("magnolia_connections_ended", "cause" => cause.name()).increment(1);
}
