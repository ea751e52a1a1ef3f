//! What a node spends on its callers: processor time and memory at several numbers of
//! open streams.
//!
//! `cargo run --release -p scenario --example entry` starts stand-ins in this process
//! and the node as a process of its own, and prints one JSON line for each number of
//! streams. Build the node first: `cargo build --release -p node`.

use std::thread;
use std::time::Duration;

use bpaf::Bpaf;
use serde_json::json;
use standin::deployment::{Builder, Deployment};

mod support;

use support::{Load, Node};

const ORGANISATIONS: [&str; 4] = ["o0", "o1", "o2", "o3"];
const WARM_UP: Duration = Duration::from_secs(1);

/// Measures what a node spends on its callers
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
struct Settings {
    /// Number of streams to run at once; may be given several times
    #[bpaf(argument("NUMBER"))]
    streams: Vec<usize>,
    /// Seconds for each number of streams
    #[bpaf(argument("SECONDS"), fallback(10))]
    seconds: u64,
    /// Tokens of an answer, at most
    #[bpaf(argument("NUMBER"), fallback(200))]
    tokens: u32,
    /// Stages of each chain
    #[bpaf(argument("NUMBER"), fallback(1))]
    stages: u16,
    /// Chains of engines
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
    let deployment = deployment(&settings);
    let platform = deployment.platform.address();
    support::put_preset(platform, &ORGANISATIONS);
    let node = Node::start("n0", "a", platform);
    node.await_ready();
    measure_idle(&node, settings.seconds);
    for &streams in &settings.streams {
        measure(&settings, &node, streams);
    }
}

fn deployment(settings: &Settings) -> Deployment {
    let domains = ["a".into(), "b".into(), "c".into()];
    Builder::new("plank", 48)
        .chains(settings.chains, settings.stages, &domains, |engine| {
            engine.tokens_per_second(settings.rate).slots(1_000)
        })
        .start()
        .expect("the stand-ins start")
}

/// What the node spends on itself alone.
fn measure_idle(node: &Node, seconds: u64) {
    let before = node.processor_seconds();
    thread::sleep(Duration::from_secs(seconds));
    let cores = (node.processor_seconds() - before) / seconds as f64;
    let line = json!({"name": "idle", "cores": cores, "memory_bytes": node.memory()});
    println!("{line}");
}

fn measure(settings: &Settings, node: &Node, streams: usize) {
    let load = Load {
        nodes: vec![node.callers],
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
        memory = node.memory();
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
