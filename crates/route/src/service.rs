//! The router, a state machine without clock, threads or sockets.

use std::time::Duration;

use fleet::{AttemptId, Event, RequestId, TokenIndex};
use rand::rngs::SmallRng;
use suspect::{Loss, Place, Scope, Subject};

use crate::finish::{cancel, end_quarantined};
use crate::launch::{PROMPT_OVERHEAD_TOKENS, launch};
use crate::outlier::Cause;
use crate::recover::{clear_suspicion, handle_ended, handle_targets_lost};
use crate::state::{State, Step, eject, record_progress};
use crate::table::Entry;
use crate::{Action, Load, Message, Quarantine, Settings, event};

/// Interval at which expired suspicions are removed.
const EXPIRE_INTERVAL: Duration = Duration::from_secs(5);
/// Minimum delay of a wake-up.
const MIN_WAKE_DELAY: Duration = Duration::from_millis(1);
/// Relative change of a pool's rate from which its capacity is reported again.
const MIN_CAPACITY_CHANGE: f64 = 0.001;
/// A request that another node has just suspected waits for this many confirmation times, because
/// it may still be running there.
const REPEAT_WAIT_CONFIRM_PERIODS: u32 = 2;

/// Decides which targets run a request and how to recover from failures.
#[derive(Debug)]
pub struct Router {
    state: State,
}

impl Router {
    /// Creates a router.
    pub fn new(settings: Settings) -> Self {
        Self { state: State::new(settings) }
    }

    /// Handles one message at `now` and appends the resulting actions.
    pub fn step(
        &mut self,
        now: Duration,
        message: Message,
        rng: &mut SmallRng,
        actions: &mut Vec<Action>,
    ) {
        let mut step = Step { now, rng, actions };
        let held_before = self.state.held_version();
        handle(&mut self.state, &mut step, message);
        if self.state.dirty && self.state.is_solve_due(now) {
            solve(&mut self.state, &mut step);
        }
        if !self.state.held.is_empty() {
            let changed = held_before != self.state.held_version();
            release_held(&mut self.state, &mut step, changed);
        }
        schedule_wake(&mut self.state, &mut step);
    }

    /// Returns the number of requests without an outcome.
    pub fn open_requests(&self) -> usize {
        self.state.table.len()
    }

    /// Returns the upper bound in tokens per second for any routing of a model, from the last
    /// computed plans.
    pub fn bound(&self, service: &str) -> Option<f64> {
        self.state.view.pools.get(service).map(|pool| pool.bound)
    }
}

impl State {
    /// Returns a value that changes whenever a held request may have become free to run.
    fn held_version(&self) -> (usize, usize) {
        let running_suspects = self.table.values().filter(|e| e.running && e.clear_from.is_some());
        (if self.held.is_empty() { 0 } else { running_suspects.count() }, self.held.len())
    }

    fn is_solve_due(&self, now: Duration) -> bool {
        self.solved_at.is_none_or(|last| now >= last + self.settings.solve_interval)
    }
}

fn handle(state: &mut State, step: &mut Step<'_>, message: Message) {
    match message {
        Message::Fleet { targets, links } => {
            state.view.replace_fleet(step.now, targets, links);
            solve(state, step);
        }
        Message::Load(load) => handle_load(state, step, &load),
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
                Some(until) => hold_until(state, id, until),
                None => launch(state, step, id),
            }
        }
        Message::Progress { request, attempt, next } => {
            handle_progress(state, step, request, attempt, next);
        }
        Message::Ended { request, attempt, next, ending } => {
            handle_ended(state, step, request, attempt, next, ending);
        }
        Message::CallerDisconnected(request) => handle_disconnect(state, step, request),
        Message::Quarantine(quarantine) => handle_quarantine(state, step, quarantine),
        Message::Lost { targets } => handle_targets_lost(state, step, &targets),
        Message::Bounds(bounds) => {
            state.settings.retry_share = bounds.retry_share;
            state.budget.set_share(bounds.retry_share);
            state.settings.max_attempts = bounds.max_attempts;
            state.settings.quarantine_ttl = bounds.quarantine_ttl;
        }
        Message::Wake => handle_wake(state, step),
    }
}

fn handle_load(state: &mut State, step: &Step<'_>, load: &Load) {
    let Some(id) = state.view.id(&load.target) else { return };
    let streams = load.running.saturating_add(load.queued);
    state.view.entry_mut(id).load.report(step.now, streams, load.age);
    state.view.update_peer_ratio();
}

fn handle_progress(
    state: &mut State,
    step: &mut Step<'_>,
    id: RequestId,
    attempt: AttemptId,
    next: TokenIndex,
) {
    let Some(entry) = state.table.get_mut(&id) else { return };
    if entry.attempt != attempt || !entry.running || next < entry.next_token {
        return;
    }
    entry.may_have_run = true;
    let before = entry.last_progress.replace((step.now, next));
    let first = before.is_none().then(|| step.now.saturating_sub(entry.sent_at));
    if before.is_none() {
        entry.prompt_done(&mut state.view);
    }
    let tokens = before.map_or(0, |(_, number)| next.saturating_sub(number));
    let gap = before
        .filter(|_| tokens > 0)
        .map(|(at, _)| step.now.saturating_sub(at).as_secs_f64() / f64::from(tokens));
    entry.next_token = next;
    let prompt = f64::from(entry.request.shape.prompt_tokens) + PROMPT_OVERHEAD_TOKENS;
    let (service, sent) = (entry.request.service.clone(), entry.sent_at);
    let stages: Vec<_> = entry.picks.iter().map(|pick| pick.target).collect();
    let cleared = entry.clear_from.is_some_and(|from| next >= from);
    if cleared {
        entry.clear_from = None;
        let fingerprint = entry.request.fingerprint;
        clear_suspicion(state, step, fingerprint);
    }
    let Some(pool) = state.view.pools.get_mut(&service) else { return };
    if let Some(first) = first {
        pool.first_token.record(first.as_secs_f64() / prompt);
    }
    let mean = pool.token_gap.mean();
    if let Some(gap) = gap {
        pool.token_gap.record(gap);
    }
    for &stage in &stages {
        record_progress(state, step, stage, sent);
    }
    if let (Some(gap), Some(mean)) = (gap, mean) {
        record_gap_ratio(state, step, &stages, gap / mean.max(f64::MIN_POSITIVE));
    }
}

/// Records the gap ratio for the stages and ejects the slowest one if it has become too slow.
fn record_gap_ratio(
    state: &mut State,
    step: &mut Step<'_>,
    stages: &[fleet::TargetId],
    ratio: f64,
) {
    let view = &mut state.view;
    if stages.iter().any(|&stage| view.entry(stage).health.cause().is_some()) {
        return;
    }
    for &stage in stages {
        view.entry_mut(stage).health.record_gap_ratio(ratio);
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
        state.view.entry_mut(target).health.reset_slowness();
    }
}

fn handle_disconnect(state: &mut State, step: &mut Step<'_>, id: RequestId) {
    let Some(entry) = state.table.get(&id) else { return };
    // A call that must not be repeated continues, because its result is to be recorded.
    if entry.running && !entry.request.idempotent {
        return;
    }
    if entry.running {
        cancel(state, step, id);
    }
    if let Some(mut entry) = state.table.remove(&id) {
        entry.remove_load(&mut state.view, step.now);
        for pick in &entry.picks {
            state.view.entry_mut(pick.target).health.end_probe();
        }
    }
    state.held.remove(&id);
}

fn handle_quarantine(state: &mut State, step: &mut Step<'_>, fact: Quarantine) {
    if !state.settings.mechanism.quarantine {
        return;
    }
    let Quarantine { fingerprint, target, confirmed, ttl } = fact;
    if confirmed {
        state.suspects.drop_evidence_for(&target, (fingerprint, Scope::Request));
        state.suspects.quarantine(fingerprint, step.now + ttl);
        return end_quarantined(state, step, fingerprint, ttl);
    }
    let (domain, rack) = match state.view.id(&target) {
        Some(id) => {
            let entry = state.view.entry(id);
            (entry.domain, entry.target.rack.clone())
        }
        None => (u16::MAX, smol_str::SmolStr::default()),
    };
    let loss = Loss { target, place: Place { domain, rack }, at: step.now };
    let loss = state.suspects.record_loss(loss, &state.settings.suspicion());
    state.suspects.add_evidence(
        Subject::request(fingerprint),
        loss,
        true,
        &state.settings.suspicion(),
    );
}

/// Returns until when a request waits because another node has just suspected its fingerprint.
fn repeat_wait(state: &State, now: Duration, fingerprint: u64) -> Option<Duration> {
    if !state.settings.mechanism.quarantine || state.suspects.is_empty() {
        return None;
    }
    let last = state.suspects.last_loss(fingerprint, now)?;
    let until = last + state.settings.confirm * REPEAT_WAIT_CONFIRM_PERIODS;
    (until > now).then_some(until)
}

fn hold_until(state: &mut State, id: RequestId, until: Duration) {
    if let Some(entry) = state.table.get_mut(&id) {
        entry.held_until = Some(until);
        state.held.insert(id);
    }
}

fn handle_wake(state: &mut State, step: &mut Step<'_>) {
    // A wake-up that was superseded by an earlier one must not start a second series of wake-ups.
    state.wake_at = state.wake_at.filter(|wake| *wake > step.now);
    if step.now >= state.expired_at + EXPIRE_INTERVAL {
        state.expired_at = step.now;
        state.suspects.expire(step.now, &state.settings.suspicion());
    }
    // Ejected targets whose ejection time is over return to the plans and are probed.
    let view = &state.view;
    state.ejected.retain(|&id| view.entry(id).health.cause().is_some());
    let solved = state.solved_at.unwrap_or_default();
    let due = state.ejected.iter().any(|&id| {
        let probe = view.entry(id).health.probe_at();
        probe.is_some_and(|at| at <= step.now && at > solved)
    });
    state.dirty |= due;
}

/// Launches held requests that are due, or all of them after a change.
fn release_held(state: &mut State, step: &mut Step<'_>, changed: bool) {
    let due = |id: &RequestId| {
        let until = state.table.get(id).and_then(|entry| entry.held_until);
        changed || until.is_none_or(|until| until <= step.now)
    };
    let ids: Vec<RequestId> = state.held.iter().copied().filter(due).collect();
    for id in ids {
        launch(state, step, id);
    }
}

fn solve(state: &mut State, step: &mut Step<'_>) {
    state.dirty = false;
    state.solved_at = Some(step.now);
    let previous: Vec<_> =
        state.view.pools.iter().map(|(s, p)| (s.clone(), p.rate, p.slots)).collect();
    state.view.rebuild_pools(step.now, &state.settings);
    for (service, pool) in &state.view.pools {
        let same = previous.iter().find(|(name, ..)| name == service).is_some_and(|known| {
            (known.1 - pool.rate).abs() <= MIN_CAPACITY_CHANGE * pool.rate && known.2 == pool.slots
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
    for (service, ..) in previous {
        if !state.view.pools.contains_key(&service) {
            step.act(Action::Capacity { service, tokens_per_second: 0.0, slots: 0 });
        }
    }
}

/// Requests the next wake-up, unless an earlier one is pending.
fn schedule_wake(state: &mut State, step: &mut Step<'_>) {
    let held = state.held.iter().filter_map(|id| state.table.get(id)?.held_until).min();
    let solve = state
        .dirty
        .then(|| state.solved_at.map_or(step.now, |last| last + state.settings.solve_interval));
    let probe = state.next_probe();
    let expire = (!state.suspects.is_empty()).then_some(state.expired_at + EXPIRE_INTERVAL);
    let times = [held, solve, probe, expire];
    let Some(next) = times.into_iter().flatten().min() else { return };
    if state.wake_at.is_some_and(|wake| wake <= next && wake >= step.now) {
        return;
    }
    let next = next.max(step.now + MIN_WAKE_DELAY);
    state.wake_at = Some(next);
    step.act(Action::Wake(next - step.now));
}

impl State {
    /// Returns when the next ejected target can be probed.
    fn next_probe(&self) -> Option<Duration> {
        let solved = self.solved_at.unwrap_or_default();
        let ejected = self.ejected.iter().map(|&id| self.view.entry(id));
        let present = ejected.filter(|entry| entry.present);
        present.filter_map(|entry| entry.health.probe_at()).filter(|at| *at > solved).min()
    }
}
