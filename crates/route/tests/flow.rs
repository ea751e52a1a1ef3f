//! The maximum flow is feasible, agrees with an independent computation, and is proved by its
//! bound.

use fleet::Layers;
use proptest::prelude::*;
use route::flow::{Flow, HOP_COST, Link, Network, OPTIMALITY_GAP, Supply, maximum, solve, verify};
use yare::parameterized;

const DEPTH: u16 = 24;
const TOLERANCE: f64 = 1e-4;

/// Computes the maximum rate without links as a scheduling problem: the layers are time slots to
/// be filled, and the supplies are jobs with a first and a last slot. Earliest deadline first
/// fills as many slots as possible.
fn oracle(network: &Network) -> f64 {
    let total: f64 = network.supplies.iter().map(|supply| supply.rate).sum();
    let (mut low, mut high) = (0.0, total * f64::from(network.depth));
    for _ in 0..100 {
        let middle = f64::midpoint(low, high);
        if is_feasible(network, middle) { low = middle } else { high = middle }
    }
    low
}

fn is_feasible(network: &Network, rate: f64) -> bool {
    let work = |supply: &Supply| supply.rate * f64::from(supply.layers.len());
    let mut left: Vec<f64> = network.supplies.iter().map(work).collect();
    (0..network.depth).all(|layer| {
        let layers = Layers::new(layer, layer + 1);
        let mut eligible: Vec<usize> =
            (0..left.len()).filter(|&i| network.supplies[i].layers.contains(layers)).collect();
        eligible.sort_by_key(|&index| network.supplies[index].layers.end);
        let mut due = rate;
        for index in eligible {
            let used_work = due.min(left[index]);
            left[index] -= used_work;
            due -= used_work;
        }
        due <= rate * 1e-12
    })
}

/// Returns the mean number of stages.
fn mean_hops(flow: &Flow) -> f64 {
    let sum: f64 = flow.chains.iter().map(|chain| chain.rate * chain.spans.len() as f64).sum();
    sum / flow.rate.max(f64::MIN_POSITIVE)
}

fn supply(domain: u16, layers: (u16, u16), rate: f64) -> Supply {
    Supply { domain, layers: Layers::from(layers), rate, targets: 1000 }
}

prop_compose! {
    fn any_supply()(
        domain in 0u16..3,
        start in 0u16..DEPTH,
        length in 1u16..=DEPTH,
        rate in 1.0..1000.0f64,
    ) -> Supply {
        supply(domain, (start, (start + length).min(DEPTH)), rate)
    }
}

prop_compose! {
    fn any_link()(from in 0u16..3, shift in 1u16..3, rate in 1.0..500.0f64) -> Link {
        Link { from, to: (from + shift) % 3, rate }
    }
}

fn any_network() -> impl Strategy<Value = Network> {
    let supplies = prop::collection::vec(any_supply(), 1..40);
    supplies.prop_map(|supplies| Network { depth: DEPTH, supplies, links: Vec::new() })
}

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 256,
        rng_seed: proptest::test_runner::RngSeed::Fixed(4),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn equals_the_independent_computation(network in any_network()) {
        let flow = maximum(&network);
        prop_assert_eq!(verify(&network, &flow), Ok(()));
        let expected = oracle(&network);
        prop_assert!((flow.rate - expected).abs() <= TOLERANCE * (1.0 + expected),
            "solver {} oracle {}", flow.rate, expected);
    }

    #[test]
    fn bound_proves_the_maximum_with_links(
        network in any_network(),
        links in prop::collection::vec(any_link(), 0..6),
    ) {
        let mut links = links;
        links.sort_by_key(|link| (link.from, link.to));
        links.dedup_by_key(|link| (link.from, link.to));
        let network = Network { links, ..network };
        let flow = maximum(&network);
        prop_assert_eq!(verify(&network, &flow), Ok(()));
        prop_assert!(flow.bound - flow.rate <= TOLERANCE * (1.0 + flow.rate),
            "rate {} bound {}", flow.rate, flow.bound);
    }

    #[test]
    fn solve_saves_hops_at_little_cost(network in any_network()) {
        let (max_flow, flow) = (maximum(&network), solve(&network));
        prop_assert_eq!(verify(&network, &flow), Ok(()));
        let longest = flow.chains.iter().chain(&max_flow.chains).map(|c| c.spans.len()).max();
        let share = OPTIMALITY_GAP + HOP_COST * longest.unwrap_or(0) as f64 + TOLERANCE;
        prop_assert!(flow.rate >= max_flow.rate * (1.0 - share), "{} {}", flow.rate, max_flow.rate);
        prop_assert!(flow.bound >= max_flow.rate * (1.0 - TOLERANCE), "bound below the maximum");
        prop_assert!(mean_hops(&flow) <= mean_hops(&max_flow) * (1.0 + TOLERANCE));
    }

    #[test]
    fn single_targets_serve_one_stage_of_a_chain(network in any_network()) {
        let mut network = network;
        for supply in &mut network.supplies {
            supply.targets = 1;
        }
        let flow = solve(&network);
        prop_assert_eq!(verify(&network, &flow), Ok(()));
        for chain in &flow.chains {
            let mut used: Vec<usize> = chain.spans.iter().map(|span| span.supply).collect();
            used.sort_unstable();
            used.dedup();
            prop_assert_eq!(used.len(), chain.spans.len());
        }
        prop_assert!(flow.rate <= flow.bound + TOLERANCE);
    }
}

struct Case {
    supplies: Vec<Supply>,
    links: Vec<Link>,
    rate: f64,
}

#[parameterized(
    one = { Case { supplies: vec![supply(0, (0, 24), 100.0)], links: vec![], rate: 100.0 } },
    half_each = { Case {
        supplies: vec![supply(0, (0, 12), 100.0), supply(0, (12, 24), 80.0)],
        links: vec![],
        rate: 80.0,
    } },
    part_of_a_range_costs_a_part = { Case {
        supplies: vec![supply(0, (0, 24), 100.0), supply(0, (0, 12), 100.0)],
        links: vec![],
        rate: 150.0,
    } },
    gap = { Case {
        supplies: vec![supply(0, (0, 11), 100.0), supply(0, (12, 24), 80.0)],
        links: vec![],
        rate: 0.0,
    } },
    link = { Case {
        supplies: vec![supply(0, (0, 12), 100.0), supply(1, (12, 24), 80.0)],
        links: vec![Link { from: 0, to: 1, rate: 30.0 }],
        rate: 30.0,
    } },
    link_with_a_detour = { Case {
        supplies: vec![
            supply(0, (0, 12), 100.0),
            supply(1, (12, 24), 80.0),
            supply(0, (12, 24), 20.0),
        ],
        links: vec![Link { from: 0, to: 1, rate: 30.0 }],
        rate: 50.0,
    } },
)]
fn known_networks(case: Case) {
    let network = Network { depth: DEPTH, supplies: case.supplies, links: case.links };
    let flow = maximum(&network);
    assert_eq!(verify(&network, &flow), Ok(()));
    assert!((flow.rate - case.rate).abs() < 1e-3, "{flow:?}");
}
