//! A node's shell: passes messages to the router, executes its actions, and passes tokens on to
//! callers.

use std::collections::BTreeMap;
use std::time::Duration;

use fleet::{Kind, Plan, Request, RequestId, TargetName};
use route::{Action, Dispatch, Ending, Message, Outcome};

use super::target::Server;
use super::{Event, Job, PREFILL_SPEEDUP, World};

const PROGRESS_INTERVAL: Duration = Duration::from_millis(100);
const QUARANTINE_SPREAD_DELAY: Duration = Duration::from_millis(100);

pub(super) struct Run {
    pub(super) node: usize,
    pub(super) dispatch: Dispatch,
    pub(super) is_over: bool,
}

/// State of a node's shell for one caller.
pub(crate) struct Stream {
    pub(crate) node: usize,
    pub(crate) request: Request,
    pub(super) attempt: u32,
    pub(crate) next: u32,
    pub(super) last: Duration,
    pub(super) sampled: Duration,
    pub(super) waiting: bool,
    pub(super) timeouts: (Duration, Duration),
}

impl World {
    pub(super) fn deliver(&mut self, index: usize, message: Message) {
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
                let delay = self.random_jitter();
                self.schedule(delay, Event::Cancel(request, attempt));
            }
            Action::Finish { request, outcome } => self.finish(request, outcome),
            Action::Quarantine(fact) => {
                for other in (0..self.nodes.len()).filter(|other| *other != node) {
                    self.schedule(
                        QUARANTINE_SPREAD_DELAY,
                        Event::Deliver(other, Message::Quarantine(fact.clone())),
                    );
                }
            }
            Action::Capacity { service, tokens_per_second, slots } => {
                self.capacity.insert(service, (tokens_per_second, slots));
            }
            Action::Wake(delay) => self.schedule(delay, Event::Deliver(node, Message::Wake)),
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
            self.violations
                .push(format!("{id}: unexpected attempt {attempt} from token {}", dispatch.from));
        }
        if !stream.request.idempotent && stream.attempt > 0 {
            let before = (id, stream.attempt);
            if self.servers.values().any(|server| server.started.contains(&before)) {
                self.violations.push(format!("{id}: booking ran twice"));
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
        self.runs.insert((id, attempt), Run { node, dispatch, is_over: false });
        let delay = Duration::from_micros(300);
        let job = Job { request: id, attempt, stage: 0, index: from };
        self.schedule(delay, Event::Arrive(job));
        self.schedule(first_timeout, Event::StallCheck(id, attempt));
    }

    fn finish(&mut self, id: RequestId, outcome: Outcome) {
        let Some(stream) = self.streams.remove(&id) else {
            self.violations
                .push(format!("{id}: outcome for a request that is unknown or has ended"));
            return;
        };
        let whole = stream.next == stream.request.shape.max_tokens;
        match &outcome {
            Outcome::Complete if !whole => {
                self.violations
                    .push(format!("{id}: reported complete after {} tokens", stream.next));
            }
            Outcome::NotRun { .. } => {
                let ran = |server: &Server| server.started.iter().any(|(run, _)| *run == id);
                if self.servers.values().any(ran) {
                    self.violations.push(format!("{id}: reported as not run, but a target ran it"));
                }
            }
            _ => {}
        }
        self.outcomes.insert(id, (self.now, outcome));
        for attempt in 1..=stream.attempt {
            self.runs.remove(&(id, attempt));
        }
        if self.workload.is_some() {
            self.schedule(Duration::from_micros(100), Event::NextRequest(stream.node));
        }
    }

    pub(super) fn ended(&mut self, job: Job, ending: Ending) {
        let Some(run) = self.runs.get_mut(&(job.request, job.attempt)) else { return };
        if std::mem::replace(&mut run.is_over, true) {
            return;
        }
        let node = run.node;
        let Some(stream) = self.streams.get(&job.request) else { return };
        let next = stream.next;
        let delay = self.random_jitter();
        let (request, attempt) = (job.request, job.attempt);
        let message = Message::Ended { request, attempt, next, ending };
        self.schedule(delay, Event::Deliver(node, message));
    }

    pub(super) fn token(&mut self, job: Job) {
        let Some(run) = self.runs.get(&(job.request, job.attempt)) else { return };
        let node = run.node;
        let Some(stream) = self.streams.get_mut(&job.request) else { return };
        if run.is_over || job.attempt != stream.attempt {
            return;
        }
        if job.index > stream.next {
            // The token overtook an earlier one in transit, so the shell waits for the earlier
            // one.
            return self.schedule(Duration::from_micros(50), Event::Token(job));
        }
        if job.index != stream.next {
            self.violations.push(format!("{}: token {} delivered twice", job.request, job.index));
            return;
        }
        if !is_covered(&run.dispatch.plan, &self.servers) {
            self.violations.push(format!("{}: stages do not cover the model", job.request));
        }
        self.tokens += 1;
        self.useful += 1.0;
        if stream.waiting && job.attempt == 1 {
            self.useful += f64::from(stream.request.shape.prompt_tokens) / PREFILL_SPEEDUP;
        }
        stream.next += 1;
        if stream.waiting && job.attempt > 1 && job.index > 0 {
            self.resume_times.push(self.now - stream.last);
        }
        let (first, next) = (stream.waiting, stream.next);
        stream.waiting = false;
        stream.last = self.now;
        let whole = next == stream.request.shape.max_tokens;
        let sample = first || self.now - stream.sampled >= PROGRESS_INTERVAL;
        if sample {
            stream.sampled = self.now;
        }
        let stall = stream.timeouts.1;
        let (request, attempt) = (job.request, job.attempt);
        if first && !whole {
            self.schedule(stall, Event::StallCheck(request, attempt));
        }
        if whole {
            if let Some(run) = self.runs.get_mut(&(request, attempt)) {
                run.is_over = true;
            }
            let ending = Ending::Complete;
            self.deliver(node, Message::Ended { request, attempt, next, ending });
        } else if sample {
            self.deliver(node, Message::Progress { request, attempt, next });
        }
    }

    pub(super) fn stall_check(&mut self, id: RequestId, attempt: u32) {
        let Some(stream) = self.streams.get(&id).filter(|s| s.attempt == attempt) else { return };
        if self.runs.get(&(id, attempt)).is_none_or(|run| run.is_over) {
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
            self.schedule(left, Event::StallCheck(id, attempt));
        }
    }
}

/// Returns whether the stages cover the model's layers and each target holds its layers.
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
