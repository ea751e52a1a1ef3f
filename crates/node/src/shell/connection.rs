//! A connection of a caller: serves its requests, so that none is lost when the connection ends.

use std::convert::Infallible;
use std::future::pending;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use fleet::Event;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderName, HeaderValue};
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::timeout;

use super::reply::Payload;
use super::shared::{Input, Shared};
use super::unused::Opened;
use crate::event;

/// Header that announces for how long a connection may be used again.
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
/// Share of the idle timeout that is announced.
const ANNOUNCED_SHARE: f64 = 0.8;
/// Minimum time from the end of the announced time to the idle timeout: a request may be on its
/// way, and its first packet may have been lost.
const MARGIN: Duration = Duration::from_secs(1);
/// Time for which a connection on which no request has come stays open after a stop: its first
/// request may be on its way.
const FIRST_REQUEST_TIME: Duration = Duration::from_secs(1);
/// Maximum time for which bytes of a caller are dropped after the last answer. A connection that is
/// closed before its caller has sent everything is reset, and the caller may lose the answer.
const DROP_TIME: Duration = Duration::from_secs(1);
/// Size of the buffer for bytes that are dropped.
const DROP_BUFFER_BYTES: usize = 16 << 10;

/// What is known of an open connection.
struct State<'a> {
    shared: &'a Shared,
    /// Whether a request has come.
    is_used: AtomicBool,
    /// Number of requests so far.
    requests: AtomicUsize,
    /// Whether the last answer was said to be the last one.
    is_last: AtomicBool,
    opened: Arc<Opened>,
}

impl<'a> State<'a> {
    fn new(shared: &'a Shared) -> Self {
        shared.unused_connections.fetch_add(1, Ordering::SeqCst);
        Self {
            shared,
            is_used: AtomicBool::new(false),
            requests: AtomicUsize::new(0),
            is_last: AtomicBool::new(false),
            opened: shared.unused.begin(),
        }
    }

    /// Records that a request has come.
    fn begin_request(&self) {
        self.requests.fetch_add(1, Ordering::SeqCst);
        self.set_used();
    }

    /// Records that a request has come, or that none will.
    fn set_used(&self) {
        if !self.is_used.swap(true, Ordering::SeqCst) {
            self.shared.unused_connections.fetch_sub(1, Ordering::SeqCst);
            self.shared.unused.end(&self.opened);
        }
    }

    fn is_used(&self) -> bool {
        self.is_used.load(Ordering::SeqCst)
    }

    /// Completes the head of an answer.
    fn complete(&self, response: &mut Response<Payload>) {
        if self.shared.draining.load(Ordering::SeqCst) {
            set_last(response);
        }
        announce(response, self.shared.settings.head_timeout);
        self.is_last.store(is_last(response), Ordering::Relaxed);
    }
}

impl State<'_> {
    /// Returns why the connection ended, by the result of the HTTP library.
    fn cause(&self, served: &hyper::Result<()>) -> &'static str {
        match served {
            Err(error) if error.is_timeout() => "no head in time",
            Err(error) if error.is_parse() => "invalid head",
            Err(_) => "lost",
            Ok(()) if self.is_last.load(Ordering::Relaxed) => "last answer",
            Ok(()) if self.shared.draining.load(Ordering::SeqCst) => "stop",
            Ok(()) => "closed by the caller",
        }
    }

    /// Waits until the connection is to be closed for another one: never, once a request has come.
    async fn evicted(&self) {
        self.opened.evicted().await;
        if self.is_used() {
            pending::<()>().await;
        }
    }

    fn log_end(&self, served: &hyper::Result<()>) {
        let error = served.as_ref().err().map(ToString::to_string).unwrap_or_default();
        self.log_cause(self.cause(served), &error);
    }

    fn log_cause(&self, cause: &'static str, error: &str) {
        let event = Event::new(&event::CALLER_CONNECTION_ENDED)
            .with("cause", cause)
            .with("requests", self.requests.load(Ordering::SeqCst))
            .with("error", error);
        self.shared.inbox.send(Input::Log(event));
        metrics::counter!("magnolia_caller_connections_ended", "cause" => cause).increment(1);
    }
}

impl Drop for State<'_> {
    fn drop(&mut self) {
        self.set_used();
    }
}

/// Returns the time for which callers may use a connection again after an answer, in whole seconds;
/// `None` if it is too short to be announced.
fn announced_time(idle_timeout: Duration) -> Option<u64> {
    let time = idle_timeout.mul_f64(ANNOUNCED_SHARE).min(idle_timeout.saturating_sub(MARGIN));
    Some(time.as_secs()).filter(|seconds| *seconds > 0)
}

/// Announces in an answer for how long its connection may be used again, unless it is the last one.
/// A caller that did not know would lose a request that crosses the end of the connection.
fn announce(response: &mut Response<Payload>, idle_timeout: Duration) {
    if is_last(response) {
        return;
    }
    let Some(seconds) = announced_time(idle_timeout) else {
        set_last(response);
        return;
    };
    if let Ok(value) = HeaderValue::from_str(&format!("timeout={seconds}")) {
        response.headers_mut().insert(KEEP_ALIVE, value);
    }
}

/// Sets that an answer is the last one on its connection.
pub(crate) fn set_last(response: &mut Response<Payload>) {
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
}

fn is_last(response: &Response<Payload>) -> bool {
    response.headers().get(CONNECTION).is_some_and(|value| value == "close")
}

/// Serves the requests on a connection until it ends or, after `stop` has changed, until no request
/// is in progress. If none has come yet, the first one is waited for.
pub(crate) async fn serve<F>(
    stream: TcpStream,
    shared: &Shared,
    mut stop: watch::Receiver<bool>,
    respond: impl Fn(Request<Incoming>) -> F,
) where
    F: Future<Output = Response<Payload>>,
{
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("TCP_NODELAY was not set on a connection of a caller: {error}");
    }
    let state = State::new(shared);
    let service = service_fn(|request| {
        state.begin_request();
        let (state, response) = (&state, respond(request));
        async move {
            let mut response = response.await;
            state.complete(&mut response);
            Ok::<_, Infallible>(response)
        }
    });
    // The HTTP library counts the time of a head from the end of the last answer, so that this
    // bounds the time without a request too.
    let mut serving = Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(shared.settings.head_timeout)
        .max_buf_size(shared.settings.head_bytes)
        .serve_connection(TokioIo::new(stream), service);
    let served = tokio::select! {
        served = &mut serving => Some(served),
        _ = stop.changed() => None,
        () = state.evicted() => {
            state.log_cause("closed for another", "");
            return;
        }
    };
    let served = match served {
        None if !state.is_used() => timeout(FIRST_REQUEST_TIME, &mut serving).await.ok(),
        served => served,
    };
    let served = match served {
        Some(served) => served,
        None => {
            Pin::new(&mut serving).graceful_shutdown();
            (&mut serving).await
        }
    };
    state.log_end(&served);
    let is_invalid = served.is_err_and(|error| error.is_parse());
    if is_invalid || state.is_last.load(Ordering::Relaxed) {
        end(serving.into_parts().io.into_inner()).await;
    }
}

/// Ends a connection after its last answer: drops what the caller still sends, for a limited time.
pub(crate) async fn end(mut stream: TcpStream) {
    if stream.shutdown().await.is_err() {
        return;
    }
    let mut dropped = vec![0; DROP_BUFFER_BYTES];
    let reading = async { while matches!(stream.read(&mut dropped).await, Ok(1..)) {} };
    if timeout(DROP_TIME, reading).await.is_err() {
        log::debug!("a caller did not close its connection in time after the last answer");
    }
}
