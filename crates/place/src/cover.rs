//! Covering the layers of a model in each failure domain.

use fleet::{DomainName, Layer, Layers};
use site::Model;

use crate::engine::{Engine, Move};

/// Tokens of requests for which an engine of a chain keeps room, at the most.
const MOST_TOKENS: f64 = 110_000.0;
/// Tokens of requests for which an engine of a chain keeps room, at the least: below, a
/// handful of prompts fill it.
const LEAST_TOKENS: f64 = 15_000.0;
/// Share of a domain's memory beyond the chain that is kept as spares.
const SPARE: f64 = 1.12;

/// What is to change so that each failure domain holds all layers.
///
/// Engines that are not to be used (lost, leaving) are left out by the caller.
pub fn plan(engines: &[Engine], model: &Model) -> Vec<Move> {
    let mut domains: Vec<&DomainName> = engines.iter().map(|engine| &engine.domain).collect();
    domains.sort();
    domains.dedup();
    let mut moves = Vec::new();
    for domain in domains {
        let mut local: Vec<&Engine> =
            engines.iter().filter(|engine| engine.domain == *domain).collect();
        local.sort_by(|a, b| a.id.cmp(&b.id));
        moves.extend(plan_domain(&local, model));
    }
    moves
}

fn memory(engine: &Engine, model: &Model) -> f64 {
    model.card(&engine.card).map_or(0.0, |card| card.mb)
}

/// Tokens for which each engine of a domain keeps room, so that spares remain.
fn room(engines: &[&Engine], model: &Model) -> f64 {
    let depth = f64::from(model.depth) * SPARE;
    let layers = |tokens: f64| -> f64 {
        let counts = engines.iter().map(|engine| model.layers(memory(engine, model), tokens));
        counts.map(f64::from).sum()
    };
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

fn plan_domain(engines: &[&Engine], model: &Model) -> Vec<Move> {
    let room = room(engines, model);
    let able = |engine: &Engine| model.layers(memory(engine, model), room);
    let mut moves: Vec<Move> = Vec::new();
    let mut held: Vec<Option<Layers>> = engines.iter().map(|engine| engine.layers).collect();
    let mut moved: Vec<bool> = engines.iter().map(|engine| engine.busy).collect();
    while let Some(gap) = first_gap(&held, model.depth) {
        let Some(index) = spare(engines, &held, &moved, gap, &able) else { break };
        let layers = fit(gap, able(engines[index]));
        held[index] = Some(layers);
        moved[index] = true;
        moves.push(Move { target: engines[index].id.clone(), layers });
    }
    moves
}

/// The first range that no engine holds.
fn first_gap(held: &[Option<Layers>], depth: Layer) -> Option<Layers> {
    let mut ranges: Vec<Layers> = held.iter().flatten().copied().collect();
    ranges.sort();
    let mut at: Layer = 0;
    for layers in ranges {
        if layers.start > at {
            return Some(Layers::new(at, layers.start));
        }
        at = at.max(layers.end);
    }
    (at < depth).then(|| Layers::new(at, depth))
}

/// The part of a gap that an engine takes: the first of it, and no sliver left behind.
fn fit(gap: Layers, able: u16) -> Layers {
    let length = able.min(gap.len()).max(1);
    let engines = gap.len().div_ceil(length);
    // A gap that few engines fill is divided evenly: none is filled to its brim.
    let even = if engines <= 2 { gap.len().div_ceil(engines) } else { length };
    Layers::new(gap.start, gap.start + even)
}

/// The engine that takes a gap: one that holds nothing that others need. The largest goes
/// first unless a smaller one fills the gap alone.
fn spare(
    engines: &[&Engine],
    held: &[Option<Layers>],
    moved: &[bool],
    gap: Layers,
    able: &impl Fn(&Engine) -> u16,
) -> Option<usize> {
    let free = (0..engines.len()).filter(|&index| {
        !moved[index] && able(engines[index]) > 0 && is_spare(held, index)
    });
    let fills = |index: &usize| able(engines[*index]) >= gap.len();
    let free: Vec<usize> = free.collect();
    let smallest = free.iter().copied().filter(fills).min_by_key(|&i| able(engines[i]));
    smallest.or_else(|| {
        free.into_iter().max_by_key(|&index| (able(engines[index]), std::cmp::Reverse(index)))
    })
}

/// Whether others hold all that an engine holds.
fn is_spare(held: &[Option<Layers>], index: usize) -> bool {
    let Some(own) = held[index] else { return true };
    let mut at = own.start;
    let mut others: Vec<Layers> = held
        .iter()
        .enumerate()
        .filter(|(other, _)| *other != index)
        .filter_map(|(_, layers)| *layers)
        .collect();
    others.sort();
    for layers in others {
        if layers.start <= at {
            at = at.max(layers.end);
        }
    }
    at >= own.end
}
