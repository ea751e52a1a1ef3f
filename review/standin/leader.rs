//! RECOVER: after the final fault the platform's store leaves some writes without an answer, and an
//! engine crashes.

use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::engine::Engines;
use crate::node::{Node, Record, free_hosts};
use crate::parts::{ask, config};
use crate::store::{Lost, Store};

const NODES: u8 = 4;
const EVENTS: u64 = 20;
/// Memory of an engine, of which a layer takes 100: two layers and some room.
const ENGINE_MB: f64 = 300.0;
const LEAD: Duration = Duration::from_secs(11);
/// Time of traffic before the final fault.
const BEFORE: Duration = Duration::from_secs(5);
/// Time after which killed processes are started again.
const DOWN: Duration = Duration::from_secs(1);
/// Length of the loss of answers, from the return of the processes.
const LOSS_TIME: Duration = Duration::from_millis(4500);
/// Time from the return to the crash of an engine.
const CRASH_AFTER: Duration = Duration::from_secs(5);
/// `bounds.recover_s`.
const RECOVER: Duration = Duration::from_secs(12);
/// Time of traffic after that.
const AFTER: Duration = Duration::from_secs(20);
const PAUSE: Duration = Duration::from_millis(125);
const PREFIX: &str = "5c1e07a2:40,e4402b7d:60";

struct Reply {
    sent: Instant,
    status: u16,
    is_served: bool,
}

pub fn run(folder: &Path, temporary: &Path, trouble: bool) -> Verdict {
    let mut record = Record::create(&folder.join("record.txt"));
    let hosts = free_hosts(NODES);
    let store = Store::start(&format!("{hosts}1"));
    store.put("op/config", &config(ENGINE_MB));
    let engines = Engines::start(&format!("{hosts}1"), "llm", &["a"; 6], EVENTS, &store);
    let mut nodes: Vec<Node> = (0..NODES)
        .map(|index| {
            let host = format!("{hosts}{}", 11 + index);
            Node::new(&format!("n{index}"), "a", &host, store.address, temporary)
        })
        .collect();
    let started = Instant::now();
    let ms = |at: Instant| at.saturating_duration_since(started).as_millis();
    nodes.iter_mut().for_each(Node::start);
    sleep(LEAD);
    let served = (0..20).any(|attempt| {
        sleep(Duration::from_millis(100));
        let node = &nodes[attempt % nodes.len()];
        let answer = ask(node.front, &format!("p{attempt}"), PREFIX, "first");
        answer.is_ok_and(|answer| answer == (200, EVENTS, true))
    });
    record.line(format!("layers of the engines: {:?}", engines.layers()));
    if !served {
        record.line("no stream is served before the final fault");
        return Verdict::CouldNotRun;
    }

    let replies: Arc<Mutex<Vec<Reply>>> = Arc::default();
    let fronts: Vec<_> = nodes.iter().map(|node| node.front).collect();
    let sending = {
        let replies = replies.clone();
        let begun = Instant::now();
        thread::spawn(move || {
            let mut calls = Vec::new();
            let period = BEFORE + DOWN + RECOVER + AFTER;
            for number in 0.. {
                if begun.elapsed() > period {
                    break;
                }
                let (front, replies) = (fronts[number % fronts.len()], replies.clone());
                calls.push(thread::spawn(move || {
                    let (sent, id) = (Instant::now(), format!("q{number}"));
                    let answer = ask(front, &id, PREFIX, &id).unwrap_or((0, 0, false));
                    let is_served = answer == (200, EVENTS, true);
                    replies.lock().unwrap().push(Reply { sent, status: answer.0, is_served });
                }));
                sleep(PAUSE);
            }
            calls.into_iter().for_each(|call| call.join().expect("a caller ends"));
        })
    };
    sleep(BEFORE);
    // The fault comes right after the acknowledgement of a configuration.
    store.put("op/config", &config(ENGINE_MB).replace("\"version\":3", "\"version\":8"));
    let fault = Instant::now();
    record.line(format!("{:6} ms final fault: all processes are killed", ms(fault)));
    nodes.iter_mut().for_each(Node::kill);
    sleep(DOWN);
    let back = Instant::now();
    let (writes_before, _) = store.writes();
    if trouble {
        let mut left = NODES;
        store.set_loss(Some(Box::new(move |key| {
            if key != "magnoliarun/leader" || left == 0 || back.elapsed() > LOSS_TIME {
                return None;
            }
            left -= 1;
            Some(Lost::Undone)
        })));
    }
    nodes.iter_mut().for_each(Node::start);
    record.line(format!("{:6} ms processes are back", ms(back)));
    sleep(LOSS_TIME);
    let (writes, lost) = store.writes();
    record.line(format!(
        "writes of the nodes in {} ms after that: {}, without an answer and not done: {lost}",
        LOSS_TIME.as_millis(),
        writes - writes_before
    ));
    store.set_loss(None);
    sleep(CRASH_AFTER.saturating_sub(back.elapsed()));
    let held = engines.layers();
    let Some(first) = held.iter().position(|layers| layers.is_some_and(|(from, _)| from == 0))
    else {
        record.line("no engine holds the first layer");
        return Verdict::CouldNotRun;
    };
    record.line(format!("{:6} ms layers of the engines: {held:?}", ms(Instant::now())));
    record.line(format!("{:6} ms engine {first} crashes", ms(Instant::now())));
    engines.crash(first);
    sending.join().expect("callers end");

    record.line(format!("layers of the engines at the end: {:?}", engines.layers()));
    for (at, line) in store.log() {
        if line.contains("leader") {
            record.line(format!("store {:6} ms: {line}", ms(at)));
        }
    }
    record.line(format!("leader key at the end: {:?}", store.keys("magnoliarun/leader")));
    let running = nodes.iter_mut().filter_map(|node| node.runs().then_some(1)).count();
    record.line(format!("nodes that run: {running}"));
    let replies = replies.lock().unwrap();
    for reply in replies.iter() {
        let word = if reply.is_served { "served" } else { "not served" };
        record.line(format!("caller {:6} ms: {} {word}", ms(reply.sent), reply.status));
    }
    let count = |of: &dyn Fn(&Reply) -> bool| {
        let all = replies.iter().filter(|reply| of(reply));
        (all.clone().filter(|reply| reply.is_served).count(), all.count())
    };
    let before = count(&|reply| reply.sent + Duration::from_secs(1) < fault);
    let after = count(&|reply| reply.sent > back + RECOVER);
    record.line(format!(
        "served before the final fault: {} of {}; later than 12 s after the return: {} of {}",
        before.0, before.1, after.0, after.1
    ));
    if before.0 * 4 < before.1 || after.1 == 0 {
        return Verdict::CouldNotRun;
    }
    match after.0 * 4 < after.1 {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}
