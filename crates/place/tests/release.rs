//! Plans while a release replaces engines one after the other: the new engine registers first, and
//! the old one leaves somewhat later.

use place::{Engine, plan};
use sample::{engine, engines, model, plan_until_stable};
use yare::parameterized;

const FLOORLINE: [(&str, usize); 3] = [("a100s", 2), ("l4", 4), ("t4", 7)];
const MIXED: [(&str, usize); 4] = [("h100", 1), ("a100s", 1), ("l4", 5), ("t4", 7)];
const MOSTLY_L4: [(&str, usize); 3] = [("a100s", 1), ("l4", 8), ("t4", 3)];

/// Returns the settled engines of a domain.
fn settled(counts: &[(&str, usize)]) -> Vec<Engine> {
    let mut all = engines("a", counts);
    plan_until_stable(&mut all);
    all
}

/// Returns an engine of the same kind as `old` that has registered only now.
fn successor(old: &Engine, number: usize) -> Engine {
    Engine { new: true, ..engine("a", &old.card, number) }
}

// Guards against a new engine that loads other layers, and so is not there when the engine that it
// replaces leaves.
#[parameterized(
    few_kinds = { &FLOORLINE },
    mixed = { &MIXED },
    mostly_l4 = { &MOSTLY_L4 },
)]
fn new_engine_is_kept_free(counts: &[(&str, usize)]) {
    let before = settled(counts);
    for old in &before {
        let mut all = before.clone();
        all.push(successor(old, 100));
        assert_eq!(plan(&all, &model()), [], "beside {}", old.id);
    }
}

// Guards against layers of an engine that leaves being dealt to several engines, among them those
// that are to replace others.
#[parameterized(
    few_kinds = { &FLOORLINE },
    mixed = { &MIXED },
    mostly_l4 = { &MOSTLY_L4 },
)]
fn one_engine_takes_over_from_the_one_that_leaves(counts: &[(&str, usize)]) {
    let before = settled(counts);
    let used = before.iter().filter(|old| old.layers.is_some());
    let pairs = used.flat_map(|old| before.iter().map(move |other| (old, other)));
    for (old, other) in pairs.filter(|(old, other)| old.id != other.id) {
        let mut all = before.clone();
        all.retain(|engine| engine.id != old.id);
        all.extend([successor(old, 100), successor(other, 101)]);
        let moves = plan(&all, &model());
        let layers: Vec<_> = moves.iter().map(|change| Some(change.layers)).collect();
        assert_eq!(layers, [old.layers], "for {}, before {}: {moves:?}", old.id, other.id);
    }
}

// Guards against a fast engine that waits for 3 s although it replaces none: one that follows a
// lost engine was then missing in the next seconds of trouble.
#[test]
fn new_engine_without_another_of_its_kind_is_used_at_once() {
    let mut all = settled(&MIXED);
    let lost = all.remove(0);
    assert_eq!(lost.card, "h100");
    plan_until_stable(&mut all);
    all.push(successor(&lost, 100));
    let moves = plan(&all, &model());
    let targets: Vec<_> = moves.iter().map(|change| change.target.as_str()).collect();
    assert_eq!(targets, ["a-h100-100"]);
}

// Guards against a domain that misses a copy for 3 s because the engine that is to hold it is new:
// the next engine that leaves then leaves a gap.
#[test]
fn new_engine_takes_a_missing_copy_at_once() {
    let mut all = settled(&[("l4", 30)]);
    let old = all.remove(0);
    for engine in all.iter_mut().filter(|engine| engine.layers.is_none()) {
        engine.new = true;
    }
    let moves = plan(&all, &model());
    let layers: Vec<_> = moves.iter().map(|change| Some(change.layers)).collect();
    assert_eq!(layers, [old.layers]);
}
