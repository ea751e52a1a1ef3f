//! Targets that say they leave, or ask for a pause: what reaches them afterwards.

mod entry;

use std::net::SocketAddr;
use std::thread::sleep;
use std::time::{Duration, Instant};

use entry::Entry;
use platform_standin::{
    Arrival, Call, Document, Fault, MODEL, PLAIN, Platform, Route, Settings, Setup, send_call,
};
use yare::parameterized;

/// Events of each stream; they take 10 ms each.
const EVENTS: u64 = 10;
/// Longest wait for a state that follows soon.
const SOON: Duration = Duration::from_secs(15);
/// Most calls that may reach a target that asks for a pause: each of two nodes is refused once,
/// with another call on its way at that moment.
const MOST_IN_PAUSE: usize = 4;
/// How long requests are sent in a case.
const LENGTH: Duration = Duration::from_millis(2500);

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
            assert!(site.platform.wait(SOON, serves), "node {node} serves");
        }
        // All engines hold their layers before the case begins, and nodes may retry.
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

    /// Sends requests at both nodes in turn; returns how many were served.
    fn press(&self, route: Route) -> usize {
        let until = Instant::now() + LENGTH;
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

    /// Calls that reached a target, or passed it as a later stage, since `from`.
    fn arrivals(&self, target: SocketAddr, from: Instant) -> Vec<Arrival> {
        let reached = |one: &Arrival| one.target == target || one.engines.contains(&target);
        let arrivals = self.platform.arrivals().into_iter();
        arrivals.filter(|one| one.at >= from && reached(one)).collect()
    }
}

/// Whether a call is a request of a caller.
fn is_request(arrival: &Arrival) -> bool {
    !matches!(arrival.path.as_str(), "/report" | "/order" | "/health")
}

// Guards against requests to a target that has said in an answer that it leaves (DRAIN).
#[parameterized(
    streams = { 1, Route::Resumable },
    idempotent = { 2, Route::Safe },
    at_most_once = { 3, Route::Unsafe },
)]
fn leaving_target_gets_nothing_new(number: u8, route: Route) {
    let site = Site::start(number);
    let target = site.targets(route)[0];
    site.platform.set_fault(target, Fault::Leaves);
    site.press(route);
    // It has been asked by both nodes by now, or by none that matters here.
    let from = Instant::now();
    assert!(site.press(route) > 0, "others serve");
    let late = site.arrivals(target, from);
    let orders = late.iter().filter(|one| one.path == "/order").count();
    assert_eq!(orders, 0, "nothing is placed there");
    assert_eq!(late.iter().filter(|one| is_request(one)).count(), 0, "{late:?}");
}

/// A target that asks for a pause.
struct Pausing {
    route: Route,
    trouble: Fault,
    /// Whether all targets of the service do.
    all: bool,
    /// The pause that is taken from its words.
    pause: Duration,
}

const LONG: Duration = Duration::from_secs(30);

// Guards against calls to a target during the pause that it asked for (BUDGET).
#[parameterized(
    stream = { 10, Pausing { route: Route::Resumable, trouble: Fault::BacksOff("30"), all: false, pause: LONG } },
    idempotent = { 11, Pausing { route: Route::Safe, trouble: Fault::BacksOff("30"), all: false, pause: LONG } },
    at_most_once = { 12, Pausing { route: Route::Unsafe, trouble: Fault::BacksOff("30.5"), all: false, pause: LONG } },
    reports_too = { 13, Pausing { route: Route::Resumable, trouble: Fault::BacksOffAll("30"), all: false, pause: LONG } },
    all_engines = { 14, Pausing { route: Route::Resumable, trouble: Fault::BacksOff("30"), all: true, pause: LONG } },
    all_plain = { 15, Pausing { route: Route::Safe, trouble: Fault::BacksOff("30"), all: true, pause: LONG } },
    absurd = { 16, Pausing { route: Route::Safe, trouble: Fault::BacksOff("1e300"), all: false, pause: LONG } },
)]
fn pausing_target_is_left_alone(number: u8, case: Pausing) {
    let site = Site::start(number);
    let most = if case.all { site.targets(case.route).len() } else { 1 };
    for &target in &site.targets(case.route)[..most] {
        site.platform.set_fault(target, case.trouble);
    }
    let from = Instant::now();
    site.press(case.route);
    let served = site.press(case.route);
    assert_eq!(served > 0, !case.all, "the others serve");
    assert!(case.pause > LENGTH * 3, "the pause goes on");
    for &target in &site.targets(case.route)[..most] {
        let late = site.arrivals(target, from);
        assert!(late.len() <= MOST_IN_PAUSE, "{} calls: {late:?}", late.len());
    }
    if case.all {
        let reply = send_call(site.nodes[0].front, &Call::new(case.route, "last"));
        assert_eq!(reply.status, Some(503));
        let after = reply.retry_after.expect("a time to come back");
        let left = case.pause.as_secs_f64() - 3.0 * LENGTH.as_secs_f64();
        assert!(after > left && after < 2.0 * LONG.as_secs_f64(), "{after}");
    }
}

// Guards against a target being left alone for good for words that mean nothing.
#[parameterized(
    date = { 20, "Fri, 04 Dec 2026 09:00:00 GMT" },
    negative = { 21, "-5" },
    not_a_number = { 22, "NaN" },
    empty = { 23, "" },
)]
fn words_that_mean_no_pause(number: u8, words: &'static str) {
    let site = Site::start(number);
    let targets = site.plain.clone();
    for &target in &targets {
        site.platform.set_fault(target, Fault::BacksOff(words));
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

// Guards against a pause or a word of leaving outliving the target that gave it.
#[parameterized(
    leaves = { 30, Fault::Leaves },
    pauses = { 31, Fault::BacksOff("60") },
)]
fn another_start_at_the_address_is_used(number: u8, trouble: Fault) {
    let site = Site::start(number);
    for &target in &site.plain {
        site.platform.set_fault(target, trouble);
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
        assert!(site.platform.wait(SOON, serves), "node {node} serves");
    }
}

// Guards against all that waited for the end of a pause coming at once.
#[test]
fn one_request_goes_first_after_a_pause() {
    let site = Site::start(40);
    for &target in &site.plain {
        site.platform.set_fault(target, Fault::BacksOff("1"));
    }
    for turn in 0..4 {
        site.ask(turn % 2, Route::Safe, &format!("r{turn}"));
    }
    let from = Instant::now();
    site.press(Route::Safe);
    for &target in &site.plain {
        // Two nodes try once in each pause of a second, over three seconds at the most.
        let tries = site.arrivals(target, from).len();
        assert!((1..=8).contains(&tries), "{tries} tries");
    }
}

// Guards against a pause being counted anew by a process that stood still in it.
#[test]
fn pause_goes_on_while_the_process_stands_still() {
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
