//! Moves layers off engines that have little memory left for requests.
//!
//! A domain can run as many requests as fit at the layer with the least capacity. After losses,
//! that layer can be on an engine that took a gap and has hardly any memory left, next to engines
//! that hold few layers. Another engine first loads some of its layers; the engine drops them once
//! the other holds them.

use fleet::{Layer, Layers};

use crate::cover::Domain;

/// Fraction of the usual capacity below which an engine hands layers over.
const HANDOVER_FRACTION: f64 = 0.5;
/// Fraction below which it also hands them over to engines that the next gap may need.
const SPARE_USE_FRACTION: f64 = 0.3;
/// Minimum factor by which a move must raise the lowest capacity. Each move costs a load, and
/// dropped layers wait for the streams that pass them.
const MIN_GAIN: f64 = 1.5;
/// Number of engines that stay empty, the largest first: the next gap needs one at once.
const EMPTY_SPARES: usize = 1;
/// Maximum engines examined in one plan, those with the least capacity first. Each of them is tried
/// with all partners.
const MAX_ENGINES: usize = 4;

/// Layers of some engines after a change, with the indices of the engines.
type Change = [(usize, Layers)];

/// A move of another engine after which an engine with little capacity can drop layers.
#[derive(Clone, Copy)]
struct Handover {
    index: usize,
    layers: Layers,
    /// Tokens that fit at the affected layer with the least capacity once both moves are done.
    min_capacity: f64,
}

impl Domain<'_> {
    /// Raises the lowest layer capacities of the domain, one step at a time.
    pub(crate) fn balance(&mut self) {
        if !self.moves.is_empty() {
            return;
        }
        let mut capacities = self.capacities();
        let threshold = HANDOVER_FRACTION * self.usual_capacity();
        let mut engines: Vec<(f64, usize)> = (0..self.engines.len())
            .filter_map(|index| Some((min_capacity(&capacities, self.held[index]?), index)))
            .filter(|(min_capacity, _)| *min_capacity < threshold)
            .collect();
        engines.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        for (min_capacity, index) in engines.into_iter().take(MAX_ENGINES) {
            if !self.is_assignable(index) || self.has_pending_overlap(index) {
                continue;
            }
            let kept =
                self.layers_to_keep(&capacities, index, min_capacity).map(|kept| (index, kept));
            let change = kept.or_else(|| {
                let handover = self.handover(&capacities, index, min_capacity)?;
                Some((handover.index, handover.layers))
            });
            if let Some((index, layers)) = change {
                self.assign(index, layers);
                capacities = self.capacities();
            }
        }
    }

    /// Returns the tokens that usually fit at each layer, over all engines that are to hold it.
    fn usual_capacity(&self) -> f64 {
        self.token_capacity * f64::from(self.copies)
    }

    /// Returns whether an engine may get an order and is not slow.
    fn is_assignable(&self, index: usize) -> bool {
        !self.fixed[index] && !self.engines[index].slow
    }

    /// Returns the tokens of requests that fit into an engine that holds `layers`.
    fn tokens(&self, index: usize, layers: Option<Layers>) -> f64 {
        layers.map_or(0.0, |layers| self.token_capacity_at(index, layers.len()))
    }

    /// Returns the tokens of requests that fit at each layer, over all engines that hold it. Slow
    /// engines do not count, because others are to hold their layers as well.
    fn capacities(&self) -> Vec<f64> {
        let mut capacities = vec![0.0; usize::from(self.whole.end)];
        for (index, layers) in self.held.iter().enumerate() {
            if !self.engines[index].slow {
                self.add_tokens(&mut capacities, index, *layers, 1.0);
            }
        }
        capacities
    }

    fn add_tokens(&self, capacities: &mut [f64], index: usize, layers: Option<Layers>, sign: f64) {
        let tokens = self.tokens(index, layers) * sign;
        layers.into_iter().flat_map(layer_indices).for_each(|index| {
            if let Some(capacity) = capacities.get_mut(index) {
                *capacity += tokens;
            }
        });
    }

    /// Returns the tokens that fit at the layer with the least capacity, among the layers of the
    /// changed engines before and after the change.
    fn min_capacity_after(&self, capacities: &[f64], change: &Change) -> f64 {
        let mut capacities = capacities.to_vec();
        for &(index, layers) in change {
            self.add_tokens(&mut capacities, index, self.held[index], -1.0);
            self.add_tokens(&mut capacities, index, Some(layers), 1.0);
        }
        let concerned = change.iter().flat_map(|&(index, layers)| [self.held[index], Some(layers)]);
        concerned
            .flatten()
            .map(|layers| min_capacity(&capacities, layers))
            .fold(f64::INFINITY, f64::min)
    }

    /// Returns whether an engine with a pending order holds, or will hold, some of the layers of an
    /// engine.
    fn has_pending_overlap(&self, index: usize) -> bool {
        let own = self.held[index];
        let others = self.held.iter().enumerate().filter(|(other, _)| *other != index);
        others.filter(|(other, _)| self.fixed[*other]).any(|(_, layers)| {
            own.zip(*layers).is_some_and(|(a, b)| a.start < b.end && b.start < a.end)
        })
    }

    /// Returns the layers that an engine keeps if it drops layers that others hold as well.
    fn layers_to_keep(
        &self,
        capacities: &[f64],
        index: usize,
        min_capacity: f64,
    ) -> Option<Layers> {
        let parts = prefixes_and_suffixes(self.held[index]?).into_iter();
        let parts = parts.map(|kept| (self.min_capacity_after(capacities, &[(index, kept)]), kept));
        let best = parts.max_by(|a, b| a.0.total_cmp(&b.0));
        best.filter(|(capacity, _)| *capacity >= MIN_GAIN * min_capacity).map(|(_, kept)| kept)
    }

    /// Returns the engine that takes layers of an engine with little capacity: a neighbour, else an
    /// empty engine, else one whose own layers others hold with enough capacity. The last of these
    /// first waits for its streams to end.
    fn handover(&self, capacities: &[f64], index: usize, min_capacity: f64) -> Option<Handover> {
        let free =
            (0..self.engines.len()).filter(|&other| other != index && self.is_assignable(other));
        let (mut empty, in_use): (Vec<usize>, Vec<usize>) =
            free.partition(|&other| self.held[other].is_none());
        let extended = |near: Option<Layers>, given: Layers| {
            near.and_then(|near| union(near, given)).filter(|layers| Some(*layers) != near)
        };
        let replaced = |_, given| Some(given);
        let is_gain = |handover: &Handover| handover.min_capacity >= MIN_GAIN * min_capacity;
        let best = self.best_handover(capacities, index, &in_use, extended).filter(is_gain);
        if best.is_some() || min_capacity >= SPARE_USE_FRACTION * self.usual_capacity() {
            return best;
        }
        empty.retain(|&other| !self.is_successor(other));
        empty.sort_by(|&a, &b| {
            self.token_capacity_at(b, 1).total_cmp(&self.token_capacity_at(a, 1))
        });
        let empty = empty.get(EMPTY_SPARES..).unwrap_or_default();
        self.best_handover(capacities, index, empty, replaced).filter(is_gain).or_else(|| {
            let spare = in_use.into_iter().filter(|&other| self.is_redundant(other));
            self.best_handover(capacities, index, &spare.collect::<Vec<_>>(), replaced)
                .filter(is_gain)
        })
    }

    /// Returns the handover to one of `partners` that leaves the most capacity. `taken` returns the
    /// layers that a partner is to hold, given the layers that it holds and those it is given, or
    /// `None` if it cannot take them.
    fn best_handover(
        &self,
        capacities: &[f64],
        index: usize,
        partners: &[usize],
        taken: impl Fn(Option<Layers>, Layers) -> Option<Layers>,
    ) -> Option<Handover> {
        let own = self.held[index]?;
        let kept = prefixes_and_suffixes(own);
        let handovers = partners.iter().flat_map(|&partner| {
            let taken = &taken;
            kept.iter().filter_map(move |&kept| {
                let layers = taken(self.held[partner], remainder(own, kept))?;
                let min_capacity =
                    self.min_capacity_after(capacities, &[(index, kept), (partner, layers)]);
                Some(Handover { index: partner, layers, min_capacity })
            })
        });
        handovers.max_by(|a, b| a.min_capacity.total_cmp(&b.min_capacity))
    }
}

/// Returns the tokens that fit at the layer of a range with the least capacity.
fn min_capacity(capacities: &[f64], layers: Layers) -> f64 {
    layer_indices(layers)
        .filter_map(|index| capacities.get(index))
        .copied()
        .fold(f64::INFINITY, f64::min)
}

fn layer_indices(layers: Layers) -> std::ops::Range<usize> {
    usize::from(layers.start)..usize::from(layers.end)
}

/// Returns the proper prefixes and suffixes of a range.
fn prefixes_and_suffixes(range: Layers) -> Vec<Layers> {
    let boundaries: Vec<Layer> = (range.start + 1..range.end).collect();
    let prefixes = boundaries.iter().map(|&boundary| Layers::new(range.start, boundary));
    prefixes.chain(boundaries.iter().map(|&boundary| Layers::new(boundary, range.end))).collect()
}

/// Returns the rest of a range without a prefix or suffix.
fn remainder(range: Layers, end: Layers) -> Layers {
    if end.start == range.start {
        Layers::new(end.end, range.end)
    } else {
        Layers::new(range.start, end.start)
    }
}

/// Returns the union of two ranges that touch or overlap.
fn union(a: Layers, b: Layers) -> Option<Layers> {
    let touch = a.start <= b.end && b.start <= a.end;
    touch.then(|| Layers::new(a.start.min(b.start), a.end.max(b.end)))
}
