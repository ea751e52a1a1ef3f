//! Engines whose entries state layers that the model does not have.

use std::time::Duration;

use fleet::Layers;
use place::{Engine, gaps, plan};
use site::{Card, Model};
use smol_str::SmolStr;
use yare::parameterized;

const DEPTH: u16 = 8;

fn model() -> Model {
    Model {
        name: "m".into(),
        depth: DEPTH,
        layer_mb: 100.0,
        token_bytes: 8_000.0,
        load_time: Duration::from_secs(1),
        prompt_tokens: 100.0,
        answer_tokens: 50.0,
        slots: 64,
        step: Duration::from_millis(1),
        step_per_stream: Duration::ZERO,
        step_per_token: Duration::ZERO,
        prefill_tokens_per_s: 100_000.0,
        cards: vec![Card {
            name: "card".into(),
            mb: 1000.0,
            step_factor: 1.0,
            prefill_factor: 1.0,
        }],
    }
}

fn engine(id: &str, layers: Option<(u16, u16)>) -> Engine {
    Engine {
        id: SmolStr::new(id),
        domain: "a".into(),
        card: "card".into(),
        layers: layers.map(|(start, end)| Layers::new(start, end)),
        order_pending: false,
        slow: false,
        new: false,
        limit: place::Limit::None,
    }
}

// Guards against an entry with layers beyond the model ending the planner or leaving a gap.
#[parameterized(
    beyond = { (100, 200) },
    across_the_end = { (4, 9) },
    all_there_can_be = { (0, u16::MAX) },
    last_there_can_be = { (u16::MAX - 1, u16::MAX) },
    at_the_end = { (8, 9) },
)]
fn layers_beyond_the_model_do_not_count(odd: (u16, u16)) {
    for others in [vec![], vec![Some((0, 5)), Some((4, 8)), None], vec![None, None, None]] {
        let mut engines: Vec<Engine> = others
            .iter()
            .enumerate()
            .map(|(index, layers)| engine(&format!("e{index}"), *layers))
            .collect();
        let whole = gaps(&engines, &model());
        engines.push(engine("odd", Some(odd)));
        let expected =
            if others.is_empty() { vec![("a".into(), Layers::new(0, DEPTH))] } else { whole };
        assert_eq!(gaps(&engines, &model()), expected);
        for change in plan(&engines, &model()) {
            assert!(change.layers.end <= DEPTH && !change.layers.is_empty(), "{change:?}");
        }
    }
}
