//! Sample model and engines for tests and benches.

use std::time::Duration;

use fleet::Layers;
use place::{Engine, Move, plan};
use site::{Card, Model};

/// Returns a model of 80 layers and 140 GB with five kinds of accelerator.
pub fn model() -> Model {
    let card = |name: &str, mb: f64, step_factor: f64, prefill_factor: f64| Card {
        name: name.into(),
        mb,
        step_factor,
        prefill_factor,
    };
    Model {
        name: "m".into(),
        depth: 80,
        layer_mb: 1750.0,
        token_bytes: 590_000.0,
        load_time: Duration::from_secs(14),
        prompt_tokens: 772.0,
        answer_tokens: 172.0,
        slots: 192,
        step: Duration::from_micros(850),
        step_per_stream: Duration::from_nanos(3_820),
        step_per_token: Duration::from_nanos(5),
        prefill_tokens_per_s: 196_000.0,
        cards: vec![
            card("h100", 72_000.0, 1.4, 1.0),
            card("a100s", 36_000.0, 3.1, 3.2),
            card("v100", 14_400.0, 5.3, 7.9),
            card("l4", 21_600.0, 16.0, 8.2),
            card("t4", 14_400.0, 15.0, 15.0),
        ],
    }
}

/// Returns an engine without layers; its identifier is composed of the three arguments.
pub fn engine(domain: &str, card: &str, number: usize) -> Engine {
    let id = format!("{domain}-{card}-{number}").into();
    Engine {
        id,
        domain: domain.into(),
        card: card.into(),
        layers: None,
        order_pending: false,
        slow: false,
        new: false,
        limit: place::Limit::None,
    }
}

/// Returns the engines of a failure domain; `counts` gives the number of each kind.
pub fn engines(domain: &str, counts: &[(&str, usize)]) -> Vec<Engine> {
    let each = counts.iter().flat_map(|(card, count)| (0..*count).map(move |n| (*card, n)));
    each.map(|(card, number)| engine(domain, card, number)).collect()
}

/// Assigns to the engines the layers given by `moves`.
pub fn apply_moves(engines: &mut [Engine], moves: &[Move]) {
    for change in moves {
        let engine = engines.iter_mut().find(|engine| engine.id == change.target);
        engine.expect("an engine in the list").layers = Some(change.layers);
    }
}

/// Whether the engines of a failure domain together hold all 80 layers.
pub fn covers_all_layers(engines: &[Engine], domain: &str) -> bool {
    (0..80).all(|layer| {
        let one = Layers::new(layer, layer + 1);
        let mut local = engines.iter().filter(|engine| engine.domain == domain);
        local.any(|engine| engine.layers.is_some_and(|layers| layers.contains(one)))
    })
}

/// Plans and applies the moves until a plan has none; returns the number of plans applied.
///
/// # Panics
///
/// Panics if the tenth plan still has moves.
pub fn plan_until_stable(engines: &mut [Engine]) -> usize {
    for round in 0..10 {
        let moves = plan(engines, &model());
        if moves.is_empty() {
            return round;
        }
        apply_moves(engines, &moves);
    }
    panic!("the tenth plan still has moves");
}
