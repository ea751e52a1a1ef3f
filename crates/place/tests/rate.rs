//! Selection of the engines that carry the most streams.

use place::{Engine, plan};
use sample::{apply_moves, covers_all_layers, engines, model, plan_until_stable};
use yare::parameterized;

/// Returns the number of layers that the engines of a kind hold together.
fn held(engines: &[Engine], card: &str) -> u16 {
    let kind = engines.iter().filter(|engine| engine.card == card);
    kind.filter_map(|engine| engine.layers).map(|layers| layers.len()).sum()
}

struct Case {
    counts: &'static [(&'static str, usize)],
    /// The slowest kind: it holds layers only if all other engines do.
    slow: &'static str,
}

/// Guards against chains of slow engines with large memory, which carry fewer streams than are sent
/// (Lonestar scale-1: 0.54 served). An l4 has more memory than a v100 and takes three times as long
/// per token.
#[parameterized(
    small_and_fast = { Case { counts: &[("h100", 1), ("v100", 10), ("l4", 4)], slow: "l4" } },
    large_and_fast = { Case { counts: &[("h100", 2), ("a100s", 4), ("l4", 4)], slow: "l4" } },
    few_are_slow = { Case { counts: &[("v100", 20), ("l4", 3)], slow: "l4" } },
)]
fn fast_engines_form_the_chain(case: Case) {
    let mut all = engines("a", case.counts);
    plan_until_stable(&mut all);
    assert!(covers_all_layers(&all, "a"));
    let fast = all.iter().filter(|engine| engine.card != case.slow);
    assert!(fast.into_iter().all(|engine| engine.layers.is_some()), "{all:?}");
    assert!(held(&all, case.slow) < 10);
}

/// Guards against a fast engine that stays almost unused after it returns. The only fast engine of
/// a domain is lost under load, and returns empty some seconds later. It held five layers from then
/// on, and the throughput of the domain fell to a third.
#[parameterized(
    beside_slow = { &[("h100", 1), ("l4", 10)] },
    beside_others = { &[("h100", 1), ("v100", 6), ("l4", 6)] },
)]
fn returning_fast_engine_takes_its_layers_again(counts: &[(&str, usize)]) {
    let mut all = engines("a", counts);
    plan_until_stable(&mut all);
    let before = held(&all, "h100");
    let returned = all.remove(0);
    plan_until_stable(&mut all);
    assert!(covers_all_layers(&all, "a"));
    all.insert(0, Engine { layers: None, ..returned });
    plan_until_stable(&mut all);
    assert_eq!(held(&all, "h100"), before);
}

/// Guards against closing a large gap in two steps. Spares and neighbours could take only some of
/// the layers of the lost engine. They took them one after another, and four seconds later all
/// layers were redistributed.
#[parameterized(
    few_spares = { &[("h100", 1), ("v100", 6), ("l4", 6)] },
    no_spares = { &[("h100", 1), ("a100s", 1), ("l4", 5), ("t4", 2)] },
)]
fn large_gap_is_closed_by_one_plan(counts: &[(&str, usize)]) {
    let mut all = engines("a", counts);
    plan_until_stable(&mut all);
    all.remove(0);
    let moves = plan(&all, &model());
    apply_moves(&mut all, &moves);
    assert!(covers_all_layers(&all, "a"), "{moves:?}");
}
