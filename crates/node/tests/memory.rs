//! Bytes without end at the product's own interface, in as many messages at once as it has callers:
//! the memory of the process is bounded, and what is sound arrives whole.

mod common;

use std::fs;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{LazyLock, Mutex, PoisonError};
use std::thread::{JoinHandle, spawn};
use std::time::Duration;

use common::{Bench, Call, Responder, Scripted, engine, service};
use yare::parameterized;

/// One case runs at a time: the memory is that of the process of the tests.
static TURN: Mutex<()> = Mutex::new(());
/// Callers at once.
const CALLERS: usize = 300;
/// Bound on the messages held at a time, bytes.
const MEMORY_BYTES: usize = 16 << 20;
/// Largest message that is allowed, bytes.
const MAX_BYTES: usize = 1 << 20;
/// Memory beside the messages: threads, sockets and buffers of 300 callers, attempts and targets.
const OVERHEAD_BYTES: usize = 100 << 20;
/// What targets and callers send, once for all of them: they are in this process too.
static FILLING: LazyLock<String> = LazyLock::new(|| "x".repeat(MAX_BYTES));
/// Bytes that a target sends at a time.
const PIECE: usize = 64 << 10;
/// How long a caller waits for its answer.
const TIMEOUT: Duration = Duration::from_secs(8);

/// Returns a figure of the memory of this process, bytes.
fn memory(name: &str) -> usize {
    let status = fs::read_to_string("/proc/self/status").expect("the process runs");
    let line = status.lines().find_map(|line| line.strip_prefix(name)).expect("its memory");
    let kilobytes: usize = line.trim().trim_end_matches(" kB").parse().expect("a number");
    kilobytes << 10
}

/// Runs something. Returns by how much the memory of this process grew meanwhile, at most, bytes.
fn growth(press: impl FnOnce()) -> usize {
    LazyLock::force(&FILLING);
    // Sets the peak to the present memory.
    fs::write("/proc/self/clear_refs", "5").expect("the peak is reset");
    let before = memory("VmRSS:");
    press();
    memory("VmHWM:").saturating_sub(before)
}

fn flood(back: &mut Responder, head: &str, piece: &str) {
    back.send(head);
    while back.send(piece) {}
}

fn answer_without_end(_: &Call, back: &mut Responder) {
    flood(back, "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n", &FILLING[..PIECE]);
}

fn failure_without_end(_: &Call, back: &mut Responder) {
    flood(back, "HTTP/1.1 500 Error\r\nconnection: close\r\n\r\n", &FILLING[..PIECE]);
}

/// Sends all but the end of an answer of the largest size.
fn answer_without_its_end(_: &Call, back: &mut Responder) {
    back.send(&format!("HTTP/1.1 200 OK\r\ncontent-length: {MAX_BYTES}\r\n\r\n"));
    back.send(&FILLING[1..]);
    back.wait_until_closed();
}

fn refusal_without_end(_: &Call, back: &mut Responder) {
    let head = "HTTP/1.1 503 Full\r\nmagnolia-run: not-run\r\nconnection: close\r\n\r\n";
    flood(back, head, &FILLING[..PIECE]);
}

fn line_without_end(_: &Call, back: &mut Responder) {
    back.start_events();
    flood(back, "data: ", &FILLING[..PIECE]);
}

fn start(script: fn(&Call, &mut Responder)) -> (Bench, [Scripted; 2]) {
    let targets = [Scripted::start(script), Scripted::start(script)];
    let mut vms = vec![
        service("b1", targets[0].address, "lookup", true),
        service("b2", targets[1].address, "lookup", true),
        engine("e1", targets[0].address, [0, 8], 8),
        engine("e2", targets[1].address, [0, 8], 8),
    ];
    for vm in &mut vms {
        let kinds = vm["role"]["target"]["kind"].as_object_mut().expect("a target");
        kinds.values_mut().for_each(|kind| kind["slots"] = CALLERS.into());
    }
    let bench = Bench::start_with(vms, |text| {
        text.memory_bytes = MEMORY_BYTES.to_string();
        text.body_bytes = MAX_BYTES.to_string();
        text.answer_bytes = MAX_BYTES.to_string();
    });
    (bench, targets)
}

/// Sends a request and reads its answer to the end. Returns its status.
fn ask(callers: SocketAddr, path: &str, body: &str) -> Option<u16> {
    let mut stream = TcpStream::connect(callers).ok()?;
    stream.set_read_timeout(Some(TIMEOUT)).ok()?;
    let length = body.len();
    let head = format!(
        "POST {path} HTTP/1.1\r\nhost: h\r\nopenai-organization: cascade\r\nconnection: close\r\n\
         content-length: {length}\r\n\r\n{body}"
    );
    stream.write_all(head.as_bytes()).ok()?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).ok()?;
    answer.split(' ').nth(1)?.parse().ok()
}

fn press(ask: impl Fn(usize) -> Option<u16> + Clone + Send + 'static) -> Vec<Option<u16>> {
    let callers: Vec<JoinHandle<Option<u16>>> = (0..CALLERS)
        .map(|number| {
            let ask = ask.clone();
            spawn(move || ask(number))
        })
        .collect();
    callers.into_iter().map(|caller| caller.join().expect("a caller ends")).collect()
}

struct Case {
    script: fn(&Call, &mut Responder),
    path: &'static str,
}

const LOOKUP: &str = "/services/lookup/find";
const CHAT: &str = "/v1/chat/completions";

// Guards against a process that ends for want of memory, because each of many answers without an end
// is within the bound on one.
#[parameterized(
    answers = { Case { script: answer_without_end, path: LOOKUP } },
    failures = { Case { script: failure_without_end, path: LOOKUP } },
    ends_missing = { Case { script: answer_without_its_end, path: LOOKUP } },
    refusals = { Case { script: refusal_without_end, path: LOOKUP } },
    lines = { Case { script: line_without_end, path: CHAT } },
)]
fn many_answers_without_end(case: Case) {
    let _turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
    let (bench, _targets) = start(case.script);
    let callers = bench.node.ports().callers;
    let mut statuses = Vec::new();
    let grown = growth(|| {
        statuses = press(move |number| {
            let message = format!(r#"[{{"role":"user","content":"c{number}"}}]"#);
            let body = format!(r#"{{"model":"plank","messages":{message},"stream":true}}"#);
            ask(callers, case.path, &body)
        });
    });
    assert!(grown < MEMORY_BYTES + OVERHEAD_BYTES, "{} MB", grown >> 20);
    // A caller may give up in the queue.
    let is_told = |status: &Option<u16>| matches!(status, None | Some(422 | 429 | 500 | 502 | 503));
    assert!(statuses.iter().all(is_told), "{statuses:?}");
}

/// Sends all of a request but the last byte of its body. Returns the status of an answer that comes
/// before that.
fn upload(callers: SocketAddr) -> Option<u16> {
    let mut stream = TcpStream::connect(callers).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(2))).ok()?;
    let head = format!(
        "POST {LOOKUP} HTTP/1.1\r\nhost: h\r\nopenai-organization: cascade\r\n\
         content-length: {MAX_BYTES}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).ok()?;
    // The node may have refused it meanwhile.
    stream.write_all(&FILLING.as_bytes()[1..]).ok();
    let mut answer = vec![0; 64];
    let read = stream.read(&mut answer).ok()?;
    let text = String::from_utf8_lossy(&answer[..read]).into_owned();
    text.split(' ').nth(1)?.parse().ok()
}

// Guards against bodies of requests that fill the memory.
#[test]
fn many_large_requests() {
    let _turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
    let (bench, targets) = start(|_, back| back.answer(200, "", "{}"));
    let callers = bench.node.ports().callers;
    let mut statuses = Vec::new();
    let grown = growth(|| statuses = press(move |_| upload(callers)));
    assert!(grown < MEMORY_BYTES / 2 + OVERHEAD_BYTES, "{} MB", grown >> 20);
    let refused = statuses.iter().filter(|status| **status == Some(503)).count();
    assert!(refused > CALLERS / 2, "{statuses:?}");
    let is_told = |status: &Option<u16>| matches!(status, None | Some(503));
    assert!(statuses.iter().all(is_told), "{statuses:?}");
    assert!(targets.iter().all(|target| target.calls("/find").is_empty()));
    // Those that have no end are given up; then others are served.
    common::wait_for("service", || ask(callers, LOOKUP, &"y".repeat(MAX_BYTES)) == Some(200));
}

/// Time for which a caller may stall: longer than the test takes.
const STALL: &str = "120000";
/// Callers with bodies of the largest size that stall, more than there is room for.
const STALLED_CALLERS: usize = 20;

/// Sends this much of a request with a body of this size. The connection stays open.
fn stall(callers: SocketAddr, bytes: usize, sent: usize) -> TcpStream {
    let mut stream = TcpStream::connect(callers).expect("a connection");
    let head = format!(
        "POST {LOOKUP} HTTP/1.1\r\nhost: h\r\nopenai-organization: cascade\r\n\
         content-length: {bytes}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).expect("a head is sent");
    // The node may have refused it meanwhile.
    stream.write_all(&FILLING.as_bytes()[..sent]).ok();
    stream
}

// Guards against ordinary callers that are refused while stalled bodies hold the memory.
#[parameterized(nothing_sent = { 0 }, half_sent = { MAX_BYTES / 2 }, end_missing = { MAX_BYTES - 1 })]
fn stalled_bodies_make_room(sent: usize) {
    let _turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
    let targets = [Scripted::start(|_, back| back.answer(200, "", "{}"))];
    let vms = vec![service("b1", targets[0].address, "lookup", true)];
    let bench = Bench::start_with(vms, |text| {
        text.memory_bytes = MEMORY_BYTES.to_string();
        text.body_bytes = MAX_BYTES.to_string();
        text.body_ms = STALL.to_owned();
    });
    let callers = bench.node.ports().callers;
    let stalled: Vec<_> = (0..STALLED_CALLERS).map(|_| stall(callers, MAX_BYTES, sent)).collect();
    common::wait_for("service", || ask(callers, LOOKUP, &"y".repeat(MAX_BYTES)) == Some(200));
    drop(stalled);
}

/// Connections that are allowed, and callers who take all of them and more.
const CONNECTIONS: usize = 30;
const SILENT_CALLERS: usize = 50;

// Guards against ordinary callers that are refused while connections without a request take all that
// are allowed.
#[parameterized(nothing_sent = { "" }, head_without_end = { "POST / HTTP/1.1\r\nhost: h\r\nx: " })]
fn stalled_connections_make_room(sent: &str) {
    let _turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
    let targets = [Scripted::start(|_, back| back.answer(200, "", "{}"))];
    let vms = vec![service("b1", targets[0].address, "lookup", true)];
    let bench = Bench::start_with(vms, |text| {
        text.connections = CONNECTIONS.to_string();
        text.head_ms = STALL.to_owned();
    });
    let callers = bench.node.ports().callers;
    let stalled: Vec<_> = (0..SILENT_CALLERS)
        .map(|_| {
            let mut stream = TcpStream::connect(callers).expect("a connection");
            // The node may have refused it meanwhile.
            stream.write_all(sent.as_bytes()).ok();
            stream
        })
        .collect();
    common::wait_for("service", || ask(callers, LOOKUP, "y") == Some(200));
    drop(stalled);
}

/// Callers who get a large sound answer each, more than there is room for at a time.
const LARGE_CALLERS: usize = 60;

// Guards against large sound answers that end because there is no room for all of them at a time.
#[test]
fn large_answers_arrive_whole() {
    let _turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
    let (bench, _targets) = start(|_, back| back.answer(200, "", &"z".repeat(MAX_BYTES)));
    let url = bench.url(LOOKUP);
    let ask = move || {
        let request = common::agent().post(&url).header("openai-organization", "cascade");
        common::Answer::read(request.send("x").expect("an answer"))
    };
    let callers: Vec<_> = (0..LARGE_CALLERS).map(|_| spawn(ask.clone())).collect();
    for caller in callers {
        let answer = caller.join().expect("a caller ends");
        assert_eq!((answer.status, answer.body.len()), (200, MAX_BYTES));
    }
}
