//! The cheapest path through the layers of a model.
//!
//! Dynamic programming over the layers at which some engine begins or ends, and the failure
//! domain of the last engine. A path passes every layer once and in order by construction.

use std::fmt;
use std::net::SocketAddr;

use fleet::{Layer, Layers};
use site::{Model, TargetKey};

use crate::entry::Entry;

/// Cost of passing from one failure domain to another, seconds. The activations of a prompt
/// hold up every stream on the link, so that a whole path elsewhere is always better, even
/// one whose memory is taken.
const CROSSING: f64 = 200.0;
/// Cost of one more engine, seconds: each may fail.
const HOP: f64 = 0.02;
/// Weight of the share of an engine's memory that is taken.
const PRESSURE_WEIGHT: f64 = 4.0;
/// Cost of an engine whose memory is taken, seconds.
const FULL: f64 = 5.0;
/// Cost of beginning at an engine whose streams pause, seconds.
const DOUBT: f64 = 3.0;
/// Cost of an engine that has told another VM that it wants nothing, seconds.
const UNWILLING: f64 = 3.0;
/// Cost of a slow engine, seconds for each whole time that it is slower: its streams pause.
const SLOW_COST: f64 = 0.6;
/// Weight of the time that a prompt waits to be read. It holds up a stream before it can be on
/// time, while slow steps only use up room that there is.
const WAITING_WEIGHT: f64 = 24.0;
/// An engine with this share of its calls failed costs as much as [`FULL`].
const FAILURE_COST: f64 = 2.0;

/// One engine of a path.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stage {
    /// The engine.
    pub target: TargetKey,
    /// Where it listens.
    pub address: SocketAddr,
    /// Layers that it runs.
    pub layers: Layers,
}

/// Engines that run all layers of a model, in order.
#[derive(Clone, Debug, PartialEq)]
pub struct Path {
    /// The engines; never empty.
    pub stages: Vec<Stage>,
    /// Largest share of an engine's memory that is taken.
    pub pressure: f64,
}

impl Path {
    /// Whether every layer up to `depth` is run once, in order, and no engine twice.
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

    /// The engine that the request is sent to.
    pub fn first(&self) -> &Stage {
        &self.stages[0]
    }
}

/// An engine that can be used.
#[derive(Clone, Copy)]
pub(crate) struct Able<'a> {
    pub(crate) entry: &'a Entry,
    /// Tokens that the requests of all VMs hold there.
    pub(crate) held: f64,
    /// Whether it told another VM that it wants nothing.
    pub(crate) discouraged: bool,
    /// Whether a path may begin at it.
    pub(crate) may_begin: bool,
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

/// The cheapest way found to a position.
///
/// The search keeps one way for each position and domain, the one with the least total. As the
/// waiting is that of the slowest engine, not a sum, another way could be better in the end; the
/// difference is at most one engine's waiting.
#[derive(Clone, Copy)]
struct Step {
    /// Sum of the costs of the engines, seconds.
    cost: f64,
    /// Cost of waiting at the engine where prompts wait longest: they pass a path as fast as
    /// that one reads.
    waiting: f64,
    /// Index of the engine, and position and domain that it was reached from.
    from: Option<(usize, usize, usize)>,
}

impl Step {
    const NONE: Self = Self { cost: f64::INFINITY, waiting: 0.0, from: None };

    fn total(&self) -> f64 {
        self.cost + self.waiting
    }
}

/// Share of an engine's memory that is taken with `tokens` more.
fn pressure(able: Able<'_>, model: &Model, tokens: f64) -> f64 {
    let entry = able.entry;
    let held = entry.layers.map_or(0, Layers::len);
    let mb = model.card(&entry.target.card).map_or(0.0, |card| card.mb);
    let room = model.tokens(mb, held).max(1.0);
    (able.held + tokens) / room
}

/// Seconds that a request takes at an engine that runs all layers.
fn work(entry: &Entry, model: &Model) -> f64 {
    let Some(card) = model.card(&entry.target.card) else { return f64::INFINITY };
    let step = model.step.as_secs_f64() * card.step_factor * f64::from(model.answer_tokens);
    step + f64::from(model.prompt_tokens) / model.prefill_tokens_per_s.max(1.0)
        * card.prefill_factor
}

/// Seconds that a new prompt waits for those that an engine with all layers would read, if
/// all VMs send alike.
fn waiting(entry: &Entry, model: &Model, vms: usize) -> f64 {
    let read = model.card(&entry.target.card).map_or(1.0, |card| card.prefill_factor);
    let tokens = entry.prefill_tokens * vms as f64;
    tokens / model.prefill_tokens_per_s.max(1.0) * read * entry.slowdown
}

/// What it costs to pass an engine, whichever of its layers are run.
struct Priced {
    layers: Layers,
    /// Index of its failure domain.
    domain: usize,
    /// Cost of the engine itself, seconds.
    fixed: f64,
    /// Cost of beginning a path here, seconds; infinite where none may begin.
    first: f64,
    /// Cost of running all layers, seconds.
    work: f64,
    /// Cost of waiting until all layers have read the prompts that are there, seconds.
    waiting: f64,
}

impl Priced {
    /// `None` for an engine that holds no layers.
    fn new(
        able: Able<'_>,
        model: &Model,
        tokens: f64,
        vms: usize,
        domains: &[&str],
    ) -> Option<Self> {
        let entry = able.entry;
        let layers = entry.layers?;
        let domain = domains.binary_search(&entry.target.domain.as_str()).ok()?;
        let taken = pressure(able, model, tokens);
        let full = if taken > 1.0 { FULL * taken } else { 0.0 };
        let failing = FAILURE_COST * entry.health.failure_rate();
        let slow = if entry.is_slow() { SLOW_COST * (entry.slowdown - 1.0) } else { 0.0 };
        let unwilling = if able.discouraged { UNWILLING } else { 0.0 };
        let work = work(entry, model) * (1.0 + PRESSURE_WEIGHT * taken);
        Some(Self {
            layers,
            domain,
            fixed: HOP + full + failing + slow + unwilling,
            first: match able.may_begin {
                false => f64::INFINITY,
                true if entry.has_stalled_streams() => DOUBT,
                true => 0.0,
            },
            work,
            waiting: WAITING_WEIGHT * waiting(entry, model, vms),
        })
    }
}

/// Finds the cheapest path.
pub(crate) fn search(able: &[Able<'_>], model: &Model, tokens: f64, vms: usize) -> Option<Path> {
    let mut cuts: Vec<Layer> = vec![0, model.depth];
    for layers in able.iter().filter_map(|able| able.entry.layers) {
        cuts.push(layers.start);
        cuts.push(layers.end.min(model.depth));
    }
    cuts.sort_unstable();
    cuts.dedup();
    let mut domains: Vec<&str> =
        able.iter().map(|able| able.entry.target.domain.as_str()).collect();
    domains.sort_unstable();
    domains.dedup();
    // By first layer, so that each cut looks at the engines that begin before it only.
    let mut priced: Vec<(usize, Priced)> = able
        .iter()
        .enumerate()
        .filter_map(|(index, able)| {
            Some((index, Priced::new(*able, model, tokens, vms, &domains)?))
        })
        .collect();
    priced.sort_by_key(|(_, engine)| engine.layers.start);

    let mut best = vec![vec![Step::NONE; domains.len()]; cuts.len()];
    best[0].fill(Step { cost: 0.0, ..Step::NONE });
    for at in 0..cuts.len() - 1 {
        let reached = best[at].clone();
        let Some(cheapest) = (0..domains.len())
            .filter(|&domain| reached[domain].cost.is_finite())
            .min_by(|&a, &b| reached[a].total().total_cmp(&reached[b].total()))
        else {
            continue;
        };
        for (index, engine) in &priced {
            if engine.layers.start > cuts[at] {
                break;
            }
            if engine.layers.end <= cuts[at] {
                continue;
            }
            let domain = engine.domain;
            // Staying in the domain, or coming from the one that is reached most cheaply.
            let across = reached[cheapest].total() + CROSSING;
            let (base, crossing, other) = if reached[domain].total() <= across {
                (reached[domain], 0.0, domain)
            } else {
                (reached[cheapest], CROSSING, cheapest)
            };
            let first = if at == 0 { engine.first } else { 0.0 };
            let ends = (at + 1..cuts.len()).take_while(|&end| cuts[end] <= engine.layers.end);
            for end in ends {
                let share = f64::from(cuts[end] - cuts[at]) / f64::from(model.depth);
                let cost = base.cost + crossing + engine.fixed + first + engine.work * share;
                let waiting = base.waiting.max(engine.waiting * share);
                let step = &mut best[end][domain];
                if cost + waiting < step.total() {
                    *step = Step { cost, waiting, from: Some((*index, at, other)) };
                }
            }
        }
    }

    let last = cuts.len() - 1;
    let total = |domain: usize| best[last][domain].total();
    let ends = (0..domains.len()).min_by(|&a, &b| total(a).total_cmp(&total(b)));
    let (mut at, mut domain) = (last, ends?);
    let mut stages = Vec::new();
    let mut most: f64 = 0.0;
    while at > 0 {
        let (index, from, other) = best[at][domain].from?;
        let entry = able[index].entry;
        most = most.max(pressure(able[index], model, tokens));
        stages.push(Stage {
            target: entry.target.id.clone(),
            address: entry.target.address,
            layers: Layers::new(cuts[from], cuts[at]),
        });
        (at, domain) = (from, other);
    }
    stages.reverse();
    let path = Path { stages: merged(stages), pressure: most };
    path.verify(model.depth).then_some(path)
}

/// Lets an engine to which a path returns run what lies between as well: it holds one range,
/// and no engine may stand in a path twice.
fn merged(stages: Vec<Stage>) -> Vec<Stage> {
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
