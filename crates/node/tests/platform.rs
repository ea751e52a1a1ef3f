//! Tests the entry process on the users' platform: real processes between callers and stand-ins.

mod entry;
mod site;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::thread::{JoinHandle, sleep, spawn};
use std::time::{Duration, Instant};

use platform_standin::{Call, Crash, Document, Fault, Reply, Route, Run, send_call, spawn_call};
use site::{EVENTS, STATE_TIMEOUT, Site, ended, start_node};
use yare::parameterized;

/// Maximum time until a request is refused.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(500);

#[test]
fn streams_are_complete_and_cover_each_layer_once() {
    let site = Site::start(1, 2, &Document::default());
    let mut streams = site.streams(0, "s", 20);
    streams.extend(site.streams(1, "t", 20));
    for reply in ended(streams) {
        assert!(reply.is_complete(EVENTS), "{reply:?}");
    }
    let runs = site.platform.runs();
    assert!(runs.iter().all(|run| run.covers_all_layers(Document::DEPTH)));
    let metrics = site.metrics(0);
    for name in ["magnolia_first_event_seconds_bucket", "magnolia_pause_seconds_bucket"] {
        assert!(metrics.contains(name), "{name} is served");
    }
}

/// A fault of targets and the expected outcome for the caller.
struct Case {
    route: Route,
    /// Fault of the first target in the list, or of all targets.
    fault: Fault,
    /// Whether all targets have the fault.
    all: bool,
    status: u16,
    /// Whether the answer is complete.
    is_complete: bool,
    /// Minimum and maximum number of runs of the request.
    runs: (usize, usize),
}

#[parameterized(
    one_cuts = { 10, Case { route: Route::Resumable, fault: Fault::Cuts(3), all: false, status: 200, is_complete: true, runs: (1, 2) } },
    all_cut = { 11, Case { route: Route::Resumable, fault: Fault::Cuts(3), all: true, status: 200, is_complete: true, runs: (14, 14) } },
    not_resumable = { 12, Case { route: Route::Stream, fault: Fault::Cuts(3), all: true, status: 200, is_complete: false, runs: (1, 1) } },
    one_refuses_streams = { 13, Case { route: Route::Resumable, fault: Fault::Refuses, all: false, status: 200, is_complete: true, runs: (1, 1) } },
    all_refuse_streams = { 14, Case { route: Route::Resumable, fault: Fault::Refuses, all: true, status: 503, is_complete: false, runs: (0, 0) } },
    unsafe_answer_lost = { 15, Case { route: Route::Unsafe, fault: Fault::LosesAnswers, all: true, status: 502, is_complete: false, runs: (1, 1) } },
    unsafe_fails = { 16, Case { route: Route::Unsafe, fault: Fault::Fails, all: true, status: 500, is_complete: false, runs: (1, 1) } },
    unsafe_refused_once = { 17, Case { route: Route::Unsafe, fault: Fault::Refuses, all: false, status: 200, is_complete: true, runs: (1, 1) } },
    unsafe_refused = { 18, Case { route: Route::Unsafe, fault: Fault::Refuses, all: true, status: 503, is_complete: false, runs: (0, 0) } },
    safe_answer_lost = { 19, Case { route: Route::Safe, fault: Fault::LosesAnswers, all: true, status: 502, is_complete: false, runs: (1, 2) } },
    safe_fails_once = { 20, Case { route: Route::Safe, fault: Fault::Fails, all: false, status: 200, is_complete: true, runs: (1, 2) } },
)]
fn failing_targets(number: u8, case: Case) {
    let document = Document::default();
    let site = Site::start(number, 1, &document);
    let targets = match case.route {
        Route::Resumable | Route::Stream => &site.engines,
        Route::Safe | Route::Unsafe => &site.plain,
    };
    let most = if case.all { targets.len() } else { 1 };
    site.set_fault(&targets[..most], case.fault);
    // Sends several requests, so that some reach the faulty target whichever is selected first.
    for id in 0..4 {
        let id = format!("r{id}");
        let reply = site.ask(0, case.route, &id);
        let last = if targets == &site.engines { EVENTS } else { 0 };
        assert_eq!(reply.status, Some(case.status), "{reply:?}");
        assert_eq!(reply.is_complete(last), case.is_complete, "{reply:?}");
        assert_eq!(reply.retry_after.is_some(), case.status == 503, "{reply:?}");
        let runs = site.runs(&id);
        assert!((case.runs.0..=case.runs.1).contains(&runs.len()), "it ran {} times", runs.len());
        let used: BTreeSet<&str> = runs.iter().map(|run| run.target.as_str()).collect();
        assert!(used.len() <= document.attempts as usize, "it ran at {used:?}");
    }
}

/// Position of the lost engine on the path of the streams.
#[derive(Clone, Copy)]
enum Lost {
    First,
    Last,
}

#[parameterized(first = { 30, Lost::First }, last = { 31, Lost::Last })]
fn streams_continue_when_an_engine_is_lost(number: u8, lost: Lost) {
    let site = Site::start(number, 2, &Document::default());
    let mut streams = site.streams(0, "s", 8);
    streams.extend(site.streams(1, "t", 8));
    sleep(Duration::from_millis(150));
    let path = site.path("s0");
    let engine = match lost {
        Lost::First => path[0],
        Lost::Last => path[path.len() - 1],
    };
    site.platform.kill(engine);
    for reply in ended(streams) {
        assert!(reply.is_complete(EVENTS), "{reply:?}");
    }
    let runs = site.platform.runs();
    assert!(runs.iter().all(|run| run.covers_all_layers(Document::DEPTH)));
    // Another engine takes over the layers, whether or not the entry of the lost one has expired.
    site.platform.deregister(engine);
    for node in 0..2 {
        assert!(site.serves(node, None));
    }
}

#[test]
fn leaving_engine_gets_no_new_streams_and_finishes() {
    let site = Site::start(40, 2, &Document::default());
    let streams = site.streams(0, "s", 8);
    sleep(Duration::from_millis(100));
    let engine = site.path("s0")[0];
    site.platform.drain(engine);
    sleep(Duration::from_millis(100));
    let later = site.streams(1, "later", 8);
    for reply in ended(streams).into_iter().chain(ended(later)) {
        assert!(reply.is_complete(EVENTS), "{reply:?}");
    }
    let through = |run: &Run| run.engines.contains(&engine);
    assert!(!site.runs("later").iter().any(through));
    assert_eq!(site.runs("s").len(), 8, "no stream was moved");
}

#[test]
fn planned_stop_cuts_nothing() {
    let mut site = Site::start(41, 2, &Document::default());
    let streams = site.streams(0, "s", 8);
    sleep(Duration::from_millis(100));
    site.nodes[0].signal("TERM");
    for reply in ended(streams) {
        assert!(reply.is_complete(EVENTS), "{reply:?}");
    }
    let ended = site.nodes[0].child.wait().expect("it ends");
    assert_eq!(ended.code(), Some(0));
    assert!(site.serves(1, None));
}

#[test]
fn another_node_gives_orders_when_the_leader_is_killed() {
    let mut site = Site::start(42, 2, &Document::default());
    let leader = site.platform.items("magnoliarun/leader").pop().expect("a leader").1;
    let leader = usize::from(!leader.starts_with(b"n0"));
    site.nodes[leader].child.kill().expect("it is killed");
    let held = site.path("probe");
    for &engine in &held {
        site.platform.kill(engine);
        site.platform.deregister(engine);
    }
    assert!(site.serves(1 - leader, None));
}

#[test]
fn withdrawn_and_unconfirmed_keys_are_refused() {
    let keys = vec!["k1", "k2"];
    let site = Site::start(43, 1, &Document { keys, ..Document::default() });
    let with = |key| Call { key, ..Call::new(Route::Safe, "r") };
    let status = |key| send_call(site.nodes[0].front, &with(key)).status;
    assert_eq!(
        (status(Some("k1")), status(Some("k3")), status(None)),
        (Some(200), Some(401), Some(401))
    );
    site.platform.configure(&Document { version: 7, keys: vec!["k1"], ..Document::default() });
    assert!(site.platform.wait(Duration::from_secs(2), || status(Some("k2")) == Some(401)));
    assert_eq!(status(Some("k1")), Some(200));
    site.platform.set_unavailable(true);
    assert_eq!(status(Some("k1")), Some(200), "the configuration was confirmed recently enough");
    sleep(Duration::from_millis(2500));
    let reply = send_call(site.nodes[0].front, &with(Some("k1")));
    assert_eq!(reply.status, Some(503));
    // No other node exists, so a retry cannot succeed before the store is queried again.
    let after = reply.retry_after.expect("Retry-After is set");
    assert!((0.5..=1.5).contains(&after), "{after}");
    site.platform.set_unavailable(false);
    assert!(site.platform.wait(STATE_TIMEOUT, || status(Some("k1")) == Some(200)));
    assert_eq!(status(Some("k2")), Some(401), "a configuration never reverts");
}

// Guards against requests refused for lack of a retry although no target has received them: targets
// that have ended refuse connections.
#[parameterized(streams = { 45, Route::Resumable }, plain = { 46, Route::Unsafe })]
fn offer_that_is_not_sent_takes_no_retry(number: u8, route: Route) {
    let mut site = Site::start(number, 1, &Document::default());
    let (engines, plain) = (site.engines.clone(), site.plain.clone());
    let ended = if route == Route::Unsafe { &plain[..1] } else { &engines[..2] };
    ended.iter().for_each(|&target| site.platform.kill(target));
    for turn in 1..=4 {
        // A node that has just started has no share of the retry budget.
        site.nodes.push(start_node(&site.platform, number, turn));
        let node = site.nodes.len() - 1;
        for request in 0..4 {
            let reply = site.ask(node, route, &format!("r{turn}-{request}"));
            assert_eq!(reply.status, Some(200), "{reply:?}");
        }
    }
}

#[test]
fn full_memory_refuses_at_once_with_retry_after() {
    let site = Site::start(44, 1, &Document::default());
    let huge = Call { prompt: 10_000_000, ..Call::new(Route::Resumable, "huge") };
    let reply = send_call(site.nodes[0].front, &huge);
    assert_eq!(reply.status, Some(503));
    assert!(reply.retry_after.is_some());
    assert!(reply.elapsed < REFUSAL_TIMEOUT, "{reply:?}");
    assert!(site.runs("huge").is_empty());
    assert!(site.metrics(0).contains("magnolia_refusals{reason=\"full\"}"));
}

/// A request that crashes the targets that run it, sent repeatedly to nodes in turn.
struct Crashing {
    route: Route,
    crash: Crash,
}

/// Body of requests that crash targets.
const CRASHING: &str = "crash";
/// Maximum number of targets that one request may crash: the guarantee to the users applies to
/// what is sent after the third crash.
const MAX_CRASHES: usize = 3;
/// Number of times that a crashing request is sent.
const REPEATS: usize = 10;
/// Pause between two crashing requests.
const REPEAT_PAUSE: Duration = Duration::from_millis(700);

impl Site {
    /// Sends the crashing request to nodes in turn.
    fn repeat_crashing(&self, route: Route, id: &str, times: usize) -> Vec<Reply> {
        let send = |turn: usize| {
            let what = Call { body: CRASHING, ..Call::new(route, &format!("{id}{turn}")) };
            let reply = send_call(self.nodes[turn % self.nodes.len()].front, &what);
            sleep(REPEAT_PAUSE);
            reply
        };
        (0..times).map(send).collect()
    }

    /// Returns the number of targets that requests have crashed.
    fn crashes(&self) -> usize {
        self.platform.runs().iter().filter(|run| run.crashed.is_some()).count()
    }
}

// Guards against a request that crashes its targets being retried on more and more of them.
#[parameterized(
    stream_ends_its_first_engine = { 50, Crashing { route: Route::Resumable, crash: Crash::First } },
    stream_ends_its_last_engine = { 51, Crashing { route: Route::Resumable, crash: Crash::Last } },
    stream_that_runs_once = { 52, Crashing { route: Route::Stream, crash: Crash::First } },
    idempotent_request = { 53, Crashing { route: Route::Safe, crash: Crash::First } },
    request_that_runs_once = { 54, Crashing { route: Route::Unsafe, crash: Crash::First } },
)]
fn crashing_request_ends_few_targets(number: u8, case: Crashing) {
    let site = Site::start(number, 2, &Document::default());
    site.platform.crash_on(CRASHING, case.crash);
    let replies = site.repeat_crashing(case.route, "r", REPEATS);
    assert!(site.crashes() <= MAX_CRASHES, "{} targets ended: {replies:?}", site.crashes());
    let last = replies.last().expect("it was sent");
    assert_eq!((last.status, last.retry_after.is_some()), (Some(503), true), "{last:?}");
    assert!(last.elapsed < REFUSAL_TIMEOUT, "{last:?}");
    for node in 0..2 {
        assert!(site.serves(node, None), "other requests are served");
    }
}

// Guards against a stream whose path breaks before the first event running at more targets than its
// route allows.
#[test]
fn stream_cut_before_its_first_event_keeps_to_its_attempts() {
    let site = Site::start(60, 1, &Document { attempts: 1, ..Document::default() });
    site.platform.crash_on(CRASHING, Crash::Last);
    let call = Call { body: CRASHING, ..Call::new(Route::Resumable, "cut") };
    let reply = send_call(site.nodes[0].front, &call);
    let targets: BTreeSet<String> = site.runs("cut").into_iter().map(|run| run.target).collect();
    assert_eq!(targets.len(), 1, "{targets:?}, {reply:?}");
}

// Guards against a restart of all nodes lifting the quarantine of a request that crashed its
// targets, also when it was not sent again before the restart.
#[parameterized(sent_once = { 55, 1 }, sent_again = { 58, 4 })]
fn quarantine_survives_a_restart_of_all_nodes(number: u8, times: usize) {
    let mut site = Site::start(number, 2, &Document::default());
    site.platform.crash_on(CRASHING, Crash::First);
    site.repeat_crashing(Route::Resumable, "r", times);
    let before = site.crashes();
    let kept = || !site.platform.items("magnoliarun/quarantine/").is_empty();
    assert!(site.platform.wait(STATE_TIMEOUT, kept), "the quarantine is in the store");
    site.nodes.clear();
    site.nodes = (2..4).map(|index| start_node(&site.platform, number, index)).collect();
    for node in 0..2 {
        assert!(site.serves(node, None));
    }
    let replies = site.repeat_crashing(Route::Resumable, "s", 4);
    assert_eq!(site.crashes(), before);
    assert!(replies.iter().all(|reply| reply.status == Some(503)), "{replies:?}");
}

/// Bodies of requests that do not crash targets.
const HARMLESS: [&str; 6] = ["w0", "w1", "w2", "w3", "w4", "w5"];

// Guards against quarantining requests that only shared targets with a crashing request.
#[parameterized(first = { 56, Crash::First }, last = { 57, Crash::Last })]
fn requests_sharing_targets_with_a_crashing_one_are_not_quarantined(number: u8, crash: Crash) {
    let site = Site::start(number, 2, &Document { attempts: 4, ..Document::default() });
    site.platform.crash_on(CRASHING, crash);
    for turn in 0..6 {
        let well = |(at, &body): (usize, &&'static str)| {
            let id = format!("w{turn}-{at}");
            let what = Call { body, ..Call::new(Route::Resumable, &id) };
            spawn_call(site.nodes[(turn + at) % 2].front, what)
        };
        let callers: Vec<_> = HARMLESS.iter().enumerate().map(well).collect();
        site.repeat_crashing(Route::Resumable, &format!("r{turn}-"), 1);
        ended(callers);
    }
    assert!(site.crashes() <= MAX_CRASHES, "{} targets ended", site.crashes());
    for (at, &body) in HARMLESS.iter().enumerate() {
        let what = Call { body, ..Call::new(Route::Resumable, &format!("last{at}")) };
        let served = || send_call(site.nodes[at % 2].front, &what).is_complete(EVENTS);
        assert!(site.platform.wait(Duration::from_secs(3), served), "{body} is served");
    }
}

// Guards against quarantining a request that many callers send for losses of targets that it did
// not cause.
#[test]
fn request_of_many_callers_is_served_after_losses_of_engines() {
    let site = Site::start(59, 2, &Document { attempts: 4, ..Document::default() });
    let until = Instant::now() + Duration::from_secs(4);
    let call = |number: usize| {
        let fronts: Vec<SocketAddr> = site.nodes.iter().map(|node| node.front).collect();
        spawn(move || {
            for turn in 0.. {
                if Instant::now() > until {
                    break;
                }
                let id = format!("m{number}-{turn}");
                send_call(fronts[(number + turn) % 2], &Call::new(Route::Resumable, &id));
            }
        })
    };
    let callers: Vec<JoinHandle<()>> = (0..16).map(call).collect();
    let mut lost = site.engines.iter().cycle();
    while Instant::now() < until {
        sleep(Duration::from_millis(120));
        site.platform.restart(*lost.next().expect("engines"));
    }
    for caller in callers {
        caller.join().expect("a caller thread ends");
    }
    for node in 0..2 {
        assert!(site.serves(node, None), "node {node} serves");
    }
}
