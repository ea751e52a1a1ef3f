//! An engine crashes for good while the store is down, and its address is given to an engine of
//! another service: what is the new engine ordered to hold?

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use crate::client::{HOST, Request};
use crate::engine::{Engine, Setup};
use crate::node::Node;
use crate::record::Record;
use crate::store::Store;
use crate::{Stage, Verdict};

/// Time after which the address of an engine that has ended is used again: `reuse_after_s` is 2.
const REUSE_AFTER: Duration = Duration::from_millis(2500);
/// Number of engines of the other service. One of all seven crashes: a share of 0.143.
const NOTES: u8 = 6;
/// Time from the crash for which the store is down.
const OUTAGE: Duration = Duration::from_secs(5);
/// Time for which orders are watched after the store's return.
const REST: Duration = Duration::from_secs(4);
/// Time within which engines get their first layers.
const PLACEMENT_TIME: Duration = Duration::from_secs(20);
/// Memory of the large kind of engine, megabytes.
const LARGE_MB: u64 = 72_000;
/// Memory of the small kind of engine, megabytes.
const SMALL_MB: u64 = 14_400;
/// Size of a layer of both models, megabytes.
const LAYER_MB: u64 = 2_000;
/// Pause of a client between two requests.
const PAUSE: Duration = Duration::from_millis(200);
/// Number of layers of the model that runs on large engines.
const LARGE_DEPTH: u64 = 8;
/// Number of layers of the model that runs on small engines.
const SMALL_DEPTH: u64 = 2;

fn service(name: &str, depth: u64) -> String {
    format!(
        r#"{{"name":"{name}","health_path":"/health","max_connections":1000,"protocol":"h1","tls":false,"engine":{{"slots":64,"kv_tokens":100000,"kv_bytes":590000,"stride":2,"models":[{{"name":"m-{name}","pace":1.0,"load_s":0.5,"warm_s":0.1}}],"step_ms":0.85,"per_seq_ms":0.004,"context_per_k":0.005,"read_per_s":196000.0,"chunk":512,"report_lag_ms":200.0,"loads_at_once":6,"usual":{{"prompt":100,"answer":40}},"layers":{depth},"layer_mb":{LAYER_MB}.0,"activation_bytes":29500,"kinds":[{{"name":"large","mb":{LARGE_MB}.0,"pace":1.4,"read_x":1.0}},{{"name":"small","mb":{SMALL_MB}.0,"pace":15.0,"read_x":15.0}}]}}}}"#
    )
}

fn route(name: &str) -> String {
    format!(
        r#"{{"name":"r-{name}","host":"{HOST}","prefix":"/{name}/","kind":"streaming","timeout_ms":20000,"target_latency_ms":500,"priority":1,"service":"{name}","max_attempts":2,"public":true,"sticky":true,"resumable":true,"gap_aim_ms":200}}"#
    )
}

fn configuration() -> String {
    format!(
        r#"{{"version":7,"routes":[{},{}],"services":[{},{}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}}}"#,
        route("drafts"),
        route("notes"),
        service("drafts", LARGE_DEPTH),
        service("notes", SMALL_DEPTH)
    )
}

fn setup(id: &str, service: &str, kind: &str) -> Setup {
    let (mb, depth) = match kind {
        "large" => (LARGE_MB, LARGE_DEPTH),
        _ => (SMALL_MB, SMALL_DEPTH),
    };
    let (id, service, kind) = (id.to_owned(), service.to_owned(), kind.to_owned());
    Setup { id, service, kind, mb, layer_mb: LAYER_MB, depth, ..Setup::default() }
}

/// Sends a stream, and returns its status.
fn ask(record: &Record, front: SocketAddr, path: &str, id: &str) -> u16 {
    let fields = "Model: m\r\nToken-Count: 100,40\r\nPrompt-Prefix: 5c1e:40,91bd:60\r\n";
    let deadline = Duration::from_secs(10);
    let request = Request { method: "POST", path, id, deadline, fields, body: "a prompt" };
    let answer = request.send(front).unwrap_or_default();
    let status = answer.status();
    let is_complete = answer.is_complete;
    record.note(&format!("client: {id} {path}: status {status}, complete {is_complete}"));
    status
}

/// Runs the case.
pub fn run(stage: &Stage) -> Verdict {
    let store = Store::start(&stage.ip(1));
    store.put("op/config", &configuration());
    let start = |number: u8, id: &str, service: &str, kind: &str| {
        Engine::start(setup(id, service, kind), &stage.ip(number), &store, &stage.record)
    };
    let draft = start(10, "i-draft", "drafts", "large");
    let notes: Vec<Engine> = (0..NOTES)
        .map(|index: u8| start(20 + index, &format!("i-note{index}"), "notes", "small"))
        .collect();
    let node = Node::start(&stage.ip(2), &store, &stage.program, &stage.folder);
    if !node.await_ready() {
        return Verdict::NotRun("the node is not ready");
    }
    let is_placed = || draft.layers().is_some() && notes.iter().any(|it| it.layers().is_some());
    if !stage.wait(PLACEMENT_TIME, is_placed) {
        return Verdict::NotRun("no layers were placed");
    }
    thread::sleep(Duration::from_secs(2));
    if ask(&stage.record, node.front, "/drafts/1", "before-draft") != 200
        || ask(&stage.record, node.front, "/notes/1", "before-note") != 200
    {
        return Verdict::NotRun("the calm deployment does not serve");
    }
    let has_traffic = Arc::new(AtomicBool::new(true));
    let clients = ["/drafts/2", "/notes/2"].map(|path| {
        let (record, has_traffic) = (stage.record.clone(), has_traffic.clone());
        let front = node.front;
        thread::spawn(move || {
            for number in 0.. {
                if !has_traffic.load(Ordering::Relaxed) {
                    return;
                }
                ask(&record, front, path, &format!("{}{number}", &path[1..7]));
                thread::sleep(PAUSE);
            }
        })
    });
    thread::sleep(Duration::from_secs(1));
    let mut engines = notes;
    if stage.has_trouble {
        stage.record.note("the store is down");
        store.set_down(true);
        draft.crash();
        thread::sleep(REUSE_AFTER);
        let reused = setup("i-note9", "notes", "small");
        engines.push(Engine::start_at(reused, draft.address, &store, &stage.record));
        thread::sleep(OUTAGE - REUSE_AFTER);
        store.set_down(false);
        store.remove("servers/i-draft");
        stage.record.note("the store is back; the entry of the engine that crashed has lapsed");
    } else {
        thread::sleep(OUTAGE);
    }
    thread::sleep(REST);
    has_traffic.store(false, Ordering::Relaxed);
    for client in clients {
        client.join().expect("a client that ends");
    }
    if node.has_ended() {
        return Verdict::NotRun("the node has ended");
    }
    let is_excessive = |engine: &Engine| engine.accepted().iter().any(|it| it.2 > SMALL_MB);
    match engines.iter().any(is_excessive) {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}
