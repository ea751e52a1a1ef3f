//! An engine in trouble answers streaming requests with a success that is not its own: a status of
//! the class 2xx without its signature.

use std::net::SocketAddr;
use std::thread::{self, JoinHandle};
use std::time::Duration;

use crate::client::{HOST, Request};
use crate::engine::{Engine, Fault, Setup};
use crate::node::Node;
use crate::record::Record;
use crate::store::Store;
use crate::{Stage, Verdict};

/// Time within which engines get their first layers.
const PLACEMENT_TIME: Duration = Duration::from_secs(20);
/// Number of layers of the model.
const DEPTH: u64 = 8;
/// Size of a layer, megabytes.
const LAYER_MB: u64 = 2_000;
/// Memory of an engine, megabytes.
const ENGINE_MB: u64 = 72_000;
/// Number of engines. Half of them spoil answers.
const ENGINES: u8 = 2;
/// One in this many answers of the engine in trouble is spoiled: a share of 0.02.
const SPOILED_ONE_IN: usize = 50;
/// Clients that send at a time.
const CLIENTS: usize = 20;
/// Requests of each client before one of the engines is in trouble.
const CALM_REQUESTS: usize = 3;
/// Requests of each client afterwards.
const REQUESTS: usize = 12;

fn configuration() -> String {
    let route = |name: &str, resumable: bool| {
        format!(
            r#"{{"name":"r-{name}","host":"{HOST}","prefix":"/{name}/","kind":"streaming","timeout_ms":20000,"target_latency_ms":500,"priority":1,"service":"drafts","max_attempts":2,"public":true,"sticky":true,"resumable":{resumable},"gap_aim_ms":200}}"#
        )
    };
    let service = format!(
        r#"{{"name":"drafts","health_path":"/health","max_connections":1000,"protocol":"h1","tls":false,"engine":{{"slots":64,"kv_tokens":100000,"kv_bytes":590000,"stride":2,"models":[{{"name":"m","pace":1.0,"load_s":0.5,"warm_s":0.1}}],"step_ms":0.85,"per_seq_ms":0.004,"context_per_k":0.005,"read_per_s":196000.0,"chunk":512,"report_lag_ms":200.0,"loads_at_once":6,"usual":{{"prompt":100,"answer":40}},"layers":{DEPTH},"layer_mb":{LAYER_MB}.0,"activation_bytes":29500,"kinds":[{{"name":"large","mb":{ENGINE_MB}.0,"pace":1.4,"read_x":1.0}}]}}}}"#
    );
    format!(
        r#"{{"version":7,"routes":[{}],"services":[{service}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}}}"#,
        route("once", false)
    )
}

/// Sends a stream. Returns whether the answer is a success without the signature of an engine.
fn ask(record: &Record, front: SocketAddr, id: &str) -> bool {
    let request = Request {
        method: "POST",
        path: "/once/1",
        id,
        deadline: Duration::from_secs(10),
        fields: "Model: m\r\nToken-Count: 100,40\r\nPrompt-Prefix: 5c1e:40,91bd:60\r\n",
        body: id,
    };
    let answer = request.send(front).unwrap_or_default();
    let is_success = (200..300).contains(&answer.status());
    let is_signed = !answer.field("response-stamp").is_empty();
    record.note(&format!(
        "client: {id}: {:?}, signed {is_signed}, complete {}, {} bytes",
        answer.start,
        answer.is_complete,
        answer.body.len()
    ));
    is_success && !is_signed
}

/// Lets all clients send this many streams each. Returns the number of successes without the signature
/// of an engine.
fn ask_all(stage: &Stage, front: SocketAddr, name: &str, requests: usize) -> usize {
    let clients: Vec<JoinHandle<usize>> = (0..CLIENTS)
        .map(|client| {
            let (record, name) = (stage.record.clone(), name.to_owned());
            thread::spawn(move || {
                let ids = (0..requests).map(|number| format!("{name}{client}-{number}"));
                ids.filter(|id| ask(&record, front, id)).count()
            })
        })
        .collect();
    clients.into_iter().map(|it| it.join().expect("a client that ends")).sum()
}

/// Runs the case.
pub fn run(stage: &Stage) -> Verdict {
    let store = Store::start(&stage.ip(1));
    store.put("op/config", &configuration());
    let start = |number: u8| {
        let setup = Setup {
            id: format!("i-draft{number}"),
            service: "drafts".to_owned(),
            kind: "large".to_owned(),
            mb: ENGINE_MB,
            layer_mb: LAYER_MB,
            depth: DEPTH,
            ..Setup::default()
        };
        Engine::start(setup, &stage.ip(10 + number), &store, &stage.record)
    };
    let engines: Vec<Engine> = (0..ENGINES).map(start).collect();
    let node = Node::start(&stage.ip(2), &store, &stage.program, &stage.folder);
    if !node.await_ready() {
        return Verdict::NotRun("the node is not ready");
    }
    let is_whole = |engine: &Engine| engine.layers() == Some((0, DEPTH));
    if !stage.wait(PLACEMENT_TIME, || engines.iter().all(is_whole)) {
        return Verdict::NotRun("the layers were not placed on both engines");
    }
    thread::sleep(Duration::from_secs(2));
    let mut unsigned = ask_all(stage, node.front, "calm", CALM_REQUESTS);
    if stage.has_trouble {
        let busiest = engines.iter().max_by_key(|engine| engine.runs().len());
        busiest.expect("an engine").set_fault(Fault::Spoils(SPOILED_ONE_IN));
    }
    unsigned += ask_all(stage, node.front, "then", REQUESTS);
    stage.record.note(&format!("{unsigned} successes without a signature reached clients"));
    if node.has_ended() {
        return Verdict::NotRun("the node has ended");
    }
    if unsigned > 0 { Verdict::Broken } else { Verdict::Held }
}
