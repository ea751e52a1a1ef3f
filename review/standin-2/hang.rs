//! Engines crash while streams whose prompts list many parts wait for their first events.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::http::Connection;
use crate::node::Node;
use crate::record::Record;
use crate::site::{DESK, ENGINE, LOOKUP_TIMEOUT, MAX_HEADER_BYTES, config, desk, engine, request};
use crate::store::Store;
use crate::target::Target;

/// Engines, each with all layers; two of them crash: a share of 0.167.
const ENGINES: usize = 12;
const CRASHES: usize = 2;
/// Parts that all prompts share, of two tokens each.
const PARTS: u32 = 1_000;
/// Interval between two streams.
const STREAM_INTERVAL: Duration = Duration::from_millis(7);
const STREAMS: u64 = 500;
/// Time until the first event of a stream; callers wait for two seconds.
const FIRST_EVENT: Duration = Duration::from_millis(1_700);
/// Longest time without an event that a caller accepts.
const MAX_GAP: Duration = Duration::from_secs(2);
/// Interval between two lookups at each node, and the callers that send them in turn: each uses its
/// connection again after 3 s.
const LOOKUP_INTERVAL: Duration = Duration::from_millis(100);
const LOOKUP_CALLERS: u32 = 30;
/// Time that callers of lookups wait.
const LOOKUP_DEADLINE: Duration = Duration::from_secs(5);
/// Time of the crash after the first stream, and time from it to the last lookup.
const CRASH_AT: Duration = Duration::from_millis(1_000);
const WATCH_TIME: Duration = Duration::from_secs(30);
/// Time after the route's timeout at which a request must have its final answer.
const SLACK: Duration = Duration::from_millis(500);
/// Requests without a final answer that the rule allows, and their share of those that last longer
/// than the timeout.
const MAX_UNANSWERED: usize = 7;
const MAX_UNANSWERED_SHARE: f64 = 0.25;

/// A lookup: its node, when it was sent, and its status and how long it took.
struct Lookup {
    node: usize,
    sent_at: Duration,
    status: u16,
    took: Duration,
}

pub fn run(record: &Record, has_trouble: bool) -> Verdict {
    let host = "127.91.6.1";
    let store = Store::start(host);
    store.put("op/config", &config(1, ""));
    let answer = engine(FIRST_EVENT, 40, Duration::from_millis(50));
    let engines: Vec<Target> = (0..ENGINES)
        .map(|n| Target::start(host, &format!("e{n}"), ENGINE, &store, answer.clone()))
        .collect();
    let _desks: Vec<Target> =
        (0..3).map(|n| Target::start(host, &format!("d{n}"), DESK, &store, desk())).collect();
    let nodes: Vec<Node> = ["127.91.6.2", "127.91.6.3"]
        .map(|host| Node::start(host, "a", store.address, "limits.memory_mb=260\n"))
        .into();
    if !nodes.iter().all(|node| node.await_ready(Duration::from_secs(20))) {
        record.line("the nodes are not ready");
        return Verdict::NotRun;
    }
    // Machines are in touch, and have retries, some time after their start.
    sleep(Duration::from_secs(13));
    record.line("the nodes are ready");

    let began = Instant::now();
    let streams = start_streams(&nodes[0]);
    let lookups: Arc<Mutex<Vec<Lookup>>> = Arc::default();
    for (index, node) in nodes.iter().enumerate() {
        for turn in 0..LOOKUP_CALLERS {
            let (front, lookups) = (node.front, lookups.clone());
            spawn(move || look_up(index, turn, front, began, &lookups));
        }
    }
    sleep(CRASH_AT);
    for engine in engines.iter().take(CRASHES).filter(|_| has_trouble) {
        record.line(&format!("{} crashes with {} streams", engine.id, engine.arrivals()));
        engine.crash();
    }
    while began.elapsed() < CRASH_AT + WATCH_TIME {
        sleep(Duration::from_secs(1));
        let ready: Vec<bool> = nodes.iter().map(Node::is_ready).collect();
        let streams = streams.lock().expect("a table");
        record.line(&format!("ready {ready:?}, streams that have ended {streams:?}"));
    }
    sleep(LOOKUP_DEADLINE);
    judge(record, &lookups.lock().expect("a list"))
}

/// Starts the streams one after another. Returns how many have ended in which way.
fn start_streams(node: &Node) -> Arc<Mutex<BTreeMap<String, u32>>> {
    let parts: String = (0..PARTS).map(|n| format!("5c{n:06x}:2,")).collect();
    let ended: Arc<Mutex<BTreeMap<String, u32>>> = Arc::default();
    let (front, list) = (node.front, ended.clone());
    spawn(move || {
        for number in 0..STREAMS {
            let (parts, list) = (parts.clone(), list.clone());
            spawn(move || {
                let more = format!(
                    "Model: m\r\nToken-Count: {},80\r\nPrompt-Prefix: {parts}9b{number:06x}:20\r\n",
                    2 * PARTS + 20
                );
                let (id, body) = (format!("5{number:07x}"), format!("{{\"n\":{number}}}"));
                let deadline = Duration::from_secs(20);
                let bytes = request("POST", "/text/2f", &id, deadline, &more, &body);
                assert!(
                    bytes.len() - body.len() <= MAX_HEADER_BYTES,
                    "the head is within the limit"
                );
                let end = stream(front, &bytes);
                *list.lock().expect("a table").entry(end).or_default() += 1;
            });
            sleep(STREAM_INTERVAL);
        }
    });
    ended
}

/// Sends a stream and reads it to its end, or until no event has come for too long.
fn stream(front: SocketAddr, bytes: &[u8]) -> String {
    let Ok(mut connection) = Connection::open(front) else { return "no connection".into() };
    connection.stream.set_read_timeout(Some(MAX_GAP)).expect("a limit");
    if connection.send(bytes).is_err() {
        return "not sent".into();
    }
    match connection.read() {
        Ok(Some(answer)) if answer.is_whole => format!("{} whole", answer.status()),
        Ok(Some(answer)) => format!("{} broken off", answer.status()),
        Ok(None) => "closed without an answer".into(),
        Err(_) => "given up after two seconds without an event".into(),
    }
}

/// Sends lookups in turn with the other callers of a node, on one connection as long as it lasts. A
/// lookup for which there is no connection is left out.
fn look_up(
    node: usize,
    turn: u32,
    front: SocketAddr,
    began: Instant,
    lookups: &Mutex<Vec<Lookup>>,
) {
    let mut kept = Connection::open(front).ok();
    for number in 0.. {
        let due = LOOKUP_INTERVAL * (turn + number * LOOKUP_CALLERS);
        if due > CRASH_AT + WATCH_TIME {
            return;
        }
        sleep(due.saturating_sub(began.elapsed()));
        let Some(mut connection) = kept.take().or_else(|| Connection::open(front).ok()) else {
            continue;
        };
        connection.stream.set_read_timeout(Some(LOOKUP_DEADLINE)).expect("a limit");
        let id = format!("{node:x}{turn:03x}{number:04x}");
        let sent_at = began.elapsed();
        if connection.send(&request("GET", "/read/2f", &id, LOOKUP_DEADLINE, "", "")).is_err() {
            continue;
        }
        let answer = connection.read().ok().flatten();
        let (status, took) =
            (answer.as_ref().map_or(0, |answer| answer.status()), began.elapsed() - sent_at);
        lookups.lock().expect("a list").push(Lookup { node, sent_at, status, took });
        kept = answer.filter(|answer| answer.field("connection") != "close").map(|_| connection);
    }
}

fn judge(record: &Record, lookups: &[Lookup]) -> Verdict {
    let mut sorted: Vec<&Lookup> = lookups.iter().collect();
    sorted.sort_by_key(|lookup| (lookup.node, lookup.sent_at));
    for Lookup { node, sent_at, status, took } in &sorted {
        let (sent_at, took) = (sent_at.as_secs_f64(), took.as_millis());
        record
            .line(&format!("lookup at node {node} sent at {sent_at:.2}: {status} after {took} ms"));
    }
    let longer = lookups.iter().filter(|lookup| lookup.took > LOOKUP_TIMEOUT).count();
    let unanswered: Vec<&Lookup> =
        lookups.iter().filter(|lookup| lookup.took > LOOKUP_TIMEOUT + SLACK).collect();
    for node in 0..2 {
        let of_node = unanswered.iter().filter(|lookup| lookup.node == node);
        record.line(&format!("node {node}: {} lookups late", of_node.count()));
    }
    let (count, sent) = (unanswered.len(), lookups.len());
    record.line(&format!(
        "{sent} lookups, {longer} longer than the route's timeout, {count} of them without a final \
         answer 0.5 s after it"
    ));
    match count > MAX_UNANSWERED && count as f64 > longer as f64 * MAX_UNANSWERED_SHARE {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}
