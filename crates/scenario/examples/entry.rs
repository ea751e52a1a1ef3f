//! What a node spends on its callers: processor time and memory at several numbers of
//! open streams.
//!
//! `cargo run --release -p scenario --example entry` starts stand-ins in this process
//! and the node as a process of its own, and prints one JSON line for each number of
//! streams. Build the node first: `cargo build --release -p node`.

use std::fs;
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use bpaf::Bpaf;
use hdrhistogram::Histogram;
use node::shell::PRESET_KEY;
use serde_json::json;
use standin::deployment::{Builder, Deployment};

/// Clock ticks of a processor time in `/proc/PID/stat`.
const TICKS_PER_SECOND: f64 = 100.0;

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

struct Node {
    child: Child,
    callers: SocketAddr,
    operators: SocketAddr,
}

impl Node {
    fn start(platform: SocketAddr) -> Self {
        let binary = std::env::current_exe()
            .ok()
            .and_then(|path| Some(path.parent()?.parent()?.join("magnoliarun")))
            .expect("the node's binary stands beside the examples");
        let [callers, operators, peers] = [(); 3].map(|()| free_address());
        let child = Command::new(binary)
            .args(["--name=n0", "--domain=a", "--secret=measurement", "--log-level=warn"])
            .arg(format!("--callers={callers}"))
            .arg(format!("--operators={operators}"))
            .arg(format!("--peers={peers}"))
            .arg(format!("--platform={platform}"))
            .stdout(Stdio::null())
            .spawn()
            .expect("the node starts: cargo build --release -p node");
        Self { child, callers, operators }
    }

    fn await_ready(&self) {
        for _ in 0..200 {
            let ready = ureq::get(format!("http://{}/readyz", self.operators)).call();
            if ready.is_ok() {
                return;
            }
            thread::sleep(Duration::from_millis(50));
        }
        panic!("the node is not ready after 10 s");
    }

    /// Processor time used so far, in seconds.
    fn processor_seconds(&self) -> f64 {
        let stat = fs::read_to_string(format!("/proc/{}/stat", self.child.id())).expect("stat");
        let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or("").split_whitespace().collect();
        let ticks = |index: usize| fields[index].parse::<f64>().expect("ticks");
        (ticks(11) + ticks(12)) / TICKS_PER_SECOND
    }

    /// Memory in use, in bytes.
    fn memory(&self) -> u64 {
        let status =
            fs::read_to_string(format!("/proc/{}/status", self.child.id())).expect("status");
        let line = status.lines().find(|line| line.starts_with("VmRSS:")).unwrap_or("");
        let kilobytes = line.split_whitespace().nth(1).and_then(|text| text.parse::<u64>().ok());
        kilobytes.unwrap_or(0) * 1024
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.child.kill().expect("the node is ended");
        self.child.wait().expect("the node is joined");
    }
}

fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("an address")
}

#[derive(Default)]
struct Counts {
    requests: AtomicU64,
    whole: AtomicU64,
    tokens: AtomicU64,
    refused: AtomicU64,
}

struct Times {
    first: Mutex<Histogram<u64>>,
    gap: Mutex<Histogram<u64>>,
}

fn main() {
    let mut settings = settings().run();
    if settings.streams.is_empty() {
        settings.streams = vec![1, 50, 200, 400];
    }
    let deployment = deployment(&settings);
    put_preset(deployment.platform.address());
    let node = Node::start(deployment.platform.address());
    node.await_ready();
    thread::sleep(Duration::from_secs(2));
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

fn put_preset(platform: SocketAddr) {
    let organisation = |index| preset::Organisation {
        name: format!("o{index}").into(),
        weight: 1.0,
        keys: Vec::new(),
    };
    let preset = preset::Preset {
        version: 0,
        change: "measure".into(),
        name: "ordinary".into(),
        organisations: (0..10).map(organisation).collect(),
        queue: 2_000,
        wait: Duration::from_secs(60),
        retry_share: 0.1,
        attempts: 4,
        quarantine: Duration::from_secs(60),
        links: Vec::new(),
    };
    let value = preset::Stored::following(None, &preset, &"measure".into(), 1).encode();
    let client = store::Client::new(store::Settings::builder(&platform.to_string()).build());
    let write = store::Write {
        key: PRESET_KEY,
        expected: 0,
        value: Some(&value),
        lease: None,
        guard: None,
    };
    client.cas(store::Purpose::Preset, write).expect("the preset is put");
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
    let counts = Arc::new(Counts::default());
    let histogram = || Mutex::new(Histogram::new(3).expect("three digits"));
    let times = Arc::new(Times { first: histogram(), gap: histogram() });
    let stop = Arc::new(AtomicBool::new(false));
    let started = Instant::now();
    let processor = node.processor_seconds();
    let callers: Vec<_> = (0..streams)
        .map(|caller| {
            let (counts, times, stop) = (counts.clone(), times.clone(), stop.clone());
            let (address, tokens) = (node.callers, settings.tokens);
            thread::spawn(move || call_on(caller, address, tokens, &counts, &times, &stop))
        })
        .collect();
    thread::sleep(Duration::from_secs(settings.seconds));
    let memory = node.memory();
    let processor = node.processor_seconds() - processor;
    let seconds = started.elapsed().as_secs_f64();
    let read = |count: &AtomicU64| count.load(Ordering::Relaxed);
    let (requests, tokens) = (read(&counts.requests), read(&counts.tokens));
    let (whole, refused) = (read(&counts.whole), read(&counts.refused));
    stop.store(true, Ordering::Relaxed);
    for caller in callers {
        caller.join().expect("a caller ends");
    }
    let at = |times: &Mutex<Histogram<u64>>, quantile: f64| {
        times.lock().expect("histogram").value_at_quantile(quantile) as f64 / 1_000.0
    };
    let line = json!({
        "name": "entry", "streams": streams, "seconds": seconds,
        "requests_per_second": requests as f64 / seconds,
        "whole": whole, "refused": refused,
        "tokens_per_second": tokens as f64 / seconds,
        "processor_microseconds_per_token": processor * 1e6 / tokens.max(1) as f64,
        "cores": processor / seconds,
        "memory_bytes": memory,
        "first_token_ms": {"median": at(&times.first, 0.5), "p95": at(&times.first, 0.95)},
        "between_tokens_ms": {"median": at(&times.gap, 0.5), "p95": at(&times.gap, 0.95)},
    });
    println!("{line}");
}

/// One caller: a stream after another until it is stopped.
fn call_on(
    caller: usize,
    address: SocketAddr,
    tokens: u32,
    counts: &Counts,
    times: &Times,
    stop: &AtomicBool,
) {
    let config = ureq::Agent::config_builder().http_status_as_error(false).build();
    let agent = ureq::Agent::new_with_config(config);
    let mut round = 0;
    while !stop.load(Ordering::Relaxed) {
        round += 1;
        counts.requests.fetch_add(1, Ordering::Relaxed);
        let body = json!({
            "model": "plank", "stream": true, "max_tokens": tokens,
            "messages": [{"role": "user", "content": format!("caller {caller} round {round}")}],
        });
        let sent = Instant::now();
        let answer = agent
            .post(format!("http://{address}/v1/chat/completions"))
            .header("OpenAI-Organization", format!("o{}", caller % 10))
            .send_json(body);
        let Ok(answer) = answer else { continue };
        if answer.status() != 200 {
            counts.refused.fetch_add(1, Ordering::Relaxed);
            thread::sleep(Duration::from_millis(100));
            continue;
        }
        read_stream(answer.into_body(), sent, counts, times, stop);
    }
}

fn read_stream(body: ureq::Body, sent: Instant, counts: &Counts, times: &Times, stop: &AtomicBool) {
    let mut last: Option<Instant> = None;
    for line in BufReader::new(body.into_reader()).lines() {
        let Ok(line) = line else { return };
        if line == "data: [DONE]" {
            counts.whole.fetch_add(1, Ordering::Relaxed);
            return;
        }
        if !line.starts_with("data:") {
            continue;
        }
        counts.tokens.fetch_add(1, Ordering::Relaxed);
        let now = Instant::now();
        let (since, times) = last.map_or((sent, &times.first), |last| (last, &times.gap));
        let passed = (now - since).as_micros() as u64;
        times.lock().expect("histogram").record(passed).expect("in range");
        last = Some(now);
        if stop.load(Ordering::Relaxed) {
            return;
        }
    }
}
