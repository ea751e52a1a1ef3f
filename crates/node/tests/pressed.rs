//! Bytes without end, in as many messages at once as a VM has callers: the memory of the process stays
//! within that of the VM, and what is sound arrives whole.

mod entry;
mod flood;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::thread::spawn;
use std::time::Duration;

use flood::{DEADLINE, SOON, Site};
use platform_standin::{Call, Document, Fault, Reply, Route};
use yare::parameterized;

/// How much later the last of all answers may end.
const SLACK: Duration = Duration::from_millis(2500);
/// Callers at once of the users' smallest VM.
const CALLERS: usize = 300;
/// Memory of that VM, megabytes.
const MEMORY_MB: u64 = 260;

/// One case runs at a time: each has hundreds of callers.
static TURN: Mutex<()> = Mutex::new(());

/// Starts a site, once no other case runs.
fn start(number: u8) -> (Site, MutexGuard<'static, ()>) {
    let turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
    let memory = format!("limits.memory_mb={MEMORY_MB}\n");
    let hosts = format!("127.88.{number}");
    (Site::start(&format!("pressed-{number}"), &hosts, &memory), turn)
}

/// Sends a request of each of `callers` at once, each with a body of its own; returns their answers,
/// and how long all took.
fn press(site: &Site, route: Route, callers: usize, deadline: Duration) -> (Vec<Reply>, Duration) {
    site.press((0..callers).map(|number| {
        let body: &'static str = format!("body {number}").leak();
        Call { body, deadline, ..Call::new(route, &format!("r{number}")) }
    }))
}

/// Asserts that the process has never had more memory than its VM, and that it goes on.
fn assert_bounded(site: &mut Site) {
    let peak = site.memory_kb();
    eprintln!("peak {} MB", peak * 1024 / 1_000_000);
    assert!(peak * 1024 < MEMORY_MB * 1_000_000, "{peak} kB");
    for target in &site.plain {
        site.platform.set_fault(*target, Fault::None);
    }
    let serves = || site.ask(Route::Unsafe, "later").status == Some(200);
    assert!(site.platform.wait(SOON, serves), "plain requests go on");
    site.assert_goes_on();
}

struct Case {
    route: Route,
    trouble: Fault,
    /// Whether all targets have it, or one.
    all: bool,
}

const fn all(route: Route, trouble: Fault) -> Case {
    Case { route, trouble, all: true }
}

// Guards against a process that ends for want of memory, because each of many answers without an end
// is within the bound on one.
#[parameterized(
    answers_flood = { 1, all(Route::Safe, Fault::Floods) },
    booking_floods = { 2, all(Route::Unsafe, Fault::Floods) },
    one_floods = { 3, Case { all: false, ..all(Route::Safe, Fault::Floods) } },
    answers_drip = { 4, all(Route::Unsafe, Fault::Drips) },
    failures_flood = { 5, all(Route::Unsafe, Fault::FailsEndlessly) },
    refusals_flood = { 6, all(Route::Unsafe, Fault::RefusesEndlessly) },
    heads_flood = { 7, all(Route::Unsafe, Fault::EndlessHead) },
    streams_flood = { 8, all(Route::Resumable, Fault::Floods) },
    one_stream_floods = { 9, Case { all: false, ..all(Route::Resumable, Fault::Floods) } },
    streams_fail_endlessly = { 11, all(Route::Resumable, Fault::FailsEndlessly) },
    streams_refused_endlessly = { 12, all(Route::Resumable, Fault::RefusesEndlessly) },
)]
fn many_answers_without_end(number: u8, case: Case) {
    let (mut site, _turn) = start(number);
    let targets = site.targets(case.route);
    let troubled = if case.all { targets.len() } else { 1 };
    for target in &targets[..troubled] {
        site.platform.set_fault(*target, case.trouble);
    }
    let last = Site::last_event(case.route);
    let (replies, took) = press(&site, case.route, CALLERS, DEADLINE);
    assert!(took < DEADLINE + SLACK, "{took:?}");
    let whole = replies.iter().filter(|reply| reply.is_complete(last)).count();
    eprintln!("{whole} whole, {took:?}");
    assert!(!case.all || whole == 0, "{whole} answers without an end are whole");
    // A refusal says that the request has not run.
    let runs = site.platform.runs();
    for (number, _) in replies.iter().enumerate().filter(|(_, reply)| reply.status == Some(503)) {
        let id = format!("r{number}");
        let is_refused = runs.iter().all(|run| run.request != id);
        assert!(is_refused || case.route == Route::Safe, "{id} was refused and has run");
    }
    assert_bounded(&mut site);
}

/// Size of a large sound answer.
const LARGE: usize = 3 << 20;
/// Time within which they arrive, one after another where there is no room for all.
const LARGE_DEADLINE: Duration = Duration::from_secs(10);
/// Callers who get one each.
const LARGE_CALLERS: usize = 60;

// Guards against large sound answers that end because others have no end.
#[test]
fn large_answers_arrive_whole_beside_floods() {
    let (mut site, _turn) = start(20);
    site.platform.set_fault(site.plain[0], Fault::Sends(LARGE));
    site.platform.set_fault(site.plain[1], Fault::Floods);
    let (replies, took) = press(&site, Route::Safe, LARGE_CALLERS, LARGE_DEADLINE);
    let sizes = |reply: &Reply| reply.other_lines.iter().map(String::len).sum::<usize>();
    let whole = replies.iter().filter(|reply| reply.ended && sizes(reply) == LARGE).count();
    let statuses: Vec<_> = replies.iter().map(|reply| reply.status).collect();
    assert_eq!(whole, LARGE_CALLERS, "{took:?} {statuses:?}");
    assert_bounded(&mut site);
}

/// Body of a request, within what a caller may send.
const UPLOAD: usize = 3 << 20;

/// Sends most of a request with a body and waits. Returns the status of an answer that comes before
/// the rest is sent.
fn upload(front: SocketAddr, number: usize, is_chunked: bool) -> Option<u16> {
    let mut stream = TcpStream::connect(front).ok()?;
    stream.set_read_timeout(Some(DEADLINE)).ok()?;
    let framing = match is_chunked {
        true => format!("Transfer-Encoding: chunked\r\n\r\n{UPLOAD:x}\r\n"),
        false => format!("Content-Length: {UPLOAD}\r\n\r\n"),
    };
    let host = Document::HOST;
    let head = format!(
        "POST /book/x HTTP/1.1\r\nHost: {host}\r\nRequest-Id: u{number}\r\nDeadline-Ms: 1500\r\n"
    );
    stream.write_all(head.as_bytes()).ok()?;
    stream.write_all(framing.as_bytes()).ok()?;
    // The node may have refused it meanwhile.
    stream.write_all(&vec![b'x'; UPLOAD - 1]).ok();
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).ok();
    let text = String::from_utf8_lossy(&answer);
    text.split(' ').nth(1)?.parse().ok()
}

// Guards against bodies of requests that fill the memory.
#[parameterized(with_a_length = { 21, false }, in_chunks = { 22, true })]
fn many_large_requests(number: u8, is_chunked: bool) {
    let (mut site, _turn) = start(number);
    let front = site.node.front;
    let uploads: Vec<_> =
        (0..CALLERS).map(|number| spawn(move || upload(front, number, is_chunked))).collect();
    let statuses: Vec<Option<u16>> =
        uploads.into_iter().map(|upload| upload.join().expect("a caller ends")).collect();
    let is_told = |status: &&Option<u16>| matches!(status, None | Some(408 | 503));
    assert!(statuses.iter().all(|status| is_told(&status)), "{statuses:?}");
    assert!(site.platform.runs().iter().all(|run| !run.request.starts_with('u')));
    assert_bounded(&mut site);
}
