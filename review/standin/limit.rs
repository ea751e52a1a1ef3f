//! LIMIT: two of four nodes start while the platform's store does some writes seconds later and
//! leaves them unanswered. Later a server names the requests a second that it takes.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::http;
use crate::node::{Node, Record, free_hosts};
use crate::plain::Plain;
use crate::store::{Lost, Store};

const NODES: u8 = 4;
/// Number of nodes whose first registration is done late and not answered.
const HIT: usize = 2;
/// Delay of the late writes: the bench's `platform_lost` with `late` has 1 to 6 s.
const LATE: Duration = Duration::from_millis(3000);
/// Length of the disruption, from the start of the processes.
const LOSS_TIME: Duration = Duration::from_millis(4500);
/// Start of the traffic after that of the processes.
const LEAD: Duration = Duration::from_secs(10);
/// Requests that the server takes a second.
const LIMIT: f64 = 60.0;
/// Time of traffic before the server names its limit.
const BEFORE: Duration = Duration::from_secs(2);
/// Time of traffic after that.
const AFTER: Duration = Duration::from_secs(16);
/// Requests a second at each node.
const PER_NODE: f64 = 60.0;
const CONTACT: Duration = Duration::from_secs(3);
const SPAN: Duration = Duration::from_secs(4);

const CONFIG: &str = r#"{"version":3,"routes":[{"name":"look","host":"desk.example",
"prefix":"/look/","service":"desk","kind":"safe","timeout_ms":1500,"target_latency_ms":150,
"max_attempts":2,"priority":2}],"services":[{"name":"desk","health_path":"/health",
"max_connections":1000}],"limits":{"max_header_bytes":16384,"max_body_bytes":1048576,
"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;

/// An answer as the caller saw it.
struct Reply {
    node: usize,
    at: Instant,
    status: u16,
    names_limit: bool,
}

fn ask(front: SocketAddr, id: &str) -> io::Result<http::Message> {
    let fields = [("Host", "desk.example"), ("Request-Id", id), ("Deadline-Ms", "1500")];
    let patience = Duration::from_millis(2500);
    let mut reader = http::send(front, "GET", "/look/job", &fields, b"", patience)?;
    http::read_message(&mut reader)
}

pub fn run(folder: &Path, temporary: &Path, trouble: bool) -> Verdict {
    let mut record = Record::create(&folder.join("record.txt"));
    let prefix = free_hosts(NODES);
    let store = Store::start(&format!("{prefix}1"));
    store.put("op/config", CONFIG);
    let server = Plain::start(&format!("{prefix}1"), "i-desk1", "desk", "a", &store);
    let host = |index: u8| format!("{prefix}{}", 11 + index);
    let mut nodes: Vec<Node> = (0..NODES)
        .map(|index| Node::new(&format!("n{index}"), "a", &host(index), store.address, temporary))
        .collect();
    let started = Instant::now();
    if trouble {
        let keys = nodes[..HIT].iter().map(|node| format!("magnoliarun/nodes/{}", node.internal));
        let mut keys: Vec<String> = keys.collect();
        store.set_loss(Some(Box::new(move |key| {
            let index = keys.iter().position(|hit| hit == key)?;
            let in_time = started.elapsed() < LOSS_TIME;
            keys.remove(index);
            in_time.then_some(Lost::Late(LATE))
        })));
    }
    nodes.iter_mut().for_each(Node::start);
    sleep(LOSS_TIME);
    let (writes, lost) = store.writes();
    store.set_loss(None);
    record.line(format!(
        "writes of the nodes in the first {} ms: {writes}, not answered and done {} ms later: {lost}",
        LOSS_TIME.as_millis(),
        LATE.as_millis()
    ));
    sleep(LEAD.saturating_sub(started.elapsed()));

    let replies: Arc<Mutex<Vec<Reply>>> = Arc::default();
    let traffic = Instant::now();
    let mut threads = Vec::new();
    for (index, node) in nodes.iter().enumerate() {
        let (front, replies) = (node.front, replies.clone());
        threads.push(thread::spawn(move || {
            let mut calls = Vec::new();
            for number in 0.. {
                let due = Duration::from_secs_f64(f64::from(number) / PER_NODE);
                if due > BEFORE + AFTER {
                    break;
                }
                sleep(due.saturating_sub(traffic.elapsed()));
                let replies = replies.clone();
                calls.push(thread::spawn(move || {
                    let answer = ask(front, &format!("q{index}-{number}"));
                    let status = answer.as_ref().map_or(0, http::Message::status);
                    let names_limit =
                        answer.is_ok_and(|answer| answer.field("server-limit").is_some());
                    let reply = Reply { node: index, at: Instant::now(), status, names_limit };
                    replies.lock().unwrap().push(reply);
                }));
            }
            calls.into_iter().for_each(|call| call.join().expect("a caller ends"));
        }));
    }
    sleep(BEFORE.saturating_sub(traffic.elapsed()));
    server.set_limit(Some(&LIMIT.to_string()));
    let named = Instant::now();
    threads.into_iter().for_each(|thread| thread.join().expect("callers end"));

    let ms = |at: Instant| at.saturating_duration_since(started).as_millis();
    for (at, line) in store.log() {
        record.line(format!("store {:6} ms: {line}", ms(at)));
    }
    let registered = store.keys("magnoliarun/nodes/");
    record.line(format!(
        "nodes that run: {}",
        nodes.iter_mut().filter_map(|n| n.runs().then_some(1)).count()
    ));
    record.line(format!("nodes registered at the end: {}", registered.join(" ")));
    let replies = replies.lock().unwrap();
    let mut statuses: HashMap<(usize, u16), usize> = HashMap::new();
    replies.iter().for_each(|reply| *statuses.entry((reply.node, reply.status)).or_default() += 1);
    let mut statuses: Vec<_> = statuses.into_iter().collect();
    statuses.sort_unstable();
    for ((node, status), count) in statuses {
        record.line(format!("caller: node n{node} status {status}: {count}"));
    }
    // Each node has passed on an answer that names the limit.
    let first = |node: usize| {
        let of_node = replies.iter().filter(|reply| reply.node == node && reply.names_limit);
        of_node.map(|reply| reply.at).min()
    };
    let Some(last_told) = (0..nodes.len()).map(first).collect::<Option<Vec<_>>>() else {
        record.line("a node passed on no answer with the limit");
        return Verdict::CouldNotRun;
    };
    let told = last_told.into_iter().max().unwrap_or(named);
    record.line(format!("limit named from {} ms, passed on by all by {} ms", ms(named), ms(told)));
    let from = (named + CONTACT).max(told + Duration::from_millis(500));
    let runs = server.runs();
    let after = runs.iter().filter(|run| run.at >= from).map(|run| run.at);
    let times: Vec<Instant> = after.collect();
    let within =
        |start: Instant| times.iter().filter(|at| **at >= start && **at - start < SPAN).count();
    let most = times.iter().map(|start| (within(*start), *start)).max_by_key(|(count, _)| *count);
    let Some((most, at)) = most else {
        record.line("no request ran after the limit was named");
        return Verdict::CouldNotRun;
    };
    let allowed = 1.5 * LIMIT * SPAN.as_secs_f64() + 5.0;
    for run in runs.iter() {
        let word = if run.at >= from { "counted" } else { "before" };
        record.line(format!("run {:6} ms {word} {}", ms(run.at), run.id));
    }
    record.line(format!(
        "most requests in 4 s: {most}, from {} ms; allowed at a limit of {LIMIT}: {allowed}",
        ms(at)
    ));
    match most as f64 > allowed {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}
