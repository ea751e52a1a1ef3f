//! Fake targets, nodes' shells and callers around real routers, in virtual time.
//!
//! A target is one server that passes tokens first come, first served. A shell drops
//! tokens of lower attempts, checks each trail, and tells the router of samples and
//! endings. Whatever must never happen is written to `violations`.

#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use fleet::{Kind, Link, Plan, Request, RequestId, Shape, Standing, Target, TargetName};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use route::{Action, Dispatch, Ending, Load, Message, Router, Settings, Verdict};

pub(crate) const PREFILL_SPEEDUP: f64 = 16.0;
const REPORT_EVERY: Duration = Duration::from_millis(500);
const PROGRESS_EVERY: Duration = Duration::from_millis(100);
const SPREAD: Duration = Duration::from_millis(100);

#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Health {
    Up,
    Dead,
    Frozen,
    Slow(f64),
}

pub(crate) struct Server {
    pub(crate) target: Target,
    pub(crate) health: Health,
    pub(crate) leaving: bool,
    free_at: Duration,
    /// Requests and attempts that it began to run.
    pub(crate) began: BTreeSet<(RequestId, u32)>,
    pub(crate) tokens: u64,
    pub(crate) busy: f64,
}

#[derive(Clone, Copy, Debug)]
struct Job {
    request: RequestId,
    attempt: u32,
    stage: usize,
    index: u32,
}

enum Event {
    Hear(usize, Message),
    Arrive(Job),
    Done(Job),
    Token(Job),
    StallCheck(RequestId, u32),
    Crash(TargetName),
    Reports,
    Cancel(RequestId, u32),
    Refill(usize),
}

struct Run {
    node: usize,
    dispatch: Dispatch,
    over: bool,
}

/// What a node's shell holds for one caller.
pub(crate) struct Stream {
    pub(crate) node: usize,
    pub(crate) request: Request,
    attempt: u32,
    pub(crate) next: u32,
    last: Duration,
    sampled: Duration,
    waiting: bool,
    timeouts: (Duration, Duration),
}

#[derive(Clone, Debug)]
pub(crate) struct Refill {
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
    pub(crate) verdicts: BTreeMap<RequestId, (Duration, Verdict)>,
    pub(crate) rng: SmallRng,
    pub(crate) refill: Option<Refill>,
    /// Fingerprints that crash the first target that runs them.
    pub(crate) crashers: BTreeSet<u64>,
    /// Tokens delivered, and when counting began.
    pub(crate) tokens: u64,
    pub(crate) lost_to_crashers: Vec<TargetName>,
    /// Time from the last token of an attempt that failed to the first of the next.
    pub(crate) resumed: Vec<Duration>,
    /// Random delay of what comes back from targets, at most.
    pub(crate) jitter: Duration,
    /// Work of the tokens delivered and of the prompts of first attempts, in tokens.
    pub(crate) useful: f64,
    pub(crate) attempts: u64,
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
        let server = |target: &Target| Server {
            target: target.clone(),
            health: Health::Up,
            leaving: false,
            free_at: Duration::ZERO,
            began: BTreeSet::new(),
            tokens: 0,
            busy: 0.0,
        };
        let servers = targets.iter().map(|target| (target.name.clone(), server(target)));
        let mut world = Self {
            now: Duration::ZERO,
            sequence: 0,
            events: BTreeMap::new(),
            servers: servers.collect(),
            links: Vec::new(),
            nodes: (0..nodes).map(node).collect(),
            runs: BTreeMap::new(),
            streams: BTreeMap::new(),
            verdicts: BTreeMap::new(),
            rng: SmallRng::seed_from_u64(seed),
            refill: None,
            crashers: BTreeSet::new(),
            tokens: 0,
            lost_to_crashers: Vec::new(),
            resumed: Vec::new(),
            jitter: Duration::from_millis(1),
            useful: 0.0,
            attempts: 0,
            capacity: BTreeMap::new(),
            violations: Vec::new(),
            next_request: 1,
        };
        world.tell_fleet();
        world.at(REPORT_EVERY, Event::Reports);
        world
    }

    pub(crate) fn set_links(&mut self, links: Vec<Link>) {
        self.links = links;
        self.tell_fleet();
    }

    /// Gives all nodes the list of targets that are up.
    pub(crate) fn tell_fleet(&mut self) {
        let up = self.servers.values().filter(|s| !matches!(s.health, Health::Dead));
        let targets: Vec<Target> = up
            .map(|server| {
                let standing = if server.leaving { Standing::Leaving } else { Standing::Live };
                Target { standing, ..server.target.clone() }
            })
            .collect();
        for node in 0..self.nodes.len() {
            let (targets, links) = (targets.clone(), self.links.clone());
            self.hear(node, Message::Fleet { targets, links });
        }
    }

    pub(crate) fn tell_lost(&mut self, targets: &[TargetName]) {
        for node in 0..self.nodes.len() {
            self.hear(node, Message::Lost { targets: targets.to_vec() });
        }
    }

    /// Starts a request; its fingerprint is its id unless one is given.
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
        self.streams.insert(id, stream);
        self.hear(node, Message::Start { request, priority: 3, prefixes: Vec::new() });
        id
    }

    pub(crate) fn start_refill(&mut self, node: usize) {
        let Some(refill) = self.refill.clone() else { return };
        let prompt = self.rng.random_range(refill.prompt.0..=refill.prompt.1);
        let tokens = self.rng.random_range(refill.tokens.0..=refill.tokens.1);
        self.start(node, refill.service, (prompt, tokens), None);
    }

    pub(crate) fn hang_up(&mut self, id: RequestId) {
        if let Some(stream) = self.streams.remove(&id) {
            self.hear(stream.node, Message::HungUp(id));
        }
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

    fn at(&mut self, delay: Duration, event: Event) {
        self.sequence += 1;
        self.events.insert((self.now + delay, self.sequence), event);
    }

    fn jitter(&mut self) -> Duration {
        self.jitter.mul_f64(self.rng.random())
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Hear(node, message) => self.hear(node, message),
            Event::Arrive(job) => self.arrive(job),
            Event::Done(job) => self.done(job),
            Event::Token(job) => self.token(job),
            Event::StallCheck(id, attempt) => self.stall_check(id, attempt),
            Event::Crash(target) => {
                if self.servers[&target].health != Health::Dead {
                    self.lost_to_crashers.push(target.clone());
                    self.set_health(&target, Health::Dead);
                }
            }
            Event::Reports => self.reports(),
            Event::Refill(node) => self.start_refill(node),
            Event::Cancel(id, attempt) => {
                for lower in 1..=attempt {
                    if let Some(run) = self.runs.get_mut(&(id, lower)) {
                        run.over = true;
                    }
                }
            }
        }
    }

    fn hear(&mut self, index: usize, message: Message) {
        let node = &mut self.nodes[index];
        if !node.alive {
            return;
        }
        let mut actions = Vec::new();
        node.router.step(self.now, message, &mut node.rng, &mut actions);
        for action in actions {
            self.act(index, action);
        }
    }

    fn act(&mut self, node: usize, action: Action) {
        match action {
            Action::Dispatch(dispatch) => self.dispatch(node, dispatch),
            Action::Cancel { request, attempt, .. } => {
                let delay = self.jitter();
                self.at(delay, Event::Cancel(request, attempt));
            }
            Action::Finish { request, verdict } => self.finish(request, verdict),
            Action::Quarantine(fact) => {
                for other in (0..self.nodes.len()).filter(|other| *other != node) {
                    self.at(SPREAD, Event::Hear(other, Message::Quarantine(fact.clone())));
                }
            }
            Action::Capacity { service, tokens_per_second, slots } => {
                self.capacity.insert(service, (tokens_per_second, slots));
            }
            Action::Wake(delay) => self.at(delay, Event::Hear(node, Message::Wake)),
            Action::Leaving(_) | Action::Log(_) => {}
        }
    }

    fn dispatch(&mut self, node: usize, dispatch: Dispatch) {
        let (id, attempt) = (dispatch.request, dispatch.attempt);
        let Some(stream) = self.streams.get_mut(&id) else {
            self.violations.push(format!("{id}: dispatched without a caller"));
            return;
        };
        if attempt != stream.attempt + 1 || dispatch.from != stream.next {
            self.violations.push(format!("{id}: attempt {attempt} from {}", dispatch.from));
        }
        if !stream.request.idempotent && stream.attempt > 0 {
            let before = (id, stream.attempt);
            if self.servers.values().any(|server| server.began.contains(&before)) {
                self.violations.push(format!("{id}: booking run twice"));
            }
        }
        stream.attempt = attempt;
        stream.waiting = true;
        if attempt == 1 {
            stream.last = self.now;
        }
        stream.sampled = self.now;
        stream.timeouts = (dispatch.first_timeout, dispatch.stall_timeout);
        let first_timeout = dispatch.first_timeout;
        let from = dispatch.from;
        self.attempts += 1;
        self.runs.insert((id, attempt), Run { node, dispatch, over: false });
        let delay = Duration::from_micros(300);
        let job = Job { request: id, attempt, stage: 0, index: from };
        self.at(delay, Event::Arrive(job));
        self.at(first_timeout, Event::StallCheck(id, attempt));
    }

    fn finish(&mut self, id: RequestId, verdict: Verdict) {
        let Some(stream) = self.streams.remove(&id) else {
            self.violations.push(format!("{id}: verdict twice or for nobody"));
            return;
        };
        let whole = stream.next == stream.request.shape.max_tokens;
        match &verdict {
            Verdict::Complete if !whole => {
                self.violations.push(format!("{id}: complete at {}", stream.next));
            }
            Verdict::NotRun { .. } => {
                let ran = |server: &Server| server.began.iter().any(|(run, _)| *run == id);
                if self.servers.values().any(ran) {
                    self.violations.push(format!("{id}: not-run, but a target ran it"));
                }
            }
            _ => {}
        }
        self.verdicts.insert(id, (self.now, verdict));
        for attempt in 1..=stream.attempt {
            self.runs.remove(&(id, attempt));
        }
        if self.refill.is_some() {
            self.at(Duration::from_micros(100), Event::Refill(stream.node));
        }
    }

    fn ended(&mut self, job: Job, ending: Ending) {
        let Some(run) = self.runs.get_mut(&(job.request, job.attempt)) else { return };
        if std::mem::replace(&mut run.over, true) {
            return;
        }
        let node = run.node;
        let Some(stream) = self.streams.get(&job.request) else { return };
        let next = stream.next;
        let delay = self.jitter();
        let (request, attempt) = (job.request, job.attempt);
        let message = Message::Ended { request, attempt, next, ending };
        self.at(delay, Event::Hear(node, message));
    }

    fn break_runs(&mut self, target: &str) {
        let through = |run: &Run| {
            !run.over && run.dispatch.plan.stages.iter().any(|stage| stage.target == target)
        };
        let broken: Vec<(RequestId, u32, bool)> = self
            .runs
            .iter()
            .filter(|(_, run)| through(run))
            .map(|(key, run)| (key.0, key.1, run.dispatch.plan.stages[0].target == target))
            .collect();
        for (request, attempt, first) in broken {
            let named = (!first).then(|| target.into());
            let job = Job { request, attempt, stage: 0, index: 0 };
            self.ended(job, Ending::Broken { target: named });
        }
    }

    fn arrive(&mut self, job: Job) {
        let Some(run) = self.runs.get(&(job.request, job.attempt)).filter(|run| !run.over) else {
            return;
        };
        let stage = &run.dispatch.plan.stages[job.stage];
        let (target, layers) = (stage.target.clone(), stage.layers);
        let first = job.index == run.dispatch.from;
        let reused = run.dispatch.reuse.contains(&target);
        let stream = &self.streams[&job.request];
        let prompt = stream.request.shape.prompt_tokens + run.dispatch.from;
        let crashes = self.crashers.contains(&stream.request.fingerprint);
        let server = self.servers.get_mut(&target).expect("known target");
        match server.health {
            Health::Dead if job.stage == 0 && first => {
                return self.ended(job, Ending::Unreachable { target });
            }
            Health::Dead => {
                let target = (job.stage > 0).then_some(target);
                return self.ended(job, Ending::Broken { target });
            }
            Health::Frozen => return,
            Health::Up | Health::Slow(_) => {}
        }
        if server.leaving && first {
            let retry_after = None;
            return self.ended(job, Ending::Refused { target, leaving: true, retry_after });
        }
        server.began.insert((job.request, job.attempt));
        let (rate, held) = match &server.target.kind {
            Kind::Engine(engine) => (engine.tokens_per_second, engine.layers.len()),
            Kind::Service(service) => (f64::from(service.slots) * 20.0, 1),
        };
        let part = if layers.is_empty() { 1.0 } else { f64::from(layers.len()) / f64::from(held) };
        let slow = if let Health::Slow(factor) = server.health { factor } else { 1.0 };
        let mut cost = part / rate * slow;
        if first && !reused && !layers.is_empty() {
            cost += f64::from(prompt) * cost / PREFILL_SPEEDUP;
        }
        server.tokens += 1;
        server.busy += cost;
        let done = server.free_at.max(self.now) + Duration::from_secs_f64(cost);
        server.free_at = done;
        let delay = done - self.now;
        if crashes && first && job.stage == 0 {
            self.at(Duration::from_millis(5), Event::Crash(target));
            return;
        }
        self.at(delay, Event::Done(job));
    }

    fn done(&mut self, job: Job) {
        let Some(run) = self.runs.get(&(job.request, job.attempt)).filter(|run| !run.over) else {
            return;
        };
        let stages = &run.dispatch.plan.stages;
        let here = &self.servers[&stages[job.stage].target];
        if matches!(here.health, Health::Dead | Health::Frozen) {
            return;
        }
        let last = job.stage + 1 == stages.len();
        let next = if last { 0 } else { job.stage + 1 };
        let there = &self.servers[&stages[next].target].target.domain;
        let hop = self.hop(&here.target.domain, there);
        if !last {
            return self.at(hop, Event::Arrive(Job { stage: next, ..job }));
        }
        let jitter = self.jitter();
        self.at(jitter, Event::Token(job));
        let stream = &self.streams[&job.request];
        if job.index + 1 < stream.request.shape.max_tokens {
            self.at(hop, Event::Arrive(Job { stage: 0, index: job.index + 1, ..job }));
        }
    }

    fn hop(&self, from: &str, to: &str) -> Duration {
        let link = self.links.iter().find(|link| link.from == from && link.to == to);
        link.map_or(Duration::from_micros(100), |link| link.delay)
    }

    fn token(&mut self, job: Job) {
        let Some(run) = self.runs.get(&(job.request, job.attempt)) else { return };
        let node = run.node;
        let Some(stream) = self.streams.get_mut(&job.request) else { return };
        if run.over || job.attempt != stream.attempt {
            return;
        }
        if job.index > stream.next {
            // A later token overtook this one on its way; the shell waits for the earlier.
            return self.at(Duration::from_micros(50), Event::Token(job));
        }
        if job.index != stream.next {
            self.violations.push(format!("{}: token {} again", job.request, job.index));
            return;
        }
        if !is_covered(&run.dispatch.plan, &self.servers) {
            self.violations.push(format!("{}: trail not exact", job.request));
        }
        self.tokens += 1;
        self.useful += 1.0;
        if stream.waiting && job.attempt == 1 {
            self.useful += f64::from(stream.request.shape.prompt_tokens) / PREFILL_SPEEDUP;
        }
        stream.next += 1;
        if stream.waiting && job.attempt > 1 && job.index > 0 {
            self.resumed.push(self.now - stream.last);
        }
        let (first, next) = (stream.waiting, stream.next);
        stream.waiting = false;
        stream.last = self.now;
        let whole = next == stream.request.shape.max_tokens;
        let sample = first || self.now - stream.sampled >= PROGRESS_EVERY;
        if sample {
            stream.sampled = self.now;
        }
        let stall = stream.timeouts.1;
        let (request, attempt) = (job.request, job.attempt);
        if first && !whole {
            self.at(stall, Event::StallCheck(request, attempt));
        }
        if whole {
            if let Some(run) = self.runs.get_mut(&(request, attempt)) {
                run.over = true;
            }
            let ending = Ending::Complete;
            self.hear(node, Message::Ended { request, attempt, next, ending });
        } else if sample {
            self.hear(node, Message::Progress { request, attempt, next });
        }
    }

    fn stall_check(&mut self, id: RequestId, attempt: u32) {
        let Some(stream) = self.streams.get(&id).filter(|s| s.attempt == attempt) else { return };
        if self.runs.get(&(id, attempt)).is_none_or(|run| run.over) {
            return;
        }
        let (since, limit) = if stream.waiting {
            (stream.sampled, stream.timeouts.0)
        } else {
            (stream.last, stream.timeouts.1)
        };
        let due = since + limit;
        if due <= self.now {
            let job = Job { request: id, attempt, stage: 0, index: 0 };
            return self.ended(job, Ending::Stalled);
        }
        if !stream.waiting {
            let left = due - self.now;
            self.at(left, Event::StallCheck(id, attempt));
        }
    }

    fn reports(&mut self) {
        let mut streams: BTreeMap<TargetName, u32> = BTreeMap::new();
        for run in self.runs.values().filter(|run| !run.over) {
            for stage in &run.dispatch.plan.stages {
                *streams.entry(stage.target.clone()).or_default() += 1;
            }
        }
        let up = |server: &&Server| matches!(server.health, Health::Up | Health::Slow(_));
        let names: Vec<TargetName> =
            self.servers.values().filter(up).map(|s| s.target.name.clone()).collect();
        for target in names {
            let age = Duration::from_millis(self.rng.random_range(100..400));
            let running = streams.get(&target).copied().unwrap_or(0);
            let load = Load { target, running, queued: 0, tokens_per_second: 0.0, age };
            for node in 0..self.nodes.len() {
                self.at(age, Event::Hear(node, Message::Load(load.clone())));
            }
        }
        self.at(REPORT_EVERY, Event::Reports);
    }
}

/// Whether the stages cover the model's layers, each held by its target.
fn is_covered(plan: &Plan, servers: &BTreeMap<TargetName, Server>) -> bool {
    let mut depth = 0;
    for stage in &plan.stages {
        match &servers[&stage.target].target.kind {
            Kind::Engine(engine) if engine.layers.contains(stage.layers) => depth = engine.depth,
            Kind::Engine(_) => return false,
            Kind::Service(_) => return plan.stages.len() == 1,
        }
    }
    plan.verify(depth).is_ok()
}
