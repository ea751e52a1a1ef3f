//! Connections that callers keep: no request on one gets neither an answer nor a refusal.

mod entry;
mod site;

use std::thread::sleep;
use std::time::{Duration, Instant};

use platform_standin::{Answer, Call, Connection, Document, Limits, Route};
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
