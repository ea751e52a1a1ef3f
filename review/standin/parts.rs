//! BUDGET: one part of the prompts crashes each engine that begins to write an answer on it. It stands
//! far back in long prompts, or has a long id.

use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::engine::{DEPTH, Engines};
use crate::http;
use crate::node::{Node, Record, free_hosts};
use crate::store::Store;

const NODES: u8 = 4;
const EVENTS: u64 = 20;
/// The prompts of a case.
#[derive(Clone, Copy)]
pub struct Prompts {
    /// Shared parts of each prompt; the last part is the request's own.
    shared: usize,
    /// Place of the part that may crash engines, from 0.
    crashing: usize,
    /// Id of that part.
    id: &'static str,
}

pub const FAR_BACK: Prompts = Prompts { shared: 17, crashing: 16, id: "dead01" };
pub const LONG_ID: Prompts =
    Prompts { shared: 3, crashing: 1, id: "5f2b7c019d3e4a688b10f7c2e6a95d34" };
/// For comparison.
pub const USUAL: Prompts = Prompts { shared: 3, crashing: 1, id: "dead01" };

const LEAD: Duration = Duration::from_secs(11);
const PERIOD: Duration = Duration::from_secs(30);
const SOUND_PER_S: f64 = 8.0;
const CRASHING_PER_S: f64 = 1.0;
const CONTACT: Duration = Duration::from_secs(3);
/// Requests with the part that may reach engines after that.
const ALLOWED: usize = 3;

/// Returns the configuration; each engine has memory of `mb`, of which a layer takes 100.
pub fn config(mb: f64) -> String {
    format!(
        r#"{{"version":3,"routes":[{{"name":"draft","host":"desk.example","prefix":"/draft/",
"service":"llm","kind":"streaming","resumable":true,"sticky":true,"timeout_ms":20000,
"target_latency_ms":500,"gap_aim_ms":200,"max_attempts":2,"priority":1}}],
"services":[{{"name":"llm","max_connections":1000,"engine":{{"slots":64,"kv_bytes":8000.0,
"step_ms":1.0,"read_per_s":100000.0,"usual":{{"prompt":100,"answer":50}},"layers":{DEPTH},
"layer_mb":100.0,"models":[{{"name":"m","load_s":0.1}}],
"kinds":[{{"name":"card","mb":{mb:.1},"pace":1.0,"read_x":1.0}}]}}}}],
"limits":{{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout_ms":3000,
"idle_timeout_ms":15000}}}}"#
    )
}

/// Sends a stream. Returns the status, the number of events and whether the stream ended whole.
pub fn ask(front: SocketAddr, id: &str, prefix: &str, body: &str) -> io::Result<(u16, u64, bool)> {
    let fields = [
        ("Host", "desk.example"),
        ("Request-Id", id),
        ("Deadline-Ms", "5000"),
        ("Model", "m"),
        ("Token-Count", "100,40"),
        ("Prompt-Prefix", prefix),
    ];
    let patience = Duration::from_secs(6);
    let mut reader = http::send(front, "POST", "/draft/x", &fields, body.as_bytes(), patience)?;
    let head = http::read_head(&mut reader)?;
    if head.field("transfer-encoding").is_none() {
        return Ok((head.status(), 0, true));
    }
    let (mut events, mut is_whole) = (0, false);
    while let Ok(chunk) = http::read_chunk(&mut reader) {
        if chunk.is_empty() {
            is_whole = true;
            break;
        }
        events += String::from_utf8_lossy(&chunk).matches("id: ").count() as u64;
    }
    Ok((head.status(), events, is_whole))
}

impl Prompts {
    /// Returns the parts of a prompt, with the one that may crash engines or a sound one in its
    /// place.
    fn list(&self, is_crashing: bool, own: &str) -> String {
        let part = |index: usize| match is_crashing && index == self.crashing {
            true => format!("{}:40,", self.id),
            false => format!("{:x}:20,", 0x5c1e00 + index),
        };
        let parts: String = (0..self.shared).map(part).collect();
        format!("{parts}{own}:60")
    }
}

pub fn run(folder: &Path, temporary: &Path, trouble: bool, prompts: Prompts) -> Verdict {
    let mut record = Record::create(&folder.join("record.txt"));
    let hosts = free_hosts(NODES);
    let store = Store::start(&format!("{hosts}1"));
    store.put("op/config", &config(1000.0));
    let zones = ["a", "a", "a", "b", "b", "b"];
    let engines = Engines::start(&format!("{hosts}1"), "llm", &zones, EVENTS, &store);
    let mut nodes: Vec<Node> = (0..NODES)
        .map(|index| {
            let host = format!("{hosts}{}", 11 + index);
            let zone = if index % 2 == 0 { "a" } else { "b" };
            Node::new(&format!("n{index}"), zone, &host, store.address, temporary)
        })
        .collect();
    let started = Instant::now();
    nodes.iter_mut().for_each(Node::start);
    sleep(LEAD);
    let served = (0..20).any(|attempt| {
        sleep(Duration::from_millis(100));
        let node = &nodes[attempt % nodes.len()];
        let answer = ask(node.front, &format!("p{attempt}"), &prompts.list(false, "aaaa"), "first");
        answer.is_ok_and(|answer| answer == (200, EVENTS, true))
    });
    if !served {
        record.line("no stream is served before the disruption");
        engines.world.lock().unwrap().orders.iter().for_each(|order| record.line(order));
        return Verdict::CouldNotRun;
    }
    if trouble {
        engines.world.lock().unwrap().crashing.insert(prompts.id.to_owned());
    }
    record.line(format!("example of a prompt with the part: {}", prompts.list(true, "a00001")));

    let replies: Arc<Mutex<Vec<(String, Instant, u16, u64, bool)>>> = Arc::default();
    let traffic = Instant::now();
    let send = |name: &'static str, per_s: f64, is_crashing: bool| {
        let fronts: Vec<SocketAddr> = nodes.iter().map(|node| node.front).collect();
        let replies = replies.clone();
        thread::spawn(move || {
            let mut calls = Vec::new();
            for number in 0..(PERIOD.as_secs_f64() * per_s) as usize {
                let due = Duration::from_secs_f64(number as f64 / per_s);
                sleep(due.saturating_sub(traffic.elapsed()));
                let (front, replies) = (fronts[number % fronts.len()], replies.clone());
                calls.push(thread::spawn(move || {
                    let id = format!("{name}{number}");
                    let own = format!("{:x}", 0xa00000 + number + per_s as usize * 0x10000);
                    let answer = ask(front, &id, &prompts.list(is_crashing, &own), &id);
                    let (status, events, is_whole) = answer.unwrap_or((0, 0, false));
                    let reply = (id, Instant::now(), status, events, is_whole);
                    replies.lock().unwrap().push(reply);
                }));
            }
            calls.into_iter().for_each(|call| call.join().expect("a caller ends"));
        })
    };
    let sending = [send("sound", SOUND_PER_S, false), send("part", CRASHING_PER_S, true)];
    sending.into_iter().for_each(|sending| sending.join().expect("callers end"));

    let ms = |at: Instant| at.saturating_duration_since(started).as_millis();
    let runs = engines.world.lock().unwrap().runs.clone();
    for run in &runs {
        let word = if run.crashed { "crashed" } else { "ran on" };
        record.line(format!("{:6} ms {} {word} engine {}", ms(run.at), run.id, run.engine));
    }
    for (id, at, status, events, is_whole) in replies.lock().unwrap().iter() {
        let end = if *is_whole { "whole" } else { "cut" };
        record.line(format!("{:6} ms caller {id}: {status}, {events} events, {end}", ms(*at)));
    }
    let crashes: Vec<Instant> = runs.iter().filter(|run| run.crashed).map(|run| run.at).collect();
    record.line(format!("crashes: {}", crashes.len()));
    record.line(format!(
        "nodes that run: {}",
        nodes.iter_mut().filter_map(|n| n.runs().then_some(1)).count()
    ));
    let with_part = runs.iter().filter(|run| run.parts.iter().any(|part| part == prompts.id));
    let late =
        crashes.get(4).map(|fifth| with_part.filter(|run| run.at > *fifth + CONTACT).count());
    let late = late.unwrap_or(0);
    record.line(format!(
        "requests with the part at engines later than 3 s after the fifth crash: {late}, allowed {ALLOWED}"
    ));
    match late > ALLOWED {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}
