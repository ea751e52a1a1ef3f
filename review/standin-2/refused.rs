//! Plain targets fail part of their bookings, which they have run, with a 503 of their own.

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
use crate::target::{Answer, Target};

const REQUESTS: usize = 60;
/// Time that a booking takes.
const WORK: Duration = Duration::from_millis(30);
/// Bookings at a time.
const AT_ONCE: usize = 12;

/// A target that runs each request, and fails two of five with a 503 that does not say `Not-Run`.
fn failing() -> Answer {
    let sound = desk();
    Arc::new(move |connection, request| {
        sleep(WORK);
        let id = request.field("request-id");
        let number = u32::from_str_radix(&id, 16).unwrap_or(0);
        if number % 5 > 1 {
            return sound(connection, request);
        }
        let fields = format!("Request-Id: {id}\r\nResponse-Stamp: s.{id}\r\n");
        connection.send(&response("503 Service Unavailable", &fields, "failed")).is_ok()
    })
}

pub fn run(record: &Record, has_trouble: bool) -> Verdict {
    let host = "127.91.10.1";
    let store = Store::start(host);
    store.put("op/config", &config(1, ""));
    let answer = if has_trouble { failing() } else { desk() };
    let desks: Vec<Target> = (0..3)
        .map(|n| {
            let answer = if n == 0 { answer.clone() } else { desk() };
            Target::start(host, &format!("d{n}"), DESK, &store, answer)
        })
        .collect();
    let node = Node::start("127.91.10.2", "a", store.address, "limits.memory_mb=260\n");
    if !node.await_ready(Duration::from_secs(20)) {
        record.line("the node is not ready");
        return Verdict::NotRun;
    }
    sleep(Duration::from_secs(4));
    let mut broken = 0;
    for first in (0..REQUESTS).step_by(AT_ONCE) {
        let front = node.front;
        let asked = (first..first + AT_ONCE).map(|number| {
            let id = format!("{number:08x}");
            spawn(move || (ask(front, &id), id))
        });
        let asked: Vec<_> = asked.collect();
        for (status, id) in asked.into_iter().filter_map(|asked| asked.join().ok()) {
            let ran = desks.iter().filter(|desk| !desk.requests(&id).is_empty());
            let ran: Vec<&str> = ran.map(|desk| desk.id.as_str()).collect();
            record.line(&format!("booking {id}: {status}, run at {ran:?}"));
            broken += usize::from(matches!(status, 408 | 421 | 429 | 503) && !ran.is_empty());
        }
    }
    record.line(&format!("{broken} bookings were answered as not run and had run"));
    if broken > 0 { Verdict::Broken } else { Verdict::Held }
}

/// Sends a booking. Returns the status.
fn ask(front: SocketAddr, id: &str) -> u16 {
    let Ok(mut connection) = Connection::open(front) else { return 0 };
    connection.stream.set_read_timeout(Some(Duration::from_secs(2))).expect("a limit");
    let deadline = Duration::from_millis(1_500);
    connection.send(&request("POST", "/book/2f", id, deadline, "", "{}")).ok();
    connection.read().ok().flatten().map_or(0, |answer| answer.status())
}
