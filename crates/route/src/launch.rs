//! Dispatches attempts and holds suspected requests back.

use std::time::Duration;

use fleet::{Event, Layers, Plan, RequestId, Stage, TargetId, TargetName};

use rand::RngExt;
use suspect::{Decision, Status};

use crate::choose::{self, Criteria, Pick};
use crate::estimate::timeout;
use crate::finish::{finish, give_up, quarantine};
use crate::outlier::Admission;
use crate::pool::Pool;
use crate::state::{State, Step};
use crate::table::Entry;
use crate::{Action, Dispatch, Outcome, Reason, Settings, event};

/// Interval after which a request that waits for targets without other suspects is tried again.
const ISOLATION_RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// Tokens that an attempt of a suspected request must deliver to clear the request.
const CLEAR_AFTER_TOKENS: u32 = 8;
/// Timeout to the first token as a multiple of the estimate's upper bound.
const FIRST_TOKEN_TIMEOUT_FACTOR: f64 = 3.0;
/// Minimum timeout to the first token.
const MIN_FIRST_TOKEN_TIMEOUT: Duration = Duration::from_millis(500);
/// Number of targets of one failure domain whose loss by the same request shows that the domain may
/// be lost as a whole.
const MIN_DOMAIN_LOSSES: usize = 2;
/// Added to the number of prompt tokens for the part of the first token's time that does not
/// depend on the prompt.
pub(crate) const PROMPT_OVERHEAD_TOKENS: f64 = 256.0;

/// Sends the next attempt of a request, unless suspicions against it require a delay or a
/// quarantine.
pub(crate) fn launch(state: &mut State, step: &mut Step<'_>, id: RequestId) {
    let Some(entry) = state.table.get(&id) else { return };
    let fingerprint = entry.request.fingerprint;
    let standing = match state.settings.mechanism.quarantine {
        true => state.suspects.status(fingerprint, step.now, &state.settings.suspicion()),
        false => Status::Clear,
    };
    match standing {
        Status::Clear => choose_and_dispatch(state, step, id, false),
        Status::Suspect => match state.suspects.turn_at(fingerprint, &state.settings.suspicion()) {
            Some(turn) if step.now < turn => hold_back(state, step, id, turn, "turn"),
            _ => choose_and_dispatch(state, step, id, true),
        },
        Status::Quarantined(until) => {
            let retry_after = until.saturating_sub(step.now);
            finish(state, step, id, Outcome::Quarantined { retry_after });
        }
        Status::Pending(at) if step.now < at => hold_back(state, step, id, at, "judgement"),
        Status::Pending(_) => {
            match state.suspects.decide(fingerprint, step.now, &state.settings.suspicion()) {
                Decision::Dropped(_) => launch(state, step, id),
                Decision::Quarantined(targets) => quarantine(state, step, fingerprint, &targets),
            }
        }
    }
}

/// Holds a request back until `until` at the latest.
fn hold_back(state: &mut State, step: &mut Step<'_>, id: RequestId, until: Duration, reason: &str) {
    let Some(entry) = state.table.get_mut(&id) else { return };
    entry.held_until = Some(until);
    if state.held.insert(id) {
        step.log(Event::new(event::HELD).with("request", format_id(id)).with("reason", reason));
    }
}

/// Chooses targets and dispatches the attempt, or holds the request back or gives it up.
fn choose_and_dispatch(state: &mut State, step: &mut Step<'_>, id: RequestId, suspect: bool) {
    let Some(entry) = state.table.get(&id) else { return };
    let Some(pool) = state.view.pools.get(&entry.request.service) else {
        return give_up(state, step, id, Reason::UnknownService);
    };
    let mut excluded = if state.settings.mechanism.exclude { entry.failed.clone() } else { vec![] };
    let mut last_resort_racks = Vec::new();
    if suspect {
        excluded.extend(targets_of_other_suspects(state, id));
        let lost = state.suspects.lost_targets(entry.request.fingerprint, step.now);
        excluded.extend(lost.iter().filter_map(|name| state.view.id(name)));
        last_resort_racks = state.suspects.lost_places(entry.request.fingerprint, step.now);
    }
    let mut criteria = Criteria {
        now: step.now,
        settings: &state.settings,
        prefixes: &entry.prefixes,
        excluded: &excluded,
        last_resort_racks: &last_resort_racks,
        warm_up_draw: step.rng.random(),
        allow_ejected: false,
    };
    let mut picks = choose_outside_lost_domains(state, pool, entry, &criteria, step);
    if picks.is_none() {
        picks = choose_picks(state, pool, &entry.survivors, &criteria, step);
    }
    if picks.is_none() && !suspect {
        criteria.allow_ejected = true;
        picks = choose_picks(state, pool, &entry.survivors, &criteria, step);
    }
    let excluded_except_stalled: Vec<TargetId>;
    if picks.is_none() && !suspect && !entry.stalled.is_empty() {
        // Nothing else covers the layers. Targets that only stalled may be slow rather than lost.
        excluded_except_stalled =
            excluded.iter().copied().filter(|id| !entry.stalled.contains(id)).collect();
        criteria.excluded = &excluded_except_stalled;
        picks = choose_picks(state, pool, &[], &criteria, step);
    }
    match picks {
        Some(picks) => dispatch(state, step, id, picks, suspect),
        None if suspect && is_covered(state, pool, step, &entry.failed) => {
            hold_back(state, step, id, step.now + ISOLATION_RETRY_INTERVAL, "isolation");
        }
        None => {
            let reason = if entry.attempt > 0 && !entry.may_have_run {
                Reason::Refused
            } else {
                Reason::NoPlan
            };
            give_up(state, step, id, reason);
        }
    }
}

/// Returns stages outside the failure domains of which the request has found several targets lost.
/// Without this, each attempt keeps the surviving stages in such a domain and finds one more of its
/// targets lost, until no attempt is left. Returns `None` if there is no such domain, or if the
/// other domains do not cover the layers.
fn choose_outside_lost_domains(
    state: &State,
    pool: &Pool,
    entry: &Entry,
    criteria: &Criteria<'_>,
    step: &mut Step<'_>,
) -> Option<Vec<Pick>> {
    let domain = |target: TargetId| state.view.entry(target).domain;
    let losses = |of: u16| entry.lost.iter().filter(|&&target| domain(target) == of).count();
    let is_in_lost_domain = |target: TargetId| losses(domain(target)) >= MIN_DOMAIN_LOSSES;
    if !state.settings.mechanism.exclude
        || !entry.lost.iter().any(|&target| is_in_lost_domain(target))
    {
        return None;
    }
    let outside = |pick: &Pick| !is_in_lost_domain(pick.target);
    let survivors: Vec<Pick> = entry.survivors.iter().copied().filter(outside).collect();
    let lost = pool.targets.iter().copied().filter(|&target| is_in_lost_domain(target));
    let excluded: Vec<TargetId> = criteria.excluded.iter().copied().chain(lost).collect();
    let criteria = Criteria { excluded: &excluded, ..*criteria };
    choose_picks(state, pool, &survivors, &criteria, step)
}

/// Returns the surviving stages with the gaps between them covered, or a whole new chain if that
/// is not possible.
fn choose_picks(
    state: &State,
    pool: &Pool,
    survivors: &[Pick],
    criteria: &Criteria<'_>,
    step: &mut Step<'_>,
) -> Option<Vec<Pick>> {
    let view = &state.view;
    // A surviving stage has run this request already, so it is kept even if another suspect uses
    // it.
    let usable = Criteria { excluded: &[], ..*criteria };
    let kept: Vec<Pick> = survivors
        .iter()
        .copied()
        .filter(|pick| choose::is_usable(view, pick.target, &usable))
        .collect();
    if kept.is_empty() || !state.settings.mechanism.reuse {
        return choose::chain(view, pool, criteria, step.rng);
    }
    let mut picks = kept.clone();
    let mut at = 0;
    let ends = kept.iter().map(|pick| pick.layers);
    for layers in ends.chain([Layers::new(pool.depth, pool.depth)]) {
        if layers.start > at {
            let gap = Layers::new(at, layers.start);
            let Some(stages) = choose::cover(view, pool, gap, &picks, criteria, step.rng) else {
                return choose::chain(view, pool, criteria, step.rng);
            };
            picks.extend(stages);
        }
        at = layers.end;
    }
    picks.sort_by_key(|pick| pick.layers.start);
    Some(picks)
}

/// Returns the targets that other running suspects use, except for their reused stages.
fn targets_of_other_suspects(state: &State, id: RequestId) -> Vec<TargetId> {
    let running = state
        .table
        .iter()
        .filter(|(other, entry)| **other != id && entry.running && entry.clear_from.is_some());
    let fresh = running.flat_map(|(_, entry)| {
        entry.picks.iter().filter(|pick| !entry.reused.contains(pick)).map(|pick| pick.target)
    });
    fresh.collect()
}

/// Returns whether the layers can be covered if no other suspect blocks a target.
fn is_covered(state: &State, pool: &Pool, step: &mut Step<'_>, failed: &[TargetId]) -> bool {
    let criteria = Criteria {
        now: step.now,
        settings: &state.settings,
        prefixes: &[],
        excluded: failed,
        last_resort_racks: &[],
        warm_up_draw: 0.0,
        allow_ejected: true,
    };
    choose::chain(&state.view, pool, &criteria, step.rng).is_some()
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
            health.start_probe();
        }
    }
    entry.attempt += 1;
    entry.picks = picks;
    entry.plan = plan.clone();
    entry.first_token = entry.next_token;
    entry.sent_at = step.now;
    entry.last_progress = None;
    entry.held_until = None;
    entry.survivors.clear();
    entry.clear_from = suspect.then_some(entry.next_token + CLEAR_AFTER_TOKENS);
    let tokens = f64::from(entry.request.shape.prompt_tokens) + f64::from(entry.next_token);
    entry.reused = kept;
    entry.add_load(view, step.now, tokens / state.settings.prompt_speedup);
    state.held.remove(&id);
    let line = Event::new(event::DISPATCHED)
        .with("request", format_id(id))
        .with("attempt", entry.attempt)
        .with("target", target_names(&plan))
        .with("from", entry.next_token)
        .with("reuse", reuse.len());
    let dispatch = Dispatch {
        request: id,
        attempt: entry.attempt,
        plan,
        from: entry.next_token,
        priority: entry.priority,
        first_timeout,
        stall_timeout,
        reuse,
    };
    step.log(line);
    step.act(Action::Dispatch(dispatch));
}

/// Returns the timeouts to the first token and between tokens.
fn timeouts(settings: &Settings, pool: &Pool, prompt_tokens: u32) -> (Duration, Duration) {
    if pool.depth == 0 {
        return (settings.call_timeout, settings.call_timeout);
    }
    if !settings.mechanism.learned_stall {
        return (settings.first_timeout, settings.stall_max);
    }
    let prompt = f64::from(prompt_tokens) + PROMPT_OVERHEAD_TOKENS;
    let first = pool.first_token.upper_bound().map(|bound| bound * prompt);
    let first_min = MIN_FIRST_TOKEN_TIMEOUT.min(settings.first_timeout);
    let gap = pool.token_gap.upper_bound();
    (
        timeout(first, FIRST_TOKEN_TIMEOUT_FACTOR, first_min, settings.first_timeout),
        timeout(gap, settings.stall_factor, settings.stall_min, settings.stall_max),
    )
}

fn target_names(plan: &Plan) -> String {
    let mut names = String::new();
    for stage in &plan.stages {
        if !names.is_empty() {
            names.push('>');
        }
        names.push_str(&stage.target);
    }
    names
}

/// Formats a request id for log lines.
pub(crate) fn format_id(id: RequestId) -> String {
    format!("{id:032x}")
}
