//! Verdicts.

use fleet::{Event, RequestId, TargetName};

use crate::launch::hex;
use crate::state::{State, Step};
use crate::{Action, Outcome, Quarantine, Reason, event};

/// Gives a request its outcome and forgets it.
pub(crate) fn finish(state: &mut State, step: &mut Step<'_>, id: RequestId, outcome: Outcome) {
    let Some(mut entry) = state.table.remove(&id) else { return };
    entry.release(&mut state.view, step.now);
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
            .with("request", hex(id))
            .with("attempt", entry.attempt)
            .with("reason", name),
    );
    step.act(Action::Finish { request: id, outcome });
}

/// Gives a request up, truthfully about whether any of it ran.
pub(crate) fn give_up(state: &mut State, step: &mut Step<'_>, id: RequestId, reason: Reason) {
    let Some(entry) = state.table.get(&id) else { return };
    let least = state.settings.retry_after;
    let retry_after = entry.retry_after.map_or(least, |asked| asked.max(least));
    let outcome = if !entry.began {
        Outcome::NotRun { retry_after, reason }
    } else if entry.request.idempotent {
        Outcome::Incomplete { retry_after, reason }
    } else {
        Outcome::Unknown
    };
    finish(state, step, id, outcome);
}

/// Condemns a fingerprint for the loss of `targets`, here and on all nodes.
pub(crate) fn condemn(
    state: &mut State,
    step: &mut Step<'_>,
    fingerprint: u64,
    targets: &[TargetName],
) {
    let ttl = state.settings.quarantine_ttl;
    let mut line = Event::new(event::CONDEMNED).with("fingerprint", fingerprint);
    for target in targets {
        line = line.with("target", target);
        let target = target.clone();
        step.act(Action::Quarantine(Quarantine { fingerprint, target, confirmed: true, ttl }));
    }
    step.log(line);
    end_condemned(state, step, fingerprint, ttl);
}

/// Ends the requests of a condemned fingerprint that this node has. A running call that may
/// not be repeated is left alone: its outcome still counts.
pub(crate) fn end_condemned(
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

/// Tells the stages of the running attempt to end it.
pub(crate) fn cancel(state: &mut State, step: &mut Step<'_>, id: RequestId) {
    let Some(entry) = state.table.get_mut(&id) else { return };
    let is_model = entry.plan.stages.iter().any(|stage| !stage.layers.is_empty());
    if is_model {
        let (attempt, plan) = (entry.attempt, entry.plan.clone());
        step.act(Action::Cancel { request: id, attempt, plan });
    }
}
