//! Random fleets, faults and arrival orders: stages cover the model exactly, answers are complete
//! and never mixed up, no target has run a request reported as not run, and every request gets an
//! outcome.

mod fake;
mod fleets;

use std::time::Duration;

use fake::{Health, World};
use fleet::{Layers, Target};
use fleets::{DEPTH, MODEL, booking, engine};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use route::Settings;

#[derive(Clone, Debug)]
enum Step {
    Model { node: usize, shape: (u32, u32) },
    Booking { node: usize },
    Health { target: usize, health: u8 },
    Leave { target: usize },
    CrashingRequest { node: usize },
    Disconnect { request: u128 },
    LoseDomain,
    PublishFleet,
    Wait(u64),
}

fn any_step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0usize..3, 1u32..600, 1u32..60)
            .prop_map(|(node, prompt, tokens)| Step::Model { node, shape: (prompt, tokens) }),
        2 => (0usize..3).prop_map(|node| Step::Booking { node }),
        3 => (any::<usize>(), 0u8..4).prop_map(|(target, health)| Step::Health { target, health }),
        1 => any::<usize>().prop_map(|target| Step::Leave { target }),
        1 => (0usize..3).prop_map(|node| Step::CrashingRequest { node }),
        1 => (1u128..40).prop_map(|request| Step::Disconnect { request }),
        1 => Just(Step::LoseDomain),
        1 => Just(Step::PublishFleet),
        6 => (1u64..400).prop_map(Step::Wait),
    ]
}

prop_compose! {
    fn any_engine()(
        domain in 0usize..3,
        start in 0u16..DEPTH,
        length in 6u16..=DEPTH,
        rate in 50.0..2000.0f64,
    ) -> (usize, Layers, f64) {
        (domain, Layers::new(start, (start + length).min(DEPTH)), rate)
    }
}

fn fleet(engines: &[(usize, Layers, f64)]) -> Vec<Target> {
    let domains = ["a", "b", "c"];
    let mut targets = vec![
        engine("whole", ("a", "a0"), (0, DEPTH), 500.0),
        booking("b1", ("a", "a0")),
        booking("b2", ("b", "b0")),
    ];
    for (index, &(domain, layers, rate)) in engines.iter().enumerate() {
        let domain = domains[domain];
        let rack = format!("{domain}{}", index % 2);
        targets.push(engine(&format!("e{index}"), (domain, &rack), layers.into(), rate));
    }
    targets
}

fn apply(world: &mut World, step: &Step) {
    let names: Vec<_> = world.servers.keys().cloned().collect();
    match *step {
        Step::Model { node, shape } => {
            world.start(node, MODEL, shape, None);
        }
        Step::Booking { node } => {
            world.start(node, "booking", (1, 1), None);
        }
        Step::Health { target, health } => {
            let health =
                [Health::Up, Health::Dead, Health::Frozen, Health::Slow(8.0)][usize::from(health)];
            world.set_health(&names[target % names.len()], health);
        }
        Step::Leave { target } => {
            let server = world.servers.get_mut(&names[target % names.len()]);
            server.expect("known target").leaving = true;
        }
        Step::CrashingRequest { node } => {
            world.crashing.insert(u64::MAX);
            world.start(node, MODEL, (50, 20), Some(u64::MAX));
        }
        Step::Disconnect { request } => world.disconnect(request),
        Step::LoseDomain => {
            let lost = world.in_domain("b");
            for name in &lost {
                world.set_health(name, Health::Dead);
            }
            world.run_for(Duration::from_millis(300));
            world.publish_lost(&lost);
        }
        Step::PublishFleet => world.publish_fleet(),
        Step::Wait(time) => world.run_for(Duration::from_millis(time)),
    }
}

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 192,
        rng_seed: RngSeed::Fixed(22),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn invariants_hold_under_random_faults(
        seed in any::<u32>(),
        engines in prop::collection::vec(any_engine(), 3..14),
        steps in prop::collection::vec(any_step(), 1..60),
        jitter in 0u64..60,
    ) {
        let targets = fleet(&engines);
        let mut world = World::new(u64::from(seed), 3, &targets, &Settings::default());
        world.jitter = Duration::from_millis(jitter);
        for step in &steps {
            apply(&mut world, step);
        }
        world.run_for(Duration::from_secs(300));
        prop_assert_eq!(&world.violations, &Vec::<String>::new());
        prop_assert!(world.streams.is_empty(), "without outcome: {:?}", world.streams.keys());
        for node in &world.nodes {
            prop_assert_eq!(node.router.open_requests(), 0);
        }
    }
}
