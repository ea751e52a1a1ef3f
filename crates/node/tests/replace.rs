//! Tests planned replacements of engines one after another, followed by a planned stop of a node,
//! while streams run that last longer than the interval between replacements: none is cut.

mod entry;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::thread::{JoinHandle, sleep};
use std::time::Duration;

use entry::Entry;
use platform_standin::{
    Arrival, Call, Document, MODEL, Platform, Reply, Route, Run, Settings, Setup, send_call,
    spawn_call,
};
use yare::parameterized;

/// Events of each stream; they take 10 ms each.
const EVENTS: u64 = 350;
/// Longest wait for an expected state.
const STATE_TIMEOUT: Duration = Duration::from_secs(15);
/// Deadline of callers: under load an event takes twice its time, and each engine that ends
/// delays streams by two seconds.
const DEADLINE: Duration = Duration::from_secs(25);
/// Interval between two new streams at a node.
const CALL_INTERVAL: Duration = Duration::from_millis(60);
/// Time that an engine keeps running after it has announced that it leaves.
const LEAVE_DELAY: Duration = Duration::from_millis(900);
/// Turns of new streams before the engines are silent.
const TURNS_BEFORE_SILENCE: usize = 15;
/// Number of silences of all engines.
const SILENCES: usize = 2;
/// Length of a silence: longer than two probes of a target wait for an answer.
const SILENCE: Duration = Duration::from_millis(600);
/// Time between two silences.
const SILENCE_INTERVAL: Duration = Duration::from_millis(300);
/// Number of engines in each failure domain.
const ENGINES_PER_DOMAIN: usize = 3;
/// Ids of the engines, by failure domain.
const ENGINES: [(&str, &str); 6] =
    [("a1", "a"), ("a2", "a"), ("a3", "a"), ("b1", "b"), ("b2", "b"), ("b3", "b")];

/// Which engines are replaced.
#[derive(Clone, Copy)]
enum Which {
    /// All engines of these failure domains.
    Domains(&'static [&'static str]),
    /// The last engine of the path of the newest run; repeated this many times.
    Last(usize),
}

/// A replacement of engines.
struct Case {
    which: Which,
    /// Whether the configuration changes with each replacement.
    configures: bool,
    /// Maximum number of engines at which a request may run.
    attempts: u32,
}

struct Site {
    host: String,
    platform: Platform,
    nodes: Vec<Entry>,
    engines: Vec<(SocketAddr, &'static str)>,
    /// Ids of the engines that have left.
    left: BTreeSet<String>,
}

impl Site {
    fn start(number: u8, attempts: u32) -> Self {
        let host = format!("127.86.{number}.1");
        let platform = Platform::start(&host);
        platform.configure(&document(1, attempts));
        let target = |(id, domain): (&'static str, &'static str)| {
            let setup = Setup { id: id.into(), service: MODEL, domain, events: EVENTS };
            (platform.start_target(&host, setup), domain)
        };
        let engines = ENGINES.map(target).into();
        let node = |index: u8| {
            let host = format!("127.86.{number}.{}", 10 + index);
            let settings = Settings::new(&format!("n{index}"), "a", &host, platform.store());
            Entry::start(&format!("replace-{number}-{index}"), &settings)
        };
        let nodes: Vec<Entry> = (0..2).map(node).collect();
        sleep(Settings::STARTUP_WITHOUT_RETRIES);
        let site = Self { host, platform, nodes, engines, left: BTreeSet::new() };
        for node in 0..2 {
            let probe = Call::new(Route::Resumable, &format!("probe{node}"));
            let serves = || send_call(site.nodes[node].front, &probe).is_complete(EVENTS);
            assert!(site.platform.wait(STATE_TIMEOUT, serves), "node {node} serves");
        }
        site
    }

    /// Returns the index of the engine with the last layers on the path of the newest run.
    fn last_engine(&self) -> usize {
        let runs = self.platform.runs();
        let last = runs.last().and_then(|run| run.engines.last()).expect("a stream has run");
        self.engines.iter().position(|(engine, _)| engine == last).expect("it has not left")
    }

    /// Drains an engine, ends it and starts a new one in its place.
    fn replace(&mut self, index: usize) {
        let (engine, domain) = self.engines[index];
        self.platform.drain(engine);
        sleep(LEAVE_DELAY);
        self.platform.deregister(engine);
        self.platform.kill(engine);
        self.left.extend(self.platform.target_id(engine));
        let id = format!("{}-{}", ENGINES[index].0, self.left.len()).into();
        let setup = Setup { id, service: MODEL, domain, events: EVENTS };
        self.engines[index].0 = self.platform.start_target(&self.host, setup);
    }
}

fn document(version: u64, attempts: u32) -> Document {
    Document { version, attempts, ..Document::default() }
}

/// Starts one stream at each node per turn, `CALL_INTERVAL` apart.
fn start_streams(fronts: &[SocketAddr], turns: usize) -> Vec<(String, JoinHandle<Reply>)> {
    let mut streams = Vec::new();
    for turn in 0..turns {
        for (node, front) in fronts.iter().enumerate() {
            let id = format!("s{turn}-{node}");
            let what = Call { deadline: DEADLINE, ..Call::new(Route::Resumable, &id) };
            streams.push((id, spawn_call(*front, what)));
        }
        sleep(CALL_INTERVAL);
    }
    streams
}

// Guards against announced replacements of engines cutting streams that may still run elsewhere.
#[parameterized(
    one_domain = { 1, Case { which: Which::Domains(&["a"]), configures: false, attempts: 2 } },
    one_domain_while_configured = { 2, Case { which: Which::Domains(&["a"]), configures: true, attempts: 2 } },
    all_domains = { 3, Case { which: Which::Domains(&["a", "b"]), configures: false, attempts: 2 } },
    one_attempt = { 4, Case { which: Which::Domains(&["a", "b"]), configures: true, attempts: 1 } },
    last_stages = { 5, Case { which: Which::Last(5), configures: false, attempts: 2 } },
    last_stages_while_configured = { 6, Case { which: Which::Last(5), configures: true, attempts: 2 } },
    last_stages_one_attempt = { 7, Case { which: Which::Last(5), configures: false, attempts: 1 } },
)]
fn planned_replacement_cuts_no_stream(number: u8, case: Case) {
    let mut site = Site::start(number, case.attempts);
    let fronts: Vec<SocketAddr> = site.nodes.iter().map(|node| node.front).collect();
    let times = match case.which {
        Which::Domains(domains) => domains.len() * ENGINES_PER_DOMAIN,
        Which::Last(times) => times,
    };
    let turns = (LEAVE_DELAY.as_millis() / CALL_INTERVAL.as_millis()) as usize * times;
    let callers = std::thread::spawn(move || start_streams(&fronts, turns));
    for (version, turn) in (2..).zip(0..times) {
        sleep(CALL_INTERVAL);
        let index = match case.which {
            // Engines are listed in the order of their domains.
            Which::Domains(_) => turn,
            Which::Last(_) => site.last_engine(),
        };
        site.replace(index);
        if case.configures {
            site.platform.configure(&document(version, case.attempts));
        }
    }
    let streams = callers.join().expect("the thread that starts streams ends");
    // A planned stop of a node at the same time cuts nothing either.
    site.nodes[1].signal("TERM");
    let replies = ended(streams);
    let runs = site.platform.runs();
    site.assert_none_cut(&runs, &replies, case.attempts);
    let served = replies.iter().filter(|(_, reply)| reply.status == Some(200)).count();
    assert!(served * 10 >= replies.len() * 9, "{served} of {} served", replies.len());
    assert!(runs.iter().all(|run| run.covers_all_layers(Document::DEPTH)));
    for run in &runs {
        let engines_used = engines_used(&runs, &run.request).len();
        assert!(engines_used <= case.attempts as usize, "{run:?} of {engines_used} engines");
    }
}

/// Returns the replies to streams, with the ids of the streams, once all have ended.
fn ended(streams: Vec<(String, JoinHandle<Reply>)>) -> Vec<(String, Reply)> {
    streams.into_iter().map(|(id, stream)| (id, stream.join().expect("it ends"))).collect()
}

// Guards against streams cut because sound engines are silent for a while after another engine has
// been replaced, as on a busy machine: the path to which a stream had moved was given up, and its
// engines counted as lost, although the stream could run nowhere else.
#[test]
fn silence_after_a_replacement_cuts_no_stream() {
    const ATTEMPTS: u32 = 1;
    let mut site = Site::start(8, ATTEMPTS);
    let fronts: Vec<SocketAddr> = site.nodes.iter().map(|node| node.front).collect();
    let streams = start_streams(&fronts, TURNS_BEFORE_SILENCE);
    site.replace(site.last_engine());
    for _ in 0..SILENCES {
        site.set_silent(true);
        sleep(SILENCE);
        site.set_silent(false);
        sleep(SILENCE_INTERVAL);
    }
    let replies = ended(streams);
    assert!(replies.iter().all(|(_, reply)| reply.status == Some(200)), "{replies:?}");
    site.assert_none_cut(&site.platform.runs(), &replies, ATTEMPTS);
}

impl Site {
    /// Sets whether all engines are silent.
    fn set_silent(&self, silent: bool) {
        for (engine, _) in &self.engines {
            self.platform.set_silent(*engine, silent);
        }
    }

    /// Checks that no stream ended early, except those that may run nowhere any more.
    fn assert_none_cut(&self, runs: &[Run], replies: &[(String, Reply)], attempts: u32) {
        for (id, reply) in replies {
            let is_cut = reply.status == Some(200) && !reply.is_complete(EVENTS);
            assert!(!is_cut || self.has_used_up(runs, id, attempts), "{id} is cut: {reply:?}");
        }
    }

    /// Returns whether a request has run at the maximum number of engines and none of them can
    /// start a path for it any more, because it has left or was assigned other layers.
    fn has_used_up(&self, runs: &[Run], request: &str, attempts: u32) -> bool {
        let orders: Vec<Arrival> = self.platform.arrivals();
        let is_given_others = |run: &Run| {
            let mut orders = orders.iter().filter(|one| one.path == "/order" && one.at >= run.at);
            orders.any(|order| run.engines.first() == Some(&order.target))
        };
        let cannot = |run: &Run| self.left.contains(&run.target) || is_given_others(run);
        let mut own = runs.iter().filter(|run| run.request == request);
        engines_used(runs, request).len() == attempts as usize && own.all(cannot)
    }
}

/// Returns the ids of the engines at which a request has run.
fn engines_used<'a>(runs: &'a [Run], request: &str) -> BTreeSet<&'a str> {
    let runs = runs.iter().filter(|run| run.request == request);
    runs.map(|run| run.target.as_str()).collect()
}
