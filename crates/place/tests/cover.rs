//! Moves that placement plans as engines join, fail and slow down.

use fleet::Layers;
use place::{Engine, plan};
use sample::{apply_moves, covers_all_layers, engine, engines, model, plan_until_stable};
use yare::parameterized;

struct Case {
    counts: &'static [(&'static str, usize)],
    /// Number of engines that are lost.
    lost: usize,
}

#[parameterized(
    mixed = { Case { counts: &[("a100s", 2), ("l4", 4), ("t4", 7)], lost: 1 } },
    with_h100 = { Case { counts: &[("h100", 1), ("a100s", 1), ("l4", 5), ("t4", 7)], lost: 1 } },
    mostly_l4 = { Case { counts: &[("a100s", 1), ("l4", 8), ("t4", 3)], lost: 1 } },
    two_lost = { Case { counts: &[("a100s", 2), ("l4", 4), ("t4", 7)], lost: 2 } },
    three_lost = { Case { counts: &[("h100", 1), ("a100s", 1), ("l4", 5), ("t4", 7)], lost: 3 } },
    one_kind = { Case { counts: &[("l4", 12)], lost: 1 } },
)]
fn chain_is_complete_again_after_any_loss(case: Case) {
    let mut whole = engines("a", case.counts);
    plan_until_stable(&mut whole);
    assert!(covers_all_layers(&whole, "a"), "first layout covers all layers");
    for first in 0..whole.len() {
        let mut left = whole.clone();
        for _ in 0..case.lost {
            left.remove(first % left.len());
        }
        plan_until_stable(&mut left);
        assert!(
            covers_all_layers(&left, "a"),
            "loss of {} engines from {first} is repaired",
            case.lost
        );
    }
}

#[parameterized(
    small = { &[("t4", 20)] },
    mixed = { &[("h100", 1), ("a100s", 1), ("l4", 5), ("t4", 7)] },
)]
fn no_engine_holds_more_than_its_memory(counts: &[(&str, usize)]) {
    let mut all = engines("a", counts);
    plan_until_stable(&mut all);
    while all.len() > 8 {
        all.remove(3);
        plan_until_stable(&mut all);
        for engine in &all {
            let mb = model().card(&engine.card).expect("a known kind").mb;
            let held = engine.layers.map_or(0, Layers::len);
            assert!(f64::from(held) * 1750.0 < mb, "{} holds {held} layers", engine.id);
        }
    }
}

#[test]
fn engine_that_returns_empty_relieves_its_neighbours() {
    let mut all = engines("a", &[("l4", 11)]);
    plan_until_stable(&mut all);
    let lost = all.iter().position(|engine| engine.layers.is_some()).expect("a used engine");
    let returned = Engine { layers: None, ..all[lost].clone() };
    let widest = |all: &[Engine]| all.iter().filter_map(|e| e.layers).map(Layers::len).max();
    let before = widest(&all);
    all.remove(lost);
    plan_until_stable(&mut all);
    all.push(returned);
    plan_until_stable(&mut all);
    assert!(covers_all_layers(&all, "a"));
    assert_eq!(widest(&all), before);
}

/// Returns the smallest number of engines that hold a layer.
fn min_holders(engines: &[Engine], domain: &str) -> usize {
    let holders = |layer: u16| {
        let one = Layers::new(layer, layer + 1);
        let local = engines.iter().filter(|engine| engine.domain == domain);
        local.filter(|engine| engine.layers.is_some_and(|l| l.contains(one))).count()
    };
    (0..80).map(holders).min().unwrap_or(0)
}

struct CopyCase {
    counts: &'static [(&'static str, usize)],
    /// Number of times that each layer is held.
    copies: usize,
}

/// Guards against idle engines in a domain with a single chain. Engines are lost one after another
/// while every request passes all layers. On the larger fleet, a single chain per domain left 25
/// engines idle, and each loss took a domain out of service for the time of a load.
#[parameterized(
    small = { CopyCase { counts: &[("a100s", 2), ("l4", 4), ("t4", 7)], copies: 1 } },
    mixed = { CopyCase { counts: &[("a100s", 4), ("l4", 11), ("t4", 18)], copies: 2 } },
    with_h100 = { CopyCase { counts: &[("h100", 1), ("a100s", 2), ("l4", 20), ("t4", 9)], copies: 3 } },
)]
fn large_domain_has_no_gap_after_a_loss(case: CopyCase) {
    let mut all = engines("a", case.counts);
    plan_until_stable(&mut all);
    assert!(min_holders(&all, "a") >= case.copies, "{} copies", min_holders(&all, "a"));
    if case.copies == 1 {
        return;
    }
    for lost in 0..all.len() {
        let mut left = all.clone();
        left.remove(lost);
        assert!(covers_all_layers(&left, "a"), "no gap without engine {lost}");
        plan_until_stable(&mut left);
        assert!(min_holders(&left, "a") >= case.copies - 1);
    }
}

#[test]
fn engine_with_pending_order_is_not_ordered_again() {
    let mut all = engines("a", &[("a100s", 2), ("l4", 4), ("t4", 7)]);
    let moves = plan(&all, &model());
    apply_moves(&mut all, &moves);
    for engine in &mut all {
        engine.order_pending = true;
    }
    assert!(plan(&all, &model()).is_empty());
}

#[test]
fn layers_stay_covered_during_a_handover() {
    let mut all = engines("a", &[("l4", 11)]);
    plan_until_stable(&mut all);
    all.remove(0);
    plan_until_stable(&mut all);
    all.push(engine("a", "l4", 20));
    let moves = plan(&all, &model());
    // The new engine loads first; no layers are dropped in the same step.
    assert!(moves.iter().all(|change| change.target == "a-l4-20"), "{moves:?}");
}

#[test]
fn layers_of_a_slow_engine_are_also_held_by_others() {
    let mut all = engines("a", &[("h100", 1), ("a100s", 1), ("l4", 5), ("t4", 7)]);
    plan_until_stable(&mut all);
    let slow = all.iter().position(|engine| engine.card == "l4" && engine.layers.is_some());
    let slow = slow.expect("a used engine");
    all[slow].slow = true;
    plan_until_stable(&mut all);
    let range = all[slow].layers.expect("it keeps what it holds");
    let others: Vec<Engine> = all.iter().filter(|engine| !engine.slow).cloned().collect();
    for layer in range.start..range.end {
        let one = Layers::new(layer, layer + 1);
        let held = others.iter().any(|other| other.layers.is_some_and(|l| l.contains(one)));
        assert!(held, "layer {layer} of the slow engine");
    }
}
