//! Stream throughput of the chains of a failure domain.
//!
//! The fewer layers an engine holds, the more streams fit into its memory. A token takes longer the
//! slower the engines that hold the layers are and the more streams run. The measure is the number
//! of streams that end per second: a chain of few fast engines with less memory for requests often
//! carries more streams than one that uses all available memory, and its streams are shorter.

use site::Model;

use crate::cover::{MAX_TOKENS, MIN_TOKENS, layer_capacity};
use crate::engine::Engine;

/// Step between the token capacities that are compared.
const CAPACITY_STEP: usize = 6_000;

/// Returns the token capacity per engine with which the chains of a domain have the highest
/// throughput and the engines hold `spare` times the layers of one chain, or `None` if no capacity
/// leaves memory for so many layers.
pub(crate) fn best_token_capacity(
    engines: &[&Engine],
    model: &Model,
    copies: u16,
    spare: f64,
) -> Option<f64> {
    let needed = f64::from(model.depth) * spare;
    let capacities = (MIN_TOKENS as usize..=MAX_TOKENS as usize).step_by(CAPACITY_STEP);
    let capacities = capacities.map(|capacity| capacity as f64).filter(|capacity| {
        let held = engines.iter().map(|engine| f64::from(layer_capacity(engine, model, *capacity)));
        held.sum::<f64>() >= needed
    });
    capacities
        .map(|capacity| (streams_per_s(engines, model, copies, capacity), capacity))
        .max_by(|a, b| a.0.total_cmp(&b.0))
        .map(|(_, capacity)| capacity)
}

/// Returns the streams per second of the chains formed by the fastest engines, with `capacity`
/// tokens each.
fn streams_per_s(engines: &[&Engine], model: &Model, copies: u16, capacity: f64) -> f64 {
    let mut used: Vec<(f64, f64, f64)> = engines
        .iter()
        .filter_map(|engine| {
            let card = model.card(&engine.card)?;
            Some((
                card.step_factor,
                card.prefill_factor,
                f64::from(layer_capacity(engine, model, capacity)),
            ))
        })
        .collect();
    used.sort_by(|a, b| a.0.total_cmp(&b.0));
    let depth = f64::from(model.depth.max(1)) * f64::from(copies);
    let (mut left, mut step_factor, mut prefill_factor) = (depth, 0.0, 0.0);
    for (step, prefill, layers) in used {
        let taken = layers.min(left);
        step_factor += step * taken / depth;
        prefill_factor += prefill * taken / depth;
        left -= taken;
    }
    let (prompt, answer) = (model.prompt_tokens, model.answer_tokens);
    let tokens = (prompt + answer).max(1.0);
    let running = (capacity / tokens).min(f64::from(model.slots));
    let context = prompt + answer / 2.0;
    let token = model.step.as_secs_f64() + running * model.step_of_stream(context).as_secs_f64();
    let length = answer * step_factor * token
        + prompt / model.prefill_tokens_per_s.max(1.0) * prefill_factor;
    f64::from(copies) * running / length.max(f64::MIN_POSITIVE)
}
