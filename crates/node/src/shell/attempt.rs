//! One attempt at a request: a blocking call to a target on a thread of its own.
//! Each attempt opens a new connection, so that a refused connection proves that
//! nothing was sent.

use std::io::{BufReader, Read};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use edge::{Defect, Holding, Memory, Share, promises_not_run};
use fleet::{AttemptId, RequestId, TokenIndex, Trail};
use hyper::StatusCode;
use serde::Deserialize;
use smol_str::SmolStr;
use tokio::sync::mpsc::Sender;

use super::body::{Lines, read_whole};
use crate::Answer;

/// Maximum length of a line in an engine's stream and of a refusal's body, in bytes.
const MAX_LINE_BYTES: usize = 256 * 1024;
/// Header in which a target states that it did not run a call.
pub(crate) const RUN_HEADER: &str = "magnolia-run";

/// An event of an attempt.
#[derive(Debug)]
pub(crate) enum Event {
    /// The engine generated a token.
    Token(Token),
    /// The engine sent the closing event of the stream.
    Closed { request: SmolStr, attempt: AttemptId, finish: SmolStr, tokens: TokenIndex },
    /// The first stage reported that a stage failed.
    Failed { target: SmolStr, reason: SmolStr },
    /// The target refused the call without running it.
    Refused { leaving: bool, retry_after: Option<Duration> },
    /// No connection could be established, or nothing was sent.
    Unreachable,
    /// The answer is missing, invalid or incomplete.
    Broken,
    /// The head of the answer is not valid by the rules of HTTP. The target runs, so this is no
    /// evidence that the call crashes targets.
    Malformed,
    /// The target answered with a status that promises that the call has not run, but did not state
    /// that it has not.
    Unproven(StatusCode),
    /// The plain service sent its complete answer. It is counted until the share is dropped.
    Answer(Answer, Share),
}

/// A token as serialised by an engine.
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

/// Receiver of an attempt's events.
pub(crate) struct Sink {
    pub(crate) attempt: AttemptId,
    /// Address of the target.
    pub(crate) target: SocketAddr,
    /// What the process holds of answers.
    pub(crate) answers: Memory,
    pub(crate) events: Sender<(AttemptId, Event)>,
    /// Set when the attempt has been replaced or its caller has disconnected.
    pub(crate) abandoned: Arc<AtomicBool>,
}

impl Sink {
    /// Returns the holding of the target's answer.
    fn holding(&self) -> Holding {
        self.answers.begin(self.target)
    }

    /// Forwards an event to the relay. Returns false if the attempt was abandoned or the relay has
    /// ended.
    fn send(&self, event: Event) -> bool {
        !self.abandoned.load(Ordering::Relaxed)
            && self.events.blocking_send((self.attempt, event)).is_ok()
    }
}

/// Size of the input and of the output buffer of a connection to a target, in bytes. Kept small
/// because each open stream has its own connection.
const BUFFER_BYTES: usize = 16 * 1024;

/// Creates the HTTP agent for calls to targets. It keeps no idle connections, because each
/// attempt opens a new one.
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

/// Returns whether an error proves that no connection was established.
fn never_connected(error: &ureq::Error) -> bool {
    match error {
        ureq::Error::ConnectionFailed | ureq::Error::HostNotFound => true,
        ureq::Error::Timeout(ureq::Timeout::Connect | ureq::Timeout::Resolve) => true,
        ureq::Error::Io(error) => error.kind() == std::io::ErrorKind::ConnectionRefused,
        _ => false,
    }
}

/// Returns the defect of a response that the HTTP library rejected; `None` if there was none, as on
/// a connection that was closed.
fn defect_of_error(error: &ureq::Error) -> Option<Defect> {
    match error {
        ureq::Error::LargeResponseHeader(..) => Some(Defect::Size),
        ureq::Error::Http(_) | ureq::Error::Protocol(_) => Some(Defect::Head),
        _ => None,
    }
}

/// Maps the error of a call to the target at `address` without an answer to the event to report.
fn event_for_error(error: &ureq::Error, address: SocketAddr) -> Event {
    match defect_of_error(error) {
        Some(defect) => malformed(defect, address),
        None if never_connected(error) => Event::Unreachable,
        None => Event::Broken,
    }
}

/// Logs and counts a response that is not valid.
fn malformed(defect: Defect, address: SocketAddr) -> Event {
    defect.record(address);
    Event::Malformed
}

/// Sends a model call and reports its tokens. `io_timeout` bounds each read and each write.
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
            sink.send(event_for_error(&error, sink.target));
            return;
        }
    };
    if let Some(defect) = Defect::of(answer.status(), answer.headers()) {
        sink.send(malformed(defect, sink.target));
        return;
    }
    if let Some(refused) = refusal(&answer) {
        sink.send(refused(answer, sink.holding(), Instant::now() + io_timeout));
        return;
    }
    if answer.status().as_u16() != 200 {
        sink.send(Event::Broken);
        return;
    }
    if !read_events(answer.into_body().into_reader(), io_timeout, sink) {
        sink.send(Event::Broken);
    }
}

/// Reads server-sent events. A long one waits for room for `patience`. Returns true if the stream
/// ended with a closing or failure event, or if the sink accepts no more events.
fn read_events(body: impl Read, patience: Duration, sink: &Sink) -> bool {
    let mut lines = Lines::new(BufReader::new(body), MAX_LINE_BYTES, sink.holding(), patience);
    loop {
        let Some(line) = lines.read() else { return false };
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

/// Checks whether a response states that the call was not run, and if so returns a function that
/// converts the response to an event.
fn refusal(answer: &Response) -> Option<impl FnOnce(Response, Holding, Instant) -> Event + use<>> {
    let status = answer.status().as_u16();
    let header = |name: &str| answer.headers().get(name).and_then(|value| value.to_str().ok());
    if !matches!(status, 429 | 503) || header(RUN_HEADER) != Some("not-run") {
        return None;
    }
    let retry_after =
        header("retry-after").and_then(|seconds| seconds.parse().ok()).map(Duration::from_secs);
    Some(move |answer: Response, holding: Holding, until: Instant| {
        let body = read_body(answer, MAX_LINE_BYTES, holding, until);
        let body: serde_json::Value =
            body.and_then(|(body, _)| serde_json::from_slice(&body).ok()).unwrap_or_default();
        let leaving = body["error"]["type"] == "leaving";
        Event::Refused { leaving, retry_after }
    })
}

/// Reads the body of a response of at most `max_bytes` to its end.
fn read_body(
    answer: Response,
    max_bytes: usize,
    holding: Holding,
    until: Instant,
) -> Option<(Vec<u8>, Share)> {
    let length = answer.headers().get("content-length").and_then(|value| value.to_str().ok());
    let stated = length.and_then(|length| length.parse().ok());
    read_whole(answer.into_body().into_reader(), stated, max_bytes, holding, until)
}

/// A call to a plain service, as sent to the target.
pub(crate) struct ServiceRequest {
    pub(crate) method: hyper::Method,
    pub(crate) url: String,
    pub(crate) headers: Vec<(hyper::header::HeaderName, hyper::header::HeaderValue)>,
    pub(crate) body: bytes::Bytes,
    pub(crate) request: RequestId,
    pub(crate) answer_bytes: usize,
    /// Latest time at which the first byte may be sent; `None` if unbounded.
    pub(crate) until: Option<Instant>,
}

/// Sends a call to a plain service and reports its answer. `timeout` bounds the whole call.
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
    // The deadline may have passed since the dispatch decision, if the call waited for a thread or
    // the process was paused.
    if service.until.is_some_and(|until| Instant::now() > until) {
        sink.send(Event::Unreachable);
        return;
    }
    let until = Instant::now() + timeout;
    let answer = match agent.run(request) {
        Ok(answer) => answer,
        Err(error) => {
            sink.send(event_for_error(&error, sink.target));
            return;
        }
    };
    if let Some(defect) = Defect::of(answer.status(), answer.headers()) {
        sink.send(malformed(defect, sink.target));
        return;
    }
    if let Some(refused) = refusal(&answer) {
        sink.send(refused(answer, sink.holding(), until));
        return;
    }
    if promises_not_run(answer.status()) {
        sink.send(Event::Unproven(answer.status()));
        return;
    }
    let status = answer.status().as_u16();
    let content_type = answer.headers().get("content-type").and_then(|value| value.to_str().ok());
    let content_type = SmolStr::new(content_type.unwrap_or("application/octet-stream"));
    match read_body(answer, service.answer_bytes, sink.holding(), until) {
        Some((body, share)) => {
            sink.send(Event::Answer(Answer { status, content_type, body }, share));
        }
        None => {
            sink.send(Event::Broken);
        }
    }
}

/// Sends a cancel call to a stage.
pub(crate) fn cancel(agent: &ureq::Agent, url: &str, body: &[u8], timeout: Duration) {
    let request = agent.post(url).config().timeout_global(Some(timeout)).build();
    if let Err(error) = request.content_type("application/json").send(body) {
        log::debug!("cancel call to {url} failed: {error}");
    }
}
