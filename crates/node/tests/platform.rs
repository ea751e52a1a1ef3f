//! The entry process on the users' platform: real processes between callers and stand-ins.

mod entry;

use std::net::SocketAddr;
use std::thread::{JoinHandle, sleep, spawn};
use std::time::{Duration, Instant};

use entry::{Entry, text};
use platform_standin::{
    Call, Crash, Document, Fault, MODEL, PLAIN, Platform, Reply, Route, Run, Settings, Setup,
    send_call, spawn_call,
};
use yare::parameterized;

/// Events of each stream; they take 10 ms each.
const EVENTS: u64 = 40;
/// Longest wait for a state that follows soon.
const SOON: Duration = Duration::from_secs(15);
/// A refusal is an answer at once.
const AT_ONCE: Duration = Duration::from_millis(500);
/// Port of the metrics.
const METRICS_PORT: u16 = 9464;
/// Ids of the engines, by failure domain.
const ENGINES: [(&str, &str); 6] =
    [("a1", "a"), ("a2", "a"), ("a3", "a"), ("b1", "b"), ("b2", "b"), ("b3", "b")];

/// Nodes, engines and plain targets of a test.
struct Site {
    platform: Platform,
    nodes: Vec<Entry>,
    engines: Vec<SocketAddr>,
    plain: Vec<SocketAddr>,
}

impl Site {
    /// Starts `nodes` nodes on hosts of the test's own, and waits until streams are served.
    fn start(number: u8, nodes: u8, document: &Document) -> Self {
        let host = format!("127.82.{number}.1");
        let platform = Platform::start(&host);
        platform.configure(document);
        let engines = ENGINES.map(|(id, domain)| {
            platform.start_target(
                &host,
                Setup { id: id.into(), service: MODEL, domain, events: EVENTS },
            )
        });
        let plain = ["p1", "p2"].map(|id| {
            platform.start_target(
                &host,
                Setup { id: id.into(), service: PLAIN, domain: "a", events: 0 },
            )
        });
        let nodes: Vec<Entry> = (0..nodes).map(|index| entry(&platform, number, index)).collect();
        sleep(Settings::STARTUP_WITHOUT_RETRIES);
        let site = Self { platform, nodes, engines: engines.into(), plain: plain.into() };
        for node in 0..site.nodes.len() {
            assert!(site.serves(node, document.keys.first().copied()), "node {node} serves");
        }
        site
    }

    /// Whether a node serves a stream soon.
    fn serves(&self, node: usize, key: Option<&'static str>) -> bool {
        let what = Call { key, ..Call::new(Route::Resumable, "probe") };
        self.platform.wait(SOON, || send_call(self.nodes[node].front, &what).is_complete(EVENTS))
    }

    fn ask(&self, node: usize, route: Route, id: &str) -> Reply {
        send_call(self.nodes[node].front, &Call::new(route, id))
    }

    /// Begins `count` streams at a node; their ids are `id` and a number.
    fn streams(&self, node: usize, id: &str, count: usize) -> Vec<JoinHandle<Reply>> {
        let stream = |number| {
            let what = Call::new(Route::Resumable, &format!("{id}{number}"));
            spawn_call(self.nodes[node].front, what)
        };
        (0..count).map(stream).collect()
    }

    /// What ran of the requests whose id begins with `id`.
    fn runs(&self, id: &str) -> Vec<Run> {
        let runs = self.platform.runs().into_iter();
        runs.filter(|run| run.request.starts_with(id)).collect()
    }

    fn trouble(&self, targets: &[SocketAddr], trouble: Fault) {
        for &target in targets {
            self.platform.set_fault(target, trouble);
        }
    }

    /// The engines of the path that a request took.
    fn path(&self, id: &str) -> Vec<SocketAddr> {
        self.runs(id).pop().map(|run| run.engines).unwrap_or_default()
    }

    fn metrics(&self, node: usize) -> String {
        let address = SocketAddr::new(self.nodes[node].front.ip(), METRICS_PORT);
        text(address, "/metrics").expect("metrics are served")
    }
}

/// Starts a node.
fn entry(platform: &Platform, number: u8, index: u8) -> Entry {
    let host = format!("127.82.{number}.{}", 10 + index);
    let name = format!("n{index}");
    let settings = Settings::new(&name, "a", &host, platform.store());
    Entry::start(&format!("{number}-{name}"), &settings)
}

fn ended(streams: Vec<JoinHandle<Reply>>) -> Vec<Reply> {
    streams.into_iter().map(|stream| stream.join().expect("a caller ends")).collect()
}

#[test]
fn streams_are_whole_through_every_layer_once() {
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

/// What targets do to one request, and what its caller gets.
struct Case {
    route: Route,
    /// Trouble of the target that is asked first, or of all.
    trouble: Fault,
    all: bool,
    status: u16,
    /// Whether the whole answer comes.
    whole: bool,
    /// Fewest and most times that the request begins to run.
    runs: (usize, usize),
}

#[parameterized(
    one_cuts = { 10, Case { route: Route::Resumable, trouble: Fault::Cuts(3), all: false, status: 200, whole: true, runs: (1, 2) } },
    all_cut = { 11, Case { route: Route::Resumable, trouble: Fault::Cuts(3), all: true, status: 200, whole: false, runs: (2, 2) } },
    not_resumable = { 12, Case { route: Route::Stream, trouble: Fault::Cuts(3), all: true, status: 200, whole: false, runs: (1, 1) } },
    one_refuses_streams = { 13, Case { route: Route::Resumable, trouble: Fault::Refuses, all: false, status: 200, whole: true, runs: (1, 1) } },
    all_refuse_streams = { 14, Case { route: Route::Resumable, trouble: Fault::Refuses, all: true, status: 503, whole: false, runs: (0, 0) } },
    unsafe_answer_lost = { 15, Case { route: Route::Unsafe, trouble: Fault::LosesAnswers, all: true, status: 502, whole: false, runs: (1, 1) } },
    unsafe_fails = { 16, Case { route: Route::Unsafe, trouble: Fault::Fails, all: true, status: 500, whole: false, runs: (1, 1) } },
    unsafe_refused_once = { 17, Case { route: Route::Unsafe, trouble: Fault::Refuses, all: false, status: 200, whole: true, runs: (1, 1) } },
    unsafe_refused = { 18, Case { route: Route::Unsafe, trouble: Fault::Refuses, all: true, status: 503, whole: false, runs: (0, 0) } },
    safe_answer_lost = { 19, Case { route: Route::Safe, trouble: Fault::LosesAnswers, all: true, status: 502, whole: false, runs: (1, 2) } },
    safe_fails_once = { 20, Case { route: Route::Safe, trouble: Fault::Fails, all: false, status: 200, whole: true, runs: (1, 2) } },
)]
fn failing_targets(number: u8, case: Case) {
    let site = Site::start(number, 1, &Document::default());
    let targets = match case.route {
        Route::Resumable | Route::Stream => &site.engines,
        Route::Safe | Route::Unsafe => &site.plain,
    };
    let most = if case.all { targets.len() } else { 1 };
    site.trouble(&targets[..most], case.trouble);
    // Whichever target is asked first, some of these meet the one with the trouble.
    for id in 0..4 {
        let id = format!("r{id}");
        let reply = site.ask(0, case.route, &id);
        let last = if targets == &site.engines { EVENTS } else { 0 };
        assert_eq!(reply.status, Some(case.status), "{reply:?}");
        assert_eq!(reply.is_complete(last), case.whole, "{reply:?}");
        assert_eq!(reply.retry_after.is_some(), case.status == 503, "{reply:?}");
        let ran = site.runs(&id).len();
        assert!((case.runs.0..=case.runs.1).contains(&ran), "it ran {ran} times");
    }
}

/// Which engine of the path that all streams take is lost.
#[derive(Clone, Copy)]
enum Lost {
    First,
    Last,
}

#[parameterized(first = { 30, Lost::First }, last = { 31, Lost::Last })]
fn streams_go_on_when_an_engine_is_lost(number: u8, lost: Lost) {
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
    // A new engine takes its place, whether or not the other's entry has lapsed.
    site.platform.deregister(engine);
    for node in 0..2 {
        assert!(site.serves(node, None));
    }
}

#[test]
fn leaving_engine_gets_nothing_new_and_finishes() {
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
    assert_eq!(site.runs("s").len(), 8, "none had to move");
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
fn keys_are_refused_once_withdrawn_or_unsure() {
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
    assert_eq!(status(Some("k1")), Some(200), "known recently enough");
    sleep(Duration::from_millis(2500));
    let reply = send_call(site.nodes[0].front, &with(Some("k1")));
    assert_eq!(reply.status, Some(503));
    // There is no other node: it is of no use to come back before the store is asked again.
    let after = reply.retry_after.expect("a time to come back");
    assert!((0.5..=1.5).contains(&after), "{after}");
    site.platform.set_unavailable(false);
    assert!(site.platform.wait(SOON, || status(Some("k1")) == Some(200)));
    assert_eq!(status(Some("k2")), Some(401), "a configuration never reverts");
}

#[test]
fn full_memory_refuses_at_once_and_says_when_to_come_back() {
    let site = Site::start(44, 1, &Document::default());
    let huge = Call { prompt: 10_000_000, ..Call::new(Route::Resumable, "huge") };
    let reply = send_call(site.nodes[0].front, &huge);
    assert_eq!(reply.status, Some(503));
    assert!(reply.retry_after.is_some());
    assert!(reply.elapsed < AT_ONCE, "{reply:?}");
    assert!(site.runs("huge").is_empty());
    assert!(site.metrics(0).contains("magnolia_refusals{reason=\"full\"}"));
}

/// A request that ends the targets that run it, sent again and again at nodes in turn.
struct Crashing {
    route: Route,
    crash: Crash,
}

/// Body of requests that end targets.
const CRASHING: &str = "crash";
/// Most targets that one request may end: the promise to the users counts what is sent after
/// the third.
const MOST_CRASHES: usize = 3;
/// Times that such a request comes.
const REPEATS: usize = 10;
/// Pause between them.
const REPEAT_PAUSE: Duration = Duration::from_millis(700);

impl Site {
    /// Sends the crashing request at nodes in turn.
    fn repeat_crashing(&self, route: Route, id: &str, times: usize) -> Vec<Reply> {
        let send = |turn: usize| {
            let what = Call { body: CRASHING, ..Call::new(route, &format!("{id}{turn}")) };
            let reply = send_call(self.nodes[turn % self.nodes.len()].front, &what);
            sleep(REPEAT_PAUSE);
            reply
        };
        (0..times).map(send).collect()
    }

    /// Number of targets that requests have ended.
    fn crashes(&self) -> usize {
        self.platform.runs().iter().filter(|run| run.crashed.is_some()).count()
    }
}

// Guards against a request that crashes its targets being sent to ever more of them.
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
    assert!(site.crashes() <= MOST_CRASHES, "{} targets ended: {replies:?}", site.crashes());
    let last = replies.last().expect("it was sent");
    assert_eq!((last.status, last.retry_after.is_some()), (Some(503), true), "{last:?}");
    assert!(last.elapsed < AT_ONCE, "{last:?}");
    for node in 0..2 {
        assert!(site.serves(node, None), "others are served");
    }
}

// Guards against a restart of all nodes setting a request free that had crashed its targets,
// also one that has not come again since.
#[parameterized(came_once = { 55, 1 }, came_again = { 58, 4 })]
fn condemned_request_stays_so_when_all_nodes_restart(number: u8, times: usize) {
    let mut site = Site::start(number, 2, &Document::default());
    site.platform.crash_on(CRASHING, Crash::First);
    site.repeat_crashing(Route::Resumable, "r", times);
    let before = site.crashes();
    let kept = || !site.platform.items("magnoliarun/quarantine/").is_empty();
    assert!(site.platform.wait(SOON, kept), "the store has it");
    site.nodes.clear();
    site.nodes = (2..4).map(|index| entry(&site.platform, number, index)).collect();
    for node in 0..2 {
        assert!(site.serves(node, None));
    }
    let replies = site.repeat_crashing(Route::Resumable, "s", 4);
    assert_eq!(site.crashes(), before);
    assert!(replies.iter().all(|reply| reply.status == Some(503)), "{replies:?}");
}

/// Bodies of requests that are well.
const WELL: [&str; 6] = ["w0", "w1", "w2", "w3", "w4", "w5"];

// Guards against requests being condemned that shared their targets with a crashing one.
#[parameterized(first = { 56, Crash::First }, last = { 57, Crash::Last })]
fn requests_beside_a_crashing_one_are_not_condemned(number: u8, crash: Crash) {
    let site = Site::start(number, 2, &Document { attempts: 4, ..Document::default() });
    site.platform.crash_on(CRASHING, crash);
    for turn in 0..6 {
        let well = |(at, &body): (usize, &&'static str)| {
            let id = format!("w{turn}-{at}");
            let what = Call { body, ..Call::new(Route::Resumable, &id) };
            spawn_call(site.nodes[(turn + at) % 2].front, what)
        };
        let callers: Vec<_> = WELL.iter().enumerate().map(well).collect();
        site.repeat_crashing(Route::Resumable, &format!("r{turn}-"), 1);
        ended(callers);
    }
    assert!(site.crashes() <= MOST_CRASHES, "{} targets ended", site.crashes());
    for (at, &body) in WELL.iter().enumerate() {
        let what = Call { body, ..Call::new(Route::Resumable, &format!("last{at}")) };
        let served = || send_call(site.nodes[at % 2].front, &what).is_complete(EVENTS);
        assert!(site.platform.wait(Duration::from_secs(3), served), "{body} is served");
    }
}

// Guards against a request that many callers send being condemned for losses of targets that it
// did not cause.
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
        caller.join().expect("a caller ends");
    }
    for node in 0..2 {
        assert!(site.serves(node, None), "node {node} serves");
    }
}
