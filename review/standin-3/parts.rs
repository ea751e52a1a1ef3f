//! Two requests with long prompts, over one document, lose their engines. Does the node still answer
//! other requests by the timeout of their route?

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crate::client::{HOST, Request};
use crate::engine::{Engine, Setup};
use crate::node::Node;
use crate::record::Record;
use crate::store::Store;
use crate::{Stage, Verdict};

/// Time within which engines get their first layers.
const PLACEMENT_TIME: Duration = Duration::from_secs(20);
/// Number of model engines. Two of them crash: a share of 0.143.
const ENGINES: u8 = 14;
/// Number of layers of the model.
const DEPTH: u64 = 8;
/// Size of a layer, megabytes.
const LAYER_MB: u64 = 2_000;
/// Memory of an engine, megabytes.
const ENGINE_MB: u64 = 72_000;
/// Number of parts of the document. The heads of requests with it stay below `max_header_bytes`.
const PARTS: usize = 2_600;
/// Largest head that the configuration allows, bytes (`max_header_bytes`).
const MAX_HEAD: usize = 16_384;
/// Timeout of the plain route (`timeout_ms`).
const TIMEOUT: Duration = Duration::from_millis(800);
/// Time beyond the timeout within which the final answer has to be there.
const SLACK: Duration = Duration::from_millis(500);
/// Pause between two plain requests.
const PLAIN_PAUSE: Duration = Duration::from_millis(50);
/// Time for which plain requests are sent after the crash.
const REST: Duration = Duration::from_secs(20);
/// Number of requests that have to be late for the rule to be broken.
const MIN_LATE: usize = 8;

fn configuration() -> String {
    let stream = format!(
        r#"{{"name":"r-drafts","host":"{HOST}","prefix":"/drafts/","kind":"streaming","timeout_ms":20000,"target_latency_ms":500,"priority":1,"service":"drafts","max_attempts":2,"public":true,"sticky":true,"resumable":true,"gap_aim_ms":200}}"#
    );
    let plain = format!(
        r#"{{"name":"r-desk","host":"{HOST}","prefix":"/desk/","kind":"safe","timeout_ms":{},"target_latency_ms":150,"priority":2,"service":"desk","max_attempts":2,"public":true}}"#,
        TIMEOUT.as_millis()
    );
    let service = format!(
        r#"{{"name":"drafts","health_path":"/health","max_connections":1000,"protocol":"h1","tls":false,"engine":{{"slots":64,"kv_tokens":100000,"kv_bytes":590000,"stride":2,"models":[{{"name":"m","pace":1.0,"load_s":0.5,"warm_s":0.1}}],"step_ms":0.85,"per_seq_ms":0.004,"context_per_k":0.005,"read_per_s":196000.0,"chunk":512,"report_lag_ms":200.0,"loads_at_once":6,"usual":{{"prompt":100,"answer":40}},"layers":{DEPTH},"layer_mb":{LAYER_MB}.0,"activation_bytes":29500,"kinds":[{{"name":"large","mb":{ENGINE_MB}.0,"pace":1.4,"read_x":1.0}}]}}}}"#
    );
    format!(
        r#"{{"version":7,"routes":[{stream},{plain}],"services":[{service},{{"name":"desk","health_path":"/health","max_connections":96,"protocol":"h1","tls":false}}],"limits":{{"max_header_bytes":{MAX_HEAD},"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}}}"#
    )
}

/// Returns the header lines of a request about a document: the shared first part, the parts of the
/// document, and a part of its own.
fn fields(document: usize, own: &str) -> String {
    let first = 0x100 + document;
    let parts: Vec<String> = (0..PARTS).map(|number| format!("{:x}:1", first + number)).collect();
    format!(
        "Model: m\r\nToken-Count: 2650,40\r\nPrompt-Prefix: 5c1e:40,{},{own}:10\r\n",
        parts.join(",")
    )
}

/// Sends a request with a long prompt.
fn ask_long(record: &Record, front: SocketAddr, id: &str, fields: &str) -> JoinHandle<()> {
    let (record, id, fields) = (record.clone(), id.to_owned(), fields.to_owned());
    thread::spawn(move || {
        let request = Request {
            method: "POST",
            path: "/drafts/1",
            id: &id,
            deadline: Duration::from_secs(15),
            fields: &fields,
            body: &id,
        };
        let size = request.encode().len();
        let sent = Instant::now();
        let answer = request.send(front).unwrap_or_default();
        record.note(&format!(
            "client: {id}: {size} bytes sent, status {}, complete {}, after {} ms",
            answer.status(),
            answer.is_complete,
            sent.elapsed().as_millis()
        ));
    })
}

/// Sends plain requests until they are over. Returns how long each took to be answered.
fn ask_plain(
    record: &Record,
    node: &str,
    front: SocketAddr,
    is_over: &Arc<AtomicBool>,
) -> Vec<Duration> {
    let mut clients = Vec::new();
    for number in 0.. {
        if is_over.load(Ordering::Relaxed) {
            break;
        }
        let (record, node) = (record.clone(), node.to_owned());
        clients.push(thread::spawn(move || {
            let id = format!("plain-{node}-{number}");
            let request = Request {
                method: "GET",
                path: "/desk/1",
                id: &id,
                deadline: Duration::from_secs(30),
                fields: "",
                body: "",
            };
            let sent = Instant::now();
            let answer = request.send(front).unwrap_or_default();
            let taken = sent.elapsed();
            record.note(&format!(
                "client: {id}: status {} after {} ms",
                answer.status(),
                taken.as_millis()
            ));
            taken
        }));
        thread::sleep(PLAIN_PAUSE);
    }
    clients.into_iter().map(|it| it.join().expect("a client that ends")).collect()
}

/// Runs the case.
pub fn run(stage: &Stage) -> Verdict {
    let store = Store::start(&stage.ip(1));
    store.put("op/config", &configuration());
    let start = |number: u8, id: &str, service: &str, kind: &str| {
        let (id, service, kind) = (id.to_owned(), service.to_owned(), kind.to_owned());
        let setup = Setup {
            id,
            service,
            kind,
            mb: ENGINE_MB,
            layer_mb: LAYER_MB,
            depth: DEPTH,
            ..Setup::default()
        };
        Engine::start(setup, &stage.ip(number), &store, &stage.record)
    };
    let engines: Vec<Engine> =
        (0..ENGINES).map(|it| start(10 + it, &format!("i-draft{it}"), "drafts", "large")).collect();
    let _plain_target = start(30, "i-desk", "desk", "");
    let mut nodes =
        [2, 3].map(|number| Node::start(&stage.ip(number), &store, &stage.program, &stage.folder));
    if !nodes.iter_mut().all(Node::await_ready) {
        return Verdict::NotRun("the nodes are not ready");
    }
    if !stage.wait(PLACEMENT_TIME, || engines.iter().any(|it| it.layers().is_some())) {
        return Verdict::NotRun("no layers were placed");
    }
    thread::sleep(Duration::from_secs(6));
    let is_over = Arc::new(AtomicBool::new(false));
    let front = nodes[0].front;
    let plain = ["first", "second"].iter().zip(&nodes).map(|(name, node)| {
        let (record, front, is_over) = (stage.record.clone(), node.front, is_over.clone());
        thread::spawn(move || ask_plain(&record, name, front, &is_over))
    });
    let plain: Vec<JoinHandle<Vec<Duration>>> = plain.collect();
    thread::sleep(Duration::from_secs(1));
    let ids = ["long0", "long1"];
    let long: Vec<JoinHandle<()>> = ids
        .iter()
        .enumerate()
        .map(|(own, id)| ask_long(&stage.record, front, id, &fields(0, &format!("a{own}"))))
        .collect();
    let running = |id: &str| engines.iter().find(|it| it.runs().iter().any(|run| run == id));
    let are_running = || ids.iter().all(|id| running(id).is_some());
    if !stage.wait(Duration::from_secs(5), are_running) {
        return Verdict::NotRun("the long prompts do not run");
    }
    if stage.has_trouble {
        let lost: Vec<&Engine> = ids.iter().filter_map(|id| running(id)).collect();
        lost.iter().for_each(|engine| engine.crash());
    }
    thread::sleep(REST);
    is_over.store(true, Ordering::Relaxed);
    long.into_iter().for_each(|client| client.join().expect("a client that ends"));
    let mut is_broken = false;
    for (name, plain) in ["first", "second"].iter().zip(plain) {
        let taken = plain.join().expect("clients that end");
        let unanswered = taken.iter().filter(|taken| **taken > TIMEOUT).count();
        let late = taken.iter().filter(|taken| **taken > TIMEOUT + SLACK).count();
        let longest = taken.iter().max().copied().unwrap_or_default();
        stage.record.note(&format!(
            "{name} node: {} plain requests; {unanswered} were unanswered at the timeout of their \
             route, {late} of them half a second later too; the longest took {} ms",
            taken.len(),
            longest.as_millis()
        ));
        is_broken |= late >= MIN_LATE && late * 2 > unanswered;
    }
    if nodes.iter_mut().any(Node::has_ended) {
        return Verdict::NotRun("a node has ended");
    }
    if is_broken { Verdict::Broken } else { Verdict::Held }
}
