//! Search for the cheapest path through the layers of a model.
//!
//! Dynamic programming over the layer boundaries of the engines and the failure domain of the last
//! engine. By construction, a path passes every layer once and in order.

use std::fmt;
use std::net::SocketAddr;

use fleet::{Layer, Layers};
use site::{Card, Model, TargetKey};

use crate::entry::Entry;
use crate::prompt::{Choice, Prompt, Shared};

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
fn memory_pressure(
    candidate: Candidate<'_>,
    model: &Model,
    card: Option<&Card>,
    tokens: f64,
) -> f64 {
    (candidate.held + tokens) / memory_tokens(candidate, model, card)
}

/// Returns the tokens of requests that fit into an engine's memory.
fn memory_tokens(candidate: Candidate<'_>, model: &Model, card: Option<&Card>) -> f64 {
    let held = candidate.entry.layers.map_or(0, Layers::len);
    model.tokens(card.map_or(0.0, |card| card.mb), held).max(1.0)
}

/// Returns the seconds that the token steps of an answer take at an engine that runs all layers.
fn decode_time(model: &Model, card: Option<&Card>) -> f64 {
    let steps = |card: &Card| model.step.as_secs_f64() * card.step_factor * model.answer_tokens;
    card.map_or(f64::INFINITY, steps)
}

/// Returns the seconds that prefill of prompts takes at an engine that runs all layers.
fn prefill_time(model: &Model, card: Option<&Card>, tokens: f64) -> f64 {
    let prefill_factor = card.map_or(1.0, |card| card.prefill_factor);
    tokens / model.prefill_tokens_per_s.max(1.0) * prefill_factor
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
    /// Wait until all layers have read the queued prompts: its cost, or its seconds with the new
    /// prompt if the path is chosen for that.
    wait: f64,
}

impl EngineCost {
    /// Returns `None` for an engine that holds no layers.
    fn new(
        candidate: Candidate<'_>,
        model: &Model,
        tokens: f64,
        vms: usize,
        choice: Option<&Choice>,
        domains: &[&str],
    ) -> Option<Self> {
        let entry = candidate.entry;
        let layers = entry.layers?;
        let domain = domains.binary_search(&entry.target.domain.as_str()).ok()?;
        let card = model.card(&entry.target.card);
        let pressure = memory_pressure(candidate, model, card, tokens);
        let is_full = pressure > 1.0;
        let address = entry.target.address;
        let discount = choice.map_or(1.0, |choice| choice.discount(address, is_full));
        let full = if is_full { FULL_COST * pressure } else { 0.0 };
        let failing = FAILURE_COST * entry.health.failure_rate();
        let slow = if entry.is_slow() { SLOW_COST * (entry.slowdown - 1.0) } else { 0.0 };
        let backoff = if candidate.deprioritised { BACKOFF_COST } else { 0.0 };
        let decode = decode_time(model, card);
        let length = choice.map_or(0.0, Choice::tokens).max(model.prompt_tokens);
        let run_time = decode + prefill_time(model, card, length);
        let own = entry.prefill_tokens;
        let wait = match choice {
            // All VMs are taken to send the same load.
            None => {
                let queued = prefill_time(model, card, own * vms as f64);
                PREFILL_WAIT_WEIGHT * (queued * entry.slowdown)
            }
            Some(choice) => {
                let prefill_per_token = prefill_time(model, card, 1.0) * entry.slowdown;
                let share = f64::from(layers.len()) / f64::from(model.depth);
                let shared = Shared {
                    held: candidate.held,
                    own,
                    prefill_per_token: prefill_per_token * share,
                    decode,
                };
                let ahead = choice.queued_tokens(&shared) + choice.tokens();
                ahead * prefill_per_token * discount
            }
        };
        Some(Self {
            layers,
            domain,
            fixed: ENGINE_COST + full + failing + slow + backoff,
            first: match candidate.may_start {
                false => f64::INFINITY,
                true if entry.has_stalled_streams() => STALLED_COST,
                true => 0.0,
            },
            work: run_time * (1.0 + PRESSURE_WEIGHT * pressure) * discount,
            wait,
        })
    }
}

/// Finds the cheapest path, for `prompt` or for the mean prompt.
pub(crate) fn search(
    candidates: &[Candidate<'_>],
    model: &Model,
    tokens: f64,
    vms: usize,
    prompt: Option<Prompt>,
) -> Option<Path> {
    let choice = prompt.map(|prompt| Choice::new(prompt, model, vms));
    let choice = choice.as_ref();
    let wait_cost = |wait: f64| choice.map_or(wait, |choice| choice.cost(wait));
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
            Some((index, EngineCost::new(*candidate, model, tokens, vms, choice, &domains)?))
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
                let wait = base.wait.max(wait_cost(engine.wait * share));
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
        let card = model.card(&entry.target.card);
        let pressure = memory_pressure(candidates[index], model, card, tokens);
        max_pressure = max_pressure.max(pressure);
        let share = tokens / memory_tokens(candidates[index], model, card);
        max_share = max_share.max(share);
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
