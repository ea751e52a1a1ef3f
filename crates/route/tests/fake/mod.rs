//! Fake targets, node shells and callers around real routers, in virtual time.
//!
//! A target is one server that processes tokens in order of arrival. A shell drops tokens of
//! earlier attempts, checks that the stages cover the model, and reports samples and endings to
//! the router. Invariant violations are recorded in `violations`.

#![allow(dead_code)]

mod shell;
mod target;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use fleet::{Link, Request, RequestId, Shape, Standing, Target, TargetName};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use route::{Message, Outcome, Router, Settings};

use shell::Run;
pub(crate) use shell::Stream;
use target::REPORT_INTERVAL;
pub(crate) use target::Server;

pub(crate) const PREFILL_SPEEDUP: f64 = 16.0;

#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Health {
    Up,
    Dead,
    Frozen,
    Slow(f64),
}

#[derive(Clone, Copy, Debug)]
struct Job {
    request: RequestId,
    attempt: u32,
    stage: usize,
    index: u32,
}

enum Event {
    Deliver(usize, Message),
    Arrive(Job),
    Done(Job),
    Token(Job),
    StallCheck(RequestId, u32),
    Crash(TargetName),
    Reports,
    Cancel(RequestId, u32),
    NextRequest(usize),
}

#[derive(Clone, Debug)]
pub(crate) struct Workload {
    pub(crate) service: &'static str,
    pub(crate) prompt: (u32, u32),
    pub(crate) tokens: (u32, u32),
}

pub(crate) struct Node {
    pub(crate) router: Router,
    rng: SmallRng,
    pub(crate) alive: bool,
}

pub(crate) struct World {
    pub(crate) now: Duration,
    sequence: u64,
    events: BTreeMap<(Duration, u64), Event>,
    pub(crate) servers: BTreeMap<TargetName, Server>,
    links: Vec<Link>,
    pub(crate) nodes: Vec<Node>,
    runs: BTreeMap<(RequestId, u32), Run>,
    pub(crate) streams: BTreeMap<RequestId, Stream>,
    pub(crate) outcomes: BTreeMap<RequestId, (Duration, Outcome)>,
    pub(crate) rng: SmallRng,
    pub(crate) workload: Option<Workload>,
    /// Fingerprints that crash the target of their first stage.
    pub(crate) crashing: BTreeSet<u64>,
    /// Tokens delivered to callers.
    pub(crate) tokens: u64,
    pub(crate) lost_to_crashing: Vec<TargetName>,
    /// Time from the last token of a failed attempt to the first token of the next.
    pub(crate) resume_times: Vec<Duration>,
    /// Maximum random delay of messages from targets.
    pub(crate) jitter: Duration,
    /// Tokens delivered plus the prompts of first attempts, in tokens of generation work.
    pub(crate) useful: f64,
    pub(crate) attempts: u64,
    /// Prompts computed at a stage by second and later attempts.
    pub(crate) recomputed_prompts: usize,
    /// Attempts interrupted by the death of a target.
    pub(crate) broken: usize,
    /// Attempts whose first stage was found dead.
    pub(crate) refused: usize,
    crashing_ids: BTreeSet<RequestId>,
    pub(crate) capacity: BTreeMap<smol_str::SmolStr, (f64, u32)>,
    pub(crate) violations: Vec<String>,
    next_request: RequestId,
}

impl World {
    pub(crate) fn new(seed: u64, nodes: usize, targets: &[Target], settings: &Settings) -> Self {
        let node = |index: usize| {
            let name = format!("n{index}");
            let settings = Settings { node: name.into(), ..settings.clone() };
            let rng = SmallRng::seed_from_u64(seed * 31 + index as u64);
            Node { router: Router::new(settings), rng, alive: true }
        };
        let servers =
            targets.iter().map(|target| (target.name.clone(), Server::new(target.clone())));
        let mut world = Self {
            now: Duration::ZERO,
            sequence: 0,
            events: BTreeMap::new(),
            servers: servers.collect(),
            links: Vec::new(),
            nodes: (0..nodes).map(node).collect(),
            runs: BTreeMap::new(),
            streams: BTreeMap::new(),
            outcomes: BTreeMap::new(),
            rng: SmallRng::seed_from_u64(seed),
            workload: None,
            crashing: BTreeSet::new(),
            tokens: 0,
            lost_to_crashing: Vec::new(),
            resume_times: Vec::new(),
            jitter: Duration::from_millis(1),
            useful: 0.0,
            attempts: 0,
            recomputed_prompts: 0,
            broken: 0,
            refused: 0,
            crashing_ids: BTreeSet::new(),
            capacity: BTreeMap::new(),
            violations: Vec::new(),
            next_request: 1,
        };
        world.publish_fleet();
        world.schedule(REPORT_INTERVAL, Event::Reports);
        world
    }

    pub(crate) fn set_links(&mut self, links: Vec<Link>) {
        self.links = links;
        self.publish_fleet();
    }

    /// Sends the list of targets that are not dead to all nodes.
    pub(crate) fn publish_fleet(&mut self) {
        let up = self.servers.values().filter(|s| !matches!(s.health, Health::Dead));
        let targets: Vec<Target> = up
            .map(|server| {
                let standing = if server.leaving { Standing::Leaving } else { Standing::Live };
                Target { standing, ..server.target.clone() }
            })
            .collect();
        for node in 0..self.nodes.len() {
            let (targets, links) = (targets.clone(), self.links.clone());
            self.deliver(node, Message::Fleet { targets, links });
        }
    }

    pub(crate) fn publish_lost(&mut self, targets: &[TargetName]) {
        for node in 0..self.nodes.len() {
            self.deliver(node, Message::Lost { targets: targets.to_vec() });
        }
    }

    /// Starts a request. Its fingerprint is its id unless one is given.
    pub(crate) fn start(
        &mut self,
        node: usize,
        service: &str,
        shape: (u32, u32),
        fingerprint: Option<u64>,
    ) -> RequestId {
        let id = self.next_request;
        self.next_request += 1;
        let idempotent = !service.starts_with("booking");
        let request = Request {
            id,
            organisation: "cascade".into(),
            service: service.into(),
            shape: Shape { prompt_tokens: shape.0, max_tokens: shape.1, stream: true },
            fingerprint: fingerprint.unwrap_or_else(|| u64::try_from(id).expect("small id")),
            idempotent,
        };
        let stream = Stream {
            node,
            request: request.clone(),
            attempt: 0,
            next: 0,
            last: self.now,
            sampled: self.now,
            waiting: false,
            timeouts: (Duration::ZERO, Duration::ZERO),
        };
        if self.crashing.contains(&request.fingerprint) {
            self.crashing_ids.insert(id);
        }
        self.streams.insert(id, stream);
        self.deliver(node, Message::Start { request, priority: 3, prefixes: Vec::new() });
        id
    }

    pub(crate) fn is_crashing(&self, id: RequestId) -> bool {
        self.crashing_ids.contains(&id)
    }

    pub(crate) fn in_domain(&self, domain: &str) -> Vec<TargetName> {
        let inside = self.servers.values().filter(|server| server.target.domain == domain);
        inside.map(|server| server.target.name.clone()).collect()
    }

    /// Adds a target and sends the new list to all nodes.
    pub(crate) fn add(&mut self, target: Target) {
        let name = target.name.clone();
        self.servers.insert(name, Server::new(target));
        self.publish_fleet();
    }

    pub(crate) fn deliver_to(&mut self, node: usize, message: Message) {
        self.deliver(node, message);
    }

    pub(crate) fn start_next_request(&mut self, node: usize) {
        let Some(workload) = self.workload.clone() else { return };
        // Admission accepts no more streams than the current capacity of the fleet.
        let slots = self.capacity.get(workload.service).map_or(0, |capacity| capacity.1);
        if self.streams.len() >= slots as usize {
            return;
        }
        let prompt = self.rng.random_range(workload.prompt.0..=workload.prompt.1);
        let tokens = self.rng.random_range(workload.tokens.0..=workload.tokens.1);
        self.start(node, workload.service, (prompt, tokens), None);
    }

    pub(crate) fn disconnect(&mut self, id: RequestId) {
        let Some(stream) = self.streams.get(&id) else { return };
        let node = stream.node;
        // A call that must not be repeated continues without its caller.
        if stream.request.idempotent {
            self.streams.remove(&id);
        }
        self.deliver(node, Message::CallerDisconnected(id));
    }

    pub(crate) fn set_health(&mut self, target: &str, health: Health) {
        let now = self.now;
        let server = self.servers.get_mut(target).expect("known target");
        server.health = health;
        server.free_at = server.free_at.max(now);
        if health == Health::Dead {
            server.free_at = now;
            self.break_runs(target);
        }
    }

    pub(crate) fn run_until(&mut self, end: Duration) {
        while let Some(entry) = self.events.first_entry() {
            if entry.key().0 > end {
                break;
            }
            let ((at, _), event) = entry.remove_entry();
            self.now = at;
            self.handle(event);
        }
        self.now = end;
    }

    pub(crate) fn run_for(&mut self, time: Duration) {
        self.run_until(self.now + time);
    }

    fn schedule(&mut self, delay: Duration, event: Event) {
        self.sequence += 1;
        self.events.insert((self.now + delay, self.sequence), event);
    }

    fn random_jitter(&mut self) -> Duration {
        self.jitter.mul_f64(self.rng.random())
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Deliver(node, message) => self.deliver(node, message),
            Event::Arrive(job) => self.arrive(job),
            Event::Done(job) => self.done(job),
            Event::Token(job) => self.token(job),
            Event::StallCheck(id, attempt) => self.stall_check(id, attempt),
            Event::Crash(target) => {
                if self.servers[&target].health != Health::Dead {
                    self.lost_to_crashing.push(target.clone());
                    self.set_health(&target, Health::Dead);
                }
            }
            Event::Reports => self.reports(),
            Event::NextRequest(node) => self.start_next_request(node),
            Event::Cancel(id, attempt) => {
                for lower in 1..=attempt {
                    if let Some(run) = self.runs.get_mut(&(id, lower)) {
                        run.is_over = true;
                    }
                }
            }
        }
    }
}
