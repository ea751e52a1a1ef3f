//! Chooses the targets for one attempt.
//!
//! A request samples a chain by its weight and the members of each group by their rate, without a
//! search. Only if no sampled chain is usable, because targets are ejected, excluded or in use by
//! other suspects, the layers are covered greedily with at most one step for each group.

use std::time::Duration;

use fleet::{Layer, Layers, TargetId};
use rand::rngs::SmallRng;
use rand::seq::IteratorRandom;

use crate::outlier::Admission;
use crate::pool::{Group, Pool};
use crate::view::View;
use crate::{Mechanism, Settings};

/// Maximum number of chains sampled before the layers are covered greedily.
const MAX_CHAIN_SAMPLES: usize = 6;
/// Maximum number of members sampled from a group before all members are considered.
const MAX_MEMBER_SAMPLES: usize = 4;
/// Minimum share of its regular work that a new target receives.
const MIN_WARM_UP_SHARE: f64 = 0.1;
/// Assumed duration of a stream in seconds. A stream beyond the slots waits for a running one to
/// end.
const ASSUMED_STREAM_SECONDS: f64 = 5.0;

/// A target chosen for one stage.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Pick {
    /// Dense id of the target.
    pub(crate) target: TargetId,
    /// Layers that it runs.
    pub(crate) layers: Layers,
}

/// Inputs of a choice.
#[derive(Clone, Copy)]
pub(crate) struct Criteria<'a> {
    /// Current time.
    pub(crate) now: Duration,
    /// Settings of the router.
    pub(crate) settings: &'a Settings,
    /// Hashes of the growing prefixes of the prompt.
    pub(crate) prefixes: &'a [u64],
    /// Targets that must not be used.
    pub(crate) excluded: &'a [TargetId],
    /// Random number between 0 and 1, drawn once for each request. A new target is used only if
    /// its warm-up share is above it. Drawing for each sample instead would let several samples
    /// add up to more than that share.
    pub(crate) warm_up_draw: f64,
    /// Whether ejected targets may be used because no others are left.
    pub(crate) allow_ejected: bool,
    /// Racks that are used only if no others are left.
    pub(crate) last_resort_racks: &'a [(u16, smol_str::SmolStr)],
}

impl Criteria<'_> {
    fn mechanism(&self) -> Mechanism {
        self.settings.mechanism
    }
}

/// Chooses a chain for an attempt that keeps no earlier stage.
pub(crate) fn chain(
    view: &View,
    pool: &Pool,
    criteria: &Criteria<'_>,
    rng: &mut SmallRng,
) -> Option<Vec<Pick>> {
    let candidates = if criteria.mechanism().two_choices { 2 } else { 1 };
    let mut best: Option<(f64, Vec<Pick>)> = None;
    let mut found = 0;
    for _ in 0..MAX_CHAIN_SAMPLES {
        let Some(picks) = sample_chain(view, pool, criteria, rng) else { continue };
        let cost = chain_delay(view, &picks, criteria);
        if best.as_ref().is_none_or(|(least, _)| cost < *least) {
            best = Some((cost, picks));
        }
        found += 1;
        if found == candidates {
            break;
        }
    }
    match best {
        Some((_, picks)) => Some(picks),
        None => cover(view, pool, Layers::new(0, pool.depth), &[], criteria, rng),
    }
}

/// Covers `gap` with as few stages as the groups allow, without the targets in `kept`.
pub(crate) fn cover(
    view: &View,
    pool: &Pool,
    gap: Layers,
    kept: &[Pick],
    criteria: &Criteria<'_>,
    rng: &mut SmallRng,
) -> Option<Vec<Pick>> {
    let mut picks: Vec<Pick> = kept.to_vec();
    let mut stages = Vec::new();
    let mut at: Layer = gap.start;
    loop {
        let (target, end) = choose_stage(view, pool, at, gap.end, &picks, criteria, rng)?;
        let pick = Pick { target, layers: Layers::new(at, end) };
        stages.push(pick);
        picks.push(pick);
        at = end;
        if at >= gap.end {
            return Some(stages);
        }
    }
}

/// Chooses the target that covers the layers from `at` the farthest. Targets outside the
/// last-resort racks come first, and ties are broken by the lowest delay.
fn choose_stage(
    view: &View,
    pool: &Pool,
    at: Layer,
    end: Layer,
    picks: &[Pick],
    criteria: &Criteria<'_>,
    rng: &mut SmallRng,
) -> Option<(TargetId, Layer)> {
    let mut best: Option<(Layer, bool, f64, TargetId)> = None;
    for group in &pool.groups {
        let reach = group.layers.end.min(end);
        if pool.depth > 0 && (group.layers.start > at || reach <= at) {
            continue;
        }
        let layers = Layers::new(at, reach);
        let Some(target) = pick_from(view, group, layers, picks, criteria, rng) else { continue };
        let preferred = !is_in_last_resort_rack(view, target, criteria);
        let cost = stage_delay(view, Pick { target, layers }, criteria);
        let better = best.is_none_or(|(far, best_preferred, least, _)| {
            (preferred, reach, -cost) > (best_preferred, far, -least)
        });
        if better {
            best = Some((reach, preferred, cost, target));
        }
    }
    best.map(|(reach, _, _, target)| (target, reach))
}

/// Chooses one stage after the other, each up to the end of its target's layers, as a router
/// without a flow does. With two choices enabled, the target with the lowest delay of all is
/// chosen, otherwise a random one.
fn sequential_chain(
    view: &View,
    pool: &Pool,
    criteria: &Criteria<'_>,
    rng: &mut SmallRng,
) -> Option<Vec<Pick>> {
    let mut picks: Vec<Pick> = Vec::new();
    let mut at: Layer = 0;
    loop {
        let eligible = |id: &TargetId| {
            let held = view.entry(*id).layers();
            let reaches = pool.depth == 0 || (held.start <= at && held.end > at);
            reaches && is_usable(view, *id, criteria) && picks.iter().all(|pick| pick.target != *id)
        };
        let eligible: Vec<TargetId> = pool.targets.iter().copied().filter(eligible).collect();
        let pick = |target: TargetId| Pick {
            target,
            layers: Layers::new(at, view.entry(target).layers().end),
        };
        let cost = |id: &TargetId| stage_delay(view, pick(*id), criteria);
        let chosen = if criteria.mechanism().two_choices {
            eligible.iter().copied().min_by(|a, b| cost(a).total_cmp(&cost(b)))?
        } else {
            eligible.iter().copied().choose(rng)?
        };
        picks.push(pick(chosen));
        at = view.entry(chosen).layers().end;
        if at >= pool.depth {
            return Some(picks);
        }
    }
}

/// Samples a chain and chooses a member for each of its stages.
fn sample_chain(
    view: &View,
    pool: &Pool,
    criteria: &Criteria<'_>,
    rng: &mut SmallRng,
) -> Option<Vec<Pick>> {
    if !criteria.mechanism().flow {
        return sequential_chain(view, pool, criteria, rng);
    }
    let chain = pool.sample(rng)?;
    let mut picks = Vec::with_capacity(chain.spans.len());
    for span in &chain.spans {
        let group = &pool.groups[span.supply];
        let target = pick_from(view, group, span.layers, &picks, criteria, rng)?;
        if is_in_last_resort_rack(view, target, criteria) {
            return None;
        }
        picks.push(Pick { target, layers: span.layers });
    }
    Some(picks)
}

/// Chooses a usable member of a group that is not yet part of the plan.
fn pick_from(
    view: &View,
    group: &Group,
    layers: Layers,
    picks: &[Pick],
    criteria: &Criteria<'_>,
    rng: &mut SmallRng,
) -> Option<TargetId> {
    let free =
        |id: TargetId| !picks.iter().any(|pick| pick.target == id) && is_usable(view, id, criteria);
    let candidates = if criteria.mechanism().two_choices { 2 } else { 1 };
    let mut best: Option<(f64, TargetId)> = None;
    let mut found = 0;
    for _ in 0..MAX_MEMBER_SAMPLES {
        let id = group.sample(rng);
        if !free(id) || is_skipped_for_warm_up(view, id, criteria) {
            continue;
        }
        let cost = stage_delay(view, Pick { target: id, layers }, criteria);
        if best.is_none_or(|(least, _)| cost < least) {
            best = Some((cost, id));
        }
        found += 1;
        if found == candidates {
            break;
        }
    }
    best.map(|(_, id)| id).or_else(|| group.members.iter().copied().find(|&id| free(id)))
}

/// Returns whether a target may receive the attempt.
pub(crate) fn is_usable(view: &View, id: TargetId, criteria: &Criteria<'_>) -> bool {
    let entry = view.entry(id);
    let open = !criteria.mechanism().outlier
        || criteria.allow_ejected
        || entry.health.admission(criteria.now) != Admission::Closed;
    entry.present && !entry.leaving && open && !criteria.excluded.contains(&id)
}

fn is_in_last_resort_rack(view: &View, id: TargetId, criteria: &Criteria<'_>) -> bool {
    let entry = view.entry(id);
    criteria
        .last_resort_racks
        .iter()
        .any(|(domain, rack)| *domain == entry.domain && *rack == entry.target.rack)
}

/// Returns whether a new target is skipped for this request because it is still warming up.
fn is_skipped_for_warm_up(view: &View, id: TargetId, criteria: &Criteria<'_>) -> bool {
    let Some(joined_at) = view.entry(id).joined_at.filter(|_| criteria.mechanism().warm_up) else {
        return false;
    };
    let age = criteria.now.saturating_sub(joined_at).as_secs_f64();
    let share = (age / criteria.settings.warm_up.as_secs_f64()).max(MIN_WARM_UP_SHARE);
    criteria.warm_up_draw >= share
}

/// Returns the expected seconds for one token through the stages.
///
/// The compute time of the stages and the hop delays are added up. The waiting times are averaged,
/// weighted by compute time. Their sum would favour chains of few stages against the weights of
/// the plan and leave other targets idle.
pub(crate) fn chain_delay(view: &View, picks: &[Pick], criteria: &Criteria<'_>) -> f64 {
    if !criteria.mechanism().delay {
        return picks.iter().map(|&pick| stage_delay(view, pick, criteria)).sum();
    }
    let mut work = 0.0;
    let mut waiting = 0.0;
    for &pick in picks {
        let cost = view.entry(pick.target).cost(pick.layers);
        work += cost;
        waiting += cost * stage_delay(view, pick, criteria);
    }
    let pairs = picks.windows(2);
    let hops: f64 = pairs.map(|pair| hop_delay(view, pair[0].target, pair[1].target)).sum();
    work + waiting / work.max(f64::MIN_POSITIVE) + hops
}

/// Returns the expected seconds for one token at one stage.
fn stage_delay(view: &View, pick: Pick, criteria: &Criteria<'_>) -> f64 {
    let entry = view.entry(pick.target);
    let mechanism = criteria.mechanism();
    if !mechanism.delay {
        return f64::from(entry.load.own());
    }
    let cost = entry.cost(pick.layers);
    let full = entry.cost(entry.layers());
    let (streams, round) = if mechanism.join {
        let peers = entry.load.peer_streams(criteria.now, view.peer_ratio);
        (
            f64::from(entry.load.own()) + peers,
            entry.load.round_seconds(criteria.now, view.peer_ratio, full),
        )
    } else {
        (entry.load.reported_streams(), entry.load.reported_streams() * full)
    };
    let slots = f64::from(entry.slots().max(1));
    let waiting = (streams + 1.0 - slots).max(0.0) / slots * ASSUMED_STREAM_SECONDS;
    let prompts = entry.load.prompt_seconds(view.peer_ratio);
    let busy = (round + cost + prompts) * entry.health.slowdown() + waiting;
    if !mechanism.affinity || criteria.prefixes.is_empty() {
        return busy;
    }
    busy * (1.0 - criteria.settings.affinity * entry.prefixes.cached_share(criteria.prefixes))
}

/// Returns the delay in seconds of a hop between two targets.
fn hop_delay(view: &View, from: TargetId, to: TargetId) -> f64 {
    let (from, to) = (&view.entry(from).target.domain, &view.entry(to).target.domain);
    let link = view.links().iter().find(|link| link.from == *from && link.to == *to);
    link.map_or(0.0, |link| link.delay.as_secs_f64())
}
