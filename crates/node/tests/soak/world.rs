//! The processes of a soak test, their callers, and the faults that are injected.

use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{self, JoinHandle, sleep};
use std::time::{Duration, Instant};

use platform_standin::{
    Call, Crash, Document, Failure, Fault, Impairment, MODEL, PLAIN, Placement, Platform, Proxy,
    Reply, Route, Settings, Setup, send_call,
};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::drill::{Drills, VALID_KEY, WITHDRAWN_KEYS, Withdrawal};
use crate::entry::{Entry, LOGS_VARIABLE};

/// Events of each stream; they take 10 ms each.
pub(crate) const EVENTS: u64 = 40;
/// Time during which faults are injected.
const FAULT_PERIOD: Duration = Duration::from_secs(6);
/// Shortest and longest pause between two faults, milliseconds; shorter than most faults, so that
/// they overlap.
const FAULT_INTERVAL_MS: (u64, u64) = (100, 700);
/// Shortest and longest duration of a fault, milliseconds.
const FAULT_DURATION_MS: (u64, u64) = (200, 2000);
/// Shortest and longest time for which a target names a limit, milliseconds.
const LIMIT_DURATION_MS: (u64, u64) = (500, 4000);
/// Shortest and longest time between two such targets, milliseconds.
const LIMIT_INTERVAL_MS: (u64, u64) = (300, 1500);
/// Limits that targets name, requests per second.
const LIMITS: [&str; 3] = ["0", "1.5", "6"];
/// Distinguishes the numbers drawn for limits from those of the other faults.
const LIMIT_SEED_MASK: u64 = 0x11417;
/// Failures of targets that have run a request.
const FAILURES: [Fault; 5] = [
    Fault::Fails,
    Fault::FailsWith(Failure { retry_after: Some("0.4"), ..Failure::new(503) }),
    Fault::FailsWith(Failure { is_signed: false, ..Failure::new(503) }),
    Fault::FailsWith(Failure::new(429)),
    Fault::FailsWith(Failure::new(408)),
];
/// Distinguishes the numbers drawn for failures from those of the other faults.
const FAILURE_SEED_MASK: u64 = 0xfa11ed;
/// Time from the end of a target until its store entry is removed.
const DEREGISTER_DELAY: Duration = Duration::from_millis(600);
/// Time from an engine's announcement that it leaves until it ends.
const LEAVE_DELAY: Duration = Duration::from_millis(1500);
/// Longest wait until a node serves again.
const RECOVERY_LIMIT: Duration = Duration::from_secs(15);
/// Bodies of requests that crash targets, with the engine of the path that crashes.
pub(crate) const CRASHING: [(&str, Crash); 2] =
    [("ends its first target", Crash::First), ("ends its last target", Crash::Last)];
/// Part of prompts that crashes the first target of a request's path.
pub(crate) const CRASHING_PART: &str = "dd";
/// Number of harmless parts that requests share.
const HARMLESS_PARTS: u32 = 8;
/// Share of crashing requests among all requests.
const CRASHING_SHARE: f64 = 0.03;
/// Share of requests with keys that drills withdraw.
const WITHDRAWN_SHARE: f64 = 0.15;
const CALLERS: usize = 8;
const NODES: u8 = 3;
const ENGINES: [(&str, &str); 6] =
    [("a1", "a"), ("a2", "a"), ("a3", "a"), ("b1", "b"), ("b2", "b"), ("b3", "b")];

/// A call and its reply.
pub(crate) struct Exchange {
    pub(crate) call: Call,
    /// Node that the call was sent to.
    pub(crate) front: SocketAddr,
    pub(crate) sent_at: Instant,
    pub(crate) reply: Reply,
}

/// Observations of a soak run.
pub(crate) struct Outcome {
    pub(crate) exchanges: Vec<Exchange>,
    pub(crate) runs: Vec<platform_standin::Run>,
    /// Orders that engines have carried out.
    pub(crate) placements: Vec<Placement>,
    /// Whether all nodes were started again between a copy of the store and the return with it, so
    /// that what was written meanwhile is lost for good.
    pub(crate) is_memory_lost: bool,
    /// Keys that were withdrawn in drills.
    pub(crate) withdrawals: Vec<Withdrawal>,
    /// Ids of the requests that a node has forwarded to another node.
    pub(crate) forwarded: BTreeSet<String>,
    /// Ids of the targets that ended.
    pub(crate) ended: Vec<String>,
    /// Number of nodes that exited without a signal.
    pub(crate) exits: usize,
    /// Number of nodes that did not serve again after the faults.
    pub(crate) unavailable: usize,
    /// Injected faults in order, printed when a run fails.
    pub(crate) faults: Vec<String>,
}

/// A node and the proxy between it and the store.
struct Node {
    name: String,
    log: PathBuf,
    settings: Settings,
    proxy: Proxy,
    entry: Entry,
    state: State,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum State {
    Running,
    Paused,
    /// A signal to stop was sent; the node is restarted once its process has ended.
    Stopping,
}

/// How an engine is lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Loss {
    Killed,
    /// Its store entry announces that it leaves.
    Drained,
    /// Its answers announce that it leaves.
    AnnouncesInAnswers,
}

/// Actions that are due some time after a fault.
enum Action {
    Resume(usize),
    RestoreLink(usize),
    ClearFault(SocketAddr),
    RestoreStore,
    /// Ends a target that was killed or has announced that it leaves.
    End(SocketAddr),
    Deregister(SocketAddr),
}

struct World {
    rng: SmallRng,
    host: String,
    platform: Platform,
    nodes: Vec<Node>,
    /// Running targets with their service.
    targets: BTreeMap<SocketAddr, &'static str>,
    actions: Vec<(Instant, Action)>,
    /// `None` in runs without drills.
    drills: Option<Drills>,
    /// Draws the failures of targets that have run a request.
    failures: SmallRng,
    /// Draws the limits that targets name; `None` in runs without drills.
    limits: Option<SmallRng>,
    /// Nodes that were started again, and when.
    restarts: Vec<(usize, Instant)>,
    ended: Vec<String>,
    exits: usize,
    faults: Vec<String>,
    started: usize,
}

/// Runs one seed on the hosts of a slot, with or without drills.
pub(crate) fn run_seed(seed: u64, slot: u8, has_drills: bool) -> Outcome {
    let mut world = World::start(seed, slot, has_drills);
    let stop = Arc::new(AtomicBool::new(false));
    let exchanges = Arc::new(Mutex::new(Vec::new()));
    let fronts: Vec<SocketAddr> = world.nodes.iter().map(|node| node.settings.front).collect();
    let callers: Vec<JoinHandle<()>> = (0..CALLERS)
        .map(|number| {
            let (fronts, stop, exchanges) = (fronts.clone(), stop.clone(), exchanges.clone());
            let rng = SmallRng::seed_from_u64(seed ^ (number as u64 + 1) << 32);
            thread::spawn(move || send_calls(number, &fronts, &stop, &exchanges, rng, has_drills))
        })
        .collect();
    world.inject_faults();
    world.wait_until_recovered();
    stop.store(true, Ordering::Relaxed);
    for caller in callers {
        caller.join().expect("a caller thread ends");
    }
    let unavailable = world.unavailable_nodes();
    let exchanges = std::mem::take(&mut *exchanges.lock().unwrap_or_else(PoisonError::into_inner));
    let (runs, placements) = (world.platform.runs(), world.platform.placements());
    let is_memory_lost = world.is_memory_lost();
    let forwarded = world.forwarded_requests();
    let withdrawals = world.drills.as_ref().map(|drills| drills.withdrawals().to_vec());
    Outcome {
        exchanges,
        runs,
        placements,
        is_memory_lost,
        withdrawals: withdrawals.unwrap_or_default(),
        forwarded,
        ended: world.ended,
        exits: world.exits,
        unavailable,
        faults: world.faults,
    }
}

/// Sends one request after another until `stop` is set.
fn send_calls(
    number: usize,
    fronts: &[SocketAddr],
    stop: &AtomicBool,
    exchanges: &Mutex<Vec<Exchange>>,
    mut rng: SmallRng,
    has_keys: bool,
) {
    for count in 0.. {
        if stop.load(Ordering::Relaxed) {
            return;
        }
        let route = match rng.random_range(0..10) {
            0..5 => Route::Resumable,
            5 => Route::Stream,
            6..8 => Route::Safe,
            _ => Route::Unsafe,
        };
        let mut what = Call::new(route, &format!("c{number}-{count}"));
        if rng.random_bool(CRASHING_SHARE) {
            what.body = CRASHING[rng.random_range(0..CRASHING.len())].0;
        }
        if route == Route::Resumable {
            what.parts = random_parts(&mut rng);
        }
        if has_keys {
            what.key = Some(random_key(&mut rng));
        }
        let front = fronts[rng.random_range(0..fronts.len())];
        let sent_at = Instant::now();
        let reply = send_call(front, &what);
        let refused = reply.status.is_none_or(|status| status != 200);
        exchanges.lock().unwrap_or_else(PoisonError::into_inner).push(Exchange {
            call: what,
            front,
            sent_at,
            reply,
        });
        if refused {
            sleep(Duration::from_millis(rng.random_range(10..60)));
        }
    }
}

/// Returns the key of a request in a run with drills.
fn random_key(rng: &mut SmallRng) -> &'static str {
    if rng.random_bool(WITHDRAWN_SHARE) {
        return WITHDRAWN_KEYS[rng.random_range(0..WITHDRAWN_KEYS.len())];
    }
    VALID_KEY
}

/// Returns the parts of a prompt: one that all prompts start with, at times a harmless or a
/// crashing one, and one of its own.
fn random_parts(rng: &mut SmallRng) -> String {
    let own: u32 = rng.random();
    if rng.random_bool(CRASHING_SHARE) {
        return format!("a0:40,{CRASHING_PART}:20,{own:x}:40");
    }
    match rng.random_range(0..2 * HARMLESS_PARTS) {
        part if part < HARMLESS_PARTS => format!("a0:40,e{part}:20,{own:x}:40"),
        _ => format!("a0:40,{own:x}:60"),
    }
}

impl World {
    fn start(seed: u64, slot: u8, has_drills: bool) -> Self {
        let host = format!("127.84.{slot}.1");
        let platform = Platform::start(&host);
        let drills = has_drills.then(|| Drills::new(seed));
        platform.configure(&drills.as_ref().map_or_else(Document::default, Drills::document));
        for (body, crash) in CRASHING {
            platform.crash_on(body, crash);
        }
        platform.set_crashing_part(CRASHING_PART, true);
        let node = |index: u8| {
            let host = format!("127.84.{slot}.{}", 10 + index);
            let proxy = Proxy::start(&host, platform.store());
            let settings = Settings::new(&format!("n{index}"), "a", &host, proxy.address());
            let name = format!("soak-{slot}-{index}");
            let folder = std::env::var_os(LOGS_VARIABLE).map(PathBuf::from);
            let folder = folder.unwrap_or_else(std::env::temp_dir);
            let log = folder.join(format!("{}-{seed}-{name}.log", std::process::id()));
            let entry = Entry::start_logged(&name, &settings, &log);
            Node { name, log, settings, proxy, entry, state: State::Running }
        };
        let nodes = (0..NODES).map(node).collect();
        let mut world = Self {
            rng: SmallRng::seed_from_u64(seed),
            host,
            platform,
            nodes,
            targets: BTreeMap::new(),
            actions: Vec::new(),
            failures: SmallRng::seed_from_u64(seed ^ FAILURE_SEED_MASK),
            limits: drills.is_some().then(|| SmallRng::seed_from_u64(seed ^ LIMIT_SEED_MASK)),
            drills,
            restarts: Vec::new(),
            ended: Vec::new(),
            exits: 0,
            faults: Vec::new(),
            started: 0,
        };
        for (id, domain) in ENGINES {
            world.add_target(id.to_owned(), MODEL, domain);
        }
        for id in ["p1", "p2"] {
            world.add_target(id.to_owned(), PLAIN, "a");
        }
        assert_eq!(world.unavailable_nodes(), 0, "the nodes serve before the first fault");
        world
    }

    fn add_target(&mut self, id: String, service: &'static str, domain: &'static str) {
        let setup = Setup { id: id.into(), service, domain, events: EVENTS };
        let address = self.platform.start_target(&self.host, setup);
        self.targets.insert(address, service);
    }

    /// Injects faults in series and overlapping.
    fn inject_faults(&mut self) {
        let until = Instant::now() + FAULT_PERIOD;
        let mut next = Instant::now();
        let mut next_limit = Instant::now();
        while Instant::now() < until || !self.are_drills_done() {
            self.run_due_actions();
            if Instant::now() >= next_limit {
                next_limit = self.limit_target();
            }
            if Instant::now() >= next {
                self.inject_fault();
                let pause = self.rng.random_range(FAULT_INTERVAL_MS.0..FAULT_INTERVAL_MS.1);
                next = Instant::now() + Duration::from_millis(pause);
            }
            sleep(Duration::from_millis(10));
        }
    }

    fn are_drills_done(&self) -> bool {
        self.drills.as_ref().is_none_or(Drills::is_done)
    }

    /// Waits until all faults have ended and all nodes run.
    fn wait_until_recovered(&mut self) {
        while !self.actions.is_empty() || self.nodes.iter().any(|node| node.state != State::Running)
        {
            self.run_due_actions();
            sleep(Duration::from_millis(10));
        }
    }

    /// Counts the nodes that do not serve a stream and a booking within `RECOVERY_LIMIT` each.
    fn unavailable_nodes(&self) -> usize {
        let serves = |node: &&Node| {
            let front = node.entry.front;
            let key = self.drills.as_ref().map(|_| VALID_KEY);
            let probe = |route| send_call(front, &Call { key, ..Call::new(route, "probe") });
            let stream = || probe(Route::Resumable).is_complete(EVENTS);
            let booking = || probe(Route::Safe).status == Some(200);
            self.platform.wait(RECOVERY_LIMIT, stream)
                && self.platform.wait(RECOVERY_LIMIT, booking)
        };
        self.nodes.iter().filter(|node| !serves(node)).count()
    }

    /// Lets a target name a limit, in runs with drills. Returns when the next one does.
    fn limit_target(&mut self) -> Instant {
        let Some(rng) = &mut self.limits else { return Instant::now() + FAULT_PERIOD };
        let mut millis = |(shortest, longest)| {
            Instant::now() + Duration::from_millis(rng.random_range(shortest..longest))
        };
        let (ends, next) = (millis(LIMIT_DURATION_MS), millis(LIMIT_INTERVAL_MS));
        let targets: Vec<SocketAddr> = self.targets.keys().copied().collect();
        let target = targets[rng.random_range(0..targets.len())];
        let fault = Fault::Limits(LIMITS[rng.random_range(0..LIMITS.len())]);
        self.platform.set_fault(target, fault);
        self.actions.push((ends, Action::ClearFault(target)));
        self.record(format!("target {target}: {fault:?}"));
        next
    }

    fn fault_end(&mut self) -> Instant {
        Instant::now()
            + Duration::from_millis(self.rng.random_range(FAULT_DURATION_MS.0..FAULT_DURATION_MS.1))
    }

    fn record(&mut self, fault: String) {
        self.faults.push(fault);
    }

    fn inject_fault(&mut self) {
        let index = self.rng.random_range(0..self.nodes.len());
        let ends = self.fault_end();
        match self.rng.random_range(0..11) {
            0 => {
                self.signal(index, "TERM", State::Stopping);
            }
            1 => {
                self.signal(index, "KILL", State::Stopping);
            }
            2 => self.pause_node(index, ends),
            3 | 4 => self.impair_store(index, ends),
            5 => {
                self.platform.set_unavailable(true);
                self.actions.push((ends, Action::RestoreStore));
                self.record("the store refuses calls".to_owned());
            }
            6 => self.lose_engine(Loss::Killed),
            7 => self.lose_engine(Loss::Drained),
            8 => self.lose_engine(Loss::AnnouncesInAnswers),
            _ => self.inject_target_fault(ends),
        }
    }

    /// Sends a signal to a running node and sets its state; returns whether the node was running.
    fn signal(&mut self, index: usize, signal: &str, state: State) -> bool {
        let node = &mut self.nodes[index];
        if node.state != State::Running {
            return false;
        }
        node.entry.signal(signal);
        node.state = state;
        self.record(format!("node {index}: signal {signal}"));
        true
    }

    fn pause_node(&mut self, index: usize, ends: Instant) {
        if self.signal(index, "STOP", State::Paused) {
            self.actions.push((ends, Action::Resume(index)));
        }
    }

    fn impair_store(&mut self, index: usize, ends: Instant) {
        let delay = Duration::from_millis(self.rng.random_range(20..300));
        let impairments = [
            Impairment::Delay(delay),
            Impairment::Reset,
            Impairment::Silence,
            Impairment::NoAnswers,
        ];
        let impairment = impairments[self.rng.random_range(0..impairments.len())];
        self.nodes[index].proxy.set_impairment(impairment);
        self.actions.push((ends, Action::RestoreLink(index)));
        self.record(format!("node {index} and the store: {impairment:?}"));
    }

    /// Ends an engine, with or without an announcement, and starts another in its place.
    fn lose_engine(&mut self, loss: Loss) {
        let engines: Vec<SocketAddr> = self
            .targets
            .iter()
            .filter(|(_, service)| **service == MODEL)
            .map(|(address, _)| *address)
            .collect();
        let target = engines[self.rng.random_range(0..engines.len())];
        self.targets.remove(&target);
        self.record(format!("engine {target}: {loss:?}"));
        match loss {
            Loss::Killed => {}
            Loss::Drained => self.platform.drain(target),
            Loss::AnnouncesInAnswers => self.platform.set_fault(target, Fault::Leaves),
        }
        let notice = if loss == Loss::Killed { Duration::ZERO } else { LEAVE_DELAY };
        self.actions.push((Instant::now() + notice, Action::End(target)));
        self.started += 1;
        let domain = if self.rng.random() { "a" } else { "b" };
        self.add_target(format!("x{}", self.started), MODEL, domain);
    }

    fn inject_target_fault(&mut self, ends: Instant) {
        let targets: Vec<SocketAddr> = self.targets.keys().copied().collect();
        let target = targets[self.rng.random_range(0..targets.len())];
        let faults = [
            Fault::Refuses,
            Fault::Cuts(5),
            Fault::LosesAnswers,
            Fault::Fails,
            Fault::BacksOff("0.8"),
            Fault::BacksOffAll("0.4"),
        ];
        let mut fault = faults[self.rng.random_range(0..faults.len())];
        if fault == Fault::Fails {
            fault = FAILURES[self.failures.random_range(0..FAILURES.len())];
        }
        self.platform.set_fault(target, fault);
        self.actions.push((ends, Action::ClearFault(target)));
        self.record(format!("target {target}: {fault:?}"));
    }

    /// Carries out actions that are due and restarts nodes whose process has ended.
    fn run_due_actions(&mut self) {
        if let Some(drills) = &mut self.drills {
            self.faults.extend(drills.carry_out(&self.platform));
        }
        let now = Instant::now();
        let (due, actions) =
            std::mem::take(&mut self.actions).into_iter().partition(|l| l.0 <= now);
        self.actions = actions;
        let due: Vec<(Instant, Action)> = due;
        for (_, what) in due {
            self.carry_out(what);
        }
        for (index, node) in self.nodes.iter_mut().enumerate() {
            let ended =
                node.entry.child.try_wait().expect("the state of the process is known").is_some();
            if !ended {
                continue;
            }
            self.exits += usize::from(node.state == State::Running);
            node.entry = Entry::start_logged(&node.name, &node.settings, &node.log);
            node.state = State::Running;
            self.restarts.push((index, Instant::now()));
        }
    }

    /// Returns the ids of the requests that a node has forwarded, as far as its log was written.
    fn forwarded_requests(&self) -> BTreeSet<String> {
        let mut ids = BTreeSet::new();
        for node in &self.nodes {
            // What a killed process has not written stays out.
            let log = fs::read_to_string(&node.log).unwrap_or_default();
            let lines = log.lines().filter(|line| line.contains("name=request-forwarded"));
            let id =
                |line: &str| Some(line.split_once("request=")?.1.split(' ').next()?.to_owned());
            ids.extend(lines.filter_map(id));
            if std::env::var_os(LOGS_VARIABLE).is_none() {
                fs::remove_file(&node.log).ok();
            }
        }
        ids
    }

    fn is_memory_lost(&self) -> bool {
        let losses = self.drills.as_ref().map_or(&[][..], Drills::losses);
        losses.iter().any(|(copied_at, returned_at)| {
            let has_restarted = |node| {
                let mut restarts = self.restarts.iter().filter(|(index, _)| *index == node);
                restarts.any(|(_, at)| copied_at < at && at < returned_at)
            };
            (0..self.nodes.len()).all(has_restarted)
        })
    }

    fn carry_out(&mut self, what: Action) {
        match what {
            Action::Resume(index) => {
                self.nodes[index].entry.signal("CONT");
                self.nodes[index].state = State::Running;
            }
            Action::RestoreLink(index) => self.nodes[index].proxy.set_impairment(Impairment::None),
            Action::ClearFault(target) => self.platform.set_fault(target, Fault::None),
            Action::RestoreStore => self.platform.set_unavailable(false),
            Action::End(target) => {
                self.platform.kill(target);
                self.ended.extend(self.platform.target_id(target));
                self.actions.push((Instant::now() + DEREGISTER_DELAY, Action::Deregister(target)));
            }
            Action::Deregister(target) => self.platform.deregister(target),
        }
    }
}
