//! Targets of one model or plain service, grouped, with the chains to sample from.

use std::hash::{Hash, Hasher};
use std::time::Duration;

use fleet::{Depth, Kind, Layers, TargetId};
use rand::RngExt;
use rand::rngs::SmallRng;
use siphasher::sip::SipHasher13;

use crate::flow::{self, Chain, Network, Span, Supply};
use crate::pace::Pace;
use crate::view::View;
use crate::{Settings, cumulative};

/// Targets of one failure domain that hold the same layers.
#[derive(Clone, Debug)]
pub(crate) struct Group {
    /// Dense number of the failure domain.
    pub(crate) domain: u16,
    /// Layers held; empty for a plain service.
    pub(crate) layers: Layers,
    /// Members that this node uses.
    pub(crate) members: Vec<TargetId>,
    /// Growing sums of the members' rates.
    weights: Vec<f64>,
}

impl Group {
    /// Picks a member by its share of the rate.
    pub(crate) fn sample(&self, rng: &mut SmallRng) -> TargetId {
        self.members[cumulative::pick(&self.weights, rng.random())]
    }
}

/// Targets of one model or plain service.
#[derive(Clone, Debug, Default)]
pub(crate) struct Pool {
    /// Number of layers; 0 for a plain service.
    pub(crate) depth: Depth,
    /// Groups with at least one target in the plans.
    pub(crate) groups: Vec<Group>,
    /// Chains over the groups.
    pub(crate) chains: Vec<Chain>,
    /// Growing sums of the chains' rates.
    weights: Vec<f64>,
    /// Tokens per second by the maximum flow; 0 for a plain service.
    pub(crate) rate: f64,
    /// Tokens per second that no routing exceeds.
    pub(crate) bound: f64,
    /// Streams or calls at once.
    pub(crate) slots: u32,
    /// What the flow was computed from.
    network: Network,
    /// All targets present, ejected and leaving ones too.
    pub(crate) targets: Vec<TargetId>,
    /// Seconds between tokens.
    pub(crate) gap: Pace,
    /// Seconds to the first token for each token of the prompt.
    pub(crate) first: Pace,
}

impl Pool {
    /// Groups the targets and computes the chains.
    pub(crate) fn build(
        view: &View,
        now: Duration,
        ids: &[TargetId],
        settings: &Settings,
        before: Option<&Pool>,
    ) -> Self {
        let depth = depth(view, ids);
        let mut pool = Self { depth, targets: ids.to_vec(), ..Self::default() };
        let staying: Vec<TargetId> =
            ids.iter().copied().filter(|&id| fits(view, id, depth)).collect();
        // Ejected targets stay members without weight, as a last resort.
        let rate = |id: TargetId| {
            let entry = view.entry(id);
            let out = settings.mechanism.outlier && entry.health.is_out(now);
            if out { 0.0 } else { entry.rate() }
        };
        let planned: Vec<TargetId> = staying.iter().copied().filter(|&id| rate(id) > 0.0).collect();
        let supplies = pool.group(view, &staying, &rate);
        let subset = view.entries.len() >= settings.subset_from;
        for group in &mut pool.groups {
            if subset {
                keep_subset(view, group, settings);
            }
            group.weights = cumulative::sums(group.members.iter().map(|&id| rate(id)));
        }
        if depth == 0 {
            pool.plain(view, &planned, &rate);
        } else {
            pool.network = Network { depth, supplies, links: finite_links(view) };
            match before.filter(|before| before.network == pool.network) {
                Some(before) => pool.keep_flow(before),
                None => pool.solve(),
            }
            pool.slots = pool.stream_slots(view, &planned);
        }
        pool.weights = cumulative::sums(pool.chains.iter().map(|chain| chain.rate));
        pool
    }

    fn solve(&mut self) {
        let flow = flow::solve(&self.network);
        self.rate = flow.rate;
        self.bound = flow.bound;
        self.chains = flow.chains;
    }

    /// Takes over the flow of a pool with the same line.
    fn keep_flow(&mut self, before: &Pool) {
        self.rate = before.rate;
        self.bound = before.bound;
        self.chains.clone_from(&before.chains);
    }

    /// Takes over what was learned before.
    pub(crate) fn keep_learned(&mut self, before: &Pool) {
        self.gap = before.gap;
        self.first = before.first;
    }

    /// Picks a chain by its share of the flow.
    pub(crate) fn sample(&self, rng: &mut SmallRng) -> Option<&Chain> {
        if self.chains.is_empty() {
            return None;
        }
        Some(&self.chains[cumulative::pick(&self.weights, rng.random())])
    }

    fn group(
        &mut self,
        view: &View,
        staying: &[TargetId],
        rate: &dyn Fn(TargetId) -> f64,
    ) -> Vec<Supply> {
        let mut supplies: Vec<Supply> = Vec::new();
        for &id in staying {
            let entry = view.entry(id);
            let layers = entry.layers();
            let same = |group: &Group| group.domain == entry.domain && group.layers == layers;
            let index = self.groups.iter().position(same).unwrap_or_else(|| {
                let domain = entry.domain;
                let (members, weights) = (Vec::new(), Vec::new());
                self.groups.push(Group { domain, layers, members, weights });
                supplies.push(Supply { domain, layers, rate: 0.0, targets: 0 });
                supplies.len() - 1
            });
            self.groups[index].members.push(id);
            supplies[index].rate += rate(id);
            supplies[index].targets += u32::from(rate(id) > 0.0);
        }
        supplies
    }

    /// One chain for each group of a plain service.
    fn plain(&mut self, view: &View, planned: &[TargetId], rate: &dyn Fn(TargetId) -> f64) {
        let whole = |(supply, group): (usize, &Group)| Chain {
            spans: vec![Span { supply, layers: group.layers }],
            rate: group.members.iter().map(|&id| rate(id)).sum(),
        };
        self.chains = self.groups.iter().enumerate().map(whole).collect();
        self.slots = planned.iter().map(|&id| view.entry(id).slots()).sum();
    }

    /// Streams that fit when they are spread over the chains by the flow.
    fn stream_slots(&self, view: &View, planned: &[TargetId]) -> u32 {
        if self.rate <= 0.0 {
            return 0;
        }
        let mut share = vec![0.0; self.groups.len()];
        for chain in &self.chains {
            for span in &chain.spans {
                share[span.supply] += chain.rate / self.rate;
            }
        }
        let slots = |group: &Group| -> f64 {
            let inside = planned.iter().map(|&id| view.entry(id));
            let inside = inside.filter(|e| e.domain == group.domain && e.layers() == group.layers);
            inside.map(|entry| f64::from(entry.slots())).sum()
        };
        let streams = self.groups.iter().zip(&share).filter(|(_, share)| **share > 1e-6);
        let least = streams.map(|(group, share)| slots(group) / share).fold(f64::MAX, f64::min);
        least as u32
    }
}

/// The depth that most of the targets name; 0 for a plain service.
fn depth(view: &View, ids: &[TargetId]) -> Depth {
    let mut votes: Vec<(Depth, usize)> = Vec::new();
    for &id in ids {
        let Kind::Engine(engine) = &view.entry(id).target.kind else { continue };
        match votes.iter_mut().find(|(depth, _)| *depth == engine.depth) {
            Some((_, count)) => *count += 1,
            None => votes.push((engine.depth, 1)),
        }
    }
    votes.iter().max_by_key(|(depth, count)| (*count, *depth)).map_or(0, |vote| vote.0)
}

/// Whether a target belongs into the plans of a pool of this depth.
fn fits(view: &View, id: TargetId, depth: Depth) -> bool {
    let entry = view.entry(id);
    let same = match &entry.target.kind {
        Kind::Engine(engine) => {
            let whole = Layers::new(0, depth);
            engine.depth == depth && !engine.layers.is_empty() && whole.contains(engine.layers)
        }
        Kind::Service(_) => depth == 0,
    };
    same && entry.is_staying() && entry.rate() > 0.0
}

fn finite_links(view: &View) -> Vec<flow::Link> {
    let finite = view.links().iter().filter(|link| link.tokens_per_second.is_finite());
    let flow_link = |link: &fleet::Link| {
        let (from, to) = (view.domain(&link.from)?, view.domain(&link.to)?);
        (from != to).then_some(flow::Link { from, to, rate: link.tokens_per_second.max(1e-6) })
    };
    finite.filter_map(flow_link).collect()
}

/// Keeps the members that rendezvous hashing gives to this node.
fn keep_subset(view: &View, group: &mut Group, settings: &Settings) {
    if group.members.len() <= settings.subset_size {
        return;
    }
    let score = |id: &TargetId| {
        let mut hasher = SipHasher13::new();
        settings.node.hash(&mut hasher);
        view.entry(*id).target.name.hash(&mut hasher);
        hasher.finish()
    };
    group.members.sort_by_cached_key(score);
    group.members.truncate(settings.subset_size);
}
