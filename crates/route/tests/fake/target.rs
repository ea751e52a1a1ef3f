//! Targets: process tokens in order of arrival, fail, and report their load.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use fleet::{Kind, RequestId, Target, TargetName};
use rand::RngExt;
use route::{Ending, Load, Message};

use super::shell::Run;
use super::{Event, Health, Job, PREFILL_SPEEDUP, World};

pub(super) const REPORT_INTERVAL: Duration = Duration::from_millis(500);

pub(crate) struct Server {
    pub(crate) target: Target,
    pub(crate) health: Health,
    pub(crate) leaving: bool,
    pub(super) free_at: Duration,
    /// Attempts that the target started to run.
    pub(crate) started: BTreeSet<(RequestId, u32)>,
    pub(crate) tokens: u64,
    pub(crate) busy: f64,
}

impl Server {
    pub(super) fn new(target: Target) -> Self {
        Self {
            target,
            health: Health::Up,
            leaving: false,
            free_at: Duration::ZERO,
            started: BTreeSet::new(),
            tokens: 0,
            busy: 0.0,
        }
    }
}

impl World {
    pub(super) fn break_runs(&mut self, target: &str) {
        let through = |run: &Run| {
            !run.is_over && run.dispatch.plan.stages.iter().any(|stage| stage.target == target)
        };
        let broken: Vec<(RequestId, u32, bool)> = self
            .runs
            .iter()
            .filter(|(_, run)| through(run))
            .map(|(key, run)| (key.0, key.1, run.dispatch.plan.stages[0].target == target))
            .collect();
        self.broken += broken.len();
        for (request, attempt, first) in broken {
            let named = (!first).then(|| target.into());
            let job = Job { request, attempt, stage: 0, index: 0 };
            self.ended(job, Ending::Broken { target: named });
        }
    }

    pub(super) fn arrive(&mut self, job: Job) {
        let Some(run) = self.runs.get(&(job.request, job.attempt)).filter(|run| !run.is_over)
        else {
            return;
        };
        let stage = &run.dispatch.plan.stages[job.stage];
        let (target, layers) = (stage.target.clone(), stage.layers);
        let first = job.index == run.dispatch.from;
        let reused = run.dispatch.reuse.contains(&target);
        let Some(stream) = self.streams.get(&job.request) else { return };
        let prompt = stream.request.shape.prompt_tokens + run.dispatch.from;
        let crashes = self.crashing.contains(&stream.request.fingerprint);
        let server = self.servers.get_mut(&target).expect("known target");
        match server.health {
            Health::Dead if job.stage == 0 && first => {
                self.refused += 1;
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
        server.started.insert((job.request, job.attempt));
        let (rate, held) = match &server.target.kind {
            Kind::Engine(engine) => (engine.tokens_per_second, engine.layers.len()),
            Kind::Service(service) => (f64::from(service.slots) * 20.0, 1),
        };
        let part = if layers.is_empty() { 1.0 } else { f64::from(layers.len()) / f64::from(held) };
        let slow = if let Health::Slow(factor) = server.health { factor } else { 1.0 };
        let mut cost = part / rate * slow;
        if first && !reused && !layers.is_empty() {
            cost += f64::from(prompt) * cost / PREFILL_SPEEDUP;
            self.recomputed_prompts += usize::from(job.attempt > 1);
        }
        server.tokens += 1;
        server.busy += cost;
        let done = server.free_at.max(self.now) + Duration::from_secs_f64(cost);
        server.free_at = done;
        let delay = done - self.now;
        if crashes && first && job.stage == 0 {
            self.schedule(Duration::from_millis(5), Event::Crash(target));
            return;
        }
        self.schedule(delay, Event::Done(job));
    }

    pub(super) fn done(&mut self, job: Job) {
        let Some(run) = self.runs.get(&(job.request, job.attempt)).filter(|run| !run.is_over)
        else {
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
            return self.schedule(hop, Event::Arrive(Job { stage: next, ..job }));
        }
        let jitter = self.random_jitter();
        self.schedule(jitter, Event::Token(job));
        let Some(stream) = self.streams.get(&job.request) else { return };
        if job.index + 1 < stream.request.shape.max_tokens {
            self.schedule(hop, Event::Arrive(Job { stage: 0, index: job.index + 1, ..job }));
        }
    }

    fn hop(&self, from: &str, to: &str) -> Duration {
        let link = self.links.iter().find(|link| link.from == from && link.to == to);
        link.map_or(Duration::from_micros(100), |link| link.delay)
    }

    pub(super) fn reports(&mut self) {
        let mut streams: BTreeMap<TargetName, u32> = BTreeMap::new();
        for run in self.runs.values().filter(|run| !run.is_over) {
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
                self.schedule(age, Event::Deliver(node, Message::Load(load.clone())));
            }
        }
        self.schedule(REPORT_INTERVAL, Event::Reports);
    }
}
