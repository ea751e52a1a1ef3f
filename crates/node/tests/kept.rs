//! Connections that callers keep: no request on one gets neither an answer nor a refusal.

mod entry;
mod site;

use std::thread::sleep;
use std::time::{Duration, Instant};

use platform_standin::{Answer, Call, Connection, Document, Fault, Limits, Route};
use site::Site;
use yare::parameterized;

/// Time within which a configuration is in force.
const CONFIG_TIME: Duration = Duration::from_secs(2);
/// Time for which a node keeps a connection longer than it announces, and as long again.
const CLOSE_TIME: Duration = Duration::from_secs(2);
/// Longest wait for an answer that needs no target.
const REFUSAL_TIME: Duration = Duration::from_millis(500);

fn document(version: u64, limits: Limits) -> Document {
    Document { version, limits, ..Document::default() }
}

fn idle_limits(idle_timeout: Duration) -> Limits {
    Limits { idle_timeout, ..Limits::default() }
}

fn connect(site: &Site) -> Connection {
    Connection::open(site.nodes[0].front).expect("a connection")
}

/// Sends a request that must be served.
fn serve(connection: &mut Connection, route: Route, id: &str) -> Answer {
    let answer = connection.exchange(&Call::new(route, id)).expect("a whole answer");
    assert_eq!(answer.status, 200, "{answer:?}");
    answer
}

// Guards against a request that ends without being counted, by whatever way.
#[test]
fn each_request_that_is_received_is_counted_at_its_end() {
    let site = Site::start(228, 1, &Document::default());
    let ended = |end: &str| format!(r#"magnolia_requests_ended{{end="{end}"}}"#);
    let before = ["answered", "refused", "left", "cut"].map(|end| site.counter(0, &ended(end)));
    let mut connection = connect(&site);
    for route in Route::ALL {
        serve(&mut connection, route, "served");
    }
    let head = Connection::head(&Call::new(Route::Safe, "early"), "Content-Length: 0\r\n");
    let head = head.replacen("POST /read/", NO_ROUTE, 1);
    connection.send(head.as_bytes()).expect("it is sent");
    assert_eq!(connection.read_answer().expect("an answer").status, 404);
    // Callers that leave before the head, in the middle and before the body of their requests.
    for &target in site.plain.iter().chain(&site.engines) {
        site.platform.set_silent(target, true);
    }
    for route in [Route::Safe, Route::Resumable] {
        connect(&site).send_call(&Call::new(route, "left")).expect("it is sent");
    }
    let half = Connection::head(&Call::new(Route::Unsafe, "half"), "Content-Length: 9\r\n");
    connect(&site).send(half.as_bytes()).expect("it is sent");
    let expected = [before[0] + 4, before[1] + 1, before[2] + 3, before[3]];
    let counts = || ["answered", "refused", "left", "cut"].map(|end| site.counter(0, &ended(end)));
    assert!(site.platform.wait(CONFIG_TIME, || counts() == expected), "{before:?} {:?}", counts());
    let received = site.counter(0, "magnolia_requests_received");
    assert_eq!(received, expected.iter().sum::<u64>());
}

// Guards against a caller that uses a kept connection at the moment at which the node closes it as
// idle, because it does not know for how long it may be used (LOST).
#[parameterized(
    long = { 230, Duration::from_secs(15), 4 },
    short = { 231, Duration::from_millis(2500), 2 },
    below_a_second = { 232, Duration::from_millis(300), 1 },
)]
fn answers_announce_for_how_long_a_connection_may_be_used(
    number: u8,
    idle_timeout: Duration,
    announced_s: u64,
) {
    let site = Site::start(number, 1, &document(1, idle_limits(idle_timeout)));
    let mut connection = connect(&site);
    for (index, route) in Route::ALL.into_iter().enumerate() {
        let answer = serve(&mut connection, route, &format!("r{index}"));
        let announced = answer.keep_alive().expect("the time is announced");
        assert_eq!(announced, Duration::from_secs(announced_s));
        // A request that is sent at the end of the time may arrive later.
        sleep(announced + REFUSAL_TIME);
    }
    assert_eq!(site.runs("r").len(), Route::ALL.len());
}

// Guards against a longer idle timeout that takes force on new connections only, so that callers
// that go by it lose requests on open ones (LOST).
#[test]
fn longer_idle_timeout_takes_force_on_open_connections() {
    let site = Site::start(233, 1, &document(1, idle_limits(Duration::from_secs(1))));
    let mut connection = connect(&site);
    site.platform.configure(&document(2, idle_limits(Duration::from_secs(20))));
    sleep(CONFIG_TIME / 2);
    serve(&mut connection, Route::Safe, "before");
    sleep(CONFIG_TIME + CLOSE_TIME + REFUSAL_TIME);
    serve(&mut connection, Route::Safe, "after");
}

// Guards against a shorter idle timeout that takes no force on open connections, and against one
// that closes a connection that its caller may still use by the older one.
#[test]
fn shorter_idle_timeout_takes_force_on_open_connections() {
    let site = Site::start(234, 1, &document(1, idle_limits(Duration::from_secs(5))));
    let mut connection = connect(&site);
    serve(&mut connection, Route::Safe, "before");
    site.platform.configure(&document(2, idle_limits(Duration::from_secs(1))));
    sleep(Duration::from_secs(4));
    serve(&mut connection, Route::Safe, "within the older one");
    let at = Instant::now();
    assert_eq!(connection.read_to_end().expect("a regular end"), b"");
    assert!(at.elapsed() < CLOSE_TIME + REFUSAL_TIME, "{:?}", at.elapsed());
}

// Guards against a head that never ends holding a connection, because only the idle timeout bounds
// it, and against ending it without a word.
#[test]
fn head_that_does_not_end_in_time_is_refused() {
    let head_timeout = Duration::from_millis(700);
    let limits = Limits { head_timeout, ..Limits::default() };
    let site = Site::start(235, 1, &document(1, limits));
    let mut connection = connect(&site);
    serve(&mut connection, Route::Safe, "r");
    let at = Instant::now();
    let head = Connection::head(&Call::new(Route::Safe, "slow"), "");
    for byte in head.as_bytes().chunks(1) {
        // The node closes the connection meanwhile.
        if at.elapsed() > head_timeout + REFUSAL_TIME || connection.send(byte).is_err() {
            break;
        }
        sleep(Duration::from_millis(40));
    }
    let answer = connection.read_answer().expect("an answer");
    assert!(answer.status == 408 && answer.is_last(), "{answer:?}");
    assert!(site.runs("slow").is_empty());
}

// Guards against a limit on the size of heads that takes no force on open connections.
#[parameterized(
    smaller = { 236, 16 << 10, 2 << 10, 431 },
    larger = { 237, 2 << 10, 16 << 10, 200 },
)]
fn size_of_heads_is_limited_on_open_connections(
    number: u8,
    before: usize,
    after: usize,
    status: u16,
) {
    let limits = |head_bytes| Limits { head_bytes, ..Limits::default() };
    let site = Site::start(number, 1, &document(1, limits(before)));
    let mut connection = connect(&site);
    serve(&mut connection, Route::Safe, "r");
    site.platform.configure(&document(2, limits(after)));
    sleep(CONFIG_TIME);
    let field = format!("X-Field: {}\r\nContent-Length: 0\r\n", "x".repeat(4 << 10));
    let head = Connection::head(&Call::new(Route::Safe, "large"), &field);
    connection.send(head.as_bytes()).expect("it is sent");
    let answer = connection.read_answer().expect("an answer");
    assert_eq!(answer.status, status, "{answer:?}");
}

// Guards against a signal to reread the settings that ends connections.
#[test]
fn signal_to_reread_settings_ends_no_connection() {
    let site = Site::start(238, 1, &Document::default());
    let mut connection = connect(&site);
    for index in 0..20 {
        site.nodes[0].signal("HUP");
        serve(&mut connection, Route::ALL[index % 4], &format!("r{index}"));
    }
}

/// Time between the head of a request and its body.
const BODY_DELAY: Duration = Duration::from_millis(150);
/// A key that nobody holds.
const UNKNOWN_KEY: &str = "unknown";
const KEY: &str = "k";
/// Path without a route, in the place of that of a route.
const NO_ROUTE: &str = "POST /none/";

/// How the body of a request is sent.
#[derive(Clone, Copy)]
enum Framing {
    Length,
    Chunks,
}

impl Framing {
    fn field(self, bytes: usize) -> String {
        match self {
            Framing::Length => format!("Content-Length: {bytes}\r\n"),
            Framing::Chunks => "Transfer-Encoding: chunked\r\n".to_owned(),
        }
    }

    /// Sends a body in several pieces. Returns whether all of it could be sent.
    fn send(self, connection: &mut Connection, bytes: usize) -> bool {
        let body = vec![b'x'; bytes];
        let mut sent = body.chunks(bytes.div_ceil(3)).all(|piece| {
            let head = match self {
                Framing::Length => String::new(),
                Framing::Chunks => format!("{:x}\r\n", piece.len()),
            };
            let end = if matches!(self, Framing::Chunks) { "\r\n" } else { "" };
            connection.send(&[head.as_bytes(), piece, end.as_bytes()].concat()).is_ok()
        });
        if matches!(self, Framing::Chunks) {
            sent &= connection.send(b"0\r\n\r\n").is_ok();
        }
        sent
    }
}

// Guards against a connection that is closed after an answer that was given before the body of its
// request, without a word, so that the next request on it gets no answer (LOST).
#[parameterized(
    unknown_key_small = { 240, 401, Framing::Length, 4 },
    unknown_key_large = { 241, 401, Framing::Length, 300_000 },
    unknown_key_chunks = { 242, 401, Framing::Chunks, 9_000 },
    no_route_small = { 243, 404, Framing::Length, 4 },
    no_route_chunks = { 244, 404, Framing::Chunks, 300_000 },
)]
fn connection_is_kept_after_an_answer_before_the_body(
    number: u8,
    status: u16,
    framing: Framing,
    bytes: usize,
) {
    let document = Document { keys: vec![KEY], ..Document::default() };
    let site = Site::start(number, 1, &document);
    for is_answered_first in [true, false] {
        let mut connection = connect(&site);
        let key = if status == 401 { UNKNOWN_KEY } else { KEY };
        let call = Call { key: Some(key), ..Call::new(Route::Safe, "early") };
        let mut head = Connection::head(&call, &framing.field(bytes));
        if status == 404 {
            head = head.replacen("POST /read/", NO_ROUTE, 1);
        }
        connection.send(head.as_bytes()).expect("it is sent");
        let mut answer = None;
        if is_answered_first {
            answer = Some(connection.read_answer().expect("an answer"));
        }
        sleep(BODY_DELAY);
        assert!(framing.send(&mut connection, bytes), "the body is sent");
        let answer = answer.unwrap_or_else(|| connection.read_answer().expect("an answer"));
        assert_eq!((answer.status, answer.is_last()), (status, false), "{answer:?}");
        let next = Call { key: Some(KEY), ..Call::new(Route::Safe, "next") };
        let answer = connection.exchange(&next).expect("an answer to the next request");
        assert_eq!(answer.status, 200, "{answer:?}");
    }
}

// Guards against a connection that counts as waiting for the rest of a request of which all has
// arrived, so that it is closed earlier than announced.
#[parameterized(
    length = { 226, Framing::Length },
    chunks = { 227, Framing::Chunks },
)]
fn connection_is_idle_after_the_body_of_an_answered_request(number: u8, framing: Framing) {
    let idle_timeout = Duration::from_millis(300);
    let site = Site::start(number, 1, &document(1, idle_limits(idle_timeout)));
    let mut connection = connect(&site);
    let head = Connection::head(&Call::new(Route::Safe, "early"), &framing.field(9));
    connection.send(head.replacen("POST /read/", NO_ROUTE, 1).as_bytes()).expect("it is sent");
    assert_eq!(connection.read_answer().expect("an answer").status, 404);
    assert!(framing.send(&mut connection, 9), "the body is sent");
    sleep(idle_timeout + REFUSAL_TIME);
    serve(&mut connection, Route::Safe, "next");
    let cause = "magnolia_connections_ended{cause=\"idle\"}";
    assert!(site.platform.wait(CLOSE_TIME * 2, || site.counter(0, cause) > 0), "it ends as idle");
}

/// Size of an answer that does not fit into the buffers of a connection, bytes.
const LARGE_ANSWER_BYTES: usize = 4 << 20;

// Guards against a large answer that is cut because its caller reads slowly, as if the connection
// were idle: in a planned stop, and with a short idle timeout.
#[parameterized(
    idle = { 220, false },
    stop = { 221, true },
)]
fn answer_that_is_read_slowly_is_not_cut(number: u8, is_stopped: bool) {
    let idle_timeout = Duration::from_secs(1);
    let site = Site::start(number, 1, &document(1, idle_limits(idle_timeout)));
    site.set_fault(&site.plain, Fault::Sends(LARGE_ANSWER_BYTES));
    let mut connection = connect(&site);
    connection.send_call(&Call::new(Route::Safe, "r")).expect("it is sent");
    sleep(REFUSAL_TIME);
    if is_stopped {
        site.nodes[0].signal("TERM");
    }
    // Longer than the idle timeout, and than the time that is announced and waited for after it.
    sleep(idle_timeout + CLOSE_TIME);
    let answer = connection.read_answer().expect("a whole answer");
    assert_eq!((answer.status, answer.body.len()), (200, LARGE_ANSWER_BYTES));
}

// Guards against an answer to a request that is too large, or comes too slowly, that does not say
// that it is the last one, or is lost because the rest of the request is not read.
#[parameterized(
    too_large = { 245, 413, Framing::Length, 40_000 },
    too_large_in_chunks = { 246, 413, Framing::Chunks, 40_000 },
)]
fn answer_to_a_request_that_is_not_read_is_the_last_one(
    number: u8,
    status: u16,
    framing: Framing,
    bytes: usize,
) {
    let limits = Limits { body_bytes: 10_000, ..Limits::default() };
    let site = Site::start(number, 1, &document(1, limits));
    let mut connection = connect(&site);
    let head = Connection::head(&Call::new(Route::Safe, "large"), &framing.field(bytes));
    connection.send(head.as_bytes()).expect("it is sent");
    sleep(BODY_DELAY);
    framing.send(&mut connection, bytes);
    sleep(BODY_DELAY);
    let answer = connection.read_answer().expect("an answer");
    assert_eq!((answer.status, answer.is_last()), (status, true), "{answer:?}");
    assert!(site.runs("large").is_empty());
}

/// Time after the stop signal within which the platform still sends callers.
const ROTATION: Duration = Duration::from_millis(2600);
/// Time after the stop signal within which a process without requests in progress ends: the time
/// that was announced, and as long as a request may be on its way.
const STOP_TIME: Duration = Duration::from_millis(5500);

/// What a connection has carried before the stop signal.
#[derive(Clone, Copy)]
enum Before {
    Nothing,
    /// Nothing, for longer than answers announce.
    Pause,
    Request,
    PartOfHead,
}

struct Stop {
    before: Before,
    /// Time from the stop signal to the request.
    delay: Duration,
    status: u16,
}

// Guards against a request that crosses the beginning of a planned stop, or the end of the time in
// which callers still come, and whose connection is closed without an answer (LOST).
#[parameterized(
    first_at_once = { 250, Stop { before: Before::Nothing, delay: Duration::ZERO, status: 200 } },
    first = { 251, Stop { before: Before::Nothing, delay: REFUSAL_TIME, status: 200 } },
    next_at_once = { 252, Stop { before: Before::Request, delay: Duration::ZERO, status: 200 } },
    next = { 253, Stop { before: Before::Request, delay: REFUSAL_TIME, status: 200 } },
    first_long_after_the_connection = { 225, Stop {
        before: Before::Pause,
        delay: REFUSAL_TIME,
        status: 200,
    } },
    rest_of_head = { 254, Stop { before: Before::PartOfHead, delay: REFUSAL_TIME, status: 200 } },
    after_rotation = { 229, Stop {
        before: Before::Request,
        delay: ROTATION.saturating_add(REFUSAL_TIME),
        status: 503,
    } },
)]
fn request_that_crosses_a_planned_stop_is_answered(number: u8, stop: Stop) {
    let mut site = Site::start(number, 1, &Document::default());
    let mut connection = connect(&site);
    let request = Connection::head(&Call::new(Route::Unsafe, "r"), "Content-Length: 0\r\n");
    let mut sent = 0;
    match stop.before {
        Before::Nothing => sleep(BODY_DELAY),
        Before::Pause => sleep(STOP_TIME),
        Before::Request => drop(serve(&mut connection, Route::Safe, "before")),
        Before::PartOfHead => {
            sent = request.len() / 2;
            connection.send(&request.as_bytes()[..sent]).expect("it is sent");
            sleep(BODY_DELAY);
        }
    }
    let mut idle = connect(&site);
    serve(&mut idle, Route::Safe, "idle");
    let at = Instant::now();
    site.nodes[0].signal("TERM");
    sleep(stop.delay);
    connection.send(&request.as_bytes()[sent..]).expect("it is sent");
    let answer = connection.read_answer().expect("an answer");
    assert_eq!((answer.status, answer.is_last()), (stop.status, true), "{answer:?}");
    assert_eq!(connection.read_to_end().expect("a regular end"), b"");
    // The caller of the other connection uses it no more.
    assert_eq!(idle.read_to_end().expect("a regular end"), b"");
    assert_eq!(site.nodes[0].child.wait().expect("it ends").code(), Some(0));
    assert!(at.elapsed() < STOP_TIME, "{:?}", at.elapsed());
}
