//! Connections of callers: no request on one gets neither an answer nor a refusal.

mod common;

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::Ordering;
use std::thread::{self, JoinHandle, sleep};
use std::time::Duration;

use common::{Bench, Scripted, WAIT_LIMIT, engine, wait_for};
use node::settings::Arguments;
use node::shell::Process;
use yare::parameterized;

/// Time within which an answer that needs no target is there.
const REFUSAL_TIME: Duration = Duration::from_millis(300);
const CHAT: &str = "POST /v1/chat/completions";
const ORGANISATION: &str = "openai-organization: cascade\r\n";
const BODY: &str = r#"{"model":"plank","messages":[{"role":"user","content":"x"}]}"#;
/// Size of a body that does not fit into the buffers of a connection.
const LARGE_BYTES: usize = 16 << 20;

/// An answer as it came on the connection.
#[derive(Debug)]
struct Answer {
    status: u16,
    headers: HashMap<String, String>,
}

impl Answer {
    fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    fn is_last(&self) -> bool {
        self.header("connection") == "close"
    }
}

/// A connection of a caller.
struct Caller(BufReader<TcpStream>);

impl Caller {
    fn open(address: SocketAddr) -> Self {
        let stream = TcpStream::connect(address).expect("a connection");
        stream.set_read_timeout(Some(WAIT_LIMIT)).expect("timeout");
        stream.set_write_timeout(Some(WAIT_LIMIT)).expect("timeout");
        Self(BufReader::new(stream))
    }

    fn send(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        self.0.get_mut().write_all(bytes)
    }

    /// Sends a head that states the size of the body.
    fn send_head(&mut self, line: &str, headers: &str, size: usize) {
        let head = format!("{line} HTTP/1.1\r\nhost: x\r\n{headers}content-length: {size}\r\n\r\n");
        self.send(head.as_bytes()).expect("it is sent");
    }

    /// Returns the answer; `None` if the connection ended before its head was complete.
    fn read_answer(&mut self) -> Option<Answer> {
        let mut lines = Vec::new();
        loop {
            let mut line = String::new();
            if self.0.read_line(&mut line).ok()? == 0 {
                return None;
            }
            match line.trim() {
                "" => break,
                text => lines.push(text.to_owned()),
            }
        }
        let status = lines.first()?.split(' ').nth(1)?.parse().ok()?;
        let fields = lines.iter().filter_map(|line| line.split_once(": "));
        let headers: HashMap<String, String> =
            fields.map(|(name, value)| (name.to_lowercase(), value.to_owned())).collect();
        let size = headers.get("content-length").and_then(|size| size.parse().ok()).unwrap_or(0);
        self.0.read_exact(&mut vec![0; size]).ok()?;
        Some(Answer { status, headers })
    }

    /// Sends a whole call and returns its answer.
    fn exchange(&mut self) -> Option<Answer> {
        self.send_head(CHAT, ORGANISATION, BODY.len());
        self.send(BODY.as_bytes()).ok()?;
        self.read_answer()
    }

    /// Returns whether the connection ends without further bytes.
    fn is_at_end(&mut self) -> bool {
        matches!(self.0.read(&mut [0]), Ok(0))
    }
}

fn bench(adjust: impl FnOnce(&mut Arguments)) -> (Bench, Scripted) {
    let target = Scripted::start(|call, back| {
        back.start_events();
        back.tokens(call, call.first_token(), 3, true);
    });
    let bench = Bench::start_with(vec![engine("e1", target.address, [0, 8], 8)], adjust);
    (bench, target)
}

fn open(bench: &Bench) -> Caller {
    Caller::open(bench.node.ports().callers)
}

// Guards against a refusal that does not say that the connection ends with it, though the body has
// not been read, so that the next request on the connection is lost.
#[parameterized(
    path = { "POST /v2/chat", ORGANISATION, 404 },
    method = { "PUT /v1/chat/completions", ORGANISATION, 405 },
    no_organisation = { CHAT, "", 401 },
    unknown_organisation = { CHAT, "openai-organization: nobody\r\n", 403 },
    key = { CHAT, "openai-organization: cascade\r\nidempotency-key: \r\n", 400 },
)]
fn refusal_before_the_whole_body_is_the_last_answer(line: &str, headers: &str, status: u16) {
    let (bench, _target) = bench(|_| {});
    let mut caller = open(&bench);
    caller.send_head(line, headers, 100);
    caller.send(b"{\"mod").expect("it is sent");
    let answer = caller.read_answer().expect("an answer");
    assert_eq!(answer.status, status, "{answer:?}");
    assert!(answer.is_last(), "{answer:?}");
    assert!(caller.is_at_end());
}

// Guards against a refusal that ends the connection though there is nothing left to read on it.
#[parameterized(
    path = { "GET /v2/chat", ORGANISATION, 404 },
    method = { "GET /v1/chat/completions", ORGANISATION, 405 },
    no_organisation = { CHAT, "", 401 },
)]
fn refusal_without_a_body_leaves_the_connection_open(line: &str, headers: &str, status: u16) {
    let (bench, _target) = bench(|_| {});
    let mut caller = open(&bench);
    caller.send_head(line, headers, 0);
    let answer = caller.read_answer().expect("an answer");
    assert!(answer.status == status && !answer.is_last(), "{answer:?}");
    assert_eq!(caller.exchange().expect("an answer").status, 200);
}

// Guards against a refusal that is followed by a reset, because the node does not take the rest of
// the body: a caller that is still sending fails before it reads the refusal.
#[parameterized(
    no_organisation = { "", 401 },
    too_large = { ORGANISATION, 413 },
)]
fn refusal_reaches_a_caller_that_is_still_sending(headers: &str, status: u16) {
    let (bench, _target) = bench(|_| {});
    let mut caller = open(&bench);
    caller.send_head(CHAT, headers, LARGE_BYTES);
    caller.send(&vec![b'x'; LARGE_BYTES]).expect("the body is taken");
    let answer = caller.read_answer().expect("an answer");
    assert!(answer.status == status && answer.is_last(), "{answer:?}");
    assert!(caller.is_at_end());
}

// Guards against a refusal of a connection above the limit that is followed by a reset, because
// the node does not take the request that comes on it.
#[test]
fn refusal_of_a_connection_reaches_a_caller_that_is_still_sending() {
    let (bench, _target) = bench(|text| text.connections = "1".to_owned());
    let mut first = open(&bench);
    assert_eq!(first.exchange().expect("an answer").status, 200);
    let mut second = open(&bench);
    second.send_head(CHAT, ORGANISATION, LARGE_BYTES);
    second.send(&vec![b'x'; LARGE_BYTES]).expect("the body is taken");
    let answer = second.read_answer().expect("an answer");
    assert!(answer.status == 503 && answer.is_last(), "{answer:?}");
    assert!(second.is_at_end());
}

// Guards against a caller that uses a kept connection at the moment at which the node closes it as
// idle, because it does not know for how long it may be used.
#[parameterized(
    default = { "30000", Some(24) },
    short = { "2500", Some(1) },
    below_a_second = { "1500", None },
)]
fn answers_announce_for_how_long_a_connection_may_be_used(head_ms: &str, announced_s: Option<u64>) {
    let (bench, _target) = bench(|text| text.head_ms = head_ms.to_owned());
    let mut caller = open(&bench);
    for _ in 0..2 {
        let answer = caller.exchange().expect("an answer");
        assert_eq!(answer.status, 200, "{answer:?}");
        let Some(announced_s) = announced_s else {
            assert!(answer.is_last(), "{answer:?}");
            return;
        };
        assert_eq!(answer.header("keep-alive"), format!("timeout={announced_s}"));
        // A request that is sent at the end of the time may arrive later.
        if announced_s == 1 {
            sleep(Duration::from_secs(announced_s) + REFUSAL_TIME);
        }
    }
}

// Guards against answers of one kind that do not announce the time.
#[parameterized(
    whole = { BODY.to_owned(), 200 },
    stream = { BODY.replace("}]}", r#"}],"stream":true}"#), 200 },
    refusal = { "{}".to_owned(), 400 },
    unknown_model = { BODY.replace("plank", "oak"), 404 },
)]
fn answers_of_all_kinds_announce_the_time(body: String, status: u16) {
    let (bench, _target) = bench(|_| {});
    let mut caller = open(&bench);
    caller.send_head(CHAT, ORGANISATION, body.len());
    caller.send(body.as_bytes()).expect("it is sent");
    let answer = caller.read_answer().expect("an answer");
    assert_eq!((answer.status, answer.header("keep-alive")), (status, "timeout=24"));
}

/// Begins the stop of a node, and waits until it is not ready.
fn begin_stop(node: Process) -> JoinHandle<usize> {
    let url = format!("http://{}/readyz", node.ports().operators);
    let stopping = thread::spawn(move || node.stop());
    wait_for("unreadiness", || {
        common::agent().get(&url).call().is_ok_and(|answer| answer.status().as_u16() == 503)
    });
    stopping
}

// Guards against answers after the begin of a stop that do not say that the connection will be
// closed, so that the caller sends its next request on it.
#[test]
fn answers_after_the_begin_of_a_stop_are_the_last_ones() {
    let (bench, _target) = bench(|text| text.stop_lag_ms = "1500".to_owned());
    let Bench { platform: _platform, node } = bench;
    let mut caller = Caller::open(node.ports().callers);
    let answer = caller.exchange().expect("an answer");
    assert!(answer.status == 200 && !answer.is_last(), "{answer:?}");
    let stopping = begin_stop(node);
    let answer = caller.exchange().expect("an answer");
    assert!(answer.status == 200 && answer.is_last(), "{answer:?}");
    assert!(caller.is_at_end());
    assert_eq!(stopping.join().expect("stop"), 0);
}

/// When the connection on which a request crosses a stop was opened.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Opened {
    /// Before the stop; the request comes after its begin.
    Before,
    /// Before the stop; the second half of the head comes after its begin.
    WithinHead,
}

// Guards against a stop that closes a connection that was accepted before, and whose first request
// is on its way, without an answer.
#[parameterized(
    no_byte = { Opened::Before },
    half_a_head = { Opened::WithinHead },
)]
fn first_request_that_crosses_a_stop_is_refused(opened: Opened) {
    let (bench, target) = bench(|_| {});
    let Bench { platform: _platform, node } = bench;
    let mut caller = Caller::open(node.ports().callers);
    let request = format!(
        "{CHAT} HTTP/1.1\r\nhost: x\r\n{ORGANISATION}content-length: {}\r\n\r\n{BODY}",
        BODY.len()
    );
    let (begin, rest) = request.split_at(if opened == Opened::WithinHead { 20 } else { 0 });
    caller.send(begin.as_bytes()).expect("it is sent");
    // The node has accepted the connection.
    sleep(REFUSAL_TIME);
    let callers = node.ports().callers;
    let stopping = thread::spawn(move || node.stop());
    wait_for("the end of the port", || TcpStream::connect(callers).is_err());
    caller.send(rest.as_bytes()).expect("it is sent");
    let answer = caller.read_answer().expect("an answer");
    assert_eq!(answer.header("magnolia-run"), "not-run", "{answer:?}");
    assert!(answer.status == 503 && answer.is_last(), "{answer:?}");
    assert!(caller.is_at_end());
    assert_eq!(stopping.join().expect("stop"), 0);
    assert!(target.calls("/v1").is_empty());
}

// Guards against a stop that waits for connections that no request comes on.
#[test]
fn stop_ends_connections_without_a_request() {
    let (bench, _target) = bench(|_| {});
    let Bench { platform: _platform, node } = bench;
    let mut caller = Caller::open(node.ports().callers);
    sleep(REFUSAL_TIME);
    assert_eq!(node.stop(), 0);
    assert!(caller.is_at_end());
}

// Guards against counting connections without a request as cut by a forced stop.
#[test]
fn forced_stop_counts_no_connection_without_a_request() {
    let (bench, _target) = bench(|_| {});
    let Bench { platform: _platform, node } = bench;
    let _caller = Caller::open(node.ports().callers);
    sleep(REFUSAL_TIME);
    node.force_stop().store(true, Ordering::SeqCst);
    assert_eq!(node.stop(), 0);
}

/// How a connection ends.
#[derive(Clone, Copy)]
enum Way {
    Closed,
    Idle,
    Invalid,
    Refused,
}

// Guards against a connection that ends without a trace of why.
#[parameterized(
    closed = { Way::Closed, "closed by the caller" },
    idle = { Way::Idle, "no head in time" },
    invalid = { Way::Invalid, "invalid head" },
    refused = { Way::Refused, "last answer" },
)]
fn end_of_a_connection_is_counted_by_its_cause(way: Way, cause: &str) {
    let (bench, _target) = bench(|text| text.head_ms = "2500".to_owned());
    let line = format!("magnolia_caller_connections_ended{{cause=\"{cause}\"}} ");
    let count = || {
        let text = common::agent().get(bench.operators("/metrics")).call().expect("metrics");
        let text = common::Answer::read(text).body;
        let count = text.lines().find_map(|text| text.strip_prefix(&line)?.parse::<u64>().ok());
        count.unwrap_or(0)
    };
    let before = count();
    let mut caller = open(&bench);
    match way {
        Way::Closed => drop(caller),
        Way::Idle => assert!(caller.is_at_end()),
        Way::Invalid => caller.send(b"no request\r\n\r\n").expect("it is sent"),
        Way::Refused => caller.send_head("POST /v2/chat", ORGANISATION, 100),
    }
    wait_for("the count", || count() > before);
}
