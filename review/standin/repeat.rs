//! BUDGET: a request that engines have answered before crashes each engine that begins to run it.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::engine::Engines;
use crate::node::{Node, Record, free_hosts};
use crate::parts::{ask, config};
use crate::store::Store;

const NODES: u8 = 4;
const EVENTS: u64 = 20;
const LEAD: Duration = Duration::from_secs(11);
/// Time for which the request is answered, before it crashes engines.
const SOUND_TIME: Duration = Duration::from_secs(4);
const PERIOD: Duration = Duration::from_secs(30);
const OTHERS_PER_S: f64 = 8.0;
const REPEATS_PER_S: f64 = 1.0;
const CONTACT: Duration = Duration::from_secs(3);
/// Retries that may reach engines after that.
const ALLOWED: usize = 3;
/// Body of the request that comes again.
const BODY: &str = "weekly report";
const PREFIX: &str = "5c1e07a2:40,e4402b7d:60";

pub fn run(folder: &Path, temporary: &Path, trouble: bool) -> Verdict {
    let mut record = Record::create(&folder.join("record.txt"));
    // Without the time in which it is answered, for comparison.
    let is_new = std::env::var_os("NEW").is_some();
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
        let answer = ask(node.front, &format!("p{attempt}"), PREFIX, "first");
        answer.is_ok_and(|answer| answer == (200, EVENTS, true))
    });
    if !served {
        record.line("no stream is served before the disruption");
        return Verdict::CouldNotRun;
    }

    let replies: Arc<Mutex<Vec<(String, Instant, u16, u64, bool)>>> = Arc::default();
    let traffic = Instant::now();
    let send = |name: &'static str, per_s: f64, body: Option<&'static str>, from: Duration| {
        let fronts: Vec<SocketAddr> = nodes.iter().map(|node| node.front).collect();
        let replies = replies.clone();
        thread::spawn(move || {
            let mut calls = Vec::new();
            for number in 0..(PERIOD.as_secs_f64() * per_s) as usize {
                let due = from + Duration::from_secs_f64(number as f64 / per_s);
                sleep(due.saturating_sub(traffic.elapsed()));
                let (front, replies) = (fronts[number % fronts.len()], replies.clone());
                calls.push(thread::spawn(move || {
                    let id = format!("{name}{number}");
                    let answer = ask(front, &id, PREFIX, body.unwrap_or(&id));
                    let (status, events, is_whole) = answer.unwrap_or((0, 0, false));
                    let reply = (id, Instant::now(), status, events, is_whole);
                    replies.lock().unwrap().push(reply);
                }));
            }
            calls.into_iter().for_each(|call| call.join().expect("a caller ends"));
        })
    };
    let from = if is_new { SOUND_TIME } else { Duration::ZERO };
    let others = send("other", OTHERS_PER_S, None, Duration::ZERO);
    let repeats = send("repeat", REPEATS_PER_S, Some(BODY), from);
    sleep((SOUND_TIME - Duration::from_millis(100)).saturating_sub(traffic.elapsed()));
    if trouble {
        engines.world.lock().unwrap().crashing_bodies.insert(BODY.to_owned());
    }
    [others, repeats].into_iter().for_each(|sending| sending.join().expect("callers end"));

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
    let running = nodes.iter_mut().filter_map(|node| node.runs().then_some(1)).count();
    record.line(format!("nodes that run: {running}"));
    let late = crashes.get(2).map_or(0, |third| {
        let repeats = runs.iter().filter(|run| run.body == BODY);
        repeats.filter(|run| run.at > *third + CONTACT).count()
    });
    record.line(format!(
        "retries of it at engines later than 3 s after the third crash: {late}, allowed {ALLOWED}"
    ));
    match late > ALLOWED {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}
