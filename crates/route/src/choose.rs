//! Choice of the targets for one attempt.
//!
//! A request samples chains by weight and members by rate; nothing is searched. Only
//! where sampled chains cannot be used (targets ejected, excluded or claimed), the line
//! is covered greedily, at most one step for each group.

use std::time::Duration;

use fleet::{Layer, Layers, TargetId};
use rand::rngs::SmallRng;
use rand::seq::IteratorRandom;

use crate::outlier::Admission;
use crate::pool::{Group, Pool};
use crate::view::View;
use crate::{Mechanism, Settings};

/// Samples of a chain before the line is covered greedily.
const SAMPLES: usize = 6;
/// Samples of a member of a group before all members are looked at.
const MEMBER_SAMPLES: usize = 4;
/// Least share of its normal work that a new target is given.
const COLD_SHARE: f64 = 0.1;
/// Streams beyond the slots wait for one of the running to end, seconds each.
const FULL_DELAY: f64 = 5.0;

/// A stage by dense id.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Pick {
    /// The target.
    pub(crate) target: TargetId,
    /// Layers that it runs.
    pub(crate) layers: Layers,
}

/// What a choice depends on.
#[derive(Clone, Copy)]
pub(crate) struct Wish<'a> {
    /// Time.
    pub(crate) now: Duration,
    /// Settings.
    pub(crate) settings: &'a Settings,
    /// Hashes of the prompt's prefixes.
    pub(crate) prefixes: &'a [u64],
    /// Targets that are not to be used.
    pub(crate) avoid: &'a [TargetId],
    /// Whether ejected targets may be used: nothing else is left.
    pub(crate) desperate: bool,
    /// Racks that are used only where nothing else is left.
    pub(crate) shun: &'a [(u16, smol_str::SmolStr)],
}

impl Wish<'_> {
    fn mechanism(&self) -> Mechanism {
        self.settings.mechanism
    }
}

/// Chooses a chain for a new attempt.
pub(crate) fn chain(
    view: &View,
    pool: &Pool,
    wish: &Wish<'_>,
    rng: &mut SmallRng,
) -> Option<Vec<Pick>> {
    let wanted = if wish.mechanism().two_choices { 2 } else { 1 };
    let mut best: Option<(f64, Vec<Pick>)> = None;
    let mut found = 0;
    for _ in 0..SAMPLES {
        let Some(picks) = sample(view, pool, wish, rng) else { continue };
        let cost = delay(view, &picks, wish);
        if best.as_ref().is_none_or(|(least, _)| cost < *least) {
            best = Some((cost, picks));
        }
        found += 1;
        if found == wanted {
            break;
        }
    }
    match best {
        Some((_, picks)) => Some(picks),
        None => cover(view, pool, Layers::new(0, pool.depth), &[], wish, rng),
    }
}

/// Covers `gap` with as few stages as the groups allow, besides the stages `kept`.
pub(crate) fn cover(
    view: &View,
    pool: &Pool,
    gap: Layers,
    kept: &[Pick],
    wish: &Wish<'_>,
    rng: &mut SmallRng,
) -> Option<Vec<Pick>> {
    let mut picks: Vec<Pick> = kept.to_vec();
    let mut stages = Vec::new();
    let mut at: Layer = gap.start;
    loop {
        let (target, end) = step(view, pool, at, gap.end, &picks, wish, rng)?;
        let pick = Pick { target, layers: Layers::new(at, end) };
        stages.push(pick);
        picks.push(pick);
        at = end;
        if at >= gap.end {
            return Some(stages);
        }
    }
}

/// The target that reaches farthest from layer `at`; among equals the least delay.
fn step(
    view: &View,
    pool: &Pool,
    at: Layer,
    end: Layer,
    picks: &[Pick],
    wish: &Wish<'_>,
    rng: &mut SmallRng,
) -> Option<(TargetId, Layer)> {
    let mut best: Option<(Layer, bool, f64, TargetId)> = None;
    for group in &pool.groups {
        let reach = group.layers.end.min(end);
        if pool.depth > 0 && (group.layers.start > at || reach <= at) {
            continue;
        }
        let layers = Layers::new(at, reach);
        let Some(target) = member(view, group, layers, picks, wish, rng) else { continue };
        let fresh = !is_shunned(view, target, wish);
        let cost = stage_delay(view, Pick { target, layers }, wish);
        let better = best.is_none_or(|(far, other_fresh, least, _)| {
            (fresh, reach, -cost) > (other_fresh, far, -least)
        });
        if better {
            best = Some((reach, fresh, cost, target));
        }
    }
    best.map(|(reach, _, _, target)| (target, reach))
}

/// Stage after stage, each to the end of its target's layers: the way of a router that knows
/// no flow. With two choices the least loaded of all targets is taken, else any.
fn walk(view: &View, pool: &Pool, wish: &Wish<'_>, rng: &mut SmallRng) -> Option<Vec<Pick>> {
    let mut picks: Vec<Pick> = Vec::new();
    let mut at: Layer = 0;
    loop {
        let able = |id: &TargetId| {
            let held = view.entry(*id).layers();
            let reaches = pool.depth == 0 || (held.start <= at && held.end > at);
            reaches && is_usable(view, *id, wish) && picks.iter().all(|pick| pick.target != *id)
        };
        let able: Vec<TargetId> = pool.targets.iter().copied().filter(able).collect();
        let pick = |target: TargetId| Pick {
            target,
            layers: Layers::new(at, view.entry(target).layers().end),
        };
        let cost = |id: &TargetId| stage_delay(view, pick(*id), wish);
        let chosen = if wish.mechanism().two_choices {
            able.iter().copied().min_by(|a, b| cost(a).total_cmp(&cost(b)))?
        } else {
            able.iter().copied().choose(rng)?
        };
        picks.push(pick(chosen));
        at = view.entry(chosen).layers().end;
        if at >= pool.depth {
            return Some(picks);
        }
    }
}

/// Fills a sampled chain with members.
fn sample(view: &View, pool: &Pool, wish: &Wish<'_>, rng: &mut SmallRng) -> Option<Vec<Pick>> {
    if !wish.mechanism().flow {
        return walk(view, pool, wish, rng);
    }
    let chain = pool.sample(rng)?;
    let mut picks = Vec::with_capacity(chain.spans.len());
    for span in &chain.spans {
        let group = &pool.groups[span.supply];
        let target = member(view, group, span.layers, &picks, wish, rng)?;
        if is_shunned(view, target, wish) {
            return None;
        }
        picks.push(Pick { target, layers: span.layers });
    }
    Some(picks)
}

/// Picks a usable member of a group that the plan does not have yet.
fn member(
    view: &View,
    group: &Group,
    layers: Layers,
    picks: &[Pick],
    wish: &Wish<'_>,
    rng: &mut SmallRng,
) -> Option<TargetId> {
    let free =
        |id: TargetId| !picks.iter().any(|pick| pick.target == id) && is_usable(view, id, wish);
    let wanted = if wish.mechanism().two_choices { 2 } else { 1 };
    let mut best: Option<(f64, TargetId)> = None;
    let mut found = 0;
    for _ in 0..MEMBER_SAMPLES {
        let id = group.sample(rng);
        if !free(id) || is_cold(view, id, wish, rng) {
            continue;
        }
        let cost = stage_delay(view, Pick { target: id, layers }, wish);
        if best.is_none_or(|(least, _)| cost < least) {
            best = Some((cost, id));
        }
        found += 1;
        if found == wanted {
            break;
        }
    }
    best.map(|(_, id)| id).or_else(|| group.members.iter().copied().find(|&id| free(id)))
}

/// Whether a target may be given the attempt.
pub(crate) fn is_usable(view: &View, id: TargetId, wish: &Wish<'_>) -> bool {
    let entry = view.entry(id);
    let open = !wish.mechanism().outlier
        || wish.desperate
        || entry.health.admission(wish.now) != Admission::Closed;
    entry.present && !entry.leaving && open && !wish.avoid.contains(&id)
}

fn is_shunned(view: &View, id: TargetId, wish: &Wish<'_>) -> bool {
    let entry = view.entry(id);
    wish.shun.iter().any(|(domain, rack)| *domain == entry.domain && *rack == entry.target.rack)
}

/// Whether a new target is passed over this time.
fn is_cold(view: &View, id: TargetId, wish: &Wish<'_>, rng: &mut SmallRng) -> bool {
    use rand::RngExt;
    let Some(joined) = view.entry(id).joined.filter(|_| wish.mechanism().warm_up) else {
        return false;
    };
    let age = wish.now.saturating_sub(joined).as_secs_f64();
    let share = (age / wish.settings.warm_up.as_secs_f64()).max(COLD_SHARE);
    share < 1.0 && rng.random::<f64>() >= share
}

/// Expected seconds for one token through the stages.
///
/// The stages' own work and the hops add up. Of the waiting at the stages the mean is
/// taken, weighted by work: a sum would favour chains of few stages against the weights of
/// the plan, and so leave others idle.
pub(crate) fn delay(view: &View, picks: &[Pick], wish: &Wish<'_>) -> f64 {
    if !wish.mechanism().delay {
        return picks.iter().map(|&pick| stage_delay(view, pick, wish)).sum();
    }
    let mut work = 0.0;
    let mut waiting = 0.0;
    for &pick in picks {
        let cost = view.entry(pick.target).cost(pick.layers);
        work += cost;
        waiting += cost * stage_delay(view, pick, wish);
    }
    let pairs = picks.windows(2);
    let hops: f64 = pairs.map(|pair| hop_delay(view, pair[0].target, pair[1].target)).sum();
    work + waiting / work.max(f64::MIN_POSITIVE) + hops
}

/// Expected seconds for one token at one stage.
fn stage_delay(view: &View, pick: Pick, wish: &Wish<'_>) -> f64 {
    let entry = view.entry(pick.target);
    let mechanism = wish.mechanism();
    if !mechanism.delay {
        return f64::from(entry.load.own());
    }
    let cost = entry.cost(pick.layers);
    let full = entry.cost(entry.layers());
    let (streams, round) = if mechanism.join {
        let others = entry.load.others(wish.now, view.mirror);
        (f64::from(entry.load.own()) + others, entry.load.round(wish.now, view.mirror, full))
    } else {
        (entry.load.reported(), entry.load.reported() * full)
    };
    let slots = f64::from(entry.slots().max(1));
    let waiting = (streams + 1.0 - slots).max(0.0) / slots * FULL_DELAY;
    let prompts = entry.load.prompts(view.mirror);
    let busy = (round + cost + prompts) * entry.health.factor() + waiting;
    if !mechanism.affinity || wish.prefixes.is_empty() {
        return busy;
    }
    busy * (1.0 - wish.settings.affinity * entry.prefixes.share(wish.prefixes))
}

/// Seconds of a hop between two targets.
fn hop_delay(view: &View, from: TargetId, to: TargetId) -> f64 {
    let (from, to) = (&view.entry(from).target.domain, &view.entry(to).target.domain);
    let link = view.links().iter().find(|link| link.from == *from && link.to == *to);
    link.map_or(0.0, |link| link.delay.as_secs_f64())
}
