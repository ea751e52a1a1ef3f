//! What follows the end of an attempt.

use std::time::Duration;

use fleet::{AttemptId, Event, RequestId, TargetId, TargetName, TokenIndex};
use suspect::{Loss, Place};

use crate::finish::{cancel, finish, give_up};
use crate::launch::{hex, launch};
use crate::outlier::Cause;
use crate::state::{State, Step, eject, show_life};
use crate::{Action, Ending, Outcome, Quarantine, Reason, event};

/// Stalls of different requests on a target that eject it, where others may be the cause.
const STALLS_EJECT: u32 = 2;

/// Handles the end of an attempt.
pub(crate) fn ended(
    state: &mut State,
    step: &mut Step<'_>,
    id: RequestId,
    attempt: AttemptId,
    next: TokenIndex,
    ending: Ending,
) {
    let Some(entry) = state.table.get_mut(&id) else { return };
    if entry.attempt != attempt || !entry.running {
        return;
    }
    entry.next = entry.next.max(next);
    entry.release(&mut state.view, step.now);
    if ending == Ending::Complete {
        return complete(state, step, id);
    }
    let line = Event::new(event::ENDED)
        .with("request", hex(id))
        .with("attempt", attempt)
        .with("next", next)
        .with("reason", reason(&ending));
    step.log(line);
    let repeatable = is_repeatable(state, id, &ending);
    let free = matches!(ending, Ending::Refused { leaving: true, .. });
    let at_first = note(state, step, id, ending);
    if !at_first {
        cancel(state, step, id);
    }
    probes_over(state, id);
    if repeatable {
        retry(state, step, id, free);
    } else {
        finish(state, step, id, Outcome::Unknown);
    }
}

/// Tries a request again, if attempts and budget allow.
pub(crate) fn retry(state: &mut State, step: &mut Step<'_>, id: RequestId, free: bool) {
    let Some(entry) = state.table.get(&id) else { return };
    if entry.attempt >= state.settings.max_attempts {
        return give_up(state, step, id, Reason::AttemptsExhausted);
    }
    let bounded = state.settings.mechanism.budget && !free;
    if bounded && !state.budget.withdraw(step.now) {
        return give_up(state, step, id, Reason::RetryBudgetExhausted);
    }
    launch(state, step, id);
}

fn complete(state: &mut State, step: &mut Step<'_>, id: RequestId) {
    let Some(entry) = state.table.get(&id) else { return };
    let (fingerprint, sent) = (entry.request.fingerprint, entry.sent);
    let stages: Vec<TargetId> = entry.picks.iter().map(|pick| pick.target).collect();
    for stage in stages {
        show_life(state, step, stage, sent);
        state.view.entry_mut(stage).health.succeeded();
    }
    clear(state, step, fingerprint);
    state.budget.deposit(state.table.len());
    finish(state, step, id, Outcome::Complete);
}

/// Drops what is held against a fingerprint.
pub(crate) fn clear(state: &mut State, step: &mut Step<'_>, fingerprint: u64) {
    if !state.suspects.is_empty() && state.suspects.clear(fingerprint) {
        step.log(Event::new(event::CLEARED).with("fingerprint", fingerprint));
    }
}

/// Whether a request may be tried again after such an ending.
fn is_repeatable(state: &State, id: RequestId, ending: &Ending) -> bool {
    let not_run = matches!(ending, Ending::Refused { .. } | Ending::Unreachable { .. });
    let Some(entry) = state.table.get(&id) else { return false };
    entry.request.idempotent || (not_run && entry.plan.stages.len() == 1)
}

/// Notes what the ending tells about the targets and the request; true if nothing was
/// sent to any stage, so that nothing is to be cancelled.
fn note(state: &mut State, step: &mut Step<'_>, id: RequestId, ending: Ending) -> bool {
    match ending {
        Ending::Complete => true,
        Ending::Refused { target, leaving, retry_after } => {
            let at_first = not_run_at(state, id, &target);
            if let Some(entry) = state.table.get_mut(&id) {
                entry.retry_after = entry.retry_after.max(retry_after);
            }
            if leaving {
                left(state, step, &target);
            }
            at_first
        }
        Ending::Unreachable { target } => {
            let at_first = not_run_at(state, id, &target);
            if let Some(target) = state.view.id(&target) {
                lose(state, step, target);
                eject(state, step, target, Cause::Failed);
            }
            at_first
        }
        Ending::Broken { target } => {
            broken(state, step, id, target);
            false
        }
        Ending::Stalled => {
            stalled(state, step, id);
            false
        }
        Ending::PlanMismatch => {
            let first = first_stage(state, id);
            fail(state, id, first);
            false
        }
        Ending::Failed => {
            let first = first_stage(state, id);
            fail(state, id, first);
            if let Some(first) = first
                && state.view.entry_mut(first).health.failed()
            {
                eject(state, step, first, Cause::Failed);
            }
            false
        }
    }
}

/// A target did not run its part; true if it was the first, so that none ran anything.
fn not_run_at(state: &mut State, id: RequestId, target: &TargetName) -> bool {
    let failed = state.view.id(target);
    fail(state, id, failed);
    let Some(entry) = state.table.get_mut(&id) else { return true };
    let at_first = entry.plan.stages.first().is_some_and(|stage| stage.target == *target);
    entry.began |= !at_first;
    at_first
}

/// Notes that a target refused work because it is leaving.
fn left(state: &mut State, step: &mut Step<'_>, target: &TargetName) {
    let Some(id) = state.view.id(target) else { return };
    let entry = state.view.entry_mut(id);
    let news = !entry.leaving;
    entry.leaving = true;
    entry.said_leaving = Some(step.now);
    if news {
        state.dirty = true;
        step.log(Event::new(event::LEAVING).with("target", target));
        step.act(Action::Leaving(target.clone()));
    }
}

fn broken(state: &mut State, step: &mut Step<'_>, id: RequestId, target: Option<TargetName>) {
    let named = target.and_then(|name| state.view.id(&name));
    let Some(target) = named.or_else(|| first_stage(state, id)) else { return };
    begin(state, id);
    fail(state, id, Some(target));
    if let Some(entry) = state.table.get_mut(&id) {
        entry.silent.retain(|silent| *silent != target);
    }
    let loss = lose(state, step, target);
    eject(state, step, target, Cause::Failed);
    suspect(state, step, id, target, loss);
}

/// Notes that some target may have run the request.
fn begin(state: &mut State, id: RequestId) {
    if let Some(entry) = state.table.get_mut(&id) {
        entry.began = true;
    }
}

/// Notes that a target is gone.
fn lose(state: &mut State, step: &Step<'_>, target: TargetId) -> Loss {
    let entry = state.view.entry(target);
    let place = Place { domain: entry.domain, rack: entry.target.rack.clone() };
    let loss = Loss { target: entry.target.name.clone(), place, at: step.now };
    state.suspects.lose(loss, &state.settings.suspicion())
}

/// Holds a loss against the request that ran there.
///
/// A stage kept from the attempt before has run the request already without being lost, so
/// its loss is no evidence. Only evidence of full weight is told to the other nodes.
fn suspect(state: &mut State, step: &mut Step<'_>, id: RequestId, target: TargetId, loss: Loss) {
    if !state.settings.mechanism.quarantine {
        return;
    }
    let Some(entry) = state.table.get(&id) else { return };
    if entry.kept.iter().any(|pick| pick.target == target) {
        return;
    }
    let fresh = entry.moved.is_none() && entry.next == entry.from;
    let fingerprint = entry.request.fingerprint;
    let target = loss.target.clone();
    if !state.suspects.suspect(fingerprint, loss, fresh, &state.settings.suspicion()) {
        return;
    }
    let ttl = state.settings.suspect_ttl;
    step.log(Event::new(event::SUSPECTED).with("fingerprint", fingerprint).with("target", &target));
    if fresh {
        step.act(Action::Quarantine(Quarantine { fingerprint, target, confirmed: false, ttl }));
    }
}

/// Blames the stages of a stalled attempt that have shown no life since.
fn stalled(state: &mut State, step: &mut Step<'_>, id: RequestId) {
    begin(state, id);
    let Some(entry) = state.table.get(&id) else { return };
    let last = entry.moved.map_or(entry.sent, |(at, _)| at);
    let half = step.now.saturating_sub(last) / 2;
    let alive = |target: TargetId| state.view.entry(target).health.alive();
    let stages: Vec<TargetId> = entry.picks.iter().map(|pick| pick.target).collect();
    let mut blamed: Vec<TargetId> =
        stages.iter().copied().filter(|&target| alive(target) <= last + half).collect();
    if blamed.is_empty() {
        blamed.extend(stages.iter().copied().min_by_key(|&target| alive(target)));
    }
    let alone = blamed.len() == 1;
    for target in blamed {
        let before = state.table.get(&id).is_some_and(|entry| entry.failed.contains(&target));
        fail(state, id, Some(target));
        if !before && let Some(entry) = state.table.get_mut(&id) {
            entry.silent.push(target);
        }
        let stalls = state.view.entry_mut(target).health.stalled();
        if alone || stalls >= STALLS_EJECT {
            eject(state, step, target, Cause::Failed);
        }
    }
}

/// The next attempt avoids a target and may keep the other stages.
fn fail(state: &mut State, id: RequestId, target: Option<TargetId>) {
    let Some(entry) = state.table.get_mut(&id) else { return };
    if let Some(target) = target.filter(|target| !entry.failed.contains(target)) {
        entry.failed.push(target);
    }
    let failed = &entry.failed;
    entry.survivors =
        entry.picks.iter().copied().filter(|pick| !failed.contains(&pick.target)).collect();
    if entry.survivors.len() == entry.picks.len() {
        entry.survivors.clear();
    }
}

fn first_stage(state: &mut State, id: RequestId) -> Option<TargetId> {
    let entry = state.table.get_mut(&id)?;
    entry.began = true;
    entry.picks.first().map(|pick| pick.target)
}

/// An attempt that tried an ejected target is over.
fn probes_over(state: &mut State, id: RequestId) {
    let Some(entry) = state.table.get(&id) else { return };
    for pick in &entry.picks {
        state.view.entry_mut(pick.target).health.probe_over();
    }
}

/// Membership says that targets went together: nobody is suspected for it, and streams
/// that do not move any more are moved at once.
pub(crate) fn lost(state: &mut State, step: &mut Step<'_>, targets: &[TargetName]) {
    step.log(Event::new(event::LOST).with("targets", targets.len()));
    if state.settings.mechanism.correlation {
        state.suspects.explain(targets, step.now + state.settings.suspect_ttl);
    }
    let ids: Vec<TargetId> = targets.iter().filter_map(|name| state.view.id(name)).collect();
    for &target in &ids {
        eject(state, step, target, Cause::Lost);
    }
    let quiet = |last: Duration| step.now.saturating_sub(last) > state.settings.stall_min;
    let stuck = state.table.iter().filter(|(_, entry)| {
        let last = entry.moved.map_or(entry.sent, |(at, _)| at);
        entry.request.idempotent && quiet(last) && ids.iter().any(|&target| entry.uses(target))
    });
    let stuck: Vec<RequestId> = stuck.map(|(id, _)| *id).collect();
    for id in stuck {
        move_away(state, step, id, &ids);
    }
}

fn move_away(state: &mut State, step: &mut Step<'_>, id: RequestId, lost: &[TargetId]) {
    cancel(state, step, id);
    if let Some(entry) = state.table.get_mut(&id) {
        entry.release(&mut state.view, step.now);
        entry.began = true;
    }
    for &target in lost {
        fail(state, id, Some(target));
    }
    retry(state, step, id, false);
}

fn reason(ending: &Ending) -> &'static str {
    match ending {
        Ending::Complete => "complete",
        Ending::Refused { leaving: true, .. } => "leaving",
        Ending::Refused { .. } => "refused",
        Ending::Unreachable { .. } => "unreachable",
        Ending::Broken { .. } => "broken",
        Ending::Stalled => "stalled",
        Ending::PlanMismatch => "astray",
        Ending::Failed => "failed",
    }
}
