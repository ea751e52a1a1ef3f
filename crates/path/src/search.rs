//! Search for the cheapest path through the layers of a model.
//!
//! Dynamic programming over the layer boundaries of the engines and the failure domain of the last
//! engine. By construction, a path passes every layer once and in order.

use std::fmt;
use std::net::SocketAddr;

use fleet::{Layer, Layers};
use site::{Model, TargetKey};

use crate::entry::Entry;

/// Cost of crossing from one failure domain to another, seconds. The activations of a prompt delay
/// every stream on the link, so that a path that stays in one domain is always cheaper, even one
/// whose memory is full.
const CROSSING_COST: f64 = 200.0;
/// Cost of each engine of a path, seconds: each may fail.
const ENGINE_COST: f64 = 0.02;
/// Weight of the used fraction of an engine's memory.
const PRESSURE_WEIGHT: f64 = 4.0;
/// Cost of an engine whose memory is full, seconds.
const FULL_COST: f64 = 5.0;
/// Cost of a first engine whose streams are stalled, seconds.
const STALLED_COST: f64 = 3.0;
/// Cost of an engine that has told another VM to back off, seconds.
const BACKOFF_COST: f64 = 3.0;
/// Cost of a slow engine, seconds per unit of slowdown above 1. Its streams stall.
const SLOW_COST: f64 = 0.6;
/// Weight of the time that a prompt waits for prefill. This wait delays the first token of a
/// stream, while slow decode steps only use up slack in its schedule.
const PREFILL_WAIT_WEIGHT: f64 = 24.0;
/// Cost of an engine at a failure rate of 1, seconds.
const FAILURE_COST: f64 = 2.0;

/// One engine of a path.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stage {
    /// The engine.
    pub target: TargetKey,
    /// Address on which the engine listens.
    pub address: SocketAddr,
    /// Layers that the engine runs on this path.
    pub layers: Layers,
}

/// Engines that run all layers of a model, in order.
#[derive(Clone, Debug, PartialEq)]
pub struct Path {
    /// The engines; never empty.
    pub stages: Vec<Stage>,
    /// Largest used fraction of the memory of any engine on the path.
    pub pressure: f64,
    /// Largest fraction of the memory of any engine on the path that the request takes alone.
    pub share: f64,
    /// Whether the path leads through more than one failure domain.
    pub crosses: bool,
}

impl Path {
    /// Returns whether the stages run every layer up to `depth` once and in order, with no engine
    /// used twice.
    pub fn verify(&self, depth: Layer) -> bool {
        let mut at = 0;
        for (index, stage) in self.stages.iter().enumerate() {
            let again = self.stages[..index].iter().any(|other| other.address == stage.address);
            if again || stage.layers.start != at || stage.layers.is_empty() {
                return false;
            }
            at = stage.layers.end;
        }
        at == depth
    }

    /// Returns the engine that the request is sent to.
    pub fn first(&self) -> &Stage {
        &self.stages[0]
    }
}

/// An engine that can be used.
#[derive(Clone, Copy)]
pub(crate) struct Candidate<'a> {
    pub(crate) entry: &'a Entry,
    /// Tokens that the requests of all VMs hold in its memory.
    pub(crate) held: f64,
    /// Whether it has told another VM to back off.
    pub(crate) deprioritised: bool,
    /// Whether a path may start at it.
    pub(crate) may_start: bool,
}

impl fmt::Display for Path {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, stage) in self.stages.iter().enumerate() {
            let separator = if index == 0 { "" } else { "," };
            let Layers { start, end } = stage.layers;
            write!(f, "{separator}{}:{start}-{end}", stage.target)?;
        }
        Ok(())
    }
}

/// The cheapest partial path found to a position.
///
/// The search keeps one partial path for each position and domain: the one with the lowest total.
/// The wait is that of the slowest engine and not a sum, so that another partial path could turn
/// out cheaper in the end. The difference is at most the wait at one engine.
#[derive(Clone, Copy)]
struct PartialPath {
    /// Sum of the costs of the engines, seconds.
    cost: f64,
    /// Cost of the wait at the engine with the longest prefill queue, seconds. Prompts pass a path
    /// as fast as that engine reads them.
    wait: f64,
    /// Index of the engine, and the position and domain from which it was reached.
    from: Option<(usize, usize, usize)>,
}

impl PartialPath {
    const NONE: Self = Self { cost: f64::INFINITY, wait: 0.0, from: None };

    fn total(&self) -> f64 {
        self.cost + self.wait
    }
}

/// Returns the used fraction of an engine's memory with `tokens` more.
fn memory_pressure(candidate: Candidate<'_>, model: &Model, tokens: f64) -> f64 {
    (candidate.held + tokens) / memory_tokens(candidate, model)
}

/// Returns the tokens of requests that fit into an engine's memory.
fn memory_tokens(candidate: Candidate<'_>, model: &Model) -> f64 {
    let entry = candidate.entry;
    let held = entry.layers.map_or(0, Layers::len);
    let mb = model.card(&entry.target.card).map_or(0.0, |card| card.mb);
    model.tokens(mb, held).max(1.0)
}

/// Returns the seconds that a request takes at an engine that runs all layers.
fn run_time(entry: &Entry, model: &Model) -> f64 {
    let Some(card) = model.card(&entry.target.card) else { return f64::INFINITY };
    let step = model.step.as_secs_f64() * card.step_factor * model.answer_tokens;
    step + model.prompt_tokens / model.prefill_tokens_per_s.max(1.0) * card.prefill_factor
}

/// Returns the seconds that a new prompt waits for the queued prefill of an engine that runs all
/// layers, if all VMs send the same load.
fn prefill_wait(entry: &Entry, model: &Model, vms: usize) -> f64 {
    let prefill_factor = model.card(&entry.target.card).map_or(1.0, |card| card.prefill_factor);
    let tokens = entry.prefill_tokens * vms as f64;
    tokens / model.prefill_tokens_per_s.max(1.0) * prefill_factor * entry.slowdown
}

/// Costs of an engine, whichever of its layers a path uses.
struct EngineCost {
    layers: Layers,
    /// Index of its failure domain.
    domain: usize,
    /// Cost of the engine itself, seconds.
    fixed: f64,
    /// Cost of starting a path here, seconds; infinite where no path may start.
    first: f64,
    /// Cost of running all layers, seconds.
    work: f64,
    /// Cost of the wait until all layers have read the queued prompts, seconds.
    wait: f64,
}

impl EngineCost {
    /// Returns `None` for an engine that holds no layers.
    fn new(
        candidate: Candidate<'_>,
        model: &Model,
        tokens: f64,
        vms: usize,
        domains: &[&str],
    ) -> Option<Self> {
        let entry = candidate.entry;
        let layers = entry.layers?;
        let domain = domains.binary_search(&entry.target.domain.as_str()).ok()?;
        let pressure = memory_pressure(candidate, model, tokens);
        let full = if pressure > 1.0 { FULL_COST * pressure } else { 0.0 };
        let failing = FAILURE_COST * entry.health.failure_rate();
        let slow = if entry.is_slow() { SLOW_COST * (entry.slowdown - 1.0) } else { 0.0 };
        let backoff = if candidate.deprioritised { BACKOFF_COST } else { 0.0 };
        let work = run_time(entry, model) * (1.0 + PRESSURE_WEIGHT * pressure);
        Some(Self {
            layers,
            domain,
            fixed: ENGINE_COST + full + failing + slow + backoff,
            first: match candidate.may_start {
                false => f64::INFINITY,
                true if entry.has_stalled_streams() => STALLED_COST,
                true => 0.0,
            },
            work,
            wait: PREFILL_WAIT_WEIGHT * prefill_wait(entry, model, vms),
        })
    }
}

/// Finds the cheapest path.
pub(crate) fn search(
    candidates: &[Candidate<'_>],
    model: &Model,
    tokens: f64,
    vms: usize,
) -> Option<Path> {
    let mut boundaries: Vec<Layer> = vec![0, model.depth];
    for layers in candidates.iter().filter_map(|candidate| candidate.entry.layers) {
        boundaries.push(layers.start);
        boundaries.push(layers.end.min(model.depth));
    }
    boundaries.sort_unstable();
    boundaries.dedup();
    let mut domains: Vec<&str> =
        candidates.iter().map(|candidate| candidate.entry.target.domain.as_str()).collect();
    domains.sort_unstable();
    domains.dedup();
    // Sorted by first layer, so that each boundary only visits the engines that start at or before
    // it.
    let mut engines: Vec<(usize, EngineCost)> = candidates
        .iter()
        .enumerate()
        .filter_map(|(index, candidate)| {
            Some((index, EngineCost::new(*candidate, model, tokens, vms, &domains)?))
        })
        .collect();
    engines.sort_by_key(|(_, engine)| engine.layers.start);

    let mut best = vec![vec![PartialPath::NONE; domains.len()]; boundaries.len()];
    best[0].fill(PartialPath { cost: 0.0, ..PartialPath::NONE });
    for at in 0..boundaries.len() - 1 {
        let reached = best[at].clone();
        let Some(cheapest) = (0..domains.len())
            .filter(|&domain| reached[domain].cost.is_finite())
            .min_by(|&a, &b| reached[a].total().total_cmp(&reached[b].total()))
        else {
            continue;
        };
        for (index, engine) in &engines {
            if engine.layers.start > boundaries[at] {
                break;
            }
            if engine.layers.end <= boundaries[at] {
                continue;
            }
            let domain = engine.domain;
            // Stays in the domain, or comes from the domain with the lowest total.
            let crossed = reached[cheapest].total() + CROSSING_COST;
            let (base, crossing, other) = if reached[domain].total() <= crossed {
                (reached[domain], 0.0, domain)
            } else {
                (reached[cheapest], CROSSING_COST, cheapest)
            };
            let first = if at == 0 { engine.first } else { 0.0 };
            let ends =
                (at + 1..boundaries.len()).take_while(|&end| boundaries[end] <= engine.layers.end);
            for end in ends {
                let share = f64::from(boundaries[end] - boundaries[at]) / f64::from(model.depth);
                let cost = base.cost + crossing + engine.fixed + first + engine.work * share;
                let wait = base.wait.max(engine.wait * share);
                let partial = &mut best[end][domain];
                if cost + wait < partial.total() {
                    *partial = PartialPath { cost, wait, from: Some((*index, at, other)) };
                }
            }
        }
    }

    let last = boundaries.len() - 1;
    let total = |domain: usize| best[last][domain].total();
    let ends = (0..domains.len()).min_by(|&a, &b| total(a).total_cmp(&total(b)));
    let (mut at, mut domain) = (last, ends?);
    let mut stages = Vec::new();
    let (mut max_pressure, mut max_share): (f64, f64) = (0.0, 0.0);
    let last_domain = domain;
    let mut crosses = false;
    while at > 0 {
        crosses |= domain != last_domain;
        let (index, from, other) = best[at][domain].from?;
        let entry = candidates[index].entry;
        max_pressure = max_pressure.max(memory_pressure(candidates[index], model, tokens));
        max_share = max_share.max(tokens / memory_tokens(candidates[index], model));
        stages.push(Stage {
            target: entry.target.id.clone(),
            address: entry.target.address,
            layers: Layers::new(boundaries[from], boundaries[at]),
        });
        (at, domain) = (from, other);
    }
    stages.reverse();
    let stages = merge_repeated(stages);
    let path = Path { stages, pressure: max_pressure, share: max_share, crosses };
    path.verify(model.depth).then_some(path)
}

/// Merges the stages of an engine to which a path returns, with all layers between them. An engine
/// holds one range, and may occur only once in a path.
fn merge_repeated(stages: Vec<Stage>) -> Vec<Stage> {
    let mut merged: Vec<Stage> = Vec::with_capacity(stages.len());
    for stage in stages {
        let earlier = merged.iter().position(|other| other.target == stage.target);
        match earlier {
            Some(index) => {
                merged.truncate(index + 1);
                merged[index].layers.end = stage.layers.end;
            }
            None => merged.push(stage),
        }
    }
    merged
}
