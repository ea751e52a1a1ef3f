//! Covers the layers of a model in each failure domain.

use std::cmp::Ordering;
use std::collections::BTreeMap;

use fleet::{DomainName, Layer, Layers};
use site::Model;

use crate::engine::{Engine, Move};
use crate::rate::best_token_capacity;

/// Maximum tokens of requests for which an engine of a chain reserves memory. Beyond this, memory
/// is worth more as a spare.
pub(crate) const MAX_TOKENS: f64 = 180_000.0;
/// Minimum tokens of requests for which an engine reserves memory. Below this, a handful of prompts
/// fill it.
pub(crate) const MIN_TOKENS: f64 = 12_000.0;
/// Fraction of the usual token capacity that an engine keeps when it takes part of a gap in
/// addition to its own layers. With less it would delay the whole chain.
const EXTENDED_CAPACITY_FRACTION: f64 = 0.35;
/// Fraction of the usual token capacity with which an engine takes a whole gap by itself. Dividing
/// the gap would use up the engines that are to replace others.
const WHOLE_GAP_FRACTION: f64 = 0.7;
/// Factor by which the layers that a domain holds exceed its chains. The excess is spares.
const SPARE_FACTOR: f64 = 1.08;
/// Minimum token capacity of each engine where a domain holds its layers more than once. Below
/// this, another copy costs more capacity than it adds.
const MIN_COPY_TOKENS: f64 = 60_000.0;
/// Maximum copies of each layer in a domain. With more, the loss of an engine has little effect.
const MAX_COPIES: u16 = 4;

/// Returns the moves after which each failure domain holds all layers.
///
/// The caller leaves out engines that must not be used because they are lost or draining.
pub fn plan(engines: &[Engine], model: &Model) -> Vec<Move> {
    let mut moves = Vec::new();
    for mut local in by_domain(engines).into_values() {
        local.sort_by(|a, b| a.id.cmp(&b.id));
        moves.extend(Domain::new(&local, model).plan());
    }
    moves
}

/// Returns the first range of layers that no engine holds, for each failure domain that misses
/// some.
pub fn gaps(engines: &[Engine], model: &Model) -> Vec<(DomainName, Layers)> {
    let whole = Layers::new(0, model.depth);
    let first = by_domain(engines).into_iter().filter_map(|(domain, local)| {
        let held: Vec<Option<Layers>> =
            local.iter().map(|engine| held_layers(engine, model)).collect();
        first_undercovered(&held, whole, 1).map(|gap| (domain.clone(), gap))
    });
    first.collect()
}

/// Returns the layers of the model that an engine holds. One that states others, by its own fault or
/// in the entry of another writer, counts as empty.
fn held_layers(engine: &Engine, model: &Model) -> Option<Layers> {
    let whole = Layers::new(0, model.depth);
    engine.layers.filter(|layers| whole.contains(*layers) && !layers.is_empty())
}

/// Groups the engines by failure domain.
fn by_domain(engines: &[Engine]) -> BTreeMap<&DomainName, Vec<&Engine>> {
    let mut domains: BTreeMap<&DomainName, Vec<&Engine>> = BTreeMap::new();
    for engine in engines {
        domains.entry(&engine.domain).or_default().push(engine);
    }
    domains
}

/// Returns the first part of a range whose layers are held fewer than `copies` times.
fn first_undercovered(held: &[Option<Layers>], range: Layers, copies: u16) -> Option<Layers> {
    let counts = holder_counts(held, range.end);
    let is_undercovered = |&layer: &Layer| counts[usize::from(layer)] < copies;
    let start = (range.start..range.end).find(is_undercovered)?;
    let end = (start..range.end).find(|layer| !is_undercovered(layer)).unwrap_or(range.end);
    Some(Layers::new(start, end))
}

/// Returns the number of engines that hold each layer.
fn holder_counts(held: &[Option<Layers>], depth: Layer) -> Vec<u16> {
    let mut counts = vec![0; usize::from(depth)];
    for layers in held.iter().flatten() {
        let end = layers.end.min(depth);
        for count in &mut counts[usize::from(layers.start.min(end))..usize::from(end)] {
            *count += 1;
        }
    }
    counts
}

/// An engine whose layers are adjacent to a gap.
struct Neighbour {
    index: usize,
    own: Layers,
    /// Number of layers that it can hold in addition.
    extra: Layer,
}

/// State of the plan of one failure domain.
pub(crate) struct Domain<'a> {
    pub(crate) engines: &'a [&'a Engine],
    pub(crate) model: &'a Model,
    /// All layers of the model.
    pub(crate) whole: Layers,
    /// Number of engines of the domain that are to hold each layer.
    pub(crate) copies: u16,
    /// Layers that each engine holds after the moves so far.
    pub(crate) held: Vec<Option<Layers>>,
    /// Whether each engine must not get an order, or no further one.
    pub(crate) fixed: Vec<bool>,
    /// Tokens of requests for which engines usually reserve memory.
    pub(crate) token_capacity: f64,
    /// Number of layers that each engine can hold with that reserve.
    usual_layers: Vec<u16>,
    pub(crate) moves: Vec<Move>,
}

impl<'a> Domain<'a> {
    fn new(engines: &'a [&'a Engine], model: &'a Model) -> Self {
        let copies = copy_count(engines, model);
        let spare = SPARE_FACTOR * f64::from(copies);
        let best = best_token_capacity(engines, model, copies, spare);
        let token_capacity = best.unwrap_or_else(|| chain_token_capacity(engines, model, spare));
        Self {
            engines,
            model,
            whole: Layers::new(0, model.depth),
            copies,
            held: engines.iter().map(|engine| held_layers(engine, model)).collect(),
            fixed: engines.iter().map(|engine| engine.order_pending).collect(),
            token_capacity,
            usual_layers: engines
                .iter()
                .map(|engine| layer_capacity(engine, model, token_capacity))
                .collect(),
            moves: Vec::new(),
        }
    }

    /// Returns whether no engine of the domain holds layers yet.
    fn is_first_layout(&self) -> bool {
        self.engines.iter().all(|engine| held_layers(engine, self.model).is_none())
    }

    /// Returns the number of layers that an engine usually holds.
    pub(crate) fn usual_layers(&self, index: usize) -> Layer {
        self.usual_layers[index]
    }

    /// Returns the number of layers that an engine can hold with memory for `tokens` tokens of
    /// requests.
    fn layer_capacity(&self, index: usize, tokens: f64) -> u16 {
        layer_capacity(self.engines[index], self.model, tokens)
    }

    fn plan(mut self) -> Vec<Move> {
        self.close_gaps();
        if self.moves.is_empty() {
            self.bypass_slow_engines();
        }
        self.add_copies();
        self.balance();
        self.upgrade();
        self.add_entry();
        self.moves
    }

    /// Assigns layers that no engine holds. If spares and neighbours cannot take all of them,
    /// redistributes the layers instead of closing a part of the gap: with a part still missing the
    /// domain would not serve any sooner.
    fn close_gaps(&mut self) {
        let Some(first) = first_undercovered(&self.held, self.whole, 1) else { return };
        let (held, fixed) = (self.held.clone(), self.fixed.clone());
        while let Some(gap) = first_undercovered(&self.held, self.whole, 1) {
            if self.assign_gap(gap) {
                continue;
            }
            let partial_moves = std::mem::take(&mut self.moves);
            let partial_state = (
                std::mem::replace(&mut self.held, held),
                std::mem::replace(&mut self.fixed, fixed),
            );
            self.redistribute(first);
            if self.moves.is_empty() {
                self.moves = partial_moves;
                (self.held, self.fixed) = partial_state;
            }
            break;
        }
    }

    /// Assigns further copies of layers to engines that are not needed, so that the loss of an
    /// engine leaves no gap and requests have more capacity.
    ///
    /// Loads share the source of the weights, so none of these starts while a gap is being closed.
    fn add_copies(&mut self) {
        let first_layout = self.is_first_layout();
        let loading = !self.moves.is_empty() || self.fixed.iter().any(|fixed| *fixed);
        if loading && !first_layout {
            return;
        }
        for copies in 2..=self.copies {
            while let Some(range) = first_undercovered(&self.held, self.whole, copies) {
                let Some(index) = self.fastest_surplus_engine(true) else { return };
                let layers = fit_to_gap(range, self.usual_layers[index]);
                self.assign(index, layers);
            }
        }
    }

    /// Returns the fastest engine that holds no layers, or only layers that are held often enough
    /// without it. Successors of other engines count only `with_new`.
    pub(crate) fn fastest_surplus_engine(&self, with_new: bool) -> Option<usize> {
        let depth = self.whole.end;
        let counts = holder_counts(&self.held, depth);
        let free = (0..self.engines.len()).filter(|&index| {
            let held = self.held[index].map_or(0..0, |own| own.start..own.end.min(depth));
            let needed = held.into_iter().any(|layer| counts[usize::from(layer)] <= self.copies);
            let kept_free = self.is_successor(index) && !with_new;
            !self.fixed[index] && self.usual_layers[index] > 0 && !needed && !kept_free
        });
        free.max_by(|&a, &b| self.compare_speed(a, b))
    }

    /// Returns whether an engine probably replaces another one that is about to leave: it is new,
    /// and another one of its kind holds layers.
    pub(crate) fn is_successor(&self, index: usize) -> bool {
        let engine = self.engines[index];
        let mut others = self.engines.iter().filter(|other| other.id != engine.id);
        engine.new && others.any(|other| other.card == engine.card && other.layers.is_some())
    }

    /// Compares engines by speed, those of one kind by the number of layers that they usually hold.
    /// Of equal engines the first is the greatest.
    pub(crate) fn compare_speed(&self, a: usize, b: usize) -> Ordering {
        let factor = |index: usize| step_factor(self.engines[index], self.model);
        let by_size = self.usual_layers[a].cmp(&self.usual_layers[b]);
        factor(b).total_cmp(&factor(a)).then(by_size).then(b.cmp(&a))
    }

    /// Assigns the layers of slow engines to others as well, as far as spares and neighbours can
    /// take them.
    fn bypass_slow_engines(&mut self) {
        let slow: Vec<usize> =
            (0..self.engines.len()).filter(|&index| self.engines[index].slow).collect();
        if slow.is_empty() || self.fixed.iter().any(|fixed| *fixed) {
            return;
        }
        let held = self.held.clone();
        for &index in &slow {
            self.held[index] = None;
            self.fixed[index] = true;
        }
        for range in slow.iter().filter_map(|&index| held[index]) {
            while let Some(gap) = first_undercovered(&self.held, range, 1) {
                if !self.assign_gap(gap) {
                    break;
                }
            }
        }
        for &index in &slow {
            self.held[index] = held[index];
        }
    }

    pub(crate) fn assign(&mut self, index: usize, layers: Layers) {
        self.held[index] = Some(layers);
        self.fixed[index] = true;
        self.moves.push(Move { target: self.engines[index].id.clone(), layers });
    }

    /// Assigns the first part of a gap to some engine. Engines whose layers others hold as well
    /// come late: such an engine first waits for the streams that pass it to end, often for
    /// seconds.
    fn assign_gap(&mut self, gap: Layers) -> bool {
        let (empty, spare): (Vec<usize>, Vec<usize>) = (0..self.engines.len())
            .filter(|&index| {
                !self.fixed[index] && self.usual_layers[index] > 0 && self.is_redundant(index)
            })
            .partition(|&index| self.held[index].is_none());
        let tokens = (self.token_capacity * EXTENDED_CAPACITY_FRACTION).max(MIN_TOKENS);
        self.assign_gap_to(gap, empty)
            || self.extend_neighbours(gap, tokens, gap.len())
            || self.assign_gap_to(gap, spare)
            || self.extend_neighbours(gap, tokens, 1)
    }

    /// Assigns the first part of a gap to the smallest engine that can take all of it, else to the
    /// fastest.
    fn assign_gap_to(&mut self, gap: Layers, engines: Vec<usize>) -> bool {
        let fraction = if self.is_first_layout() { 1.0 } else { WHOLE_GAP_FRACTION };
        let tokens = (self.token_capacity * fraction).max(MIN_TOKENS);
        let takes_whole = |index: &usize| self.layer_capacity(*index, tokens) >= gap.len();
        let whole = engines.iter().copied().filter(takes_whole);
        let smallest = whole.min_by_key(|&index| self.usual_layers[index]);
        let fastest = || engines.iter().copied().max_by(|&a, &b| self.compare_speed(a, b));
        let Some(index) = smallest.or_else(fastest) else { return false };
        let layers =
            if takes_whole(&index) { gap } else { fit_to_gap(gap, self.usual_layers[index]) };
        self.assign(index, layers);
        true
    }

    /// Returns whether other engines without a pending order hold all layers of an engine.
    pub(crate) fn is_redundant(&self, index: usize) -> bool {
        self.held[index].is_none_or(|own| self.is_held_by_others(index, own))
    }

    fn is_held_by_others(&self, index: usize, range: Layers) -> bool {
        let mut others = self.held.clone();
        for (other, held) in others.iter_mut().enumerate() {
            if other == index || self.fixed[other] {
                *held = None;
            }
        }
        first_undercovered(&others, range, 1).is_none()
    }

    /// Extends the neighbours of a gap into it, leaving each capacity for `tokens` tokens of
    /// requests, if they can take at least `needed` of its layers.
    fn extend_neighbours(&mut self, gap: Layers, tokens: f64, needed: Layer) -> bool {
        let left = self.neighbour(gap.len(), tokens, |own| own.end == gap.start);
        let right = self.neighbour(gap.len(), tokens, |own| own.start == gap.end);
        let extra = |side: &Option<Neighbour>| side.as_ref().map_or(0, |side| side.extra);
        let (max_left, max_right) = (extra(&left), extra(&right));
        if max_left + max_right < needed {
            return false;
        }
        let capacity = |side: &Option<Neighbour>, extra: Layer| {
            let side = side.as_ref().filter(|_| extra > 0);
            side.map_or(f64::INFINITY, |side| {
                self.token_capacity_at(side.index, side.own.len() + extra)
            })
        };
        // Every division of the gap, or the layers that both together can take if that is less.
        let from_left = gap.len().saturating_sub(max_right).min(max_left)..=max_left;
        let splits = from_left.map(|extra| (extra, (gap.len() - extra).min(max_right)));
        let best = splits.max_by(|a, b| {
            let min_capacity =
                |split: &(Layer, Layer)| capacity(&left, split.0).min(capacity(&right, split.1));
            min_capacity(a).total_cmp(&min_capacity(b))
        });
        let Some((extra_left, extra_right)) = best else { return false };
        if let Some(left) = left.filter(|_| extra_left > 0) {
            self.assign(left.index, Layers::new(left.own.start, left.own.end + extra_left));
        }
        if let Some(right) = right.filter(|_| extra_right > 0) {
            self.assign(right.index, Layers::new(right.own.start - extra_right, right.own.end));
        }
        true
    }

    /// Returns the engine on one side of a gap that can take most of it in addition to its own
    /// layers.
    fn neighbour(
        &self,
        gap: Layer,
        tokens: f64,
        is_adjacent: impl Fn(Layers) -> bool,
    ) -> Option<Neighbour> {
        let adjacent = (0..self.engines.len()).filter_map(|index| {
            let own = self.held[index].filter(|own| !self.fixed[index] && is_adjacent(*own))?;
            let extra = self.layer_capacity(index, tokens).saturating_sub(own.len()).min(gap);
            Some(Neighbour { index, own, extra })
        });
        // Of equals, picks the one with the most capacity left.
        adjacent.max_by(|a, b| {
            let capacity =
                |side: &Neighbour| self.token_capacity_at(side.index, side.own.len() + side.extra);
            a.extra.cmp(&b.extra).then(capacity(a).total_cmp(&capacity(b)))
        })
    }

    /// Returns the tokens of requests that fit into the memory of an engine that holds `layers`
    /// layers.
    pub(crate) fn token_capacity_at(&self, index: usize, layers: Layer) -> f64 {
        self.model.tokens(memory_mb(self.engines[index], self.model), layers)
    }

    /// Redistributes all layers, in the order in which the engines hold them, so that each loads
    /// few. Nothing runs in the domain before the gap is closed, so that this interrupts nothing.
    fn redistribute(&mut self, gap: Layers) {
        if self.engines.iter().any(|engine| engine.order_pending) || !self.moves.is_empty() {
            return;
        }
        let start = |index: usize| self.held[index].map_or(gap.start, |layers| layers.start);
        let mut order: Vec<usize> = (0..self.engines.len()).collect();
        order.sort_by_key(|&index| (start(index), index));
        // One chain over all engines, with the token capacity that this leaves.
        let tokens = chain_token_capacity(self.engines, self.model, 1.0);
        let mut at: Layer = 0;
        for index in order {
            let end = (at + self.layer_capacity(index, tokens)).min(self.whole.end);
            let layers = Layers::new(at, end);
            if !layers.is_empty() && self.held[index] != Some(layers) {
                self.assign(index, layers);
            }
            at = end;
        }
    }
}

/// Returns the number of copies of each layer that a domain holds.
fn copy_count(engines: &[&Engine], model: &Model) -> u16 {
    let held = total_layers(engines, model, MIN_COPY_TOKENS);
    let copies = held / (f64::from(model.depth.max(1)) * SPARE_FACTOR);
    (copies as u16).clamp(1, MAX_COPIES)
}

/// Returns the number of layers that the engines can hold together, with memory for `tokens` tokens
/// each.
fn total_layers(engines: &[&Engine], model: &Model, tokens: f64) -> f64 {
    engines.iter().map(|engine| f64::from(layer_capacity(engine, model, tokens))).sum()
}

/// Returns the number of layers that an engine can hold with memory for `tokens` tokens of
/// requests.
pub(crate) fn layer_capacity(engine: &Engine, model: &Model, tokens: f64) -> u16 {
    model.layers(memory_mb(engine, model), tokens)
}

/// Returns the factor on the time of a token step at an engine.
pub(crate) fn step_factor(engine: &Engine, model: &Model) -> f64 {
    model.card(&engine.card).map_or(f64::INFINITY, |card| card.step_factor)
}

/// Returns the memory of an engine, megabytes; 0 for a kind of accelerator that the model does not
/// know.
fn memory_mb(engine: &Engine, model: &Model) -> f64 {
    model.card(&engine.card).map_or(0.0, |card| card.mb)
}

/// Returns the tokens for which each engine of a domain reserves memory if the engines hold `spare`
/// times the layers of one chain.
fn chain_token_capacity(engines: &[&Engine], model: &Model, spare: f64) -> f64 {
    let needed = f64::from(model.depth) * spare;
    let layers = |tokens| total_layers(engines, model, tokens);
    let (mut low, mut high) = (MIN_TOKENS, MAX_TOKENS);
    if layers(high) >= needed {
        return high;
    }
    // Twenty bisections leave an error of less than one token.
    for _ in 0..20 {
        let middle = (low + high) / 2.0;
        if layers(middle) >= needed {
            low = middle;
        } else {
            high = middle;
        }
    }
    low
}

/// Returns the part of a gap that an engine takes, from its start. The parts are sized so that no
/// small remainder is left.
fn fit_to_gap(gap: Layers, capacity: u16) -> Layers {
    let length = capacity.min(gap.len()).max(1);
    let engines = gap.len().div_ceil(length);
    // A gap that at most two engines fill is divided evenly, so that neither fills its memory.
    let even = if engines <= 2 { gap.len().div_ceil(engines) } else { length };
    Layers::new(gap.start, gap.start + even)
}
