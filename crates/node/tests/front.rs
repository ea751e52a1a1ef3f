//! The entry process on the users' platform, as a process: settings, readiness, stop.

mod entry;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread::sleep;
use std::time::{Duration, Instant};

use entry::{Entry, command, status};
use platform_standin::{Settings, free_address};
use yare::parameterized;

/// Time after the stop signal within which callers may still come.
const ROTATION: Duration = Duration::from_millis(2600);

/// A request that leaves its connection open.
const REQUEST: &[u8] = b"GET /a/ HTTP/1.1\r\nHost: h\r\nRequest-Id: r\r\n\r\n";

/// Settings for a store that does not answer; each test has a host of its own.
fn settings(host: &str) -> Settings {
    Settings::new("n1", "a", host, free_address(host))
}

fn start(name: &str, host: &str) -> Entry {
    Entry::start(name, &settings(host))
}

struct Wrong {
    find: &'static str,
    replace: &'static str,
    message: &'static str,
}

#[parameterized(
    missing = { Wrong { find: "zone=a\n", replace: "", message: "`zone` is missing" } },
    value = {
        Wrong { find: "grace_s=8", replace: "grace_s=x", message: "`bounds.grace_s` cannot be \"x\"" }
    },
)]
fn wrong_settings_end_the_process_with_one_line(wrong: Wrong) {
    let text = settings("127.81.0.1").text.replace(wrong.find, wrong.replace);
    let output = command(wrong.message, &text).arg("--check").output().expect("it runs");
    assert_eq!(output.status.code(), Some(2));
    let error = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(error.contains(wrong.message), "{error}");
    assert_eq!(error.lines().count(), 1, "{error}");
}

#[test]
fn without_a_configuration_it_is_not_ready_and_says_when_to_come_back() {
    let front = start("ready", "127.81.0.2");
    assert_eq!(status(front.ready, "/ready"), Some(503));
    assert_eq!(status(front.front, "/a/"), Some(503));
    assert_eq!(status(SocketAddr::new(front.front.ip(), 9464), "/metrics"), Some(200));
}

/// Found in the bench (Floorline scale-1): a stopping node took requests until its end and cut
/// them.
#[test]
fn stopping_process_takes_callers_until_rotation_and_none_after() {
    let mut front = start("stop", "127.81.0.3");
    let mut kept = TcpStream::connect(front.front).expect("a connection");
    kept.set_read_timeout(Some(Duration::from_secs(2))).expect("a timeout");
    kept.write_all(REQUEST).expect("it is sent");
    let mut answer = [0; 4096];
    let read = kept.read(&mut answer).expect("an answer");
    assert!(answer[..read].starts_with(b"HTTP/1.1 503"));
    let stopped = Instant::now();
    front.signal("TERM");
    sleep(Duration::from_millis(500));
    assert_eq!(status(front.front, "/a/"), Some(503), "callers still come");
    assert_eq!(status(front.ready, "/ready"), Some(503));
    let mut held = TcpStream::connect(front.front).expect("a connection");
    held.set_read_timeout(Some(Duration::from_secs(2))).expect("a timeout");
    // A request on an idle connection may be on its way, and is answered; it is the last one.
    kept.write_all(REQUEST).expect("it is sent");
    let read = kept.read(&mut answer).expect("an answer");
    let text = String::from_utf8_lossy(&answer[..read]).into_owned();
    assert!(text.starts_with("HTTP/1.1 503") && text.contains("connection: close"), "{text}");
    assert_eq!(kept.read(&mut answer).expect("a regular end"), 0);
    sleep((ROTATION + Duration::from_millis(600)).saturating_sub(stopped.elapsed()));
    assert!(front.child.try_wait().expect("its state").is_none(), "a caller is still connected");
    assert_eq!(status(front.front, "/a/"), None, "nobody listens any more");
    held.write_all(REQUEST).expect("it is sent");
    let read = held.read(&mut answer).expect("an answer");
    let text = String::from_utf8_lossy(&answer[..read]).into_owned();
    assert!(text.starts_with("HTTP/1.1 503") && text.ends_with("stopping"), "{text}");
    // Another node serves at once.
    let after = text.split("retry-after: ").nth(1).and_then(|rest| rest.split("\r\n").next());
    let after: f64 = after.expect("a time to come back").parse().expect("seconds");
    assert!(after <= 0.1, "{after}");
    drop(held);
    let ended = front.child.wait().expect("it ends");
    assert_eq!(ended.code(), Some(0));
    assert!(stopped.elapsed() < Duration::from_secs(8), "it ends before it is killed");
}
