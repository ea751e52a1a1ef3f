//! The service: a state machine without clock, thread or socket.

use std::time::Duration;

use fleet::{AttemptId, Event, RequestId, TokenIndex};
use rand::rngs::SmallRng;
use suspect::{Loss, Place};

use crate::finish::{cancel, end_condemned};
use crate::launch::{PROMPT_BASE, launch};
use crate::outlier::Cause;
use crate::recover::{clear, ended, lost};
use crate::state::{State, Step, eject, show_life};
use crate::table::Entry;
use crate::{Action, Load, Message, Quarantine, Settings, event};

/// Time between two looks through the files of suspects.
const EXPIRE_INTERVAL: Duration = Duration::from_secs(5);
/// Shortest wake-up asked for.
const LEAST_WAKE: Duration = Duration::from_millis(1);
/// Capacity is told again when it changed by more than this share.
const CAPACITY_CHANGE: f64 = 0.001;
/// Repeats of a suspect wait this many confirmation times for the run under way elsewhere.
const REPEAT_WAIT: u32 = 2;

/// Decides which targets run a request, and what follows a failure.
#[derive(Debug)]
pub struct Router {
    state: State,
}

impl Router {
    /// Makes the service.
    pub fn new(settings: Settings) -> Self {
        Self { state: State::new(settings) }
    }

    /// Handles one message at `now` and appends the actions that it asks for.
    pub fn step(
        &mut self,
        now: Duration,
        message: Message,
        rng: &mut SmallRng,
        actions: &mut Vec<Action>,
    ) {
        let mut step = Step { now, rng, actions };
        let held_by = self.state.suspects_version();
        handle(&mut self.state, &mut step, message);
        if self.state.dirty && self.state.is_solve_due(now) {
            solve(&mut self.state, &mut step);
        }
        if !self.state.held.is_empty() {
            let changed = held_by != self.state.suspects_version();
            release_held(&mut self.state, &mut step, changed);
        }
        ask_wake(&mut self.state, &mut step);
    }

    /// Number of requests without outcome.
    pub fn open_requests(&self) -> usize {
        self.state.table.len()
    }

    /// Tokens per second that no routing of a model exceeds, by the last computed plans.
    pub fn bound(&self, service: &str) -> Option<f64> {
        self.state.view.pools.get(service).map(|pool| pool.bound)
    }
}

impl State {
    /// Changes whenever a held request may have become free to go.
    fn suspects_version(&self) -> (usize, usize) {
        let claiming = self.table.values().filter(|e| e.running && e.clear_from.is_some());
        (if self.held.is_empty() { 0 } else { claiming.count() }, self.held.len())
    }

    fn is_solve_due(&self, now: Duration) -> bool {
        self.solved.is_none_or(|last| now >= last + self.settings.solve_interval)
    }
}

fn handle(state: &mut State, step: &mut Step<'_>, message: Message) {
    match message {
        Message::Fleet { targets, links } => {
            state.view.replace(step.now, targets, links);
            solve(state, step);
        }
        Message::Load(load) => report(state, step, &load),
        Message::Cache { target, events } => {
            if let Some(id) = state.view.id(&target) {
                state.view.entry_mut(id).prefixes.apply(&events);
            }
        }
        Message::Start { request, priority, prefixes } => {
            let id = request.id;
            if state.table.contains_key(&id) {
                return;
            }
            let wait = repeat_wait(state, step.now, request.fingerprint);
            state.table.insert(id, Entry::new(request, priority, prefixes));
            match wait {
                Some(until) => wait_for(state, id, until),
                None => launch(state, step, id),
            }
        }
        Message::Progress { request, attempt, next } => {
            progress(state, step, request, attempt, next);
        }
        Message::Ended { request, attempt, next, ending } => {
            ended(state, step, request, attempt, next, ending);
        }
        Message::CallerDisconnected(request) => hung_up(state, step, request),
        Message::Quarantine(quarantine) => quarantined(state, step, quarantine),
        Message::Lost { targets } => lost(state, step, &targets),
        Message::Bounds(bounds) => {
            state.settings.retry_share = bounds.retry_share;
            state.budget.set_share(bounds.retry_share);
            state.settings.max_attempts = bounds.max_attempts;
            state.settings.quarantine_ttl = bounds.quarantine_ttl;
        }
        Message::Wake => wake(state, step),
    }
}

fn report(state: &mut State, step: &Step<'_>, load: &Load) {
    let Some(id) = state.view.id(&load.target) else { return };
    let streams = load.running.saturating_add(load.queued);
    state.view.entry_mut(id).load.report(step.now, streams, load.age);
    state.view.learn_mirror();
}

fn progress(
    state: &mut State,
    step: &mut Step<'_>,
    id: RequestId,
    attempt: AttemptId,
    next: TokenIndex,
) {
    let Some(entry) = state.table.get_mut(&id) else { return };
    if entry.attempt != attempt || !entry.running || next < entry.next {
        return;
    }
    entry.began = true;
    let before = entry.moved.replace((step.now, next));
    let first = before.is_none().then(|| step.now.saturating_sub(entry.sent));
    if before.is_none() {
        entry.prompt_done(&mut state.view);
    }
    let tokens = before.map_or(0, |(_, number)| next.saturating_sub(number));
    let gap = before
        .filter(|_| tokens > 0)
        .map(|(at, _)| step.now.saturating_sub(at).as_secs_f64() / f64::from(tokens));
    entry.next = next;
    let prompt = f64::from(entry.request.shape.prompt_tokens) + PROMPT_BASE;
    let (service, sent) = (entry.request.service.clone(), entry.sent);
    let stages: Vec<_> = entry.picks.iter().map(|pick| pick.target).collect();
    let cleared = entry.clear_from.is_some_and(|from| next >= from);
    if cleared {
        entry.clear_from = None;
        let fingerprint = entry.request.fingerprint;
        clear(state, step, fingerprint);
    }
    let Some(pool) = state.view.pools.get_mut(&service) else { return };
    if let Some(first) = first {
        pool.first.learn(first.as_secs_f64() / prompt);
    }
    let mean = pool.gap.mean();
    if let Some(gap) = gap {
        pool.gap.learn(gap);
    }
    for &stage in &stages {
        show_life(state, step, stage, sent);
    }
    if let (Some(gap), Some(mean)) = (gap, mean) {
        pace(state, step, &stages, gap / mean.max(f64::MIN_POSITIVE));
    }
}

/// Learns how slow the stages are, and ejects the slowest if it has become too slow.
fn pace(state: &mut State, step: &mut Step<'_>, stages: &[fleet::TargetId], ratio: f64) {
    let view = &mut state.view;
    if stages.iter().any(|&stage| view.entry(stage).health.cause().is_some()) {
        return;
    }
    for &stage in stages {
        view.entry_mut(stage).health.pace(ratio);
    }
    let slowness = |&stage: &fleet::TargetId| {
        view.entry(stage).health.slowness().map(|factor| (factor, stage))
    };
    let worst = stages.iter().filter_map(slowness).max_by(|a, b| a.0.total_cmp(&b.0));
    let Some((_, worst)) = worst else { return };
    eject(state, step, worst, Cause::Slow);
    let service = state.view.entry(worst).service().clone();
    let Some(pool) = state.view.pools.get(&service) else { return };
    for target in pool.targets.clone() {
        state.view.entry_mut(target).health.forgive();
    }
}

fn hung_up(state: &mut State, step: &mut Step<'_>, id: RequestId) {
    let Some(entry) = state.table.get(&id) else { return };
    // A call that may not be repeated goes on: its outcome is to be recorded.
    if entry.running && !entry.request.idempotent {
        return;
    }
    if entry.running {
        cancel(state, step, id);
    }
    if let Some(mut entry) = state.table.remove(&id) {
        entry.release(&mut state.view, step.now);
        for pick in &entry.picks {
            state.view.entry_mut(pick.target).health.probe_over();
        }
    }
    state.held.remove(&id);
}

fn quarantined(state: &mut State, step: &mut Step<'_>, fact: Quarantine) {
    if !state.settings.mechanism.quarantine {
        return;
    }
    let Quarantine { fingerprint, target, confirmed, ttl } = fact;
    if confirmed {
        state.suspects.settle(&target);
        state.suspects.condemn(fingerprint, step.now + ttl);
        return end_condemned(state, step, fingerprint, ttl);
    }
    let (domain, rack) = match state.view.id(&target) {
        Some(id) => {
            let entry = state.view.entry(id);
            (entry.domain, entry.target.rack.clone())
        }
        None => (u16::MAX, smol_str::SmolStr::default()),
    };
    let loss = Loss { target, place: Place { domain, rack }, at: step.now };
    let loss = state.suspects.lose(loss, &state.settings.suspicion());
    state.suspects.suspect(fingerprint, loss, true, &state.settings.suspicion());
}

/// Until when a request waits whose fingerprint another node has just suspected.
fn repeat_wait(state: &State, now: Duration, fingerprint: u64) -> Option<Duration> {
    if !state.settings.mechanism.quarantine || state.suspects.is_empty() {
        return None;
    }
    let last = state.suspects.last_loss(fingerprint, now)?;
    let until = last + state.settings.confirm * REPEAT_WAIT;
    (until > now).then_some(until)
}

fn wait_for(state: &mut State, id: RequestId, until: Duration) {
    if let Some(entry) = state.table.get_mut(&id) {
        entry.held = Some(until);
        state.held.insert(id);
    }
}

fn wake(state: &mut State, step: &mut Step<'_>) {
    // A wake-up that an earlier one has overtaken must not start a chain of its own.
    state.wake = state.wake.filter(|wake| *wake > step.now);
    if step.now >= state.expired + EXPIRE_INTERVAL {
        state.expired = step.now;
        state.suspects.expire(step.now, &state.settings.suspicion());
    }
    // An ejected target whose time is over comes back into the plans, to be probed.
    let view = &state.view;
    state.ejected.retain(|&id| view.entry(id).health.cause().is_some());
    let solved = state.solved.unwrap_or_default();
    let due = state.ejected.iter().any(|&id| {
        let probe = view.entry(id).health.probe_at();
        probe.is_some_and(|at| at <= step.now && at > solved)
    });
    state.dirty |= due;
}

/// Launches held requests whose time has come, or all after a change.
fn release_held(state: &mut State, step: &mut Step<'_>, changed: bool) {
    let due = |id: &RequestId| {
        let until = state.table.get(id).and_then(|entry| entry.held);
        changed || until.is_none_or(|until| until <= step.now)
    };
    let ids: Vec<RequestId> = state.held.iter().copied().filter(due).collect();
    for id in ids {
        launch(state, step, id);
    }
}

fn solve(state: &mut State, step: &mut Step<'_>) {
    state.dirty = false;
    state.solved = Some(step.now);
    let before: Vec<_> =
        state.view.pools.iter().map(|(s, p)| (s.clone(), p.rate, p.slots)).collect();
    state.view.solve(step.now, &state.settings);
    for (service, pool) in &state.view.pools {
        let same = before.iter().find(|(name, ..)| name == service).is_some_and(|known| {
            (known.1 - pool.rate).abs() <= CAPACITY_CHANGE * pool.rate && known.2 == pool.slots
        });
        if same {
            continue;
        }
        let (service, slots) = (service.clone(), pool.slots);
        step.log(
            Event::new(event::PLANNED)
                .with("service", &service)
                .with("tokens_per_second", format_args!("{:.1}", pool.rate))
                .with("chains", pool.chains.len())
                .with("slots", slots),
        );
        step.act(Action::Capacity { service, tokens_per_second: pool.rate, slots });
    }
    for (service, ..) in before {
        if !state.view.pools.contains_key(&service) {
            step.act(Action::Capacity { service, tokens_per_second: 0.0, slots: 0 });
        }
    }
}

/// Asks for the next wake-up, unless an earlier one is on its way.
fn ask_wake(state: &mut State, step: &mut Step<'_>) {
    let held = state.held.iter().filter_map(|id| state.table.get(id)?.held).min();
    let solve = state
        .dirty
        .then(|| state.solved.map_or(step.now, |last| last + state.settings.solve_interval));
    let probe = state.next_probe();
    let expire = (!state.suspects.is_empty()).then_some(state.expired + EXPIRE_INTERVAL);
    let times = [held, solve, probe, expire];
    let Some(next) = times.into_iter().flatten().min() else { return };
    if state.wake.is_some_and(|wake| wake <= next && wake >= step.now) {
        return;
    }
    let next = next.max(step.now + LEAST_WAKE);
    state.wake = Some(next);
    step.act(Action::Wake(next - step.now));
}

impl State {
    /// When the next ejected target is to be probed.
    fn next_probe(&self) -> Option<Duration> {
        let solved = self.solved.unwrap_or_default();
        let ejected = self.ejected.iter().map(|&id| self.view.entry(id));
        let present = ejected.filter(|entry| entry.present);
        present.filter_map(|entry| entry.health.probe_at()).filter(|at| *at > solved).min()
    }
}
