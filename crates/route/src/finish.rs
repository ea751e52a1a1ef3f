//! Ends requests: with an outcome, by quarantine or by cancellation.

use fleet::{Event, RequestId, TargetName};

use crate::launch::format_id;
use crate::state::{State, Step};
use crate::{Action, Outcome, Quarantine, Reason, event};

/// Reports the outcome of a request and removes its state.
pub(crate) fn finish(state: &mut State, step: &mut Step<'_>, id: RequestId, outcome: Outcome) {
    let Some(mut entry) = state.table.remove(&id) else { return };
    entry.remove_load(&mut state.view, step.now);
    state.held.remove(&id);
    let name = match outcome {
        Outcome::Complete => "complete",
        Outcome::NotRun { .. } => "not-run",
        Outcome::Incomplete { .. } => "incomplete",
        Outcome::Unknown => "unknown",
        Outcome::Quarantined { .. } => "quarantined",
    };
    step.log(
        Event::new(event::FINISHED)
            .with("request", format_id(id))
            .with("attempt", entry.attempt)
            .with("reason", name),
    );
    step.act(Action::Finish { request: id, outcome });
}

/// Gives up a request with the outcome that matches whether any of it may have run.
pub(crate) fn give_up(state: &mut State, step: &mut Step<'_>, id: RequestId, reason: Reason) {
    let Some(entry) = state.table.get(&id) else { return };
    let min = state.settings.retry_after;
    let retry_after = entry.retry_after.map_or(min, |requested| requested.max(min));
    let outcome = if !entry.may_have_run {
        Outcome::NotRun { retry_after, reason }
    } else if entry.request.idempotent {
        Outcome::Incomplete { retry_after, reason }
    } else {
        Outcome::Unknown
    };
    finish(state, step, id, outcome);
}

/// Announces the quarantine of a fingerprint for the loss of `targets` to all nodes and ends its
/// requests on this node.
pub(crate) fn quarantine(
    state: &mut State,
    step: &mut Step<'_>,
    fingerprint: u64,
    targets: &[TargetName],
) {
    let ttl = state.settings.quarantine_ttl;
    let mut line = Event::new(event::QUARANTINED).with("fingerprint", fingerprint);
    for target in targets {
        line = line.with("target", target);
        let target = target.clone();
        step.act(Action::Quarantine(Quarantine { fingerprint, target, confirmed: true, ttl }));
    }
    step.log(line);
    end_quarantined(state, step, fingerprint, ttl);
}

/// Ends this node's requests with a quarantined fingerprint. A running call that must not be
/// repeated continues, because its result is still needed.
pub(crate) fn end_quarantined(
    state: &mut State,
    step: &mut Step<'_>,
    fingerprint: u64,
    retry_after: std::time::Duration,
) {
    let same = state.table.iter().filter(|(_, entry)| {
        let ends = entry.request.idempotent || !entry.running;
        entry.request.fingerprint == fingerprint && ends
    });
    let ids: Vec<RequestId> = same.map(|(id, _)| *id).collect();
    for id in ids {
        cancel(state, step, id);
        finish(state, step, id, Outcome::Quarantined { retry_after });
    }
}

/// Tells the stages of the running attempt to end it. Plain calls are not cancelled.
pub(crate) fn cancel(state: &mut State, step: &mut Step<'_>, id: RequestId) {
    let Some(entry) = state.table.get_mut(&id) else { return };
    let is_model = entry.plan.stages.iter().any(|stage| !stage.layers.is_empty());
    if is_model {
        let (attempt, plan) = (entry.attempt, entry.plan.clone());
        step.act(Action::Cancel { request: id, attempt, plan });
    }
}
