//! Tests which calls still reach targets that announce that they leave, or that ask for a pause.

mod entry;

use std::net::SocketAddr;
use std::thread::sleep;
use std::time::{Duration, Instant};

use entry::Entry;
use platform_standin::{
    Arrival, Call, Document, Failure, Fault, MODEL, PLAIN, Platform, Route, Settings, Setup,
    send_call,
};
use yare::parameterized;

/// Events of each stream; they take 10 ms each.
const EVENTS: u64 = 10;
/// Longest wait for an expected state.
const STATE_TIMEOUT: Duration = Duration::from_secs(15);
/// Maximum number of calls that reach a target during its pause: each of two nodes is refused
/// once while another call is in transit.
const MAX_CALLS_IN_PAUSE: usize = 4;
/// Time during which `send_requests` sends requests.
const SEND_PERIOD: Duration = Duration::from_millis(2500);

struct Site {
    platform: Platform,
    nodes: Vec<Entry>,
    engines: Vec<SocketAddr>,
    plain: Vec<SocketAddr>,
}

impl Site {
    fn start(number: u8) -> Self {
        let host = format!("127.85.{number}.1");
        let platform = Platform::start(&host);
        platform.configure(&Document::default());
        let target = |id: &'static str, service, domain| {
            platform.start_target(&host, Setup { id: id.into(), service, domain, events: EVENTS })
        };
        let engines = [("a1", "a"), ("a2", "a"), ("b1", "b"), ("b2", "b")];
        let engines = engines.map(|(id, domain)| target(id, MODEL, domain)).into();
        let plain = ["p1", "p2"].map(|id| target(id, PLAIN, "a")).into();
        let node = |index: u8| {
            let host = format!("127.85.{number}.{}", 10 + index);
            let settings = Settings::new(&format!("n{index}"), "a", &host, platform.store());
            Entry::start(&format!("notices-{number}-{index}"), &settings)
        };
        let nodes = (0..2).map(node).collect();
        let site = Self { platform, nodes, engines, plain };
        for node in 0..2 {
            let serves = || site.ask(node, Route::Resumable, "probe") == Some(200);
            assert!(site.platform.wait(STATE_TIMEOUT, serves), "node {node} serves");
        }
        // Waits until all engines hold their layers and nodes may retry.
        sleep(Settings::STARTUP_WITHOUT_RETRIES);
        site
    }

    fn ask(&self, node: usize, route: Route, id: &str) -> Option<u16> {
        send_call(self.nodes[node].front, &Call::new(route, id)).status
    }

    fn targets(&self, route: Route) -> &[SocketAddr] {
        match route {
            Route::Resumable | Route::Stream => &self.engines,
            Route::Safe | Route::Unsafe => &self.plain,
        }
    }

    /// Sends requests to both nodes in turn; returns how many were served.
    fn send_requests(&self, route: Route) -> usize {
        let until = Instant::now() + SEND_PERIOD;
        let mut served = 0;
        for turn in 0.. {
            if Instant::now() > until {
                break;
            }
            let status = self.ask(turn % 2, route, &format!("r{turn}"));
            served += usize::from(status == Some(200));
            sleep(Duration::from_millis(5));
        }
        served
    }

    /// Returns the calls since `from` that reached a target directly or as a later stage.
    fn arrivals(&self, target: SocketAddr, from: Instant) -> Vec<Arrival> {
        let reached = |one: &Arrival| one.target == target || one.engines.contains(&target);
        let arrivals = self.platform.arrivals().into_iter();
        arrivals.filter(|one| one.at >= from && reached(one)).collect()
    }
}

/// Returns whether a call carries a request of a caller.
fn is_request(arrival: &Arrival) -> bool {
    !matches!(arrival.path.as_str(), "/report" | "/order" | "/health")
}

// Guards against requests to a target that has announced in an answer that it leaves (DRAIN).
#[parameterized(
    streams = { 1, Route::Resumable },
    idempotent = { 2, Route::Safe },
    at_most_once = { 3, Route::Unsafe },
)]
fn leaving_target_gets_no_new_requests(number: u8, route: Route) {
    let site = Site::start(number);
    let target = site.targets(route)[0];
    site.platform.set_fault(target, Fault::Leaves);
    site.send_requests(route);
    // Nodes that sent requests to the target have learned by now that it leaves.
    let from = Instant::now();
    assert!(site.send_requests(route) > 0, "the other targets serve");
    let late = site.arrivals(target, from);
    let orders = late.iter().filter(|one| one.path == "/order").count();
    assert_eq!(orders, 0, "no layers are placed on the leaving target");
    assert_eq!(late.iter().filter(|one| is_request(one)).count(), 0, "{late:?}");
}

/// A target that asks for a pause.
struct Pausing {
    route: Route,
    fault: Fault,
    /// Whether all targets of the service ask for a pause.
    all: bool,
    /// The pause that the nodes derive from `Retry-After`.
    pause: Duration,
}

const LONG: Duration = Duration::from_secs(30);
/// Asks for the pause without a statement that the request has not run.
const UNPROVEN: Fault = Fault::FailsWith(Failure { retry_after: Some("30"), ..Failure::new(503) });

// Guards against calls to a target during the pause that it asked for (BUDGET).
#[parameterized(
    stream = { 10, Pausing { route: Route::Resumable, fault: Fault::BacksOff("30"), all: false, pause: LONG } },
    idempotent = { 11, Pausing { route: Route::Safe, fault: Fault::BacksOff("30"), all: false, pause: LONG } },
    at_most_once = { 12, Pausing { route: Route::Unsafe, fault: Fault::BacksOff("30.5"), all: false, pause: LONG } },
    reports_too = { 13, Pausing { route: Route::Resumable, fault: Fault::BacksOffAll("30"), all: false, pause: LONG } },
    all_engines = { 14, Pausing { route: Route::Resumable, fault: Fault::BacksOff("30"), all: true, pause: LONG } },
    all_plain = { 15, Pausing { route: Route::Safe, fault: Fault::BacksOff("30"), all: true, pause: LONG } },
    without_proof = { 17, Pausing { route: Route::Safe, fault: UNPROVEN, all: false, pause: LONG } },
    streams_without_proof = { 18, Pausing { route: Route::Resumable, fault: UNPROVEN, all: false, pause: LONG } },
    absurd = { 16, Pausing { route: Route::Safe, fault: Fault::BacksOff("1e300"), all: false, pause: LONG } },
)]
fn pausing_target_gets_no_calls(number: u8, case: Pausing) {
    let site = Site::start(number);
    let most = if case.all { site.targets(case.route).len() } else { 1 };
    for &target in &site.targets(case.route)[..most] {
        site.platform.set_fault(target, case.fault);
    }
    let from = Instant::now();
    site.send_requests(case.route);
    let served = site.send_requests(case.route);
    assert_eq!(served > 0, !case.all, "the others serve");
    assert!(case.pause > SEND_PERIOD * 3, "the pause outlasts the test");
    for &target in &site.targets(case.route)[..most] {
        let late = site.arrivals(target, from);
        assert!(late.len() <= MAX_CALLS_IN_PAUSE, "{} calls: {late:?}", late.len());
    }
    if case.all {
        let reply = send_call(site.nodes[0].front, &Call::new(case.route, "last"));
        assert_eq!(reply.status, Some(503));
        let after = reply.retry_after.expect("Retry-After is set");
        let left = case.pause.as_secs_f64() - 3.0 * SEND_PERIOD.as_secs_f64();
        assert!(after > left && after < 2.0 * LONG.as_secs_f64(), "{after}");
    }
}

// Guards against an invalid `Retry-After` excluding a target permanently.
#[parameterized(
    date = { 20, "Fri, 04 Dec 2026 09:00:00 GMT" },
    negative = { 21, "-5" },
    not_a_number = { 22, "NaN" },
    empty = { 23, "" },
)]
fn invalid_retry_after_causes_no_pause(number: u8, retry_after: &'static str) {
    let site = Site::start(number);
    let targets = site.plain.clone();
    for &target in &targets {
        site.platform.set_fault(target, Fault::BacksOff(retry_after));
    }
    for turn in 0..4 {
        assert_eq!(site.ask(turn % 2, Route::Safe, &format!("r{turn}")), Some(503));
    }
    for &target in &targets {
        site.platform.set_fault(target, Fault::None);
    }
    let serves = || site.ask(0, Route::Safe, "later") == Some(200);
    assert!(site.platform.wait(Duration::from_secs(4), serves));
}

// Guards against applying a pause or leave announcement to a new process at the same address.
#[parameterized(
    leaves = { 30, Fault::Leaves },
    pauses = { 31, Fault::BacksOff("60") },
)]
fn restarted_target_at_the_same_address_is_used(number: u8, fault: Fault) {
    let site = Site::start(number);
    for &target in &site.plain {
        site.platform.set_fault(target, fault);
    }
    for turn in 0..8 {
        site.ask(turn % 2, Route::Safe, &format!("r{turn}"));
    }
    assert_eq!(site.ask(0, Route::Safe, "none is left"), Some(503));
    for &target in &site.plain {
        site.platform.restart(target);
    }
    for node in 0..2 {
        let serves = || site.ask(node, Route::Safe, "later") == Some(200);
        assert!(site.platform.wait(STATE_TIMEOUT, serves), "node {node} serves");
    }
}

// Guards against all waiting requests being sent at once when a pause ends.
#[test]
fn one_request_probes_a_target_after_its_pause() {
    let site = Site::start(40);
    for &target in &site.plain {
        site.platform.set_fault(target, Fault::BacksOff("1"));
    }
    for turn in 0..4 {
        site.ask(turn % 2, Route::Safe, &format!("r{turn}"));
    }
    let from = Instant::now();
    site.send_requests(Route::Safe);
    for &target in &site.plain {
        // Two nodes each try once per pause of one second, for at most three seconds.
        let tries = site.arrivals(target, from).len();
        assert!((1..=8).contains(&tries), "{tries} tries");
    }
}

// Guards against a process that was paused restarting the pause of a target.
#[test]
fn pause_elapses_while_the_process_is_paused() {
    let site = Site::start(41);
    for &target in &site.plain {
        site.platform.set_fault(target, Fault::BacksOff("2"));
    }
    assert_eq!(site.ask(0, Route::Safe, "refused"), Some(503));
    site.nodes[0].signal("STOP");
    sleep(Duration::from_millis(2300));
    for &target in &site.plain {
        site.platform.set_fault(target, Fault::None);
    }
    site.nodes[0].signal("CONT");
    let serves = || site.ask(0, Route::Safe, "later") == Some(200);
    assert!(site.platform.wait(Duration::from_millis(500), serves));
}
