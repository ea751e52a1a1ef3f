//! How many streams a failure domain's chains can carry.
//!
//! Memory lets more streams run at once the fewer layers an engine holds, and each token takes
//! longer the slower the engines are that hold the layers and the more streams run. What counts
//! is the streams that end in a second: a chain of few fast engines with less room often carries
//! more than one that uses all memory there is, and its streams are shorter.

use site::Model;

use crate::cover::{LEAST_TOKENS, MOST_TOKENS, beside};
use crate::engine::Engine;

/// Rooms that are compared, tokens apart.
const ROOM_STEP: usize = 6_000;

/// Tokens for which each engine of a domain keeps room, so that its chains carry most and `spare`
/// times the layers of one chain are held; `None` where no room leaves so many layers.
pub(crate) fn best_room(
    engines: &[&Engine],
    model: &Model,
    copies: u16,
    spare: f64,
) -> Option<f64> {
    let needed = f64::from(model.depth) * spare;
    let rooms = (LEAST_TOKENS as usize..=MOST_TOKENS as usize).step_by(ROOM_STEP);
    let rooms = rooms.map(|room| room as f64).filter(|room| {
        let held = engines.iter().map(|engine| f64::from(beside(engine, model, *room)));
        held.sum::<f64>() >= needed
    });
    rooms
        .map(|room| (streams_per_s(engines, model, copies, room), room))
        .max_by(|a, b| a.0.total_cmp(&b.0))
        .map(|(_, room)| room)
}

/// Streams a second that the chains carry of the fastest engines with such a room each.
fn streams_per_s(engines: &[&Engine], model: &Model, copies: u16, room: f64) -> f64 {
    let mut used: Vec<(f64, f64, f64)> = engines
        .iter()
        .filter_map(|engine| {
            let card = model.card(&engine.card)?;
            Some((card.step_factor, card.prefill_factor, f64::from(beside(engine, model, room))))
        })
        .collect();
    used.sort_by(|a, b| a.0.total_cmp(&b.0));
    let depth = f64::from(model.depth.max(1)) * f64::from(copies);
    let (mut left, mut pace, mut read) = (depth, 0.0, 0.0);
    for (step, reading, layers) in used {
        let taken = layers.min(left);
        pace += step * taken / depth;
        read += reading * taken / depth;
        left -= taken;
    }
    let (prompt, answer) = (f64::from(model.prompt_tokens), f64::from(model.answer_tokens));
    let tokens = (prompt + answer).max(1.0);
    let running = (room / tokens).min(f64::from(model.slots));
    let context = prompt + answer / 2.0;
    let token = model.step.as_secs_f64() + running * model.step_of_stream(context).as_secs_f64();
    let length = answer * pace * token + prompt / model.prefill_tokens_per_s.max(1.0) * read;
    f64::from(copies) * running / length.max(f64::MIN_POSITIVE)
}
