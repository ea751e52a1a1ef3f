//! Moving layers off engines that have little room for requests beside them.
//!
//! A domain takes as many requests as fit at its tightest layer. After losses that layer can lie
//! on an engine that took a gap and has hardly any memory left, beside engines that hold little.
//! Another engine loads some of its layers first; it gives them up once that one holds them.

use fleet::{Layer, Layers};

use crate::cover::Domain;

/// Share of the usual room below which an engine hands layers on.
const TIGHT: f64 = 0.5;
/// The same below which it hands them on to engines that the next gap may need.
const SCARCE: f64 = 0.3;
/// Least factor by which a move must widen the tightest layer: each costs a load, and layers
/// that are given up wait for the streams that pass them.
const GAIN: f64 = 1.5;
/// Empty engines that stay so, the largest first: the next gap needs one at once.
const SPARES: usize = 1;
/// Engines looked at in one plan, those with least room first: each look tries all partners.
const MOST_TIGHT: usize = 4;

/// Layers of some engines after a change, by their index.
type Change = [(usize, Layers)];

/// What another engine is to hold so that a tight one can give layers up.
#[derive(Clone, Copy)]
struct Handover {
    index: usize,
    layers: Layers,
    /// Tokens that fit at the tightest layer concerned once both moves are done.
    least: f64,
}

impl Domain<'_> {
    /// Widens the domain's tightest layers, a step a time.
    pub(crate) fn level(&mut self) {
        if !self.moves.is_empty() {
            return;
        }
        let mut rooms = self.rooms();
        let tight = TIGHT * self.usual_room();
        let mut engines: Vec<(f64, usize)> = (0..self.engines.len())
            .filter_map(|index| Some((least(&rooms, self.held[index]?), index)))
            .filter(|(least, _)| *least < tight)
            .collect();
        engines.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        for (least, index) in engines.into_iter().take(MOST_TIGHT) {
            if !self.is_free(index) || self.is_changing_near(index) {
                continue;
            }
            let kept = self.kept(&rooms, index, least).map(|kept| (index, kept));
            let change = kept.or_else(|| {
                let handover = self.handover(&rooms, index, least)?;
                Some((handover.index, handover.layers))
            });
            if let Some((index, layers)) = change {
                self.order(index, layers);
                rooms = self.rooms();
            }
        }
    }

    /// Tokens that usually fit at each layer, over all engines that are to hold it.
    fn usual_room(&self) -> f64 {
        self.room * f64::from(self.copies)
    }

    /// Whether an engine can be ordered and is worth it.
    fn is_free(&self, index: usize) -> bool {
        !self.fixed[index] && !self.engines[index].slow
    }

    /// Tokens of requests that fit beside what an engine holds.
    fn tokens(&self, index: usize, layers: Option<Layers>) -> f64 {
        layers.map_or(0.0, |layers| self.tokens_of(index, layers.len()))
    }

    /// Tokens of requests that fit at each layer, over all engines that hold it. What slow ones
    /// hold is to lie elsewhere too.
    fn rooms(&self) -> Vec<f64> {
        let mut rooms = vec![0.0; usize::from(self.whole.end)];
        for (index, layers) in self.held.iter().enumerate() {
            if !self.engines[index].slow {
                self.add(&mut rooms, index, *layers, 1.0);
            }
        }
        rooms
    }

    fn add(&self, rooms: &mut [f64], index: usize, layers: Option<Layers>, sign: f64) {
        let tokens = self.tokens(index, layers) * sign;
        layers.into_iter().flat_map(places).for_each(|place| {
            if let Some(room) = rooms.get_mut(place) {
                *room += tokens;
            }
        });
    }

    /// Tokens that fit at the tightest layer of the engines that change, before and after.
    fn least_after(&self, rooms: &[f64], change: &Change) -> f64 {
        let mut rooms = rooms.to_vec();
        for &(index, layers) in change {
            self.add(&mut rooms, index, self.held[index], -1.0);
            self.add(&mut rooms, index, Some(layers), 1.0);
        }
        let concerned = change.iter().flat_map(|&(index, layers)| [self.held[index], Some(layers)]);
        concerned.flatten().map(|layers| least(&rooms, layers)).fold(f64::INFINITY, f64::min)
    }

    /// Whether another engine that holds or will hold some of an engine's layers has an order
    /// pending.
    fn is_changing_near(&self, index: usize) -> bool {
        let own = self.held[index];
        let others = self.held.iter().enumerate().filter(|(other, _)| *other != index);
        others.filter(|(other, _)| self.fixed[*other]).any(|(_, layers)| {
            own.zip(*layers).is_some_and(|(a, b)| a.start < b.end && b.start < a.end)
        })
    }

    /// What a tight engine keeps if it gives up layers that others hold as well.
    fn kept(&self, rooms: &[f64], index: usize, least: f64) -> Option<Layers> {
        let parts = ends(self.held[index]?).into_iter();
        let parts = parts.map(|kept| (self.least_after(rooms, &[(index, kept)]), kept));
        let best = parts.max_by(|a, b| a.0.total_cmp(&b.0));
        best.filter(|(room, _)| *room >= GAIN * least).map(|(_, kept)| kept)
    }

    /// Which engine is to take layers of a tight one: a neighbour, else an empty one, else one
    /// whose own layers others hold with room enough; that one waits for its streams first.
    fn handover(&self, rooms: &[f64], index: usize, least: f64) -> Option<Handover> {
        let free = (0..self.engines.len()).filter(|&other| other != index && self.is_free(other));
        let (mut empty, in_use): (Vec<usize>, Vec<usize>) =
            free.partition(|&other| self.held[other].is_none());
        let beside = |near: Option<Layers>, given: Layers| {
            near.and_then(|near| joined(near, given)).filter(|layers| Some(*layers) != near)
        };
        let instead = |_, given| Some(given);
        let wide = |handover: &Handover| handover.least >= GAIN * least;
        let best = self.best_of(rooms, index, &in_use, beside).filter(wide);
        if best.is_some() || least >= SCARCE * self.usual_room() {
            return best;
        }
        empty.sort_by(|&a, &b| self.tokens_of(b, 1).total_cmp(&self.tokens_of(a, 1)));
        let empty = empty.get(SPARES..).unwrap_or_default();
        self.best_of(rooms, index, empty, instead).filter(wide).or_else(|| {
            let spare = in_use.into_iter().filter(|&other| self.is_spare(other));
            self.best_of(rooms, index, &spare.collect::<Vec<_>>(), instead).filter(wide)
        })
    }

    /// The handover to one of some engines that leaves most room. `taken` says what an engine
    /// is to hold, by what it holds and what it is given, if it can take that.
    fn best_of(
        &self,
        rooms: &[f64],
        index: usize,
        partners: &[usize],
        taken: impl Fn(Option<Layers>, Layers) -> Option<Layers>,
    ) -> Option<Handover> {
        let own = self.held[index]?;
        let kept = ends(own);
        let handovers = partners.iter().flat_map(|&partner| {
            let taken = &taken;
            kept.iter().filter_map(move |&kept| {
                let layers = taken(self.held[partner], rest(own, kept))?;
                let least = self.least_after(rooms, &[(index, kept), (partner, layers)]);
                Some(Handover { index: partner, layers, least })
            })
        });
        handovers.max_by(|a, b| a.least.total_cmp(&b.least))
    }
}

/// Tokens that fit at the tightest of some layers.
fn least(rooms: &[f64], layers: Layers) -> f64 {
    places(layers).filter_map(|place| rooms.get(place)).copied().fold(f64::INFINITY, f64::min)
}

fn places(layers: Layers) -> std::ops::Range<usize> {
    usize::from(layers.start)..usize::from(layers.end)
}

/// The parts of a range that hold its first or its last layer, but not both.
fn ends(range: Layers) -> Vec<Layers> {
    let cuts: Vec<Layer> = (range.start + 1..range.end).collect();
    let heads = cuts.iter().map(|&cut| Layers::new(range.start, cut));
    heads.chain(cuts.iter().map(|&cut| Layers::new(cut, range.end))).collect()
}

/// What is left of a range without one of its ends.
fn rest(range: Layers, end: Layers) -> Layers {
    if end.start == range.start {
        Layers::new(end.end, range.end)
    } else {
        Layers::new(range.start, end.start)
    }
}

/// Two ranges as one, if they touch or overlap.
fn joined(a: Layers, b: Layers) -> Option<Layers> {
    let touch = a.start <= b.end && b.start <= a.end;
    touch.then(|| Layers::new(a.start.min(b.start), a.end.max(b.end)))
}
