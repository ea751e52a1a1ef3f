//! Covering the layers of a model in each failure domain.

use std::cmp::Ordering;
use std::collections::BTreeMap;

use fleet::{DomainName, Layer, Layers};
use site::Model;

use crate::engine::{Engine, Move};
use crate::rate::best_room;

/// Tokens of requests for which an engine of a chain keeps room, at the most: beyond, memory
/// is worth more as a spare.
pub(crate) const MOST_TOKENS: f64 = 180_000.0;
/// Tokens of requests for which an engine keeps room, at the least: below, a handful of
/// prompts fill it.
pub(crate) const LEAST_TOKENS: f64 = 12_000.0;
/// Share of the usual room for requests that an engine keeps when it takes some of a gap
/// beside what it holds. With less it would hold up the whole chain.
const EXTENDED_ROOM: f64 = 0.35;
/// Layers that a domain can hold beyond its chains, as a factor: what is over is spares.
const SPARE: f64 = 1.08;
/// Tokens of requests for which each engine has room where a domain holds its layers more
/// than once: below, another copy costs more room than it adds.
const COPY_TOKENS: f64 = 60_000.0;
/// Most copies of each layer in a domain: with more, the loss of an engine shows little.
const MOST_COPIES: u16 = 4;

/// What is to change so that each failure domain holds all layers.
///
/// Engines that are not to be used (lost, leaving) are left out by the caller.
pub fn plan(engines: &[Engine], model: &Model) -> Vec<Move> {
    let mut moves = Vec::new();
    for mut local in by_domain(engines).into_values() {
        local.sort_by(|a, b| a.id.cmp(&b.id));
        moves.extend(Domain::new(&local, model).plan());
    }
    moves
}

/// Layers that no engine of a failure domain holds, for each domain that misses some.
pub fn gaps(engines: &[Engine], model: &Model) -> Vec<(DomainName, Layers)> {
    let whole = Layers::new(0, model.depth);
    let first = by_domain(engines).into_iter().filter_map(|(domain, local)| {
        let held: Vec<Option<Layers>> = local.iter().map(|engine| engine.layers).collect();
        first_below(&held, whole, 1).map(|gap| (domain.clone(), gap))
    });
    first.collect()
}

/// The engines of each failure domain.
fn by_domain(engines: &[Engine]) -> BTreeMap<&DomainName, Vec<&Engine>> {
    let mut domains: BTreeMap<&DomainName, Vec<&Engine>> = BTreeMap::new();
    for engine in engines {
        domains.entry(&engine.domain).or_default().push(engine);
    }
    domains
}

/// The first part of a range whose layers are held fewer than `copies` times.
fn first_below(held: &[Option<Layers>], range: Layers, copies: u16) -> Option<Layers> {
    let counts = counts(held, range.end);
    let is_below = |&layer: &Layer| counts[usize::from(layer)] < copies;
    let start = (range.start..range.end).find(is_below)?;
    let end = (start..range.end).find(|layer| !is_below(layer)).unwrap_or(range.end);
    Some(Layers::new(start, end))
}

/// How many engines hold each layer.
fn counts(held: &[Option<Layers>], depth: Layer) -> Vec<u16> {
    let mut counts = vec![0; usize::from(depth)];
    for layers in held.iter().flatten() {
        let end = layers.end.min(depth);
        for count in &mut counts[usize::from(layers.start.min(end))..usize::from(end)] {
            *count += 1;
        }
    }
    counts
}

/// An engine that holds the layers beside a gap.
struct Neighbour {
    index: usize,
    own: Layers,
    /// Layers that it can take beside them.
    more: Layer,
}

/// The engines of one failure domain while its moves are worked out.
pub(crate) struct Domain<'a> {
    pub(crate) engines: &'a [&'a Engine],
    pub(crate) model: &'a Model,
    /// All layers of the model.
    pub(crate) whole: Layers,
    /// How many engines of the domain are to hold each layer.
    pub(crate) copies: u16,
    /// Layers that each engine holds after the moves so far.
    pub(crate) held: Vec<Option<Layers>>,
    /// Engines that are not to be ordered (again).
    pub(crate) fixed: Vec<bool>,
    /// Tokens of requests for which engines usually keep room.
    pub(crate) room: f64,
    /// Layers that each engine holds beside that room.
    usual: Vec<u16>,
    pub(crate) moves: Vec<Move>,
}

impl<'a> Domain<'a> {
    fn new(engines: &'a [&'a Engine], model: &'a Model) -> Self {
        let copies = copies(engines, model);
        let spare = SPARE * f64::from(copies);
        let best = best_room(engines, model, copies, spare);
        let room = best.unwrap_or_else(|| room(engines, model, spare));
        Self {
            engines,
            model,
            whole: Layers::new(0, model.depth),
            copies,
            held: engines.iter().map(|engine| engine.layers).collect(),
            fixed: engines.iter().map(|engine| engine.busy).collect(),
            room,
            usual: engines.iter().map(|engine| beside(engine, model, room)).collect(),
            moves: Vec::new(),
        }
    }

    /// Layers that an engine usually holds.
    pub(crate) fn usual(&self, index: usize) -> Layer {
        self.usual[index]
    }

    /// Layers that an engine holds beside room for `tokens` tokens.
    fn beside(&self, index: usize, tokens: f64) -> u16 {
        beside(self.engines[index], self.model, tokens)
    }

    fn plan(mut self) -> Vec<Move> {
        self.close_gaps();
        if self.moves.is_empty() {
            self.bypass();
        }
        self.add_copies();
        self.level();
        self.upgrade();
        self.moves
    }

    /// Lets engines load what none holds. Where spares and neighbours cannot take all of it, the
    /// layers are dealt anew rather than a part of the gap closed: the domain serves no sooner.
    fn close_gaps(&mut self) {
        let Some(first) = first_below(&self.held, self.whole, 1) else { return };
        let (held, fixed) = (self.held.clone(), self.fixed.clone());
        while let Some(gap) = first_below(&self.held, self.whole, 1) {
            if self.close(gap) {
                continue;
            }
            let part = std::mem::take(&mut self.moves);
            let after = (
                std::mem::replace(&mut self.held, held),
                std::mem::replace(&mut self.fixed, fixed),
            );
            self.shift(first);
            if self.moves.is_empty() {
                self.moves = part;
                (self.held, self.fixed) = after;
            }
            break;
        }
    }

    /// Lets engines that are not needed hold layers again, so that the loss of one leaves no
    /// gap and requests have more room.
    ///
    /// Loads share the weights' source: while a gap is closed none of them begins.
    fn add_copies(&mut self) {
        let first_layout = self.engines.iter().all(|engine| engine.layers.is_none());
        let loading = !self.moves.is_empty() || self.fixed.iter().any(|fixed| *fixed);
        if loading && !first_layout {
            return;
        }
        for copies in 2..=self.copies {
            while let Some(range) = first_below(&self.held, self.whole, copies) {
                let Some(index) = self.surplus() else { return };
                let layers = fit(range, self.usual[index]);
                self.order(index, layers);
            }
        }
    }

    /// The fastest engine whose layers, if any, are held often enough without it.
    pub(crate) fn surplus(&self) -> Option<usize> {
        let depth = self.whole.end;
        let counts = counts(&self.held, depth);
        let free = (0..self.engines.len()).filter(|&index| {
            let held = self.held[index].map_or(0..0, |own| own.start..own.end.min(depth));
            let needed = held.into_iter().any(|layer| counts[usize::from(layer)] <= self.copies);
            !self.fixed[index] && self.usual[index] > 0 && !needed
        });
        free.max_by(|&a, &b| self.by_speed(a, b))
    }

    /// Orders engines by their speed, those of one kind by the layers that they usually hold; of
    /// equals the first is the greatest.
    fn by_speed(&self, a: usize, b: usize) -> Ordering {
        let pace = |index: usize| pace(self.engines[index], self.model);
        let by_size = self.usual[a].cmp(&self.usual[b]);
        pace(b).total_cmp(&pace(a)).then(by_size).then(b.cmp(&a))
    }

    /// Lets others hold what slow engines hold, as far as spares and neighbours can.
    fn bypass(&mut self) {
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
            while let Some(gap) = first_below(&self.held, range, 1) {
                if !self.close(gap) {
                    break;
                }
            }
        }
        for &index in &slow {
            self.held[index] = held[index];
        }
    }

    pub(crate) fn order(&mut self, index: usize, layers: Layers) {
        self.held[index] = Some(layers);
        self.fixed[index] = true;
        self.moves.push(Move { target: self.engines[index].id.clone(), layers });
    }

    /// Has some engine load the first part of a gap. One whose layers others hold as well comes
    /// last: it waits for the streams that pass them, often for seconds.
    fn close(&mut self, gap: Layers) -> bool {
        let (empty, spare): (Vec<usize>, Vec<usize>) = (0..self.engines.len())
            .filter(|&index| !self.fixed[index] && self.usual[index] > 0 && self.is_spare(index))
            .partition(|&index| self.held[index].is_none());
        let room = (self.room * EXTENDED_ROOM).max(LEAST_TOKENS);
        self.fill(gap, empty)
            || self.extend(gap, room, gap.len())
            || self.fill(gap, spare)
            || self.extend(gap, room, 1)
    }

    /// Gives the first part of a gap to the smallest engine that takes all of it, else to the
    /// fastest.
    fn fill(&mut self, gap: Layers, engines: Vec<usize>) -> bool {
        let whole = engines.iter().copied().filter(|&index| self.usual[index] >= gap.len());
        let smallest = whole.min_by_key(|&index| self.usual[index]);
        let fastest = || engines.iter().copied().max_by(|&a, &b| self.by_speed(a, b));
        let Some(index) = smallest.or_else(fastest) else { return false };
        let layers = fit(gap, self.usual[index]);
        self.order(index, layers);
        true
    }

    /// Whether others that no order is pending at hold all that an engine holds.
    pub(crate) fn is_spare(&self, index: usize) -> bool {
        self.held[index].is_none_or(|own| self.others_hold(index, own))
    }

    fn others_hold(&self, index: usize, range: Layers) -> bool {
        let mut others = self.held.clone();
        for (other, held) in others.iter_mut().enumerate() {
            if other == index || self.fixed[other] {
                *held = None;
            }
        }
        first_below(&others, range, 1).is_none()
    }

    /// Lets the neighbours of a gap take it beside what they hold and room for `tokens` tokens
    /// of requests, if they can take `needed` of its layers.
    fn extend(&mut self, gap: Layers, tokens: f64, needed: Layer) -> bool {
        let left = self.neighbour(gap.len(), tokens, |own| own.end == gap.start);
        let right = self.neighbour(gap.len(), tokens, |own| own.start == gap.end);
        let able = |side: &Option<Neighbour>| side.as_ref().map_or(0, |side| side.more);
        let (most_left, most_right) = (able(&left), able(&right));
        if most_left + most_right < needed {
            return false;
        }
        let room = |side: &Option<Neighbour>, more: Layer| {
            let side = side.as_ref().filter(|_| more > 0);
            side.map_or(f64::INFINITY, |side| self.tokens_of(side.index, side.own.len() + more))
        };
        // All divisions of the gap; where both together cannot take it, what they can.
        let from_left = gap.len().saturating_sub(most_right).min(most_left)..=most_left;
        let splits = from_left.map(|more| (more, (gap.len() - more).min(most_right)));
        let best = splits.max_by(|a, b| {
            let least = |split: &(Layer, Layer)| room(&left, split.0).min(room(&right, split.1));
            least(a).total_cmp(&least(b))
        });
        let Some((more_left, more_right)) = best else { return false };
        if let Some(left) = left.filter(|_| more_left > 0) {
            self.order(left.index, Layers::new(left.own.start, left.own.end + more_left));
        }
        if let Some(right) = right.filter(|_| more_right > 0) {
            self.order(right.index, Layers::new(right.own.start - more_right, right.own.end));
        }
        true
    }

    /// The engine that can take most of a gap beside what it holds, of those at one side.
    fn neighbour(
        &self,
        gap: Layer,
        tokens: f64,
        is_beside: impl Fn(Layers) -> bool,
    ) -> Option<Neighbour> {
        let beside = (0..self.engines.len()).filter_map(|index| {
            let own = self.held[index].filter(|own| !self.fixed[index] && is_beside(*own))?;
            let more = self.beside(index, tokens).saturating_sub(own.len()).min(gap);
            Some(Neighbour { index, own, more })
        });
        // Of equals the one with most room left.
        beside.max_by(|a, b| {
            let room = |side: &Neighbour| self.tokens_of(side.index, side.own.len() + side.more);
            a.more.cmp(&b.more).then(room(a).total_cmp(&room(b)))
        })
    }

    /// Tokens of requests that fit beside so many layers.
    pub(crate) fn tokens_of(&self, index: usize, layers: Layer) -> f64 {
        self.model.tokens(memory(self.engines[index], self.model), layers)
    }

    /// Deals all layers anew, in the order in which the engines hold them, so that each loads
    /// few. Nothing runs in the domain before the gap is closed, so nothing is lost.
    fn shift(&mut self, gap: Layers) {
        if self.engines.iter().any(|engine| engine.busy) || !self.moves.is_empty() {
            return;
        }
        let start = |index: usize| self.held[index].map_or(gap.start, |layers| layers.start);
        let mut order: Vec<usize> = (0..self.engines.len()).collect();
        order.sort_by_key(|&index| (start(index), index));
        // One chain over all engines, with what room that leaves.
        let room = room(self.engines, self.model, 1.0);
        let mut at: Layer = 0;
        for index in order {
            let end = (at + self.beside(index, room)).min(self.whole.end);
            let layers = Layers::new(at, end);
            if !layers.is_empty() && self.held[index] != Some(layers) {
                self.order(index, layers);
            }
            at = end;
        }
    }
}

/// How often a domain holds each layer.
fn copies(engines: &[&Engine], model: &Model) -> u16 {
    let held = layers(engines, model, COPY_TOKENS);
    let copies = held / (f64::from(model.depth.max(1)) * SPARE);
    (copies as u16).clamp(1, MOST_COPIES)
}

/// Layers that the engines of a domain hold beside room for `tokens` tokens each.
fn layers(engines: &[&Engine], model: &Model, tokens: f64) -> f64 {
    engines.iter().map(|engine| f64::from(beside(engine, model, tokens))).sum()
}

/// Layers that an engine holds beside room for `tokens` tokens.
pub(crate) fn beside(engine: &Engine, model: &Model, tokens: f64) -> u16 {
    model.layers(memory(engine, model), tokens)
}

/// Factor on the time of a token step at an engine.
pub(crate) fn pace(engine: &Engine, model: &Model) -> f64 {
    model.card(&engine.card).map_or(f64::INFINITY, |card| card.step_factor)
}

/// Memory of an engine, megabytes; none for a kind of accelerator that the model does not know.
fn memory(engine: &Engine, model: &Model) -> f64 {
    model.card(&engine.card).map_or(0.0, |card| card.mb)
}

/// Tokens for which each engine of a domain keeps room, so that `spare` times the layers of
/// one chain are held.
fn room(engines: &[&Engine], model: &Model, spare: f64) -> f64 {
    let depth = f64::from(model.depth) * spare;
    let layers = |tokens| layers(engines, model, tokens);
    let (mut low, mut high) = (LEAST_TOKENS, MOST_TOKENS);
    if layers(high) >= depth {
        return high;
    }
    // Twenty halvings leave an error of less than one token.
    for _ in 0..20 {
        let middle = (low + high) / 2.0;
        if layers(middle) >= depth {
            low = middle;
        } else {
            high = middle;
        }
    }
    low
}

/// The part of a gap that an engine takes: the first of it, and no sliver left behind.
fn fit(gap: Layers, able: u16) -> Layers {
    let length = able.min(gap.len()).max(1);
    let engines = gap.len().div_ceil(length);
    // A gap that few engines fill is divided evenly: none is filled to its brim.
    let even = if engines <= 2 { gap.len().div_ceil(engines) } else { length };
    Layers::new(gap.start, gap.start + even)
}
