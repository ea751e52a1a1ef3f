//! Plans and trails pass every layer exactly once and in order, or are rejected.

use fleet::{Fault, Hop, Layers, Plan, Stage, Trail};
use yare::parameterized;

fn plan(ranges: &[(u16, u16)]) -> Plan {
    let stages = ranges
        .iter()
        .enumerate()
        .map(|(index, &(start, end))| Stage {
            target: format!("t{index}").into(),
            address: "127.0.0.1:1".parse().expect("constant address"),
            layers: Layers::new(start, end),
        })
        .collect();
    Plan { stages }
}

fn trail(ranges: &[(u16, u16)]) -> Trail {
    let hops = plan(ranges)
        .stages
        .into_iter()
        .map(|stage| Hop { target: stage.target, layers: stage.layers })
        .collect();
    Trail { hops }
}

struct Case {
    ranges: &'static [(u16, u16)],
    expected: Result<(), Fault>,
}

#[parameterized(
    complete = { Case { ranges: &[(0, 4), (4, 9), (9, 12)], expected: Ok(()) } },
    gap = { Case { ranges: &[(0, 4), (5, 12)], expected: Err(Fault::Gap { expected: 4, found: 5 }) } },
    overlap = { Case { ranges: &[(0, 4), (3, 12)], expected: Err(Fault::Overlap { expected: 4, found: 3 }) } },
    out_of_order = { Case { ranges: &[(4, 12), (0, 4)], expected: Err(Fault::Gap { expected: 0, found: 4 }) } },
    short = { Case { ranges: &[(0, 11)], expected: Err(Fault::WrongEnd { expected: 12, found: 11 }) } },
    empty_range = { Case { ranges: &[(0, 0), (0, 12)], expected: Err(Fault::EmptyRange { at: 0 }) } },
    no_ranges = { Case { ranges: &[], expected: Err(Fault::WrongEnd { expected: 12, found: 0 }) } },
)]
fn plan_and_trail_cover_all_layers_once(case: Case) {
    let plan = plan(case.ranges);
    assert_eq!(plan.verify(12), case.expected);
    assert_eq!(trail(case.ranges).verify(&plan, 12), case.expected);
}

#[test]
fn trail_of_another_plan_is_rejected() {
    let planned = plan(&[(0, 6), (6, 12)]);
    let other = trail(&[(0, 5), (5, 12)]);
    assert_eq!(other.verify(&planned, 12), Err(Fault::PlanMismatch { stage: 0 }));
}
