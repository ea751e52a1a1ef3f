//! One attempt at a request: the blocking call to a target, read on a thread of
//! its own. Each attempt has its own connection, so that a refused connection
//! proves that nothing was sent.

use std::io::{BufRead, BufReader, Read};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use fleet::{AttemptId, RequestId, TokenIndex, Trail};
use serde::Deserialize;
use smol_str::SmolStr;
use tokio::sync::mpsc::Sender;

use crate::Answer;

/// Longest line of an engine's stream, in bytes.
const MAX_LINE_BYTES: u64 = 256 * 1024;
/// Header by which a target says that it did not run a call.
pub(crate) const RUN_HEADER: &str = "magnolia-run";

/// What an attempt reports.
#[derive(Debug)]
pub(crate) enum Event {
    /// A token.
    Token(Token),
    /// The closing event.
    Closed { request: SmolStr, attempt: AttemptId, finish: SmolStr, tokens: TokenIndex },
    /// The first stage says that a stage failed.
    Failed { target: SmolStr, reason: SmolStr },
    /// The target refused before it ran anything.
    Refused { leaving: bool, retry_after: Option<Duration> },
    /// No connection came about.
    Unreachable,
    /// The answer ended before its end.
    Broken,
    /// The whole answer to a plain call.
    Answer(Answer),
}

/// A token as an engine sends it.
#[derive(Debug, Deserialize)]
pub(crate) struct Token {
    pub(crate) request: SmolStr,
    pub(crate) attempt: AttemptId,
    pub(crate) index: TokenIndex,
    pub(crate) text: SmolStr,
    pub(crate) trail: Trail,
}

#[derive(Deserialize)]
#[serde(untagged)]
enum Line {
    Token(Token),
    Closed {
        request: SmolStr,
        attempt: AttemptId,
        finish: SmolStr,
        tokens: TokenIndex,
    },
    Failed {
        failed: SmolStr,
        #[serde(default)]
        reason: SmolStr,
    },
}

/// Where an attempt's events go.
pub(crate) struct Sink {
    pub(crate) attempt: AttemptId,
    pub(crate) events: Sender<(AttemptId, Event)>,
    /// Set when the attempt has been replaced or its caller has gone.
    pub(crate) abandoned: Arc<AtomicBool>,
}

impl Sink {
    /// Hands on an event; false when nobody wants more.
    fn send(&self, event: Event) -> bool {
        !self.abandoned.load(Ordering::Relaxed)
            && self.events.blocking_send((self.attempt, event)).is_ok()
    }
}

/// Buffers of a connection to a target, each way, in bytes; there is one connection for
/// each open stream.
const BUFFER_BYTES: usize = 16 * 1024;

/// Makes the agent for calls to targets.
pub(crate) fn agent(connect: Duration) -> ureq::Agent {
    let config = ureq::Agent::config_builder()
        .http_status_as_error(false)
        .proxy(None)
        .timeout_connect(Some(connect))
        .max_redirects(0)
        .max_redirects_will_error(false)
        .max_idle_connections(0)
        .max_idle_connections_per_host(0)
        .allow_non_standard_methods(true)
        .input_buffer_size(BUFFER_BYTES)
        .output_buffer_size(BUFFER_BYTES)
        .build();
    ureq::Agent::new_with_config(config)
}

/// Whether a failure shows that no connection came about.
fn never_connected(error: &ureq::Error) -> bool {
    match error {
        ureq::Error::ConnectionFailed | ureq::Error::HostNotFound => true,
        ureq::Error::Timeout(ureq::Timeout::Connect | ureq::Timeout::Resolve) => true,
        ureq::Error::Io(error) => error.kind() == std::io::ErrorKind::ConnectionRefused,
        _ => false,
    }
}

/// What a call without an answer is reported as.
fn event_for_error(error: &ureq::Error) -> Event {
    if never_connected(error) { Event::Unreachable } else { Event::Broken }
}

/// Sends a model call and reports its tokens. `io_timeout` bounds each read.
pub(crate) fn stream(
    agent: &ureq::Agent,
    url: &str,
    body: &[u8],
    io_timeout: Duration,
    sink: &Sink,
) {
    let request = agent.post(url).config();
    let request =
        request.timeout_per_read(Some(io_timeout)).timeout_per_write(Some(io_timeout)).build();
    let answer = request.content_type("application/json").send(body);
    let answer = match answer {
        Ok(answer) => answer,
        Err(error) => {
            sink.send(event_for_error(&error));
            return;
        }
    };
    if let Some(refused) = refusal(&answer) {
        sink.send(refused(answer));
        return;
    }
    if answer.status().as_u16() != 200 {
        sink.send(Event::Broken);
        return;
    }
    if !read_events(answer.into_body().into_reader(), sink) {
        sink.send(Event::Broken);
    }
}

/// Reads server-sent events; returns whether the stream came to a proper end, or nobody listens.
fn read_events(body: impl Read, sink: &Sink) -> bool {
    let mut reader = BufReader::new(body);
    let mut line = String::new();
    loop {
        line.clear();
        match reader.by_ref().take(MAX_LINE_BYTES).read_line(&mut line) {
            Ok(0) | Err(_) => return false,
            Ok(_) if !line.ends_with('\n') => return false,
            Ok(_) => {}
        }
        let Some(data) = line.strip_prefix("data:") else { continue };
        let data = data.trim();
        if data == "[DONE]" {
            return false;
        }
        let event = match serde_json::from_str(data) {
            Ok(Line::Token(token)) => Event::Token(token),
            Ok(Line::Closed { request, attempt, finish, tokens }) => {
                sink.send(Event::Closed { request, attempt, finish, tokens });
                return true;
            }
            Ok(Line::Failed { failed, reason }) => {
                sink.send(Event::Failed { target: failed, reason });
                return true;
            }
            Err(_) => return false,
        };
        if !sink.send(event) {
            return true;
        }
    }
}

type Response = ureq::http::Response<ureq::Body>;

/// Recognises an answer that says that the call was not run.
fn refusal(answer: &Response) -> Option<impl FnOnce(Response) -> Event + use<>> {
    let status = answer.status().as_u16();
    let header = |name: &str| answer.headers().get(name).and_then(|value| value.to_str().ok());
    if !matches!(status, 429 | 503) || header(RUN_HEADER) != Some("not-run") {
        return None;
    }
    let retry_after =
        header("retry-after").and_then(|seconds| seconds.parse().ok()).map(Duration::from_secs);
    Some(move |answer: Response| {
        let body = answer.into_body().into_with_config().limit(MAX_LINE_BYTES).read_to_string();
        let body: serde_json::Value =
            body.ok().and_then(|body| serde_json::from_str(&body).ok()).unwrap_or_default();
        let leaving = body["error"]["type"] == "leaving";
        Event::Refused { leaving, retry_after }
    })
}

/// A plain call as it goes to the target.
pub(crate) struct ServiceRequest {
    pub(crate) method: hyper::Method,
    pub(crate) url: String,
    pub(crate) headers: Vec<(hyper::header::HeaderName, hyper::header::HeaderValue)>,
    pub(crate) body: bytes::Bytes,
    pub(crate) request: RequestId,
    pub(crate) answer_bytes: usize,
    /// Last moment at which the first byte may go out.
    pub(crate) until: Option<Instant>,
}

/// Sends a plain call and reports its answer. `timeout` bounds the whole call.
pub(crate) fn call_service(
    agent: &ureq::Agent,
    service: ServiceRequest,
    timeout: Duration,
    sink: &Sink,
) {
    let mut request = ureq::http::Request::builder().method(service.method).uri(&service.url);
    for (name, value) in service.headers {
        request = request.header(name, value);
    }
    let request = request
        .header("magnolia-request", super::shared::hex(service.request))
        .header("magnolia-attempt", sink.attempt.to_string())
        .body(service.body.to_vec());
    let Ok(request) = request else {
        sink.send(Event::Unreachable);
        return;
    };
    let request = agent.configure_request(request).timeout_global(Some(timeout)).build();
    // The thread may have waited, or the process may have been paused, since the decision.
    if service.until.is_some_and(|until| Instant::now() > until) {
        sink.send(Event::Unreachable);
        return;
    }
    let answer = match agent.run(request) {
        Ok(answer) => answer,
        Err(error) => {
            sink.send(event_for_error(&error));
            return;
        }
    };
    if let Some(refused) = refusal(&answer) {
        sink.send(refused(answer));
        return;
    }
    let status = answer.status().as_u16();
    let content_type = answer.headers().get("content-type").and_then(|value| value.to_str().ok());
    let content_type = SmolStr::new(content_type.unwrap_or("application/octet-stream"));
    let limit = service.answer_bytes as u64;
    match answer.into_body().into_with_config().limit(limit).read_to_vec() {
        Ok(body) => sink.send(Event::Answer(Answer { status, content_type, body })),
        Err(_) => sink.send(Event::Broken),
    };
}

/// Tells a stage to end an attempt.
pub(crate) fn cancel(agent: &ureq::Agent, url: &str, body: &[u8], timeout: Duration) {
    let request = agent.post(url).config().timeout_global(Some(timeout)).build();
    if let Err(error) = request.content_type("application/json").send(body) {
        log::debug!("cancel to {url} failed: {error}");
    }
}
