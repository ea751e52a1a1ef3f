//! Sending an attempt, or holding a request back.

use std::time::Duration;

use fleet::{Event, Layers, Plan, RequestId, Stage, TargetId, TargetName};

use rand::RngExt;
use suspect::{Judgement, Standing};

use crate::choose::{self, Pick, Wish};
use crate::finish::{condemn, finish, give_up};
use crate::outlier::Admission;
use crate::pace::timeout;
use crate::pool::Pool;
use crate::state::{State, Step};
use crate::{Action, Dispatch, Outcome, Reason, Settings, event};

/// Longest wait for targets that run no other suspect.
const ISOLATION_WAIT: Duration = Duration::from_millis(50);
/// Tokens after the loss from which a suspect that still runs is cleared.
const CLEAR_MARGIN: u32 = 8;
/// The learned time to the first token is multiplied by this.
const FIRST_FACTOR: f64 = 3.0;
/// Lowest timeout to the first token.
const FIRST_MIN: Duration = Duration::from_millis(500);
/// Added to the prompt's tokens: the time that does not depend on them.
pub(crate) const PROMPT_BASE: f64 = 256.0;

/// Sends the next attempt at a request, unless what is held against it forbids that.
pub(crate) fn launch(state: &mut State, step: &mut Step<'_>, id: RequestId) {
    let Some(entry) = state.table.get(&id) else { return };
    let fingerprint = entry.request.fingerprint;
    let standing = match state.settings.mechanism.quarantine {
        true => state.suspects.standing(fingerprint, step.now, &state.settings.suspicion()),
        false => Standing::Clear,
    };
    match standing {
        Standing::Clear => send(state, step, id, false),
        Standing::Suspect => match state.suspects.turn(fingerprint, &state.settings.suspicion()) {
            Some(turn) if step.now < turn => hold(state, step, id, turn, "turn"),
            _ => send(state, step, id, true),
        },
        Standing::Condemned(until) => {
            let retry_after = until.saturating_sub(step.now);
            finish(state, step, id, Outcome::Quarantined { retry_after });
        }
        Standing::Pending(at) if step.now < at => hold(state, step, id, at, "judgement"),
        Standing::Pending(_) => {
            match state.suspects.judge(fingerprint, step.now, &state.settings.suspicion()) {
                Judgement::Dropped => launch(state, step, id),
                Judgement::Condemned(targets) => condemn(state, step, fingerprint, &targets),
            }
        }
    }
}

/// Holds a request back until `until`.
fn hold(state: &mut State, step: &mut Step<'_>, id: RequestId, until: Duration, reason: &str) {
    let Some(entry) = state.table.get_mut(&id) else { return };
    entry.held = Some(until);
    if state.held.insert(id) {
        step.log(Event::new(event::HELD).with("request", hex(id)).with("reason", reason));
    }
}

/// Chooses targets and sends the attempt.
fn send(state: &mut State, step: &mut Step<'_>, id: RequestId, suspect: bool) {
    let Some(entry) = state.table.get(&id) else { return };
    let Some(pool) = state.view.pools.get(&entry.request.service) else {
        return give_up(state, step, id, Reason::UnknownService);
    };
    let mut avoid = if state.settings.mechanism.exclude { entry.failed.clone() } else { vec![] };
    let mut shun = Vec::new();
    if suspect {
        avoid.extend(claimed(state, id));
        let lost = state.suspects.lost_to(entry.request.fingerprint, step.now);
        avoid.extend(lost.iter().filter_map(|name| state.view.id(name)));
        shun = state.suspects.places(entry.request.fingerprint, step.now);
    }
    let mut wish = Wish {
        now: step.now,
        settings: &state.settings,
        prefixes: &entry.prefixes,
        avoid: &avoid,
        shun: &shun,
        luck: step.rng.random(),
        desperate: false,
    };
    let mut picks = choose(state, pool, &entry.survivors, &wish, step);
    if picks.is_none() && !suspect {
        wish.desperate = true;
        picks = choose(state, pool, &entry.survivors, &wish, step);
    }
    let patient: Vec<TargetId>;
    if picks.is_none() && !suspect && !entry.silent.is_empty() {
        // Nothing else covers the layers: what was only silent may be slow.
        patient = avoid.iter().copied().filter(|id| !entry.silent.contains(id)).collect();
        wish.avoid = &patient;
        picks = choose(state, pool, &[], &wish, step);
    }
    match picks {
        Some(picks) => dispatch(state, step, id, picks, suspect),
        None if suspect && is_covered(state, pool, step, &entry.failed) => {
            hold(state, step, id, step.now + ISOLATION_WAIT, "isolation");
        }
        None => {
            let reason =
                if entry.attempt > 0 && !entry.began { Reason::Refused } else { Reason::NoPlan };
            give_up(state, step, id, reason);
        }
    }
}

/// Survivors with the gaps between them covered, or else a whole new chain.
fn choose(
    state: &State,
    pool: &Pool,
    survivors: &[Pick],
    wish: &Wish<'_>,
    step: &mut Step<'_>,
) -> Option<Vec<Pick>> {
    let view = &state.view;
    // A survivor may be claimed by another suspect: it has run this request already.
    let usable = Wish { avoid: &[], ..*wish };
    let kept: Vec<Pick> = survivors
        .iter()
        .copied()
        .filter(|pick| choose::is_usable(view, pick.target, &usable))
        .collect();
    if kept.is_empty() || !state.settings.mechanism.reuse {
        return choose::chain(view, pool, wish, step.rng);
    }
    let mut picks = kept.clone();
    let mut at = 0;
    let ends = kept.iter().map(|pick| pick.layers);
    for layers in ends.chain([Layers::new(pool.depth, pool.depth)]) {
        if layers.start > at {
            let gap = Layers::new(at, layers.start);
            let Some(stages) = choose::cover(view, pool, gap, &picks, wish, step.rng) else {
                return choose::chain(view, pool, wish, step.rng);
            };
            picks.extend(stages);
        }
        at = layers.end;
    }
    picks.sort_by_key(|pick| pick.layers.start);
    Some(picks)
}

/// Targets that other suspects have newly come to.
fn claimed(state: &State, id: RequestId) -> Vec<TargetId> {
    let running = state
        .table
        .iter()
        .filter(|(other, entry)| **other != id && entry.running && entry.clear_from.is_some());
    let fresh = running.flat_map(|(_, entry)| {
        entry.picks.iter().filter(|pick| !entry.kept.contains(pick)).map(|pick| pick.target)
    });
    fresh.collect()
}

/// Whether the line is covered when no suspect claims a target.
fn is_covered(state: &State, pool: &Pool, step: &mut Step<'_>, failed: &[TargetId]) -> bool {
    let wish = Wish {
        now: step.now,
        settings: &state.settings,
        prefixes: &[],
        avoid: failed,
        shun: &[],
        luck: 0.0,
        desperate: true,
    };
    choose::chain(&state.view, pool, &wish, step.rng).is_some()
}

fn dispatch(
    state: &mut State,
    step: &mut Step<'_>,
    id: RequestId,
    picks: Vec<Pick>,
    suspect: bool,
) {
    let Some(entry) = state.table.get_mut(&id) else { return };
    let view = &mut state.view;
    let Some(pool) = view.pools.get(&entry.request.service) else { return };
    let stages = picks.iter().map(|pick| {
        let target = &view.entry(pick.target).target;
        Stage { target: target.name.clone(), address: target.address, layers: pick.layers }
    });
    let plan = Plan { stages: stages.collect() };
    debug_assert!(pool.depth == 0 || plan.verify(pool.depth).is_ok(), "{plan:?}");
    let (first_timeout, stall_timeout) =
        timeouts(&state.settings, pool, entry.request.shape.prompt_tokens);
    let kept: Vec<Pick> =
        entry.survivors.iter().copied().filter(|pick| picks.contains(pick)).collect();
    let reuse: Vec<TargetName> =
        kept.iter().map(|pick| view.entry(pick.target).target.name.clone()).collect();
    for pick in &picks {
        let health = &mut view.entry_mut(pick.target).health;
        if health.admission(step.now) == Admission::Probe {
            health.probe();
        }
    }
    entry.attempt += 1;
    entry.picks = picks;
    entry.plan = plan.clone();
    entry.from = entry.next;
    entry.sent = step.now;
    entry.moved = None;
    entry.held = None;
    entry.survivors.clear();
    entry.clear_from = suspect.then_some(entry.next + CLEAR_MARGIN);
    let tokens = f64::from(entry.request.shape.prompt_tokens) + f64::from(entry.next);
    entry.kept = kept;
    entry.occupy(view, step.now, tokens / state.settings.prompt_speedup);
    state.held.remove(&id);
    let line = Event::new(event::DISPATCHED)
        .with("request", hex(id))
        .with("attempt", entry.attempt)
        .with("target", names(&plan))
        .with("from", entry.next)
        .with("reuse", reuse.len());
    let dispatch = Dispatch {
        request: id,
        attempt: entry.attempt,
        plan,
        from: entry.next,
        priority: entry.priority,
        first_timeout,
        stall_timeout,
        reuse,
    };
    step.log(line);
    step.act(Action::Dispatch(dispatch));
}

/// Timeouts to the first token and between tokens.
fn timeouts(settings: &Settings, pool: &Pool, prompt_tokens: u32) -> (Duration, Duration) {
    if pool.depth == 0 {
        return (settings.call_timeout, settings.call_timeout);
    }
    if !settings.mechanism.learned_stall {
        return (settings.first_timeout, settings.stall_max);
    }
    let prompt = f64::from(prompt_tokens) + PROMPT_BASE;
    let first = pool.first.usual().map(|usual| usual * prompt);
    let first_min = FIRST_MIN.min(settings.first_timeout);
    let gap = pool.gap.usual();
    (
        timeout(first, FIRST_FACTOR, first_min, settings.first_timeout),
        timeout(gap, settings.stall_factor, settings.stall_min, settings.stall_max),
    )
}

fn names(plan: &Plan) -> String {
    let mut names = String::new();
    for stage in &plan.stages {
        if !names.is_empty() {
            names.push('>');
        }
        names.push_str(&stage.target);
    }
    names
}

/// A request's id as it is written in logs.
pub(crate) fn hex(id: RequestId) -> String {
    format!("{id:032x}")
}
