//! Targets that name a limit on the requests per second that they take from all nodes together.

mod entry;
mod site;

use std::net::SocketAddr;
use std::thread::{self, JoinHandle, sleep};
use std::time::{Duration, Instant};

use platform_standin::{Call, Document, Fault, Reply, Route, spawn_call};
use site::{EVENTS, Site, ended, start_node};
use yare::parameterized;

/// Time that the nodes have to learn of a limit: the default of their settings.
const CONTACT: Duration = Duration::from_secs(3);
/// Span in which the calls that reach a target are counted.
const SPAN: Duration = Duration::from_secs(4);
/// Allowed calls in a span, as a multiple of those that the limit gives.
const ALLOWED_FACTOR: f64 = 1.5;
/// Allowed calls in a span beyond that.
const ALLOWED_EXTRA: f64 = 5.0;
/// Time for which callers send requests once the limit is named.
const PERIOD: Duration = Duration::from_secs(9);
/// Time between two requests of the callers.
const PAUSE: Duration = Duration::from_millis(20);
/// Time for which callers send requests before the limit is named.
const BEFORE: Duration = Duration::from_secs(1);
/// Time for which callers use up the limits while a stream resumes.
const LOAD_PERIOD: Duration = Duration::from_secs(4);
/// Time for which engines are silent.
const SILENCE: Duration = Duration::from_millis(1500);
/// Longest time in which nodes learn that a limit has ended.
const END_TIME: Duration = Duration::from_secs(10);

/// Load on targets of which some name a limit.
#[derive(Clone, Copy)]
struct Case {
    route: Route,
    nodes: u8,
    /// Value of the header.
    limit: &'static str,
    /// Number of targets that name it; the others name none.
    limited: usize,
}

impl Case {
    fn per_second(&self) -> f64 {
        self.limit.parse().expect("a number")
    }
}

fn targets(site: &Site, route: Route) -> &[SocketAddr] {
    match route {
        Route::Resumable | Route::Stream => &site.engines,
        Route::Safe | Route::Unsafe => &site.plain,
    }
}

/// Sends requests to the nodes in turn for a time.
fn send_for(site: &Site, route: Route, name: &str, period: Duration) -> Vec<JoinHandle<Reply>> {
    let until = Instant::now() + period;
    let mut calls = Vec::new();
    while Instant::now() < until {
        let node = &site.nodes[calls.len() % site.nodes.len()];
        let call = Call::new(route, &format!("{name}{}", calls.len()));
        calls.push(spawn_call(node.front, call));
        sleep(PAUSE);
    }
    calls
}

/// Returns the largest number of calls, of callers and of the nodes, that reach a target in a span
/// that ends after `from`.
fn most_calls(site: &Site, target: SocketAddr, from: Instant) -> usize {
    let arrivals = site.platform.arrivals().into_iter().filter(|one| one.target == target);
    let times: Vec<Instant> = arrivals.map(|one| one.at).collect();
    let ends = times.iter().filter(|&&at| at >= from);
    let within = |end: &Instant| times.iter().filter(|&at| at <= end && *end - *at < SPAN).count();
    ends.map(within).max().unwrap_or_default()
}

/// Checks that no target that names a limit gets more calls than it allows.
fn assert_limit_kept(site: &Site, case: &Case, named_at: Instant) {
    let allowed = ALLOWED_FACTOR * case.per_second() * SPAN.as_secs_f64() + ALLOWED_EXTRA;
    for &target in &targets(site, case.route)[..case.limited] {
        let calls = most_calls(site, target, named_at + CONTACT);
        assert!(calls as f64 <= allowed, "{calls} calls in {SPAN:?}, allowed {allowed}");
    }
}

// Guards against nodes that together send a target more requests than the limit that it names
// (LIMIT).
#[parameterized(
    streams = { 0, Case { route: Route::Resumable, nodes: 3, limit: "4", limited: 6 } },
    streams_at_one_engine = { 1, Case { route: Route::Resumable, nodes: 3, limit: "1", limited: 1 } },
    streams_at_one_node = { 2, Case { route: Route::Stream, nodes: 1, limit: "2.5", limited: 6 } },
    idempotent = { 3, Case { route: Route::Safe, nodes: 3, limit: "3", limited: 2 } },
    at_most_once = { 4, Case { route: Route::Unsafe, nodes: 3, limit: "3", limited: 2 } },
    zero = { 5, Case { route: Route::Resumable, nodes: 2, limit: "0", limited: 6 } },
)]
fn targets_get_no_more_than_their_limit(number: u8, case: Case) {
    let site = Site::start(190 + number, case.nodes, &Document::default());
    let mut calls = send_for(&site, case.route, "before", BEFORE);
    site.set_fault(&targets(&site, case.route)[..case.limited], Fault::Limits(case.limit));
    let named_at = Instant::now();
    calls.extend(send_for(&site, case.route, "r", PERIOD));

    let replies = ended(calls);
    assert_limit_kept(&site, &case, named_at);
    let served = replies.iter().filter(|reply| reply.status == Some(200)).count();
    if case.limited < targets(&site, case.route).len() {
        assert!(served * 10 >= replies.len() * 9, "{served} of {} served", replies.len());
    } else {
        let taken = case.limited as f64 * case.per_second() * PERIOD.as_secs_f64();
        // All nodes wait for the first engines alone, of which there are two at least.
        let expected = if case.route == Route::Safe { taken } else { taken / 6.0 };
        assert!(served as f64 >= expected / 2.0, "{served} served, the limits allow {expected}");
    }
    let lost = replies.iter().filter(|reply| reply.status.is_none()).count();
    assert_eq!(lost, 0, "requests without an answer");
}

// Guards against a node that starts while a limit is in force, and against one that is killed with
// what it knew of it.
#[test]
fn limit_is_kept_while_nodes_start_and_end() {
    let case = Case { route: Route::Safe, nodes: 3, limit: "3", limited: 2 };
    let mut site = Site::start(196, case.nodes, &Document::default());
    site.set_fault(&site.plain.clone(), Fault::Limits(case.limit));
    let named_at = Instant::now();
    let third = PERIOD / 3;
    let mut calls = send_for(&site, case.route, "a", third);
    site.nodes.truncate(2);
    calls.extend(send_for(&site, case.route, "b", third));
    site.nodes.push(start_node(&site.platform, 196, 7));
    calls.extend(send_for(&site, case.route, "c", third));
    ended(calls);
    assert_limit_kept(&site, &case, named_at);
}

// Guards against a limit that stays in force after the target has stopped naming it, or has
// restarted.
#[parameterized(
    no_longer_named = { 0, "2", false },
    zero_no_longer_named = { 1, "0", false },
    restarted = { 2, "0", true },
)]
fn limit_ends_with_its_word(number: u8, limit: &'static str, restarts: bool) {
    let site = Site::start(200 + number, 2, &Document::default());
    site.set_fault(&site.plain, Fault::Limits(limit));
    ended(send_for(&site, Route::Safe, "limited", Duration::from_secs(3)));
    for &target in &site.plain {
        site.platform.set_fault(target, Fault::None);
        if restarts {
            site.platform.restart(target);
        }
    }
    ended(send_for(&site, Route::Safe, "ending", END_TIME));
    let replies = ended(send_for(&site, Route::Safe, "free", Duration::from_secs(1)));
    let refused = replies.iter().filter(|reply| reply.status != Some(200)).count();
    assert_eq!(refused, 0, "of {} requests", replies.len());
}

// Guards against engines that stay out of use long after their limits have ended, because probes of
// those that are left out need permits too.
#[parameterized(few = { 8, "1" }, none = { 9, "0" })]
fn engines_left_out_are_used_again_after_their_limits(number: u8, limit: &'static str) {
    let site = Site::start(200 + number, 2, &Document::default());
    site.set_fault(&site.engines, Fault::Limits(limit));
    ended(send_for(&site, Route::Resumable, "limited", Duration::from_secs(3)));
    let set_silent = |silent| {
        site.engines.iter().for_each(|&engine| site.platform.set_silent(engine, silent));
    };
    set_silent(true);
    let silent = send_for(&site, Route::Resumable, "silent", SILENCE);
    set_silent(false);
    site.set_fault(&site.engines, Fault::None);
    ended(silent);
    ended(send_for(&site, Route::Resumable, "ending", END_TIME));
    let replies = ended(send_for(&site, Route::Resumable, "free", Duration::from_secs(1)));
    let refused = replies.iter().filter(|reply| reply.status != Some(200)).count();
    assert_eq!(refused, 0, "of {} requests", replies.len());
}

// Guards against a value that is no limit and stops the service.
#[parameterized(
    text = { 3, "many" },
    negative = { 4, "-1" },
    not_a_number = { 5, "NaN" },
    beyond_a_double = { 6, "1e400" },
)]
fn value_that_is_no_limit_limits_nothing(number: u8, value: &'static str) {
    let site = Site::start(200 + number, 1, &Document::default());
    site.set_fault(&site.plain, Fault::Limits(value));
    site.set_fault(&site.engines, Fault::Limits(value));
    let mut replies = ended(send_for(&site, Route::Safe, "s", Duration::from_secs(1)));
    replies.extend(ended(send_for(&site, Route::Resumable, "r", Duration::from_secs(1))));
    assert!(replies.iter().all(|reply| reply.status == Some(200)), "{replies:?}");
}

// Guards against streams cut because their engine is lost while the limits of the others are used
// up by new requests.
#[test]
fn stream_resumes_within_the_limits() {
    let site = Site::start(207, 2, &Document::default());
    site.set_fault(&site.engines, Fault::Limits("4"));
    thread::scope(|scope| {
        let load = scope.spawn(|| send_for(&site, Route::Resumable, "load", LOAD_PERIOD));
        // Some are refused, because the limits are used up.
        let mut streams = Vec::new();
        let runs = site.platform.wait(LOAD_PERIOD, || {
            streams.extend(site.streams(0, &format!("s{}-", streams.len()), 1));
            sleep(PAUSE);
            !site.runs("s").is_empty()
        });
        assert!(runs, "a stream runs");
        let path = site.path("s");
        site.platform.kill(path[path.len() - 1]);
        let begun = ended(streams).into_iter().filter(|reply| reply.status == Some(200));
        let broken: Vec<Reply> = begun.filter(|reply| !reply.is_complete(EVENTS)).collect();
        assert!(broken.is_empty(), "{broken:?}");
        ended(load.join().expect("the load ends"));
    });
}
