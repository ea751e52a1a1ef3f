//! Pool of connections to targets.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::error::Error as _;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{CONNECTION, CONTENT_LENGTH, HeaderMap, HeaderName, TRANSFER_ENCODING};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::body;
use crate::clock::Clock;
use crate::defect::{Defect, is_bodiless, lacks_field};
use crate::socket::{Socket, Traffic};
use crate::used::{ConnectionNumber, Used};

/// Maximum time to connect: failure domains are less than a millisecond apart, and a lost SYN is
/// retransmitted only after a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time without any byte from the other side after which keep-alive probes are sent.
const KEEPALIVE_TIME: Duration = Duration::from_secs(2);
/// Interval of keep-alive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of keep-alive probes that must be lost before the connection fails.
const KEEPALIVE_PROBES: u32 = 3;
/// Time that sent bytes may remain unacknowledged before the connection fails. It also ends the
/// keep-alive probes, whatever their number, so it lies after the last of them and before another.
const USER_TIMEOUT: Duration = Duration::from_millis(4500);
/// Time for which an idle connection is kept if the target does not announce its timeout.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Margin before the target's own idle timeout at which a connection is no longer used.
const IDLE_MARGIN: Duration = Duration::from_millis(1500);
/// Maximum time for which an idle connection is kept, whatever the target announces.
const MAX_IDLE_TIMEOUT: Duration = Duration::from_secs(3600);
/// Minimum size of the read buffer that `hyper` accepts.
const BUFFER_BYTES: usize = 8 << 10;

/// Maximum wait for the rest of an answer that is discarded.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(50);
/// Maximum size of the rest of an answer that is discarded.
const MAX_DRAINED_BYTES: usize = 64 << 10;

/// Maximum size of an answer that is held in memory as a whole.
pub(crate) const MAX_ANSWER_BYTES: usize = 4 << 20;

pub(crate) const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// Why a request got no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Unanswered {
    /// The target refused the connection. Nothing was sent.
    Refused,
    /// Nothing was sent.
    NotSent,
    /// The request was sent and may have run.
    Unknown,
    /// The request was sent and may have run, and the response is not valid.
    Malformed(Defect),
}

type Sender = SendRequest<Full<Bytes>>;

/// An open connection.
struct Link {
    sender: Sender,
    traffic: Rc<Traffic>,
    /// Whether bytes have arrived that belong to no response.
    has_excess: Rc<Cell<bool>>,
}

struct Idle {
    link: Link,
    number: ConnectionNumber,
    until: Duration,
}

/// Idle connections by address.
pub(crate) struct Pool {
    clock: Clock,
    idle: RefCell<HashMap<SocketAddr, Vec<Idle>>>,
    /// Number of connections opened so far.
    opened: Cell<ConnectionNumber>,
}

/// An answer whose head has arrived, and its connection.
pub(crate) struct Exchange {
    pub(crate) response: Response<Incoming>,
    /// Whether the connection was opened for this request.
    pub(crate) is_new_connection: bool,
    connection: Connection,
}

/// A connection in use.
pub(crate) struct Connection {
    address: SocketAddr,
    link: Link,
    number: ConnectionNumber,
    /// Time for which the connection may be idle; `None` if it must be closed.
    idle_timeout: Option<Duration>,
}

impl Connection {
    /// Returns the address of the other side.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Exchange {
    /// Returns the answer, and the connection to release after the end of the answer.
    pub(crate) fn split(self) -> (Response<Incoming>, Connection) {
        (self.response, self.connection)
    }
}

impl Pool {
    pub(crate) fn new(clock: Clock) -> Self {
        Self { clock, idle: RefCell::default(), opened: Cell::default() }
    }

    /// Sends a request over a connection that it has not used yet, and waits for the head of the
    /// answer. Dropping the future closes the connection, which cancels the request at the target.
    pub(crate) async fn send(
        &self,
        address: SocketAddr,
        mut request: Request<Full<Bytes>>,
        used: &Used,
    ) -> Result<Exchange, Unanswered> {
        while let Some((mut link, number)) = self.take_idle(address, used) {
            used.record(number);
            link.traffic.keep();
            match link.sender.try_send_request(request).await {
                Ok(response) => return exchange(address, link, number, response, false),
                Err(mut failed) => match failed.take_message() {
                    // The connection was closed before anything was written.
                    Some(unsent) => request = unsent,
                    None => return Err(unanswered(address, failed.error())),
                },
            }
        }
        let mut link = open(address).await?;
        let number = self.next_number();
        used.record(number);
        link.traffic.keep();
        match link.sender.try_send_request(request).await {
            Ok(response) => exchange(address, link, number, response, true),
            Err(mut failed) => match failed.take_message() {
                Some(_) => Err(Unanswered::NotSent),
                None => Err(unanswered(address, failed.error())),
            },
        }
    }

    /// Returns a connection to the pool after the end of an answer.
    pub(crate) fn release(&self, connection: Connection) {
        let Some(idle_timeout) = connection.idle_timeout else { return };
        if connection.link.sender.is_closed() {
            return;
        }
        let until = self.clock.now() + idle_timeout;
        let mut idle = self.idle.borrow_mut();
        let list = idle.entry(connection.address).or_default();
        list.push(Idle { link: connection.link, number: connection.number, until });
    }

    /// Reads and discards the rest of an answer, then returns the connection to the pool. Closes
    /// the connection if the rest takes longer than [`DRAIN_TIMEOUT`].
    pub(crate) async fn drain(&self, body: Incoming, connection: Connection) {
        let rest = timeout(DRAIN_TIMEOUT, body::discard(body, MAX_DRAINED_BYTES)).await;
        if rest == Ok(true) {
            self.release(connection);
        }
    }

    /// Closes connections that have been idle for too long.
    pub(crate) fn close_expired(&self) {
        let now = self.clock.now();
        self.idle.borrow_mut().retain(|_, list| {
            list.retain(|idle| idle.until > now && !idle.link.sender.is_closed());
            !list.is_empty()
        });
    }

    fn next_number(&self) -> ConnectionNumber {
        let number = self.opened.get() + 1;
        self.opened.set(number);
        number
    }

    /// Takes the idle connection to a target that was used last, except for those in `used`.
    fn take_idle(&self, address: SocketAddr, used: &Used) -> Option<(Link, ConnectionNumber)> {
        let now = self.clock.now();
        let mut idle = self.idle.borrow_mut();
        let list = idle.get_mut(&address)?;
        list.retain(|idle| idle.until > now && !idle.link.sender.is_closed());
        let is_free = |idle: &Idle| idle.link.sender.is_ready() && !used.contains(idle.number);
        let newest = list.iter().rposition(is_free)?;
        let Idle { link, number, .. } = list.remove(newest);
        Some((link, number))
    }
}

/// Returns the answer that a response is. Closes the connection if the response is not valid.
fn exchange(
    address: SocketAddr,
    link: Link,
    number: ConnectionNumber,
    response: Response<Incoming>,
    is_new_connection: bool,
) -> Result<Exchange, Unanswered> {
    let received = link.traffic.take_kept();
    let (status, headers) = (response.status(), response.headers());
    // The HTTP library has removed the length from a head with both.
    let has_both =
        headers.contains_key(TRANSFER_ENCODING) && !lacks_field(&received, CONTENT_LENGTH.as_str());
    let has_excess = is_bodiless(status) && link.has_excess.get();
    let unseen = has_both.then_some(Defect::Framing).or(has_excess.then_some(Defect::Body));
    if let Some(defect) = Defect::of(status, headers).or(unseen) {
        return Err(malformed(address, defect));
    }
    let idle_timeout = idle_timeout(response.headers());
    let connection = Connection { address, link, number, idle_timeout };
    Ok(Exchange { response, is_new_connection, connection })
}

/// Returns why a request that was sent got no answer.
fn unanswered(address: SocketAddr, error: &hyper::Error) -> Unanswered {
    Defect::of_error(error).map_or(Unanswered::Unknown, |defect| malformed(address, defect))
}

/// Logs and counts a response that is not valid.
fn malformed(address: SocketAddr, defect: Defect) -> Unanswered {
    defect.record(address);
    Unanswered::Malformed(defect)
}

/// Returns how long a connection may be idle after an answer with these headers.
fn idle_timeout(headers: &HeaderMap) -> Option<Duration> {
    let text = |name: HeaderName| headers.get(name).and_then(|value| value.to_str().ok());
    if text(CONNECTION).is_some_and(|value| value.eq_ignore_ascii_case("close")) {
        return None;
    }
    let Some(value) = text(KEEP_ALIVE) else { return Some(DEFAULT_IDLE_TIMEOUT) };
    let timeout = value.split(',').find_map(|part| part.trim().strip_prefix("timeout="));
    let Some(seconds) = timeout.and_then(|seconds| seconds.parse().ok()) else {
        return Some(DEFAULT_IDLE_TIMEOUT);
    };
    Duration::from_secs(seconds).min(MAX_IDLE_TIMEOUT).checked_sub(IDLE_MARGIN)
}

/// Opens a connection that is used for no request.
///
/// # Errors
///
/// See [`open`].
pub(crate) async fn connect(address: SocketAddr) -> Result<Sender, Unanswered> {
    open(address).await.map(|link| link.sender)
}

/// Opens a connection and spawns the task that drives it.
///
/// # Errors
///
/// Returns [`Unanswered::Refused`] if no process listens at the address, and
/// [`Unanswered::NotSent`] if the connection cannot be established for another reason.
async fn open(address: SocketAddr) -> Result<Link, Unanswered> {
    let connecting = timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
    let stream = connecting.await.map_err(|_| Unanswered::NotSent)?.map_err(connect_failure)?;
    metrics::counter!("magnolia_connections").increment(1);
    set_socket_timeouts(&stream);
    let traffic = Rc::<Traffic>::default();
    let stream = Socket::new(stream, traffic.clone());
    let handshake = http1::Builder::new()
        .max_buf_size(BUFFER_BYTES * 4)
        .handshake::<_, Full<Bytes>>(TokioIo::new(stream))
        .await;
    let (sender, connection) = handshake.map_err(|_| Unanswered::NotSent)?;
    let has_excess = Rc::new(Cell::new(false));
    let excess = has_excess.clone();
    tokio::task::spawn_local(async move {
        // A request that waits for its response receives the error instead.
        if let Err(error) = connection.await {
            excess.set(is_excess(&error));
        }
    });
    Ok(Link { sender, traffic, has_excess })
}

/// Returns whether a connection ended because of bytes that belong to no response. The HTTP library
/// has no name for this error: it is the one without a cause that is none of the others.
fn is_excess(error: &hyper::Error) -> bool {
    let is_other = error.is_closed() || error.is_canceled() || error.is_incomplete_message();
    error.source().is_none() && !is_other
}

fn connect_failure(error: io::Error) -> Unanswered {
    match error.kind() {
        io::ErrorKind::ConnectionRefused => Unanswered::Refused,
        _ => Unanswered::NotSent,
    }
}

/// Sets socket options that make a connection fail within seconds if its other side becomes
/// unreachable.
pub fn set_socket_timeouts(stream: &TcpStream) {
    let socket = socket2::SockRef::from(stream);
    let keepalive = socket2::TcpKeepalive::new()
        .with_time(KEEPALIVE_TIME)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    let set = stream
        .set_nodelay(true)
        .and_then(|()| socket.set_tcp_user_timeout(Some(USER_TIMEOUT)))
        .and_then(|()| socket.set_tcp_keepalive(&keepalive));
    if set.is_err() {
        metrics::counter!("magnolia_socket_options_refused").increment(1);
    }
}
