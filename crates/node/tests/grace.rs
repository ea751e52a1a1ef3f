//! Requests that are still in progress at the end of a planned stop.

mod entry;
mod site;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::thread::sleep;
use std::time::{Duration, Instant};

use platform_standin::{Call, Document, Route, spawn_call};
use site::Site;
use yare::parameterized;

/// Time after the stop signal within which requests are still taken.
const ROTATION: Duration = Duration::from_millis(2600);
/// Time between the stop signal and the kill signal.
const GRACE: Duration = Duration::from_secs(8);
/// Longest wait for an answer that needs no target.
const REFUSAL_TIME: Duration = Duration::from_millis(500);
/// Time that callers grant a request: longer than the grace.
const DEADLINE: Duration = Duration::from_secs(20);

/// Sends the head of a request and half of its body.
fn begin(site: &Site, route: Route) -> TcpStream {
    let mut stream = TcpStream::connect(site.nodes[0].front).expect("a connection");
    stream.set_read_timeout(Some(GRACE)).expect("a timeout");
    let (path, host) = (route.prefix(), Document::HOST);
    let head = format!(
        "POST {path}x HTTP/1.1\r\nHost: {host}\r\nRequest-Id: slow\r\nToken-Count: 100,40\r\n\
         Deadline-Ms: 20000\r\nContent-Length: 4\r\n\r\nbo"
    );
    stream.write_all(head.as_bytes()).expect("it is sent");
    stream
}

// Guards against a request that is passed on late in the grace, because its body came late, and is
// cut at the end (LOST).
#[parameterized(
    at_most_once = { 220, Route::Unsafe },
    idempotent = { 221, Route::Safe },
    stream = { 222, Route::Stream },
)]
fn request_whose_body_comes_late_in_the_grace_is_refused(number: u8, route: Route) {
    let site = Site::start(number, 1, &Document::default());
    let mut stream = begin(&site, route);
    site.nodes[0].signal("TERM");
    sleep(ROTATION + REFUSAL_TIME);
    let at = Instant::now();
    stream.write_all(b"dy").expect("it is sent");
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).expect("an answer");
    let text = String::from_utf8_lossy(&answer);
    assert!(text.starts_with("HTTP/1.1 503") && text.contains("retry-after"), "{text}");
    assert!(at.elapsed() < REFUSAL_TIME, "{:?}", at.elapsed());
    assert!(site.runs("slow").is_empty(), "it has not run");
}

// Guards against a request that has run, or may run, and whose connection is closed without an
// answer at the end of the grace (LOST).
#[parameterized(
    at_most_once = { 223, Route::Unsafe },
    idempotent = { 224, Route::Safe },
    stream = { 225, Route::Stream },
    resumable = { 226, Route::Resumable },
)]
fn request_in_progress_at_the_end_of_the_grace_is_answered(number: u8, route: Route) {
    let mut site = Site::start(number, 1, &Document::default());
    for &target in site.plain.iter().chain(&site.engines) {
        site.platform.set_silent(target, true);
    }
    let at = Instant::now();
    let call = Call { deadline: DEADLINE, ..Call::new(route, "r") };
    let caller = spawn_call(site.nodes[0].front, call);
    sleep(REFUSAL_TIME);
    site.nodes[0].signal("TERM");
    let reply = caller.join().expect("a caller ends");
    // The targets may still run it.
    assert!(matches!(reply.status, Some(502 | 504)), "{reply:?}");
    assert!(at.elapsed() < GRACE + REFUSAL_TIME, "before the process is killed");
    assert_eq!(site.nodes[0].child.wait().expect("it ends").code(), Some(0));
}

// Guards against a request whose body does not come by the end of the grace, and whose connection is
// closed without an answer although it has not run (LOST).
#[test]
fn request_whose_body_does_not_come_by_the_end_of_the_grace_is_refused() {
    let mut site = Site::start(227, 1, &Document::default());
    let mut stream = begin(&site, Route::Unsafe);
    let at = Instant::now();
    site.nodes[0].signal("TERM");
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).expect("an answer");
    let text = String::from_utf8_lossy(&answer);
    assert!(text.starts_with("HTTP/1.1 503") && text.contains("connection: close"), "{text}");
    assert!(at.elapsed() < GRACE + REFUSAL_TIME, "before the process is killed");
    assert_eq!(site.nodes[0].child.wait().expect("it ends").code(), Some(0));
}
