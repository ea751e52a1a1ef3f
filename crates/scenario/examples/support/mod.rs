//! Support for the load measures: node processes, caller threads and their counters.

#![allow(dead_code, reason = "each example uses only part of this module")]

use std::fs;
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use node::shell::PRESET_KEY;
use serde_json::{Value, json};

/// Environment variable that, if set, lets nodes log at level `info` to the terminal.
const LOG_VARIABLE: &str = "MEASURE_LOG";
/// Clock ticks per second in the processor times of `/proc/PID/stat`.
const TICKS_PER_SECOND: f64 = 100.0;

/// Node process; killed when dropped.
pub(crate) struct Node {
    child: Child,
    pub(crate) caller_address: SocketAddr,
    pub(crate) peer_address: SocketAddr,
    operator_address: SocketAddr,
}

impl Node {
    /// Starts the node program from the folder above that of the examples.
    pub(crate) fn start(name: &str, domain: &str, platform: SocketAddr) -> Self {
        let binary = std::env::current_exe()
            .ok()
            .and_then(|path| Some(path.parent()?.parent()?.join("magnoliarun")))
            .expect("the path of the running example is known and has two parents");
        let [caller_address, operator_address, peer_address] = free_addresses();
        let logging = match std::env::var_os(LOG_VARIABLE) {
            Some(_) => ("--log-level=info", Stdio::inherit()),
            None => ("--log-level=warn", Stdio::null()),
        };
        let child = Command::new(binary)
            .args(["--secret=measurement", logging.0])
            .arg(format!("--name={name}"))
            .arg(format!("--domain={domain}"))
            .arg(format!("--callers={caller_address}"))
            .arg(format!("--operators={operator_address}"))
            .arg(format!("--peers={peer_address}"))
            .arg(format!("--platform={platform}"))
            .stdout(logging.1)
            .spawn()
            .expect("the node starts: cargo build --release -p node");
        Self { child, caller_address, peer_address, operator_address }
    }

    /// Waits until the node reports readiness.
    ///
    /// # Panics
    ///
    /// Panics if it is not ready after about 10 s.
    pub(crate) fn await_ready(&self) {
        for _ in 0..200 {
            let ready = ureq::get(format!("http://{}/readyz", self.operator_address)).call();
            if ready.is_ok() {
                return;
            }
            thread::sleep(Duration::from_millis(50));
        }
        panic!("the node is not ready after 10 s");
    }

    /// Returns the processor time used so far, in seconds.
    pub(crate) fn processor_seconds(&self) -> f64 {
        let stat = fs::read_to_string(format!("/proc/{}/stat", self.child.id())).expect("stat");
        let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or("").split_whitespace().collect();
        let ticks = |index: usize| fields[index].parse::<f64>().expect("ticks");
        (ticks(11) + ticks(12)) / TICKS_PER_SECOND
    }

    /// Returns the resident memory, in bytes; 0 if it cannot be read.
    pub(crate) fn memory_bytes(&self) -> u64 {
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

/// Returns three free addresses. The listeners stay open until the last is bound, so that the
/// addresses differ.
fn free_addresses() -> [SocketAddr; 3] {
    let listeners = [(); 3].map(|()| TcpListener::bind("127.0.0.1:0").expect("a free port"));
    listeners.map(|listener| listener.local_addr().expect("an address"))
}

/// Counts of requests and tokens over all callers, during the measurement only.
#[derive(Default)]
struct Counts {
    requests: AtomicU64,
    /// Streams received up to their closing event.
    whole: AtomicU64,
    /// Requests without an answer, and streams that ended without their closing event.
    broken: AtomicU64,
    tokens: AtomicU64,
    /// Answers with a status other than 200.
    refused: AtomicU64,
}

/// Histograms of event times, in microseconds.
struct Times {
    /// Time from the sending of a request to its first event.
    first: Mutex<Histogram<u64>>,
    /// Time between two successive events of a stream.
    gap: Mutex<Histogram<u64>>,
}

/// Writes a preset with these organisations to the store.
pub(crate) fn put_preset(platform: SocketAddr, organisations: &[&str]) {
    let organisation =
        |name: &&str| preset::Organisation { name: (*name).into(), weight: 1.0, keys: Vec::new() };
    let preset = preset::Preset {
        version: 0,
        change: "measure".into(),
        name: "ordinary".into(),
        organisations: organisations.iter().map(organisation).collect(),
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

/// Load that callers put on the nodes.
#[derive(Clone, Debug)]
pub(crate) struct Load {
    /// Addresses of the nodes for callers. Each caller uses them in rotation.
    pub(crate) nodes: Vec<SocketAddr>,
    pub(crate) organisations: Vec<String>,
    pub(crate) model: &'static str,
    /// Concurrent streams, each of its own caller.
    pub(crate) streams: usize,
    /// Maximum tokens of an answer.
    pub(crate) tokens: u32,
    /// Time of load before the measurement.
    pub(crate) warm_up: Duration,
    /// Duration of the measurement.
    pub(crate) length: Duration,
}

/// Result of a load.
#[derive(Clone, Debug)]
pub(crate) struct Result {
    pub(crate) seconds: f64,
    pub(crate) requests: u64,
    pub(crate) whole: u64,
    pub(crate) broken: u64,
    pub(crate) refused: u64,
    pub(crate) tokens: u64,
    first_ms: [f64; 2],
    gap_ms: [f64; 2],
}

impl Result {
    /// Returns the JSON members that all examples print.
    pub(crate) fn json(&self) -> Value {
        json!({
            "seconds": self.seconds, "whole": self.whole, "broken": self.broken,
            "refused": self.refused,
            "requests_per_second": self.requests as f64 / self.seconds,
            "tokens_per_second": self.tokens as f64 / self.seconds,
            "first_token_ms": {"median": self.first_ms[0], "p95": self.first_ms[1]},
            "between_tokens_ms": {"median": self.gap_ms[0], "p95": self.gap_ms[1]},
        })
    }
}

/// Runs a load and returns its result. Requests and tokens are counted while `while_counting`
/// runs, which starts after the warm-up and determines the duration of the measurement.
pub(crate) fn run(load: &Load, while_counting: impl FnOnce()) -> Result {
    let counts = Arc::new(Counts::default());
    let histogram = || Mutex::new(Histogram::new(3).expect("three digits"));
    let times = Arc::new(Times { first: histogram(), gap: histogram() });
    let stop = Arc::new(AtomicBool::new(false));
    let counting = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = (0..load.streams)
        .map(|number| {
            let caller = Caller {
                number,
                load: load.clone(),
                counts: Arc::clone(&counts),
                times: Arc::clone(&times),
                stop: Arc::clone(&stop),
                counting: Arc::clone(&counting),
            };
            thread::spawn(move || caller.call_until_stopped())
        })
        .collect();
    thread::sleep(load.warm_up);
    counting.store(true, Ordering::Relaxed);
    let started = Instant::now();
    while_counting();
    counting.store(false, Ordering::Relaxed);
    let seconds = started.elapsed().as_secs_f64();
    stop.store(true, Ordering::Relaxed);
    for caller in callers {
        caller.join().expect("a caller ends");
    }
    let read = |count: &AtomicU64| count.load(Ordering::Relaxed);
    Result {
        seconds,
        requests: read(&counts.requests),
        whole: read(&counts.whole),
        broken: read(&counts.broken),
        refused: read(&counts.refused),
        tokens: read(&counts.tokens),
        first_ms: quantiles(&times.first),
        gap_ms: quantiles(&times.gap),
    }
}

/// Returns the median and the 95th percentile, in milliseconds.
fn quantiles(times: &Mutex<Histogram<u64>>) -> [f64; 2] {
    let times = times.lock().expect("histogram");
    [0.5, 0.95].map(|quantile| times.value_at_quantile(quantile) as f64 / 1_000.0)
}

/// Caller that requests one stream after another until stopped.
struct Caller {
    number: usize,
    load: Load,
    counts: Arc<Counts>,
    times: Arc<Times>,
    stop: Arc<AtomicBool>,
    counting: Arc<AtomicBool>,
}

impl Caller {
    fn call_until_stopped(&self) {
        let config = ureq::Agent::config_builder().http_status_as_error(false).build();
        let agent = ureq::Agent::new_with_config(config);
        let mut round = 0;
        while !self.stop.load(Ordering::Relaxed) {
            round += 1;
            self.call(&agent, round);
        }
    }

    fn call(&self, agent: &ureq::Agent, round: usize) {
        self.count(&self.counts.requests);
        let number = self.number;
        let node = self.load.nodes[(number + round) % self.load.nodes.len()];
        let organisation = &self.load.organisations[number % self.load.organisations.len()];
        let body = json!({
            "model": self.load.model, "stream": true, "max_tokens": self.load.tokens,
            "messages": [{"role": "user", "content": format!("caller {number} round {round}")}],
        });
        let sent = Instant::now();
        let answer = agent
            .post(format!("http://{node}/v1/chat/completions"))
            .header("OpenAI-Organization", organisation)
            .send_json(body);
        let Ok(answer) = answer else {
            self.count(&self.counts.broken);
            return;
        };
        if answer.status() != 200 {
            self.count(&self.counts.refused);
            thread::sleep(Duration::from_millis(100));
            return;
        }
        if !self.read_stream(answer.into_body(), sent) {
            self.count(&self.counts.broken);
        }
    }

    /// Reads a stream. Returns false if it ends without its closing event, unless the load has
    /// been stopped.
    fn read_stream(&self, body: ureq::Body, sent: Instant) -> bool {
        let mut last: Option<Instant> = None;
        for line in BufReader::new(body.into_reader()).lines() {
            let Ok(line) = line else { return false };
            if line == "data: [DONE]" {
                self.count(&self.counts.whole);
                return true;
            }
            if line.starts_with("data:") {
                self.record_token(sent, &mut last);
            }
            if self.stop.load(Ordering::Relaxed) {
                return true;
            }
        }
        false
    }

    fn record_token(&self, sent: Instant, last: &mut Option<Instant>) {
        let now = Instant::now();
        let (since, times) = last.map_or((sent, &self.times.first), |last| (last, &self.times.gap));
        *last = Some(now);
        if !self.counting.load(Ordering::Relaxed) {
            return;
        }
        self.count(&self.counts.tokens);
        let passed = (now - since).as_micros() as u64;
        times.lock().expect("histogram").record(passed).expect("in range");
    }

    fn count(&self, count: &AtomicU64) {
        if self.counting.load(Ordering::Relaxed) {
            count.fetch_add(1, Ordering::Relaxed);
        }
    }
}
