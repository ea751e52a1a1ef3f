//! Many users come at once, and their streams last some seconds. Does the node, which says that it is
//! ready, take the connections of others meanwhile?

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use crate::client::{HOST, Request};
use crate::engine::{Engine, Setup};
use crate::node::{Machine, Node};
use crate::record::Record;
use crate::store::Store;
use crate::{Stage, Verdict};

/// The smallest machine of etl-tln-grown.
const MACHINE: Machine = Machine { memory_mb: 112, max_fds: 2_870 };
/// Streams that run at a time on a calm day.
const USUAL_STREAMS: usize = 420;
/// Streams that run at a time when 1.7 times the users come.
const BURST_STREAMS: usize = 714;
/// Time by which the events of the streams are further apart: a stream takes ten seconds.
const SLOWDOWN: Duration = Duration::from_millis(480);
/// Pause between the starts of two streams.
const START_PAUSE: Duration = Duration::from_millis(3);
/// Stack of the thread of a client, bytes.
const STACK: usize = 256 << 10;
/// Time within which engines get their first layers.
const PLACEMENT_TIME: Duration = Duration::from_secs(20);
/// Number of engines.
const ENGINES: u8 = 4;
/// Number of layers of the model.
const DEPTH: u64 = 8;
/// Size of a layer, megabytes.
const LAYER_MB: u64 = 2_000;
/// Memory of an engine, megabytes.
const ENGINE_MB: u64 = 72_000;
/// Time that a client waits for a node to read a request that may be repeated.
const PATIENCE: Duration = Duration::from_secs(1);
/// Pause between two plain requests.
const PLAIN_PAUSE: Duration = Duration::from_millis(100);
/// Span within which a ready node takes a new connection (`contact_ms`).
const CONTACT: Duration = Duration::from_secs(3);
/// Number of clients that have to try in that span.
const MIN_CLIENTS: usize = 7;

fn configuration() -> String {
    let stream = format!(
        r#"{{"name":"r-drafts","host":"{HOST}","prefix":"/drafts/","kind":"streaming","timeout_ms":20000,"target_latency_ms":500,"priority":1,"service":"drafts","max_attempts":2,"public":true,"sticky":true,"resumable":true,"gap_aim_ms":200}}"#
    );
    let plain = format!(
        r#"{{"name":"r-desk","host":"{HOST}","prefix":"/desk/","kind":"safe","timeout_ms":800,"target_latency_ms":150,"priority":2,"service":"desk","max_attempts":2,"public":true}}"#
    );
    let service = format!(
        r#"{{"name":"drafts","health_path":"/health","max_connections":1985,"protocol":"h1","tls":false,"engine":{{"slots":192,"kv_tokens":100000,"kv_bytes":590000,"stride":2,"models":[{{"name":"m","pace":1.0,"load_s":0.5,"warm_s":0.1}}],"step_ms":0.85,"per_seq_ms":0.004,"context_per_k":0.005,"read_per_s":196000.0,"chunk":512,"report_lag_ms":200.0,"loads_at_once":6,"usual":{{"prompt":100,"answer":40}},"layers":{DEPTH},"layer_mb":{LAYER_MB}.0,"activation_bytes":29500,"kinds":[{{"name":"large","mb":{ENGINE_MB}.0,"pace":1.4,"read_x":1.0}}]}}}}"#
    );
    format!(
        r#"{{"version":7,"routes":[{stream},{plain}],"services":[{service},{{"name":"desk","health_path":"/health","max_connections":684,"protocol":"h1","tls":false}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}}}"#
    )
}

/// Sends a stream.
fn ask_stream(record: &Record, front: SocketAddr, id: &str) {
    let request = Request {
        method: "POST",
        path: "/drafts/1",
        id,
        deadline: Duration::from_secs(18),
        fields: "Model: m\r\nToken-Count: 100,40\r\nPrompt-Prefix: 5c1e:40,91bd:60\r\n",
        body: id,
    };
    let answer = request.send(front).unwrap_or_default();
    let (status, is_complete) = (answer.status(), answer.is_complete);
    record.note(&format!("client: {id}: status {status}, complete {is_complete}"));
}

/// Sends a plain request on a new connection. Returns whether it is answered before the client gives
/// up.
fn ask_plain(record: &Record, front: SocketAddr, id: &str) -> bool {
    let request =
        Request { method: "GET", path: "/desk/1", id, deadline: PATIENCE, fields: "", body: "" };
    let answer = request.send_within(front, PATIENCE);
    let status = answer.map(|answer| answer.status());
    record.note(&format!("client: {id}: status {status:?}"));
    status.is_some()
}

/// A plain request: when it was sent, whether it was answered, and whether the node said meanwhile that
/// it is ready.
struct Try {
    sent_at: Duration,
    is_answered: bool,
    is_ready: bool,
}

/// Sends plain requests until they are over.
fn try_plain(record: &Record, node: &Node, is_over: &AtomicBool) -> Vec<Try> {
    let mut tries = Vec::new();
    for number in 0.. {
        if is_over.load(Ordering::Relaxed) {
            break;
        }
        let (record, front) = (record.clone(), node.front);
        let sent_at = record.elapsed();
        let client = thread::spawn(move || ask_plain(&record, front, &format!("plain{number}")));
        tries.push((sent_at, node.is_ready(), client));
        thread::sleep(PLAIN_PAUSE);
    }
    let finish = |(sent_at, is_ready, client): (Duration, bool, JoinHandle<bool>)| Try {
        sent_at,
        is_answered: client.join().expect("a client that ends"),
        is_ready,
    };
    tries.into_iter().map(finish).collect()
}

/// Returns the longest span in which clients try, none is answered and the node says that it is ready,
/// with the number of clients.
fn longest_refusal(tries: &[Try]) -> (Duration, usize) {
    let spans = tries.chunk_by(|a, b| {
        let is_refused = |one: &Try| one.is_ready && !one.is_answered;
        is_refused(a) && is_refused(b)
    });
    let spans = spans.filter(|span| span.iter().all(|one| one.is_ready && !one.is_answered));
    let length = |span: &[Try]| match span {
        [first, .., last] => last.sent_at.saturating_sub(first.sent_at),
        _ => Duration::ZERO,
    };
    spans.map(|span| (length(span), span.len())).max().unwrap_or_default()
}

/// Runs the case.
pub fn run(stage: &Stage) -> Verdict {
    let store = Store::start(&stage.ip(1));
    store.put("op/config", &configuration());
    let start = |number: u8, id: &str, service: &str, kind: &str| {
        let setup = Setup {
            id: id.to_owned(),
            service: service.to_owned(),
            kind: kind.to_owned(),
            mb: ENGINE_MB,
            layer_mb: LAYER_MB,
            depth: DEPTH,
            slowdown: SLOWDOWN,
        };
        Engine::start(setup, &stage.ip(number), &store, &stage.record)
    };
    let engines: Vec<Engine> = (0..ENGINES)
        .map(|number| start(10 + number, &format!("i-draft{number}"), "drafts", "large"))
        .collect();
    let _plain_target = start(30, "i-desk", "desk", "");
    let node = Node::start_with(&stage.ip(2), &store, &stage.program, &stage.folder, MACHINE);
    if !node.await_ready() {
        return Verdict::NotRun("the node is not ready");
    }
    if !stage.wait(PLACEMENT_TIME, || engines.iter().all(|it| it.layers().is_some())) {
        return Verdict::NotRun("no layers were placed");
    }
    thread::sleep(Duration::from_secs(2));
    if !ask_plain(&stage.record, node.front, "before") {
        return Verdict::NotRun("the calm deployment does not serve");
    }
    let count = if stage.has_trouble { BURST_STREAMS } else { USUAL_STREAMS };
    let streams: Vec<JoinHandle<()>> = (0..count)
        .map(|number| {
            thread::sleep(START_PAUSE);
            let (record, front) = (stage.record.clone(), node.front);
            let client = move || ask_stream(&record, front, &format!("stream{number}"));
            thread::Builder::new().stack_size(STACK).spawn(client).expect("a thread")
        })
        .collect();
    let is_over = Arc::new(AtomicBool::new(false));
    let ending = is_over.clone();
    let waiting = thread::spawn(move || {
        streams.into_iter().for_each(|stream| stream.join().expect("a client that ends"));
        ending.store(true, Ordering::Relaxed);
    });
    let tries = try_plain(&stage.record, &node, &is_over);
    waiting.join().expect("clients that end");
    let (span, clients) = longest_refusal(&tries);
    let answered = tries.iter().filter(|one| one.is_answered).count();
    stage.record.note(&format!(
        "{answered} of {} plain requests were answered; for {} ms none of {clients} was, while the \
         node said that it was ready",
        tries.len(),
        span.as_millis()
    ));
    if node.has_ended() {
        return Verdict::NotRun("the node has ended");
    }
    match span >= CONTACT && clients >= MIN_CLIENTS {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}
