//! Maximum flow of tokens through the layers of a model.
//!
//! A supply (the targets of one failure domain that hold the same layers) processes `rate` tokens
//! per second through all of its layers, and proportionally more through a subrange. A link
//! carries its rate in tokens per second, summed over all hops that cross it. The maximum token
//! rate is a linear programme with one column for each chain of stages that covers all layers:
//!
//! ```text
//! maximise    sum of x[chain]
//! such that   sum of x[chain] * len(chain in supply) / len(supply) <= rate(supply)
//!             sum of x[chain] * hops(chain over link)              <= rate(link)
//! ```
//!
//! The programme is solved by the revised simplex method with column generation: under the current
//! dual prices, the cheapest chain is a shortest path over the layer boundaries of the supplies.
//! The prices also prove optimality, because no flow exceeds [`Flow::bound`], however the solver
//! arrived at them.

use fleet::{Depth, Layer, Layers};

use crate::simplex::{Column, Tableau};

/// Capacity for one layer range in one failure domain.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Supply {
    /// Dense number of the failure domain.
    pub domain: u16,
    /// Layers held by each target.
    pub layers: Layers,
    /// Tokens per second through all of these layers.
    pub rate: f64,
    /// Number of targets. A single target serves at most one stage of a chain.
    pub targets: u32,
}

/// Capacity between two failure domains.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Link {
    /// Dense number of the sending failure domain.
    pub from: u16,
    /// Dense number of the receiving failure domain.
    pub to: u16,
    /// Tokens per second.
    pub rate: f64,
}

/// Flow network over the layers of a model.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Network {
    /// Number of layers of the model.
    pub depth: Depth,
    /// Capacities that serve the layers.
    pub supplies: Vec<Supply>,
    /// Links of finite rate. Pairs that are not listed have no bound.
    pub links: Vec<Link>,
}

/// One stage of a chain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Span {
    /// Index into [`Network::supplies`].
    pub supply: usize,
    /// Layers run by the stage.
    pub layers: Layers,
}

/// A sequence of stages that covers all layers, and the token rate that it carries.
#[derive(Clone, Debug, PartialEq)]
pub struct Chain {
    /// Stages in order.
    pub spans: Vec<Span>,
    /// Tokens per second.
    pub rate: f64,
}

/// A flow through the network.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Flow {
    /// Chains with a positive rate.
    pub chains: Vec<Chain>,
    /// Tokens per second over all chains.
    pub rate: f64,
    /// Tokens per second that no flow exceeds, proved by the dual prices.
    pub bound: f64,
}

/// Why a flow is invalid.
#[derive(Clone, Debug, PartialEq)]
pub enum Violation {
    /// A chain does not cover the layers exactly.
    Cover {
        /// Index of the chain.
        chain: usize,
    },
    /// A chain uses layers that its supply does not hold.
    Held {
        /// Index of the chain.
        chain: usize,
    },
    /// A supply or link is used beyond its rate.
    Rate {
        /// Index of the row: supplies first, then links.
        row: usize,
        /// Use as a multiple of the rate.
        use_share: f64,
    },
}

/// Rounding error that is tolerated in a verified flow.
const TOLERANCE: f64 = 1e-6;
/// The search ends when the cheapest chain improves the objective by no more than this.
const PRICE_TOLERANCE: f64 = 1e-7;
/// Chains that carry less than this share of the largest supply rate are dropped.
const MIN_CHAIN_SHARE: f64 = 1e-9;
/// Cost of a stage as a share of the token rate. The flow is below the maximum by at most this
/// share times the number of stages.
pub const HOP_COST: f64 = 0.002;
/// Maximum number of supplies and links for which the search runs to the exact optimum.
pub const MAX_EXACT_ROWS: usize = 64;
/// Share of the rate that larger networks give up to end the search early.
pub const OPTIMALITY_GAP: f64 = 0.01;
/// Maximum number of pivots, as a multiple of the number of rows.
const MAX_PIVOTS_PER_ROW: usize = 40;

/// Computes a maximum flow, regardless of the number of hops.
pub fn maximum(network: &Network) -> Flow {
    search(network, &[(0.0, PRICE_TOLERANCE)])
}

/// Computes a flow of nearly the maximum rate with few hops, because each stage of a chain
/// occupies a slot for every stream.
///
/// The rate is below the maximum by at most [`HOP_COST`] times the stages of the longest chain,
/// and by a further [`OPTIMALITY_GAP`] in networks of more than [`MAX_EXACT_ROWS`] supplies and
/// links.
pub fn solve(network: &Network) -> Flow {
    let is_small = network.supplies.len() + network.links.len() <= MAX_EXACT_ROWS;
    let tolerance = if is_small { PRICE_TOLERANCE } else { OPTIMALITY_GAP / 2.0 };
    search(network, &[(0.0, tolerance), (HOP_COST, tolerance)])
}

/// Searches in phases of one hop cost and tolerance each. A phase ends when no chain improves the
/// objective by more than the tolerance.
fn search(network: &Network, phases: &[(f64, f64)]) -> Flow {
    let scale = network.supplies.iter().map(|supply| supply.rate).fold(0.0, f64::max);
    if network.depth == 0 || scale <= 0.0 {
        return Flow::default();
    }
    let mut search = Search {
        tableau: Tableau::new(network.supplies.len() + network.links.len()),
        chains: Vec::new(),
        pricing: Pricing::new(network),
        bound: f64::INFINITY,
    };
    for &(hop_cost, tolerance) in phases {
        let chains = &search.chains;
        search.tableau.set_chain_values(|chain| 1.0 - hop_cost * chains[chain].len() as f64);
        search.optimize(network, scale, hop_cost, tolerance);
    }
    if search.chains.is_empty() {
        return Flow::default();
    }
    collect(&search.tableau, search.chains, search.bound, scale)
}

/// State of the search for a better basis.
struct Search {
    tableau: Tableau,
    chains: Vec<Vec<Span>>,
    pricing: Pricing,
    bound: f64,
}

impl Search {
    /// Lets columns enter until none improves the objective by more than `tolerance`, or no chain
    /// covers the layers. The objective value of a chain is 1 less `hop_cost` for each of its
    /// stages.
    fn optimize(&mut self, network: &Network, scale: f64, hop_cost: f64, tolerance: f64) {
        let rows = network.supplies.len() + network.links.len();
        for _ in 0..rows * MAX_PIVOTS_PER_ROW + 16 {
            let prices = self.tableau.prices();
            if let Some(row) = self.tableau.negative_price(&prices) {
                if !self.tableau.enter(Column::Slack(row)) {
                    return;
                }
                continue;
            }
            let cheapest = self.pricing.cheapest(network, &prices, scale, hop_cost);
            let Some((spans, length)) = cheapest else { return };
            if hop_cost == 0.0 && length > PRICE_TOLERANCE {
                self.bound = self.bound.min(prices.iter().sum::<f64>() / length);
            }
            let spans = merge_repeated_stages(network, spans);
            let entries = row_usage(network, &spans, scale);
            let cost: f64 = entries.iter().map(|&(row, share)| prices[row] * share).sum();
            let value = 1.0 - hop_cost * spans.len() as f64;
            if cost >= value - tolerance {
                return;
            }
            self.chains.push(spans);
            let chain = self.chains.len() - 1;
            if !self.tableau.enter(Column::Chain { chain, value, entries }) {
                return;
            }
        }
    }
}

/// Checks a flow against its network.
///
/// # Errors
///
/// Returns the first [`Violation`] found.
pub fn verify(network: &Network, flow: &Flow) -> Result<(), Violation> {
    let mut used = vec![0.0; network.supplies.len() + network.links.len()];
    for (index, chain) in flow.chains.iter().enumerate() {
        let mut next: Layer = 0;
        for span in &chain.spans {
            if span.layers.start != next || span.layers.is_empty() {
                return Err(Violation::Cover { chain: index });
            }
            if !network.supplies[span.supply].layers.contains(span.layers) {
                return Err(Violation::Held { chain: index });
            }
            next = span.layers.end;
        }
        if next != network.depth {
            return Err(Violation::Cover { chain: index });
        }
        for (row, share) in row_usage(network, &chain.spans, 1.0) {
            used[row] += share * chain.rate;
        }
    }
    match used.iter().position(|&share| share > 1.0 + TOLERANCE) {
        Some(row) => Err(Violation::Rate { row, use_share: used[row] }),
        None => Ok(()),
    }
}

/// Collects the chains with a positive rate from the tableau's solution.
fn collect(tableau: &Tableau, mut chains: Vec<Vec<Span>>, bound: f64, scale: f64) -> Flow {
    let mut flow = Flow::default();
    for (index, value) in tableau.solution() {
        if value > MIN_CHAIN_SHARE {
            let spans = std::mem::take(&mut chains[index]);
            flow.rate += value * scale;
            flow.chains.push(Chain { spans, rate: value * scale });
        }
    }
    flow.bound = (bound * scale).max(flow.rate);
    flow
}

/// Returns the share of each row's rate that `scale` tokens per second on the chain use.
fn row_usage(network: &Network, spans: &[Span], scale: f64) -> Vec<(usize, f64)> {
    let mut column: Vec<(usize, f64)> = Vec::with_capacity(spans.len() * 2);
    let mut add = |row: usize, share: f64| match column.iter_mut().find(|(r, _)| *r == row) {
        Some((_, sum)) => *sum += share,
        None => column.push((row, share)),
    };
    for (index, span) in spans.iter().enumerate() {
        let supply = &network.supplies[span.supply];
        let part = f64::from(span.layers.len()) / f64::from(supply.layers.len());
        add(span.supply, part * scale / supply.rate);
        let Some(next) = spans.get(index + 1) else { continue };
        let to = network.supplies[next.supply].domain;
        let crossed = network.links.iter().position(|p| p.from == supply.domain && p.to == to);
        if let Some(link) = crossed {
            add(network.supplies.len() + link, scale / network.links[link].rate);
        }
    }
    column
}

/// Merges the stages of a supply that occurs more often than it has targets: its first stage
/// extends to the end of its last one.
fn merge_repeated_stages(network: &Network, mut spans: Vec<Span>) -> Vec<Span> {
    let mut index = 0;
    while index < spans.len() {
        let supply = spans[index].supply;
        let visits: Vec<usize> =
            (index..spans.len()).filter(|&i| spans[i].supply == supply).collect();
        if visits.len() > network.supplies[supply].targets.max(1) as usize {
            let last = visits[visits.len() - 1];
            spans[index].layers.end = spans[last].layers.end;
            spans.drain(index + 1..=last);
        }
        index += 1;
    }
    spans
}

/// Predecessors in [`Pricing::before`]: none, because the chain starts here, or the same supply,
/// because the stage continues from the segment before.
const NO_SUPPLY: u32 = u32::MAX;
const SAME_SUPPLY: u32 = u32::MAX - 1;

/// Shortest paths over the layer boundaries of the supplies.
struct Pricing {
    cuts: Vec<Layer>,
    domains: usize,
    /// For each segment and supply, the supply of the previous segment.
    before: Vec<u32>,
}

impl Pricing {
    fn new(network: &Network) -> Self {
        let mut cuts = vec![0, network.depth];
        for supply in &network.supplies {
            cuts.push(supply.layers.start.min(network.depth));
            cuts.push(supply.layers.end.min(network.depth));
        }
        cuts.sort_unstable();
        cuts.dedup();
        let domains = network.supplies.iter().map(|s| usize::from(s.domain) + 1).max().unwrap_or(0);
        let before = vec![NO_SUPPLY; (cuts.len() - 1) * network.supplies.len()];
        Self { cuts, domains, before }
    }

    /// Returns the cheapest chain under the prices and its price, if a chain covers the layers.
    fn cheapest(
        &mut self,
        network: &Network,
        prices: &[f64],
        scale: f64,
        hop_cost: f64,
    ) -> Option<(Vec<Span>, f64)> {
        let supplies = network.supplies.len();
        let hop_price = self.hop_prices(network, prices, scale);
        let mut running = vec![f64::INFINITY; supplies];
        let mut best: Vec<(f64, u32)> = Vec::new();
        for segment in 0..self.cuts.len() - 1 {
            let range = Layers::new(self.cuts[segment], self.cuts[segment + 1]);
            let entry = self.entries(segment, &best, &hop_price);
            let mut reached = vec![(f64::INFINITY, NO_SUPPLY); self.domains];
            for (index, supply) in network.supplies.iter().enumerate() {
                if supply.rate <= 0.0 || !supply.layers.contains(range) {
                    running[index] = f64::INFINITY;
                    continue;
                }
                let part = f64::from(range.len()) / f64::from(supply.layers.len());
                let (path_cost, from) = entry[usize::from(supply.domain)];
                let enter = path_cost + hop_cost;
                let (cost, before) = if running[index] <= enter {
                    (running[index], SAME_SUPPLY)
                } else {
                    (enter, from)
                };
                let cost = cost + part * scale / supply.rate * prices[index];
                running[index] = cost;
                self.before[segment * supplies + index] = before;
                let slot = &mut reached[usize::from(supply.domain)];
                if cost < slot.0 {
                    *slot = (cost, u32::try_from(index).unwrap_or(NO_SUPPLY));
                }
            }
            best = reached;
        }
        let &(cost, last) = best.iter().min_by(|a, b| a.0.total_cmp(&b.0))?;
        cost.is_finite().then(|| (self.path(supplies, last), cost))
    }

    /// Returns the price of a hop between each pair of failure domains.
    fn hop_prices(&self, network: &Network, prices: &[f64], scale: f64) -> Vec<f64> {
        let mut hop_price = vec![0.0; self.domains * self.domains];
        for (index, link) in network.links.iter().enumerate() {
            let (from, to) = (usize::from(link.from), usize::from(link.to));
            if from < self.domains && to < self.domains {
                hop_price[from * self.domains + to] +=
                    scale / link.rate * prices[network.supplies.len() + index];
            }
        }
        hop_price
    }

    /// Returns the cheapest path into each failure domain at the start of a segment, with its last
    /// supply.
    fn entries(&self, segment: usize, best: &[(f64, u32)], hop_price: &[f64]) -> Vec<(f64, u32)> {
        if segment == 0 {
            return vec![(0.0, NO_SUPPLY); self.domains];
        }
        let into = |to: usize| {
            let paths = best.iter().enumerate();
            let priced =
                paths.map(|(from, path)| (path.0 + hop_price[from * self.domains + to], path.1));
            priced.min_by(|a, b| a.0.total_cmp(&b.0)).unwrap_or((f64::INFINITY, NO_SUPPLY))
        };
        (0..self.domains).map(into).collect()
    }

    /// Returns the chain that ends at the supply `last`.
    fn path(&self, supplies: usize, last: u32) -> Vec<Span> {
        let mut spans: Vec<Span> = Vec::new();
        let mut supply = last as usize;
        let mut end = self.cuts[self.cuts.len() - 1];
        for segment in (0..self.cuts.len() - 1).rev() {
            let before = self.before[segment * supplies + supply];
            if before == SAME_SUPPLY {
                continue;
            }
            spans.push(Span { supply, layers: Layers::new(self.cuts[segment], end) });
            end = self.cuts[segment];
            supply = before as usize;
        }
        spans.reverse();
        spans
    }
}
