//! Measures the processor time and memory that a node uses at several numbers of open
//! streams.
//!
//! `cargo run --release -p scenario --example entry` starts stand-ins in this process
//! and the node as a separate process, and prints one JSON line for the idle node and one for
//! each number of streams. The node must be built first: `cargo build --release -p node`.

use std::thread;
use std::time::Duration;

use bpaf::Bpaf;
use serde_json::json;
use standin::deployment::{Builder, Deployment};

mod support;

use support::{Load, Node};

const ORGANISATIONS: [&str; 4] = ["o0", "o1", "o2", "o3"];
const WARM_UP: Duration = Duration::from_secs(1);

/// Measures a node's processor time and memory under load
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
struct Settings {
    /// Number of concurrent streams; may be given several times
    #[bpaf(argument("NUMBER"))]
    streams: Vec<usize>,
    /// Seconds of measurement for each number of streams
    #[bpaf(argument("SECONDS"), fallback(10))]
    seconds: u64,
    /// Maximum tokens of an answer
    #[bpaf(argument("NUMBER"), fallback(200))]
    tokens: u32,
    /// Stages of each chain
    #[bpaf(argument("NUMBER"), fallback(1))]
    stages: u16,
    /// Number of engine chains
    #[bpaf(argument("NUMBER"), fallback(4))]
    chains: u16,
    /// Tokens per second of each engine
    #[bpaf(argument("RATE"), fallback(20_000.0))]
    rate: f64,
}

fn main() {
    let mut settings = settings().run();
    if settings.streams.is_empty() {
        settings.streams = vec![1, 50, 200, 400, 800];
    }
    let deployment = start_deployment(&settings);
    let platform = deployment.platform.address();
    support::put_preset(platform, &ORGANISATIONS);
    let node = Node::start("n0", "a", platform);
    node.await_ready();
    measure_idle(&node, settings.seconds);
    for &streams in &settings.streams {
        measure_load(&settings, &node, streams);
    }
}

fn start_deployment(settings: &Settings) -> Deployment {
    let domains = ["a".into(), "b".into(), "c".into()];
    Builder::new("plank", 48)
        .chains(settings.chains, settings.stages, &domains, |engine| {
            engine.tokens_per_second(settings.rate).slots(1_000)
        })
        .start()
        .expect("the stand-ins start")
}

/// Measures the node without load, and prints the result.
fn measure_idle(node: &Node, seconds: u64) {
    let before = node.processor_seconds();
    thread::sleep(Duration::from_secs(seconds));
    let cores = (node.processor_seconds() - before) / seconds as f64;
    let line = json!({"name": "idle", "cores": cores, "memory_bytes": node.memory_bytes()});
    println!("{line}");
}

fn measure_load(settings: &Settings, node: &Node, streams: usize) {
    let load = Load {
        nodes: vec![node.caller_address],
        organisations: ORGANISATIONS.map(String::from).to_vec(),
        model: "plank",
        streams,
        tokens: settings.tokens,
        warm_up: WARM_UP,
        length: Duration::from_secs(settings.seconds),
    };
    let (mut processor, mut memory) = (0.0, 0);
    let result = support::run(&load, || {
        let before = node.processor_seconds();
        thread::sleep(load.length);
        memory = node.memory_bytes();
        processor = node.processor_seconds() - before;
    });
    let mut line = result.json();
    line["name"] = json!("entry");
    line["streams"] = json!(streams);
    line["cores"] = json!(processor / result.seconds);
    line["processor_microseconds_per_token"] = json!(processor * 1e6 / result.tokens.max(1) as f64);
    line["memory_bytes"] = json!(memory);
    println!("{line}");
}
