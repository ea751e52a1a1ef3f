//! A machine that is partitioned from all targets forwards bookings to others, while a target fails
//! part of its bookings, which it has run, with a 503 of its own.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::{sleep, spawn};
use std::time::Duration;

use crate::Verdict;
use crate::http::{Connection, response};
use crate::node::Node;
use crate::record::Record;
use crate::site::{DESK, config, desk, request};
use crate::store::Store;
use crate::target::{Answer, Path, Target};

const REQUESTS: usize = 120;
/// Time that a booking takes.
const WORK: Duration = Duration::from_millis(30);
/// Bookings at a time.
const AT_ONCE: usize = 6;

/// A target that runs each request, and fails two of five with a 503 that does not say `Not-Run`.
fn failing() -> Answer {
    let sound = working();
    Arc::new(move |connection, request| {
        let id = request.field("request-id");
        let number = u32::from_str_radix(&id, 16).unwrap_or(0);
        if number % 5 > 1 {
            return sound(connection, request);
        }
        sleep(WORK);
        let fields = format!("Request-Id: {id}\r\n");
        connection.send(&response("503 Service Unavailable", &fields, "failed")).is_ok()
    })
}

fn working() -> Answer {
    let sound = desk();
    Arc::new(move |connection, request| {
        sleep(WORK);
        sound(connection, request)
    })
}

pub fn run(record: &Record, has_trouble: bool) -> Verdict {
    let host = "127.91.7.1";
    let store = Store::start(host);
    store.put("op/config", &config(1, ""));
    let desks: Vec<Target> = (0..3)
        .map(|n| {
            let answer = if n == 0 && has_trouble { failing() } else { working() };
            Target::start(host, &format!("d{n}"), DESK, &store, answer)
        })
        .collect();
    let paths: Vec<Path> = desks.iter().map(|desk| desk.path("127.91.7.9")).collect();
    let view = desks.iter().zip(&paths);
    let view = view.map(|(desk, path)| (desk.address.to_string(), path.address.to_string()));
    let own = store.with_view(host, view.collect());
    let settings = "limits.memory_mb=260\n";
    let nodes = [
        Node::start("127.91.7.2", "a", own.address, settings),
        Node::start("127.91.7.3", "a", store.address, settings),
        Node::start("127.91.7.4", "a", store.address, settings),
    ];
    if !nodes.iter().all(|node| node.await_ready(Duration::from_secs(20))) {
        record.line("the nodes are not ready");
        return Verdict::NotRun;
    }
    sleep(Duration::from_secs(5));
    if has_trouble {
        record.line("node 0 is partitioned from all targets");
        paths.iter().for_each(Path::cut);
    }
    sleep(Duration::from_millis(500));
    let mut twice = 0;
    for first in (0..REQUESTS).step_by(AT_ONCE) {
        let front = nodes[0].front;
        let asked = (first..first + AT_ONCE).map(|number| {
            let id = format!("{number:08x}");
            spawn(move || (ask(front, &id), id))
        });
        let asked: Vec<_> = asked.collect();
        for (status, id) in asked.into_iter().filter_map(|asked| asked.join().ok()) {
            let runs =
                desks.iter().flat_map(|desk| desk.requests(&id).into_iter().map(|_| &desk.id));
            let runs: Vec<&String> = runs.collect();
            record.line(&format!("booking {id}: {status}, run at {runs:?}"));
            twice += usize::from(runs.len() > 1);
        }
    }
    record.line(&format!("{twice} bookings have run more than once"));
    if twice > 0 { Verdict::Broken } else { Verdict::Held }
}

/// Sends a booking. Returns the status.
fn ask(front: SocketAddr, id: &str) -> u16 {
    let Ok(mut connection) = Connection::open(front) else { return 0 };
    connection.stream.set_read_timeout(Some(Duration::from_secs(2))).expect("a limit");
    let deadline = Duration::from_millis(1_500);
    connection.send(&request("POST", "/book/2f", id, deadline, "", "{}")).ok();
    connection.read().ok().flatten().map_or(0, |answer| answer.status())
}
