//! A process answers requests for a while, and nobody reads its metrics.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::http::Connection;
use crate::node::Node;
use crate::record::Record;
use crate::site::{DESK, config, desk, request};
use crate::store::Store;
use crate::target::Target;

/// Memory of the machine, megabytes.
const MEMORY_MB: u64 = 20;
/// Callers, each with one connection and one request at a time.
const CALLERS: u64 = 24;
const MAX_TIME: Duration = Duration::from_secs(100);
/// Interval at which the metrics are read while an incident is examined.
const METRICS_INTERVAL: Duration = Duration::from_secs(5);

pub fn run(record: &Record, has_trouble: bool) -> Verdict {
    let host = "127.91.9.1";
    let store = Store::start(host);
    store.put("op/config", &config(1, ""));
    let _desks: Vec<Target> = (0..3)
        .map(|n| Target::start_unlisted(host, &format!("d{n}"), DESK, &store, desk()))
        .collect();
    let settings = format!("limits.memory_mb={MEMORY_MB}\n");
    let mut node = Node::start("127.91.9.2", "a", store.address, &settings);
    if !node.await_ready(Duration::from_secs(20)) {
        record.line("the node is not ready");
        return Verdict::NotRun;
    }
    let answered = Arc::new(AtomicU64::new(0));
    let until = Instant::now() + MAX_TIME;
    for caller in 0..CALLERS {
        let (answered, front) = (answered.clone(), node.front);
        spawn(move || call(front, caller, until, &answered));
    }
    record.line(&format!("memory {} kB of {MEMORY_MB} MB", node.memory() / 1024));
    while Instant::now() < until {
        sleep(METRICS_INTERVAL);
        if !has_trouble {
            read_metrics(&node);
        }
        let (memory, count) = (node.memory(), answered.load(Ordering::Relaxed));
        record.line(&format!("{count} requests answered, memory {} kB", memory / 1024));
        if node.has_ended() {
            record.line("the process has ended");
            return Verdict::Broken;
        }
        if memory > MEMORY_MB * 1_000_000 {
            record.line("the process exceeds the memory of its machine, and would be killed");
            return Verdict::Broken;
        }
    }
    match answered.load(Ordering::Relaxed) {
        0 => Verdict::NotRun,
        _ => Verdict::Held,
    }
}

/// Sends one request after another.
fn call(front: std::net::SocketAddr, caller: u64, until: Instant, answered: &AtomicU64) {
    let Ok(mut connection) = Connection::open(front) else { return };
    for number in 0u64.. {
        if Instant::now() >= until {
            return;
        }
        let id = format!("{caller:02x}{number:08x}");
        let bytes = request("GET", "/read/2f", &id, Duration::from_millis(1_500), "", "");
        let is_sent = connection.send(&bytes).is_ok();
        match connection.read() {
            Ok(Some(answer)) if is_sent && answer.status() == 200 => {
                answered.fetch_add(1, Ordering::Relaxed);
            }
            Ok(Some(_)) if is_sent => {}
            _ => match Connection::open(front) {
                Ok(opened) => connection = opened,
                Err(_) => return,
            },
        }
    }
}

fn read_metrics(node: &Node) {
    let address = format!("{}:9464", node.host).parse().expect("an address");
    let Ok(mut connection) = Connection::open(address) else { return };
    connection.send(b"GET /metrics HTTP/1.1\r\nHost: metrics\r\n\r\n").ok();
    connection.read().ok();
}
