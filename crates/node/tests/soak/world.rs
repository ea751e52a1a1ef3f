//! The processes of a soak, their callers, and the faults that are drawn for them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{self, JoinHandle, sleep};
use std::time::{Duration, Instant};

use platform_standin::{
    Call, Crash, Document, Fault, Impairment, MODEL, PLAIN, Platform, Proxy, Reply, Route,
    Settings, Setup, send_call,
};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::entry::Entry;

/// Events of each stream; they take 10 ms each.
pub(crate) const EVENTS: u64 = 40;
/// How long faults are drawn.
const LENGTH: Duration = Duration::from_secs(6);
/// Shortest and longest pause between two faults, milliseconds: they overlap.
const BETWEEN_MS: (u64, u64) = (100, 700);
/// Shortest and longest time that a fault lasts, milliseconds.
const LASTS_MS: (u64, u64) = (200, 2000);
/// Entries lapse this long after their target ended.
const LAPSE: Duration = Duration::from_millis(600);
/// Time between an engine's word that it leaves and its end.
const NOTICE: Duration = Duration::from_millis(1500);
/// Longest wait for all nodes to serve again.
const RECOVERY: Duration = Duration::from_secs(15);
/// Bodies of requests that end targets, and how.
pub(crate) const CRASHING: [(&str, Crash); 2] =
    [("ends its first target", Crash::First), ("ends its last target", Crash::Last)];
/// Share of them among all requests.
const CRASHING_SHARE: f64 = 0.03;
const CALLERS: usize = 8;
const NODES: u8 = 3;
const ENGINES: [(&str, &str); 6] =
    [("a1", "a"), ("a2", "a"), ("a3", "a"), ("b1", "b"), ("b2", "b"), ("b3", "b")];

/// A request and what came of it.
pub(crate) struct Asked {
    pub(crate) ask: Call,
    pub(crate) reply: Reply,
}

/// What a soak has shown.
pub(crate) struct Shown {
    pub(crate) asked: Vec<Asked>,
    pub(crate) runs: Vec<platform_standin::Run>,
    /// Targets that ended.
    pub(crate) ended: Vec<String>,
    /// Nodes that ended without a signal.
    pub(crate) exits: usize,
    /// Nodes that did not serve again after the faults.
    pub(crate) lost: usize,
    /// Faults in their order, for the report of a failure.
    pub(crate) faults: Vec<String>,
}

/// A node and the proxy between it and the store.
struct Node {
    name: String,
    settings: Settings,
    proxy: Proxy,
    entry: Entry,
    state: State,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum State {
    Running,
    Paused,
    /// A stop was asked for; started again once it has ended.
    Stopping,
}

/// How an engine goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Loss {
    Killed,
    /// Its entry says that it leaves.
    Drains,
    /// Its answers do.
    SaysSo,
}

/// What ends, or follows a fault, at a time.
enum Later {
    Resume(usize),
    Heal(usize),
    Calm(SocketAddr),
    StoreBack,
    /// A target ends that said it would leave.
    End(SocketAddr),
    Forget(SocketAddr),
}

struct World {
    rng: SmallRng,
    host: String,
    platform: Platform,
    nodes: Vec<Node>,
    /// Targets that live, with their service.
    targets: BTreeMap<SocketAddr, &'static str>,
    later: Vec<(Instant, Later)>,
    ended: Vec<String>,
    exits: usize,
    faults: Vec<String>,
    started: usize,
}

/// Plays one seed on hosts of its own.
pub(crate) fn play(seed: u64, slot: u8) -> Shown {
    let mut world = World::start(seed, slot);
    let stop = Arc::new(AtomicBool::new(false));
    let asked = Arc::new(Mutex::new(Vec::new()));
    let fronts: Vec<SocketAddr> = world.nodes.iter().map(|node| node.settings.front).collect();
    let callers: Vec<JoinHandle<()>> = (0..CALLERS)
        .map(|number| {
            let (fronts, stop, asked) = (fronts.clone(), stop.clone(), asked.clone());
            let rng = SmallRng::seed_from_u64(seed ^ (number as u64 + 1) << 32);
            thread::spawn(move || call(number, &fronts, &stop, &asked, rng))
        })
        .collect();
    world.trouble();
    world.calm();
    stop.store(true, Ordering::Relaxed);
    for caller in callers {
        caller.join().expect("a caller ends");
    }
    let lost = world.unserving();
    let asked = std::mem::take(&mut *asked.lock().unwrap_or_else(PoisonError::into_inner));
    let runs = world.platform.runs();
    Shown { asked, runs, ended: world.ended, exits: world.exits, lost, faults: world.faults }
}

/// Asks for one thing after another.
fn call(
    number: usize,
    fronts: &[SocketAddr],
    stop: &AtomicBool,
    asked: &Mutex<Vec<Asked>>,
    mut rng: SmallRng,
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
        let reply = send_call(fronts[rng.random_range(0..fronts.len())], &what);
        let refused = reply.status.is_none_or(|status| status != 200);
        asked.lock().unwrap_or_else(PoisonError::into_inner).push(Asked { ask: what, reply });
        if refused {
            sleep(Duration::from_millis(rng.random_range(10..60)));
        }
    }
}

impl World {
    fn start(seed: u64, slot: u8) -> Self {
        let host = format!("127.84.{slot}.1");
        let platform = Platform::start(&host);
        platform.configure(&Document::default());
        for (body, crash) in CRASHING {
            platform.crash_on(body, crash);
        }
        let node = |index: u8| {
            let host = format!("127.84.{slot}.{}", 10 + index);
            let proxy = Proxy::start(&host, platform.store());
            let settings = Settings::new(&format!("n{index}"), "a", &host, proxy.address());
            let name = format!("soak-{slot}-{index}");
            let entry = Entry::start(&name, &settings);
            Node { name, settings, proxy, entry, state: State::Running }
        };
        let nodes = (0..NODES).map(node).collect();
        let mut world = Self {
            rng: SmallRng::seed_from_u64(seed),
            host,
            platform,
            nodes,
            targets: BTreeMap::new(),
            later: Vec::new(),
            ended: Vec::new(),
            exits: 0,
            faults: Vec::new(),
            started: 0,
        };
        for (id, domain) in ENGINES {
            world.add(id.to_owned(), MODEL, domain);
        }
        for id in ["p1", "p2"] {
            world.add(id.to_owned(), PLAIN, "a");
        }
        assert_eq!(world.unserving(), 0, "the nodes serve before the first fault");
        world
    }

    fn add(&mut self, id: String, service: &'static str, domain: &'static str) {
        let setup = Setup { id: id.into(), service, domain, events: EVENTS };
        let address = self.platform.start_target(&self.host, setup);
        self.targets.insert(address, service);
    }

    /// Draws faults, in series and overlapping.
    fn trouble(&mut self) {
        let until = Instant::now() + LENGTH;
        let mut next = Instant::now();
        while Instant::now() < until {
            self.tend();
            if Instant::now() >= next {
                self.draw();
                let pause = self.rng.random_range(BETWEEN_MS.0..BETWEEN_MS.1);
                next = Instant::now() + Duration::from_millis(pause);
            }
            sleep(Duration::from_millis(10));
        }
    }

    /// Waits until all faults have ended and all nodes run.
    fn calm(&mut self) {
        while !self.later.is_empty() || self.nodes.iter().any(|node| node.state != State::Running) {
            self.tend();
            sleep(Duration::from_millis(10));
        }
    }

    /// Nodes that do not serve a stream and a booking within the time to recover.
    fn unserving(&self) -> usize {
        let serves = |node: &&Node| {
            let front = node.entry.front;
            let stream =
                || send_call(front, &Call::new(Route::Resumable, "probe")).is_complete(EVENTS);
            let booking = || send_call(front, &Call::new(Route::Safe, "probe")).status == Some(200);
            self.platform.wait(RECOVERY, stream) && self.platform.wait(RECOVERY, booking)
        };
        self.nodes.iter().filter(|node| !serves(node)).count()
    }

    fn lasts(&mut self) -> Instant {
        Instant::now() + Duration::from_millis(self.rng.random_range(LASTS_MS.0..LASTS_MS.1))
    }

    fn note(&mut self, fault: String) {
        self.faults.push(fault);
    }

    fn draw(&mut self) {
        let index = self.rng.random_range(0..self.nodes.len());
        let ends = self.lasts();
        match self.rng.random_range(0..11) {
            0 => {
                self.signal(index, "TERM", State::Stopping);
            }
            1 => {
                self.signal(index, "KILL", State::Stopping);
            }
            2 => self.pause(index, ends),
            3 | 4 => self.harm(index, ends),
            5 => {
                self.platform.set_unavailable(true);
                self.later.push((ends, Later::StoreBack));
                self.note("the store refuses".to_owned());
            }
            6 => self.lose_engine(Loss::Killed),
            7 => self.lose_engine(Loss::Drains),
            8 => self.lose_engine(Loss::SaysSo),
            _ => self.trouble_target(ends),
        }
    }

    /// Sends a signal to a node that runs, after which it is in `state`; returns whether it was.
    fn signal(&mut self, index: usize, signal: &str, state: State) -> bool {
        let node = &mut self.nodes[index];
        if node.state != State::Running {
            return false;
        }
        node.entry.signal(signal);
        node.state = state;
        self.note(format!("node {index}: signal {signal}"));
        true
    }

    fn pause(&mut self, index: usize, ends: Instant) {
        if self.signal(index, "STOP", State::Paused) {
            self.later.push((ends, Later::Resume(index)));
        }
    }

    fn harm(&mut self, index: usize, ends: Instant) {
        let delay = Duration::from_millis(self.rng.random_range(20..300));
        let harms = [
            Impairment::Delay(delay),
            Impairment::Reset,
            Impairment::Silence,
            Impairment::NoAnswers,
        ];
        let harm = harms[self.rng.random_range(0..harms.len())];
        self.nodes[index].proxy.set_impairment(harm);
        self.later.push((ends, Later::Heal(index)));
        self.note(format!("node {index} and the store: {harm:?}"));
    }

    /// Ends an engine, with or without a word; another takes its place.
    fn lose_engine(&mut self, loss: Loss) {
        let engines: Vec<SocketAddr> = self
            .targets
            .iter()
            .filter(|(_, service)| **service == MODEL)
            .map(|(address, _)| *address)
            .collect();
        let target = engines[self.rng.random_range(0..engines.len())];
        self.targets.remove(&target);
        self.note(format!("engine {target}: {loss:?}"));
        match loss {
            Loss::Killed => {}
            Loss::Drains => self.platform.drain(target),
            Loss::SaysSo => self.platform.set_fault(target, Fault::Leaves),
        }
        let notice = if loss == Loss::Killed { Duration::ZERO } else { NOTICE };
        self.later.push((Instant::now() + notice, Later::End(target)));
        self.started += 1;
        let domain = if self.rng.random() { "a" } else { "b" };
        self.add(format!("x{}", self.started), MODEL, domain);
    }

    fn trouble_target(&mut self, ends: Instant) {
        let targets: Vec<SocketAddr> = self.targets.keys().copied().collect();
        let target = targets[self.rng.random_range(0..targets.len())];
        let troubles = [
            Fault::Refuses,
            Fault::Cuts(5),
            Fault::LosesAnswers,
            Fault::Fails,
            Fault::BacksOff("0.8"),
            Fault::BacksOffAll("0.4"),
        ];
        let trouble = troubles[self.rng.random_range(0..troubles.len())];
        self.platform.set_fault(target, trouble);
        self.later.push((ends, Later::Calm(target)));
        self.note(format!("target {target}: {trouble:?}"));
    }

    /// Carries out what is due, and starts nodes again that have ended.
    fn tend(&mut self) {
        let now = Instant::now();
        let (due, later) = std::mem::take(&mut self.later).into_iter().partition(|l| l.0 <= now);
        self.later = later;
        let due: Vec<(Instant, Later)> = due;
        for (_, what) in due {
            self.carry_out(what);
        }
        for node in &mut self.nodes {
            let ended = node.entry.child.try_wait().expect("its state").is_some();
            if !ended {
                continue;
            }
            self.exits += usize::from(node.state == State::Running);
            node.entry = Entry::start(&node.name, &node.settings);
            node.state = State::Running;
        }
    }

    fn carry_out(&mut self, what: Later) {
        match what {
            Later::Resume(index) => {
                self.nodes[index].entry.signal("CONT");
                self.nodes[index].state = State::Running;
            }
            Later::Heal(index) => self.nodes[index].proxy.set_impairment(Impairment::None),
            Later::Calm(target) => self.platform.set_fault(target, Fault::None),
            Later::StoreBack => self.platform.set_unavailable(false),
            Later::End(target) => {
                self.platform.kill(target);
                self.ended.extend(self.platform.target_id(target));
                self.later.push((Instant::now() + LAPSE, Later::Forget(target)));
            }
            Later::Forget(target) => self.platform.deregister(target),
        }
    }
}
