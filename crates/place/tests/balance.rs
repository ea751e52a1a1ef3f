//! Memory for requests after many losses.

use fleet::Layers;
use place::{Engine, Planner, plan};
use sample::{apply_moves, covers_all_layers, engine, model, plan_until_stable};
use yare::parameterized;

/// Returns engines of one domain with the layers that each holds.
fn held(engines: &[(&str, Option<(u16, u16)>)]) -> Vec<Engine> {
    let numbered = engines.iter().enumerate();
    let each = numbered.map(|(number, (card, layers))| Engine {
        layers: layers.map(Layers::from),
        ..engine("a", card, number)
    });
    each.collect()
}

/// Returns the tokens that fit at the layer with the least capacity.
fn min_capacity(engines: &[Engine]) -> f64 {
    let model = model();
    let tokens = |engine: &Engine, layer: u16| {
        let layers = engine.layers.filter(|l| l.start <= layer && layer < l.end);
        let mb = model.card(&engine.card).expect("a known kind").mb;
        layers.map_or(0.0, |layers| model.tokens(mb, layers.len()))
    };
    let capacity = |layer| engines.iter().map(|engine| tokens(engine, layer)).sum::<f64>();
    (0..80).map(capacity).fold(f64::INFINITY, f64::min)
}

/// Returns the tokens for which each engine can reserve memory while all engines together hold the
/// layers once and a twelfth of them once more; 180,000 at most.
fn usual_capacity(engines: &[Engine]) -> f64 {
    let model = model();
    let mb = |engine: &Engine| model.card(&engine.card).expect("a known kind").mb;
    let held = |tokens| engines.iter().map(|engine| model.layers(mb(engine), tokens)).sum::<u16>();
    let capacities = (12..=180).map(|thousands| f64::from(thousands) * 1000.0);
    capacities.rev().find(|tokens| held(*tokens) > 86).unwrap_or(0.0)
}

struct LayoutCase {
    engines: &'static [(&'static str, Option<(u16, u16)>)],
    /// Maximum plans until the capacities are even enough.
    plans: usize,
}

/// Guards against engines that stay full after a gap was closed. Engines leave at short notice, are
/// cut off and return, and the engines that closed the gaps were full before new ones came (own day
/// engines-leave-in-all-ways, Kinywaji, seconds 12 to 27: room for 14,000 tokens in a domain that
/// had memory for 130,000; up to a fifth of the requests refused as full).
#[parameterized(
    full_neighbours = { LayoutCase { engines: &[
        ("a100s", Some((0, 19))), ("a100s", Some((12, 24))), ("t4", Some((19, 21))),
        ("l4", Some((21, 31))), ("l4", Some((31, 38))), ("l4", Some((38, 45))),
        ("l4", Some((45, 52))), ("t4", Some((52, 57))), ("t4", Some((57, 62))),
        ("t4", Some((62, 69))), ("t4", Some((69, 76))), ("t4", Some((76, 80))),
        ("a100s", None), ("l4", None),
    ], plans: 4 } },
    neighbours = { LayoutCase { engines: &[
        ("a100s", Some((0, 19))), ("l4", Some((19, 23))), ("a100s", Some((23, 33))),
        ("l4", Some((33, 40))), ("l4", Some((40, 47))), ("l4", Some((47, 54))),
        ("t4", Some((54, 61))), ("t4", Some((61, 64))), ("t4", Some((64, 68))),
        ("t4", Some((68, 72))), ("t4", Some((72, 76))), ("t4", Some((76, 80))),
    ], plans: 6 } },
)]
fn uneven_layout_is_balanced(case: LayoutCase) {
    let mut engines = held(case.engines);
    let bound = 0.3 * usual_capacity(&engines);
    assert!(min_capacity(&engines) < bound, "uneven before: {}", min_capacity(&engines));
    for _ in 0..case.plans {
        let moves = plan(&engines, &model());
        apply_moves(&mut engines, &moves);
        assert!(covers_all_layers(&engines, "a"), "no layer is dropped by {moves:?}");
    }
    assert!(min_capacity(&engines) >= bound, "{} of {bound}", min_capacity(&engines));
}

/// Guards against closing a gap with engines in use. Copies have just taken the last idle engines
/// when an engine is lost. Each engine whose layers others held as well was ordered to take the
/// gap, and waited seconds for the streams that passed it (own day engines-leave-in-all-ways,
/// Kinywaji --seed 101, seconds 15 to 22: three engines one after the other; of 136 requests 15 in
/// time).
#[test]
fn gap_is_closed_by_neighbours_before_redundant_engines() {
    let mut chain: Vec<_> =
        (0..7_u16).map(|tens| ("l4", Some((tens * 10, tens * 10 + 10)))).collect();
    chain.extend([("l4", Some((70, 77))), ("l4", Some((0, 10)))]);
    let moves = plan(&held(&chain), &model());
    let closing = moves.iter().map(|change| (change.target.as_str(), change.layers));
    assert_eq!(closing.collect::<Vec<_>>(), [("a-l4-7", Layers::new(70, 80))]);
}

/// Guards against using a large empty engine for a few layers. A release replaces engines one after
/// another. Redistributed ranges had slightly less than half of the usual capacity; an empty h100
/// took five layers of a t4, and was missing when the next engine left (Floorline trouble-1,
/// seconds 28 to 36: a gap open to the end, 0.07 refused).
#[test]
fn large_empty_engine_is_not_used_for_few_layers() {
    let mut engines = held(&[
        ("t4", Some((0, 6))),
        ("a100s", Some((6, 21))),
        ("l4", Some((21, 30))),
        ("l4", Some((30, 39))),
        ("l4", Some((39, 48))),
        ("t4", Some((48, 54))),
        ("t4", Some((54, 60))),
        ("l4", Some((60, 69))),
        ("t4", Some((69, 75))),
        ("t4", Some((75, 80))),
        ("h100", None),
        ("l4", None),
        ("t4", None),
        ("t4", None),
    ]);
    plan_until_stable(&mut engines);
    let h100 = &engines[10];
    assert!(h100.layers.is_none_or(|layers| layers.len() > 20), "it runs many or none");
    for lost in 0..engines.len() {
        let mut left = engines.clone();
        left.remove(lost);
        let moves = plan(&left, &model());
        apply_moves(&mut left, &moves);
        assert!(covers_all_layers(&left, "a"), "one plan repairs the loss of {}", engines[lost].id);
    }
}

/// A layout that is even enough does not change, because each move costs a load.
#[test]
fn even_layout_does_not_change() {
    let mut engines = held(&[("a100s", None), ("a100s", None), ("l4", None), ("l4", None)]);
    engines.extend(
        held(&[("t4", None); 12])
            .into_iter()
            .enumerate()
            .map(|(number, engine)| Engine { id: format!("b-{number}").into(), ..engine }),
    );
    plan_until_stable(&mut engines);
    engines.pop();
    plan_until_stable(&mut engines);
    assert!(plan(&engines, &model()).is_empty());
}

/// Guards against the cost of planning unchanged input. The leader plans ten times a second. At
/// 2,100 engines with an uneven layout that no move improves, this took 6% of a core.
#[test]
fn planner_plans_again_after_a_change() {
    let mut planner = Planner::default();
    let mut engines = held(&[("l4", None); 11]);
    let moves = planner.plan(engines.clone(), &model());
    assert_eq!(moves, plan(&engines, &model()), "no earlier plan");
    apply_moves(&mut engines, &moves);
    for _ in 0..3 {
        assert!(planner.plan(engines.clone(), &model()).is_empty(), "settled");
    }
    engines.remove(4);
    let moves = planner.plan(engines.clone(), &model());
    assert_eq!(moves, plan(&engines, &model()), "an engine is lost");
    assert!(!moves.is_empty());
    assert_eq!(planner.plan(engines, &model()), moves, "not carried out yet");
}
