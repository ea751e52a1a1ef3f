//! Layouts of domains whose first engines take no more requests.

use fleet::Layers;
use place::{Engine, Limit, plan};
use sample::{apply_moves, covers_all_layers, engine, model};
use yare::parameterized;

/// A domain with a chain and engines that are not needed.
struct Case {
    /// Limit of the first engine of the chain.
    first: Limit,
    /// Layers and limits of the other engines.
    others: &'static [(Option<(u16, u16)>, Limit)],
    /// Number of engines that hold the first layer after the plan.
    entries: usize,
}

const SPARE: (Option<(u16, u16)>, Limit) = (None, Limit::None);

// Guards against requests that are refused while most engines of a domain are idle, because they
// can only start at one that has used up its limit (users' day capped.toml).
#[parameterized(
    free = { Case { first: Limit::None, others: &[SPARE], entries: 1 } },
    named = { Case { first: Limit::Named, others: &[SPARE], entries: 1 } },
    used_up = { Case { first: Limit::UsedUp, others: &[SPARE, SPARE], entries: 2 } },
    another_entry = { Case { first: Limit::UsedUp, others: &[(Some((0, 4)), Limit::None), SPARE], entries: 2 } },
    all_entries_used_up = { Case { first: Limit::UsedUp, others: &[(Some((0, 4)), Limit::UsedUp), SPARE], entries: 3 } },
    no_spare = { Case { first: Limit::UsedUp, others: &[], entries: 1 } },
    limited_spare = { Case { first: Limit::UsedUp, others: &[(None, Limit::Named)], entries: 1 } },
)]
fn limited_domain_gets_another_first_engine(case: Case) {
    let chain = [
        ("a100s", 0, 12),
        ("a100s", 12, 24),
        ("l4", 24, 31),
        ("l4", 31, 38),
        ("l4", 38, 45),
        ("l4", 45, 52),
        ("l4", 52, 59),
        ("l4", 59, 66),
        ("l4", 66, 73),
        ("l4", 73, 80),
    ];
    let chain = chain.iter().enumerate().map(|(number, &(card, start, end))| Engine {
        layers: Some(Layers::new(start, end)),
        limit: if start == 0 { case.first } else { Limit::None },
        ..engine("a", card, number)
    });
    let mut engines: Vec<Engine> = chain.collect();
    for (number, (layers, limit)) in case.others.iter().enumerate() {
        let layers = layers.map(Layers::from);
        engines.push(Engine { layers, limit: *limit, ..engine("a", "l4", 20 + number) });
    }
    let moves = plan(&engines, &model());
    apply_moves(&mut engines, &moves);
    let is_first = |engine: &&Engine| engine.layers.is_some_and(|layers| layers.start == 0);
    assert_eq!(engines.iter().filter(is_first).count(), case.entries, "{moves:?}");
    assert!(covers_all_layers(&engines, "a"));
}
