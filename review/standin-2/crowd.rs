//! A crowd of callers that nobody controls sends whole requests of legal size: some with large
//! bodies, the others with prompts of as many parts as fit into a head.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::http::Connection;
use crate::node::Node;
use crate::record::Record;
use crate::site::{ENGINE, MAX_HEADER_BYTES, config, engine, request};
use crate::store::Store;
use crate::target::Target;

/// Memory of the machine, megabytes, and its descriptors.
const MEMORY_MB: u64 = 32;
const MAX_FDS: u64 = 2_870;
const ENGINES: usize = 6;
/// Callers, and those of them that send a large body.
const CALLERS: usize = 195;
const LARGE_BODIES: usize = 7;
/// Size of a large body, bytes: a quarter of `max_body_bytes`.
const BODY_BYTES: usize = 1 << 20;
/// Parts of a prompt, two bytes each in the head.
const PARTS: usize = 7_900;
const CALLER_INTERVAL: Duration = Duration::from_millis(5);
/// Time for which the memory is observed.
const WATCH_TIME: Duration = Duration::from_secs(15);
const WATCH_INTERVAL: Duration = Duration::from_millis(100);

pub fn run(record: &Record, has_trouble: bool) -> Verdict {
    let host = "127.91.8.1";
    let store = Store::start(host);
    store.put("op/config", &config(1, ""));
    let answer = engine(Duration::from_millis(1_500), 60, Duration::from_millis(100));
    let _engines: Vec<Target> = (0..ENGINES)
        .map(|n| Target::start(host, &format!("e{n}"), ENGINE, &store, answer.clone()))
        .collect();
    let settings = format!("limits.memory_mb={MEMORY_MB}\nlimits.max_fds={MAX_FDS}\n");
    let mut node = Node::start("127.91.8.2", "a", store.address, &settings);
    if !node.await_ready(Duration::from_secs(20)) {
        record.line("the node is not ready");
        return Verdict::NotRun;
    }
    sleep(Duration::from_secs(4));
    record.line(&format!("memory {} kB of {MEMORY_MB} MB", node.memory() / 1024));
    let (begun, ended) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    let (front, counts) = (node.front, (begun.clone(), ended.clone()));
    spawn(move || {
        for number in 0..CALLERS {
            let (begun, ended) = counts.clone();
            spawn(move || call(front, &bytes(number, has_trouble), &begun, &ended));
            sleep(CALLER_INTERVAL);
        }
    });
    let (until, mut most) = (Instant::now() + WATCH_TIME, 0);
    let mut logged = Instant::now();
    while Instant::now() < until {
        most = most.max(node.memory());
        if logged.elapsed() >= Duration::from_secs(1) {
            logged = Instant::now();
            let (begun, ended) = (begun.load(Ordering::Relaxed), ended.load(Ordering::Relaxed));
            record.line(&format!(
                "{begun} answers have begun, {ended} have ended whole, most memory {} kB",
                most / 1024
            ));
        }
        sleep(WATCH_INTERVAL);
    }
    if begun.load(Ordering::Relaxed) == 0 {
        return Verdict::NotRun;
    }
    record.line(&format!("most memory {most} bytes of {} bytes", MEMORY_MB * 1_000_000));
    match node.has_ended() || most > MEMORY_MB * 1_000_000 {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}

/// Returns what a caller sends. Without the trouble its prompt has three parts and its body is
/// small.
fn bytes(number: usize, has_trouble: bool) -> Vec<u8> {
    let (parts, body) = match has_trouble {
        true if number < LARGE_BODIES => (2, BODY_BYTES),
        true => (PARTS, 0),
        false => (2, 2),
    };
    let parts = "a,".repeat(parts);
    let more =
        format!("Model: m\r\nToken-Count: 20,20\r\nPrompt-Prefix: {parts}9b{number:04x}:20\r\n");
    let (id, body) = (format!("{number:08x}"), "x".repeat(body));
    let bytes = request("POST", "/text/2f", &id, Duration::from_secs(20), &more, &body);
    assert!(bytes.len() - body.len() <= MAX_HEADER_BYTES, "the head is within the limit");
    bytes
}

/// Sends a request and reads its answer.
fn call(front: SocketAddr, bytes: &[u8], begun: &AtomicU64, ended: &AtomicU64) {
    let Ok(mut connection) = Connection::open(front) else { return };
    connection.send(bytes).ok();
    let Ok(Some(mut answer)) = connection.read_head() else { return };
    begun.fetch_add(u64::from(answer.status() == 200), Ordering::Relaxed);
    let is_whole = connection.read_body(&mut answer).is_ok() && answer.is_whole;
    ended.fetch_add(u64::from(is_whole && answer.status() == 200), Ordering::Relaxed);
}
