//! CONFIG: a configuration takes a key away and states the usual token counts as means with a fraction.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::http;
use crate::node::{Node, Record, free_hosts};
use crate::plain::Plain;
use crate::store::Store;

const NODES: u8 = 4;
const LEAD: Duration = Duration::from_secs(10);
/// `bounds.revoke_ms`.
const REVOKE: Duration = Duration::from_secs(5);
/// Time for which the key is tried after that.
const PERIOD: Duration = Duration::from_secs(10);
const PAUSE: Duration = Duration::from_millis(100);
const KEPT: &str = "keptkeykeptkey";
const TAKEN: &str = "takenkeytakenkey";

fn config(version: u64, usual: &str, keys: &str) -> String {
    format!(
        r#"{{"version":{version},"routes":[{{"name":"look","host":"desk.example",
"prefix":"/look/","service":"desk","kind":"safe","timeout_ms":1500,"target_latency_ms":150,
"max_attempts":2,"priority":2,"public":false}},{{"name":"draft","host":"desk.example",
"prefix":"/draft/","service":"llm","kind":"streaming","resumable":true,"sticky":true,
"timeout_ms":20000,"target_latency_ms":500,"gap_aim_ms":200,"max_attempts":2,"priority":1}}],
"services":[{{"name":"desk","health_path":"/health","max_connections":1000}},
{{"name":"llm","max_connections":1000,"engine":{{"slots":64,"kv_bytes":8000.0,"step_ms":1.0,
"read_per_s":100000.0,"usual":{usual},"layers":8,"layer_mb":100.0,
"models":[{{"name":"m","load_s":0.1}}],
"kinds":[{{"name":"card","mb":1000.0,"pace":1.0,"read_x":1.0}}]}}}}],
"limits":{{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout_ms":3000,
"idle_timeout_ms":15000}},"tenants":[{{"name":"floor","api_keys":[{keys}]}}]}}"#
    )
}

fn ask(front: SocketAddr, id: &str, key: &str) -> io::Result<u16> {
    let key = format!("Bearer {key}");
    let fields = [
        ("Host", "desk.example"),
        ("Request-Id", id),
        ("Deadline-Ms", "1500"),
        ("Authorization", key.as_str()),
    ];
    let patience = Duration::from_millis(2500);
    let mut reader = http::send(front, "GET", "/look/job", &fields, b"", patience)?;
    http::read_message(&mut reader).map(|answer| answer.status())
}

pub fn run(folder: &Path, temporary: &Path, trouble: bool) -> Verdict {
    let mut record = Record::create(&folder.join("record.txt"));
    let hosts = free_hosts(NODES);
    let store = Store::start(&format!("{hosts}1"));
    let whole = r#"{"prompt":772,"answer":172}"#;
    let both = format!("\"{KEPT}\",\"{TAKEN}\"");
    store.put("op/config", &config(3, whole, &both));
    let server = Plain::start(&format!("{hosts}1"), "i-desk1", "desk", "a", &store);
    let mut nodes: Vec<Node> = (0..NODES)
        .map(|index| {
            let host = format!("{hosts}{}", 11 + index);
            Node::new(&format!("n{index}"), "a", &host, store.address, temporary)
        })
        .collect();
    let started = Instant::now();
    nodes.iter_mut().for_each(Node::start);
    sleep(LEAD);
    let fronts: Vec<SocketAddr> = nodes.iter().map(|node| node.front).collect();
    for (index, front) in fronts.iter().enumerate() {
        for (name, key) in [("kept", KEPT), ("taken", TAKEN)] {
            let status = ask(*front, &format!("first-{name}-{index}"), key).unwrap_or(0);
            record.line(format!("before: node n{index}, {name} key: {status}"));
            if status != 200 {
                return Verdict::CouldNotRun;
            }
        }
    }
    let usual = if trouble { r#"{"prompt":771.6,"answer":172.3}"# } else { whole };
    store.put("op/config", &config(8, usual, &format!("\"{KEPT}\"")));
    let acknowledged = Instant::now();
    let ms = |at: Instant| at.saturating_duration_since(started).as_millis();
    record.line(format!("{:6} ms version 8 acknowledged, usual {usual}", ms(acknowledged)));
    sleep(REVOKE + Duration::from_millis(50));
    let mut statuses: BTreeMap<(&str, usize, u16), usize> = BTreeMap::new();
    let trying = Instant::now();
    let mut number = 0;
    while trying.elapsed() < PERIOD {
        let node = number % fronts.len();
        for (name, key) in [("kept", KEPT), ("taken", TAKEN)] {
            let status = ask(fronts[node], &format!("late-{name}-{number}"), key).unwrap_or(0);
            *statuses.entry((name, node, status)).or_default() += 1;
        }
        number += 1;
        sleep(PAUSE);
    }
    for ((name, node, status), count) in statuses {
        record.line(format!("after the bound: node n{node}, {name} key: {status}, {count} times"));
    }
    let late = server.runs().into_iter().filter(|run| run.id.starts_with("late-taken"));
    let late: Vec<_> = late.collect();
    for run in &late {
        record.line(format!("{:6} ms run {}", ms(run.at), run.id));
    }
    let running = nodes.iter_mut().filter_map(|node| node.runs().then_some(1)).count();
    record.line(format!("nodes that run: {running}"));
    record.line(format!(
        "requests with the key, sent later than 5 s after the acknowledgement, that ran: {}",
        late.len()
    ));
    match late.is_empty() {
        true => Verdict::Held,
        false => Verdict::Broken,
    }
}
