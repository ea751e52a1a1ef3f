//! The entry process on the users' platform, as a process: settings, readiness, stop.

use std::fs;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::thread::sleep;
use std::time::{Duration, Instant};

use yare::parameterized;

/// Time after the stop signal within which callers may still come.
const ROTATION: Duration = Duration::from_millis(2600);

/// A request that leaves its connection open.
const REQUEST: &[u8] = b"GET /a/ HTTP/1.1\r\nHost: h\r\nRequest-Id: r\r\n\r\n";

/// A running process; ended with the test.
struct Front {
    child: Child,
    front: SocketAddr,
    ready: SocketAddr,
}

impl Drop for Front {
    fn drop(&mut self) {
        // It may have ended already.
        self.child.kill().ok();
        self.child.wait().ok();
    }
}

/// A free port of an address; each test has an address of its own.
fn free(host: &str) -> SocketAddr {
    let listener = TcpListener::bind((host, 0)).expect("a free port");
    listener.local_addr().expect("its address")
}

fn settings(host: &str) -> (String, SocketAddr, SocketAddr) {
    let (front, ready, store, internal) = (free(host), free(host), free(host), free(host));
    let port = internal.port();
    let text = format!(
        "node=n1\nzone=a\nlisten.front={front}\nlisten.ready={ready}\n\
         internal_ports={port},{port}\nplatform.address={store}\nbounds.grace_s=8\n"
    );
    (text, front, ready)
}

fn command(name: &str, text: &str) -> Command {
    let file = std::env::temp_dir().join(format!("magnolia-{}-{name}.conf", std::process::id()));
    fs::write(&file, text).expect("a settings file");
    let mut command = Command::new(env!("CARGO_BIN_EXE_magnoliarun"));
    command.arg("front").env("MAGNOLIARUN_NODE_FILE", file);
    command
}

/// Starts a process whose store does not answer, and waits until it takes callers.
fn start(name: &str, host: &str) -> Front {
    let (text, front, ready) = settings(host);
    let child = command(name, &text).stdout(Stdio::null()).spawn().expect("the process starts");
    let started = Front { child, front, ready };
    let limit = Instant::now() + Duration::from_secs(10);
    while status(started.ready, "/ready").is_none() {
        assert!(Instant::now() < limit, "it listens");
        sleep(Duration::from_millis(20));
    }
    started
}

/// Status of the answer to a request on a new connection; `None` when nobody listens.
fn status(address: SocketAddr, path: &str) -> Option<u16> {
    let mut stream = TcpStream::connect(address).ok()?;
    let request =
        format!("GET {path} HTTP/1.1\r\nHost: h\r\nRequest-Id: r\r\nConnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).ok()?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).ok()?;
    answer.split(' ').nth(1)?.parse().ok()
}

fn terminate(front: &Front) {
    let pid = front.child.id().to_string();
    let sent = Command::new("kill").args(["-TERM", &pid]).status().expect("a signal is sent");
    assert!(sent.success());
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
    let (text, _, _) = settings("127.81.0.1");
    let text = text.replace(wrong.find, wrong.replace);
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
    terminate(&front);
    sleep(Duration::from_millis(500));
    assert_eq!(status(front.front, "/a/"), Some(503), "callers still come");
    assert_eq!(status(front.ready, "/ready"), Some(503));
    let mut held = TcpStream::connect(front.front).expect("a connection");
    held.set_read_timeout(Some(Duration::from_secs(2))).expect("a timeout");
    // An idle connection is closed at once, so that its caller moves on.
    match kept.read(&mut answer) {
        Ok(read) => assert_eq!(read, 0, "closed without an answer"),
        Err(error) => assert_eq!(error.kind(), ErrorKind::ConnectionReset),
    }
    sleep((ROTATION + Duration::from_millis(600)).saturating_sub(stopped.elapsed()));
    assert!(front.child.try_wait().expect("its state").is_none(), "a caller is still connected");
    assert_eq!(status(front.front, "/a/"), None, "nobody listens any more");
    held.write_all(REQUEST).expect("it is sent");
    let read = held.read(&mut answer).expect("an answer");
    let text = String::from_utf8_lossy(&answer[..read]).into_owned();
    assert!(text.starts_with("HTTP/1.1 503") && text.ends_with("stopping"), "{text}");
    drop(held);
    let ended = front.child.wait().expect("it ends");
    assert_eq!(ended.code(), Some(0));
    assert!(stopped.elapsed() < Duration::from_secs(8), "it ends before it is killed");
}
