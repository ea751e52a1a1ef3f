//! Handles the end of an attempt: retries, ejections and suspicions.

use std::time::Duration;

use fleet::{AttemptId, Event, RequestId, TargetId, TargetName, TokenIndex};
use suspect::{Loss, Place, Subject};

use crate::finish::{cancel, finish, give_up};
use crate::launch::{format_id, launch};
use crate::outlier::Cause;
use crate::state::{State, Step, eject, record_progress};
use crate::{Action, Ending, Outcome, Quarantine, Reason, event};

/// Stalls that eject a target if other stages may have caused them.
const MIN_STALLS_TO_EJECT: u32 = 2;

/// Handles the end of an attempt. Messages about attempts that are not running are ignored.
pub(crate) fn handle_ended(
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
    entry.next_token = entry.next_token.max(next);
    entry.remove_load(&mut state.view, step.now);
    if ending == Ending::Complete {
        return complete(state, step, id);
    }
    let line = Event::new(event::ENDED)
        .with("request", format_id(id))
        .with("attempt", attempt)
        .with("next", next)
        .with("reason", ending_name(&ending));
    step.log(line);
    let repeatable = is_repeatable(state, id, &ending);
    let is_free = matches!(ending, Ending::Refused { leaving: true, .. });
    let at_first = apply_ending(state, step, id, ending);
    if !at_first {
        cancel(state, step, id);
    }
    end_probes(state, id);
    if repeatable {
        retry(state, step, id, is_free);
    } else {
        finish(state, step, id, Outcome::Unknown);
    }
}

/// Retries a request if its attempts and the retry budget allow it.
pub(crate) fn retry(state: &mut State, step: &mut Step<'_>, id: RequestId, is_free: bool) {
    let Some(entry) = state.table.get(&id) else { return };
    if entry.attempt >= state.settings.max_attempts {
        return give_up(state, step, id, Reason::AttemptsExhausted);
    }
    let bounded = state.settings.mechanism.budget && !is_free;
    if bounded && !state.budget.withdraw(step.now) {
        return give_up(state, step, id, Reason::RetryBudgetExhausted);
    }
    launch(state, step, id);
}

fn complete(state: &mut State, step: &mut Step<'_>, id: RequestId) {
    let Some(entry) = state.table.get(&id) else { return };
    let (fingerprint, sent) = (entry.request.fingerprint, entry.sent_at);
    let stages: Vec<TargetId> = entry.picks.iter().map(|pick| pick.target).collect();
    for stage in stages {
        record_progress(state, step, stage, sent);
        state.view.entry_mut(stage).health.record_success();
    }
    clear_suspicion(state, step, fingerprint);
    state.budget.deposit(state.table.len());
    finish(state, step, id, Outcome::Complete);
}

/// Drops the suspicions against a fingerprint.
pub(crate) fn clear_suspicion(state: &mut State, step: &mut Step<'_>, fingerprint: u64) {
    if !state.suspects.is_empty() && state.suspects.clear_evidence(fingerprint) {
        step.log(Event::new(event::CLEARED).with("fingerprint", fingerprint));
    }
}

/// Returns whether a request may be retried after such an ending.
fn is_repeatable(state: &State, id: RequestId, ending: &Ending) -> bool {
    let not_run = matches!(ending, Ending::Refused { .. } | Ending::Unreachable { .. });
    let Some(entry) = state.table.get(&id) else { return false };
    entry.request.idempotent || (not_run && entry.plan.stages.len() == 1)
}

/// Applies the ending to the state of the targets and of the request. Returns true if no stage can
/// hold the attempt, so that nothing needs to be cancelled.
fn apply_ending(state: &mut State, step: &mut Step<'_>, id: RequestId, ending: Ending) -> bool {
    match ending {
        Ending::Complete => true,
        Ending::Refused { target, leaving, retry_after } => {
            let at_first = not_run_at(state, id, &target);
            if let Some(entry) = state.table.get_mut(&id) {
                entry.retry_after = entry.retry_after.max(retry_after);
            }
            if leaving {
                mark_leaving(state, step, &target);
            }
            at_first
        }
        Ending::Unreachable { target } => {
            let at_first = not_run_at(state, id, &target);
            if let Some(target) = state.view.id(&target) {
                record_loss(state, step, id, target);
                eject(state, step, target, Cause::Failed);
            }
            at_first
        }
        Ending::Broken { target } => {
            handle_broken(state, step, id, target);
            false
        }
        Ending::Stalled => {
            handle_stalled(state, step, id);
            false
        }
        Ending::PlanMismatch => {
            let first = mark_first_stage_run(state, id);
            exclude_target(state, id, first);
            false
        }
        Ending::Failed => {
            let first = mark_first_stage_run(state, id);
            exclude_target(state, id, first);
            if let Some(first) = first
                && state.view.entry_mut(first).health.record_failure()
            {
                eject(state, step, first, Cause::Failed);
            }
            false
        }
    }
}

/// Records that a target did not run its stage. Returns true if it was the first stage, so that no
/// target has run anything.
fn not_run_at(state: &mut State, id: RequestId, target: &TargetName) -> bool {
    let failed = state.view.id(target);
    exclude_target(state, id, failed);
    let Some(entry) = state.table.get_mut(&id) else { return true };
    let at_first = entry.plan.stages.first().is_some_and(|stage| stage.target == *target);
    entry.may_have_run |= !at_first;
    at_first
}

/// Records that a target refused work because it is leaving.
fn mark_leaving(state: &mut State, step: &mut Step<'_>, target: &TargetName) {
    let Some(id) = state.view.id(target) else { return };
    let entry = state.view.entry_mut(id);
    let is_new = !entry.leaving;
    entry.leaving = true;
    entry.refused_leaving_at = Some(step.now);
    if is_new {
        state.dirty = true;
        step.log(Event::new(event::LEAVING).with("target", target));
        step.act(Action::Leaving(target.clone()));
    }
}

fn handle_broken(
    state: &mut State,
    step: &mut Step<'_>,
    id: RequestId,
    target: Option<TargetName>,
) {
    let named = target.and_then(|name| state.view.id(&name));
    let Some(target) = named.or_else(|| mark_first_stage_run(state, id)) else { return };
    mark_may_have_run(state, id);
    exclude_target(state, id, Some(target));
    if let Some(entry) = state.table.get_mut(&id) {
        entry.stalled.retain(|stalled| *stalled != target);
    }
    let loss = record_loss(state, step, id, target);
    eject(state, step, target, Cause::Failed);
    add_suspicion(state, step, id, target, loss);
}

/// Records that a target may have run the request.
fn mark_may_have_run(state: &mut State, id: RequestId) {
    if let Some(entry) = state.table.get_mut(&id) {
        entry.may_have_run = true;
    }
}

/// Records that a request found a target lost.
fn record_loss(state: &mut State, step: &Step<'_>, id: RequestId, target: TargetId) -> Loss {
    if let Some(request) = state.table.get_mut(&id)
        && !request.lost.contains(&target)
    {
        request.lost.push(target);
    }
    let entry = state.view.entry(target);
    let place = Place { domain: entry.domain, rack: entry.target.rack.clone() };
    let loss = Loss { target: entry.target.name.clone(), place, at: step.now };
    state.suspects.record_loss(loss, &state.settings.suspicion())
}

/// Counts the loss of a target against the request that ran there.
///
/// A reused stage has already run the request without being lost, so its loss is no evidence. Only
/// evidence of full weight is sent to the other nodes.
fn add_suspicion(
    state: &mut State,
    step: &mut Step<'_>,
    id: RequestId,
    target: TargetId,
    loss: Loss,
) {
    if !state.settings.mechanism.quarantine {
        return;
    }
    let Some(entry) = state.table.get(&id) else { return };
    if entry.reused.iter().any(|pick| pick.target == target) {
        return;
    }
    let fresh = entry.last_progress.is_none() && entry.next_token == entry.first_token;
    let fingerprint = entry.request.fingerprint;
    let target = loss.target.clone();
    if !state.suspects.add_evidence(
        Subject::request(fingerprint),
        loss,
        fresh,
        &state.settings.suspicion(),
    ) {
        return;
    }
    let ttl = state.settings.suspect_ttl;
    step.log(Event::new(event::SUSPECTED).with("fingerprint", fingerprint).with("target", &target));
    if fresh {
        step.act(Action::Quarantine(Quarantine { fingerprint, target, confirmed: false, ttl }));
    }
}

/// Excludes the stages of a stalled attempt that have made no progress in the second half of its
/// silence, or else the stage whose progress is the oldest. Ejects a target if it is the only one
/// or stalls repeatedly.
fn handle_stalled(state: &mut State, step: &mut Step<'_>, id: RequestId) {
    mark_may_have_run(state, id);
    let Some(entry) = state.table.get(&id) else { return };
    let last = entry.last_progress.map_or(entry.sent_at, |(at, _)| at);
    let half = step.now.saturating_sub(last) / 2;
    let last_progress = |target: TargetId| state.view.entry(target).health.last_progress();
    let stages: Vec<TargetId> = entry.picks.iter().map(|pick| pick.target).collect();
    let mut stalled: Vec<TargetId> =
        stages.iter().copied().filter(|&target| last_progress(target) <= last + half).collect();
    if stalled.is_empty() {
        stalled.extend(stages.iter().copied().min_by_key(|&target| last_progress(target)));
    }
    let is_only_one = stalled.len() == 1;
    for target in stalled {
        let was_excluded = state.table.get(&id).is_some_and(|entry| entry.failed.contains(&target));
        exclude_target(state, id, Some(target));
        if !was_excluded && let Some(entry) = state.table.get_mut(&id) {
            entry.stalled.push(target);
        }
        let stalls = state.view.entry_mut(target).health.record_stall();
        if is_only_one || stalls >= MIN_STALLS_TO_EJECT {
            eject(state, step, target, Cause::Failed);
        }
    }
}

/// Excludes a target from the next attempts and keeps the other stages for reuse.
fn exclude_target(state: &mut State, id: RequestId, target: Option<TargetId>) {
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

/// Records that the first stage may have run the request and returns its target.
fn mark_first_stage_run(state: &mut State, id: RequestId) -> Option<TargetId> {
    let entry = state.table.get_mut(&id)?;
    entry.may_have_run = true;
    entry.picks.first().map(|pick| pick.target)
}

/// Ends the probes of ejected targets by this attempt.
fn end_probes(state: &mut State, id: RequestId) {
    let Some(entry) = state.table.get(&id) else { return };
    for pick in &entry.picks {
        state.view.entry_mut(pick.target).health.end_probe();
    }
}

/// Handles targets that membership reports as lost together. No request is suspected for them, and
/// their idle streams are rerouted at once.
pub(crate) fn handle_targets_lost(state: &mut State, step: &mut Step<'_>, targets: &[TargetName]) {
    step.log(Event::new(event::LOST).with("targets", targets.len()));
    if state.settings.mechanism.correlation {
        state.suspects.explain_losses(targets, step.now + state.settings.suspect_ttl);
    }
    let ids: Vec<TargetId> = targets.iter().filter_map(|name| state.view.id(name)).collect();
    for &target in &ids {
        eject(state, step, target, Cause::Lost);
    }
    let is_idle = |last: Duration| step.now.saturating_sub(last) > state.settings.stall_min;
    let idle = state.table.iter().filter(|(_, entry)| {
        let last = entry.last_progress.map_or(entry.sent_at, |(at, _)| at);
        entry.request.idempotent && is_idle(last) && ids.iter().any(|&target| entry.uses(target))
    });
    let idle: Vec<RequestId> = idle.map(|(id, _)| *id).collect();
    for id in idle {
        reroute(state, step, id, &ids);
    }
}

fn reroute(state: &mut State, step: &mut Step<'_>, id: RequestId, lost: &[TargetId]) {
    cancel(state, step, id);
    if let Some(entry) = state.table.get_mut(&id) {
        entry.remove_load(&mut state.view, step.now);
        entry.may_have_run = true;
    }
    for &target in lost {
        exclude_target(state, id, Some(target));
    }
    retry(state, step, id, false);
}

fn ending_name(ending: &Ending) -> &'static str {
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
