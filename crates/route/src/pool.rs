//! Targets of one model or plain service in groups, with the chains to sample from.

use std::hash::{Hash, Hasher};
use std::time::Duration;

use fleet::{Depth, Kind, Layers, TargetId};
use rand::RngExt;
use rand::rngs::SmallRng;
use siphasher::sip::SipHasher13;

use crate::estimate::Estimate;
use crate::flow::{self, Chain, Link, Network, Span, Supply};
use crate::view::View;
use crate::{Settings, cumulative};

/// Targets in one failure domain that hold the same layers.
#[derive(Clone, Debug)]
pub(crate) struct Group {
    /// Dense number of the failure domain.
    pub(crate) domain: u16,
    /// Layers held; an empty range for a plain service.
    pub(crate) layers: Layers,
    /// Members that this node uses.
    pub(crate) members: Vec<TargetId>,
    /// Cumulative sums of the members' rates.
    weights: Vec<f64>,
}

impl Group {
    /// Samples a member in proportion to its rate.
    pub(crate) fn sample(&self, rng: &mut SmallRng) -> TargetId {
        self.members[cumulative::pick(&self.weights, rng.random())]
    }
}

/// Targets of one model or plain service.
#[derive(Clone, Debug, Default)]
pub(crate) struct Pool {
    /// Number of layers; 0 for a plain service.
    pub(crate) depth: Depth,
    /// Groups with at least one eligible target.
    pub(crate) groups: Vec<Group>,
    /// Chains over the groups.
    pub(crate) chains: Vec<Chain>,
    /// Cumulative sums of the chains' rates.
    weights: Vec<f64>,
    /// Tokens per second of the planned flow; 0 for a plain service.
    pub(crate) rate: f64,
    /// Upper bound in tokens per second for any routing.
    pub(crate) bound: f64,
    /// Concurrent streams or calls.
    pub(crate) slots: u32,
    /// Network from which the flow was computed.
    network: Network,
    /// All present targets, including ejected and leaving ones.
    pub(crate) targets: Vec<TargetId>,
    /// Seconds between tokens.
    pub(crate) token_gap: Estimate,
    /// Seconds to the first token, divided by the tokens of the prompt and the fixed overhead.
    pub(crate) first_token: Estimate,
}

impl Pool {
    /// Groups the targets and computes the chains.
    pub(crate) fn build(
        view: &View,
        now: Duration,
        ids: &[TargetId],
        settings: &Settings,
        previous: Option<&Pool>,
    ) -> Self {
        let depth = majority_depth(view, ids);
        let mut pool = Self { depth, targets: ids.to_vec(), ..Self::default() };
        let eligible: Vec<TargetId> =
            ids.iter().copied().filter(|&id| is_eligible(view, id, depth)).collect();
        // Ejected targets remain members without weight, as a last resort.
        let rate = |id: TargetId| {
            let entry = view.entry(id);
            let is_ejected = settings.mechanism.outlier && entry.health.is_ejected(now);
            if is_ejected { 0.0 } else { entry.rate() }
        };
        let planned: Vec<TargetId> =
            eligible.iter().copied().filter(|&id| rate(id) > 0.0).collect();
        let supplies = pool.group_targets(view, &eligible, &rate);
        let subset = view.entries.len() >= settings.subset_from;
        for group in &mut pool.groups {
            if subset {
                keep_subset(view, group, settings);
            }
            group.weights = cumulative::sums(group.members.iter().map(|&id| rate(id)));
        }
        if depth == 0 {
            pool.build_plain_service(view, &planned, &rate);
        } else {
            pool.network = Network { depth, supplies, links: finite_links(view) };
            match previous.filter(|previous| previous.network == pool.network) {
                Some(previous) => pool.keep_flow(previous),
                None => pool.solve_flow(),
            }
            pool.slots = pool.stream_slots(view, &planned);
        }
        pool.weights = cumulative::sums(pool.chains.iter().map(|chain| chain.rate));
        pool
    }

    fn solve_flow(&mut self) {
        let flow = flow::solve(&self.network);
        self.rate = flow.rate;
        self.bound = flow.bound;
        self.chains = flow.chains;
    }

    /// Copies the flow of a pool with the same network.
    fn keep_flow(&mut self, previous: &Pool) {
        self.rate = previous.rate;
        self.bound = previous.bound;
        self.chains.clone_from(&previous.chains);
    }

    /// Copies the time estimates of the previous pool.
    pub(crate) fn keep_estimates(&mut self, previous: &Pool) {
        self.token_gap = previous.token_gap;
        self.first_token = previous.first_token;
    }

    /// Samples a chain in proportion to its share of the flow.
    pub(crate) fn sample(&self, rng: &mut SmallRng) -> Option<&Chain> {
        if self.chains.is_empty() {
            return None;
        }
        Some(&self.chains[cumulative::pick(&self.weights, rng.random())])
    }

    /// Groups the eligible targets and returns one supply for each group.
    fn group_targets(
        &mut self,
        view: &View,
        eligible: &[TargetId],
        rate: &dyn Fn(TargetId) -> f64,
    ) -> Vec<Supply> {
        let mut supplies: Vec<Supply> = Vec::new();
        for &id in eligible {
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

    /// Creates one chain for each group of a plain service.
    fn build_plain_service(
        &mut self,
        view: &View,
        planned: &[TargetId],
        rate: &dyn Fn(TargetId) -> f64,
    ) {
        let group_chain = |(supply, group): (usize, &Group)| Chain {
            spans: vec![Span { supply, layers: group.layers }],
            rate: group.members.iter().map(|&id| rate(id)).sum(),
        };
        self.chains = self.groups.iter().enumerate().map(group_chain).collect();
        self.slots = planned.iter().map(|&id| view.entry(id).slots()).sum();
    }

    /// Returns the number of streams that fit if they follow the flow over the chains.
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
            let members = planned.iter().map(|&id| view.entry(id));
            let members =
                members.filter(|e| e.domain == group.domain && e.layers() == group.layers);
            members.map(|entry| f64::from(entry.slots())).sum()
        };
        let streams = self.groups.iter().zip(&share).filter(|(_, share)| **share > 1e-6);
        let least = streams.map(|(group, share)| slots(group) / share).fold(f64::MAX, f64::min);
        least as u32
    }
}

/// Returns the depth that most of the targets report; 0 for a plain service.
fn majority_depth(view: &View, ids: &[TargetId]) -> Depth {
    let mut counts: Vec<(Depth, usize)> = Vec::new();
    for &id in ids {
        let Kind::Engine(engine) = &view.entry(id).target.kind else { continue };
        match counts.iter_mut().find(|(depth, _)| *depth == engine.depth) {
            Some((_, count)) => *count += 1,
            None => counts.push((engine.depth, 1)),
        }
    }
    counts.iter().max_by_key(|(depth, count)| (*count, *depth)).map_or(0, |majority| majority.0)
}

/// Returns whether a target is eligible for the plans of a pool of this depth.
fn is_eligible(view: &View, id: TargetId, depth: Depth) -> bool {
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

fn finite_links(view: &View) -> Vec<Link> {
    let finite = view.links().iter().filter(|link| link.tokens_per_second.is_finite());
    let flow_link = |link: &fleet::Link| {
        let (from, to) = (view.domain(&link.from)?, view.domain(&link.to)?);
        (from != to).then_some(Link { from, to, rate: link.tokens_per_second.max(1e-6) })
    };
    finite.filter_map(flow_link).collect()
}

/// Keeps the members that rendezvous hashing assigns to this node.
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
