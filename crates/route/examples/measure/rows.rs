//! The measurements.

use std::time::Duration;

use fleet::{Kind, TargetName};
use rand::RngExt;
use route::{Outcome, Settings};

use crate::fake::{Health, PREFILL_SPEEDUP, Workload, World};
use crate::fleets::{MODEL, mixed};

/// One measurement.
pub(crate) struct Row {
    pub(crate) name: &'static str,
    pub(crate) unit: &'static str,
    pub(crate) bound: f64,
    pub(crate) source: &'static str,
    pub(crate) more_is_better: bool,
    pub(crate) policies: &'static [&'static str],
    pub(crate) measure: fn(u64, &Settings) -> f64,
}

const TARGETS: &str = "architecture, numbers to beat";
const ROUTING: &[&str] = &["all", "random_target", "least_in_flight"];

/// All rows.
pub(crate) const ROWS: &[Row] = &[
    Row {
        name: "saturated_tokens_over_bound",
        unit: "ratio",
        bound: 0.95,
        source: TARGETS,
        more_is_better: true,
        policies: ROUTING,
        measure: saturated,
    },
    Row {
        name: "tokens_over_remaining_bound_after_domain_loss",
        unit: "ratio",
        bound: 0.90,
        source: TARGETS,
        more_is_better: true,
        policies: ROUTING,
        measure: domain_lost,
    },
    Row {
        name: "stage_killed_p95",
        unit: "ms",
        bound: 500.0,
        source: TARGETS,
        more_is_better: false,
        policies: &["all", "random_target", "least_in_flight", "no_reuse"],
        measure: |seed, settings| resumed(seed, settings, Health::Dead),
    },
    Row {
        name: "stage_frozen_p95",
        unit: "ms",
        bound: 1000.0,
        source: TARGETS,
        more_is_better: false,
        policies: &["all", "random_target", "no_reuse", "fixed_stall_timeout"],
        measure: |seed, settings| resumed(seed, settings, Health::Frozen),
    },
    Row {
        name: "targets_lost_to_a_crashing_request",
        unit: "targets",
        bound: 2.0,
        source: TARGETS,
        more_is_better: false,
        policies: &["all", "no_quarantine"],
        measure: |seed, settings| crashing(seed, settings).0,
    },
    Row {
        name: "innocent_requests_given_up_beside_a_crashing_one",
        unit: "requests",
        bound: 0.0,
        source: TARGETS,
        more_is_better: false,
        policies: &["all", "no_quarantine"],
        measure: |seed, settings| crashing(seed, settings).1,
    },
    Row {
        name: "attempts_per_request_while_half_the_targets_are_frozen",
        unit: "ratio",
        bound: 1.5,
        source: "retry share of the settings, and the reserve",
        more_is_better: false,
        policies: &["all", "no_retry_budget"],
        measure: failing,
    },
];

/// Seconds of work in flight that saturate the fleet. With this mean gap between tokens, nearly
/// all gaps are below the limit of 71 ms.
const SATURATED_GAP: f64 = 0.05;
/// Share of the bound that callers request under ordinary load.
const ORDINARY_SHARE: f64 = 0.5;
/// Mean work of a request in tokens: 175 of the answer and 225 of the prompt.
const MEAN_WORK: f64 = 175.0 + 225.0 / PREFILL_SPEEDUP;
const NODES: usize = 4;

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

/// Creates a mixed fleet with as many streams as give each of them `gap` seconds for a token.
fn loaded(seed: u64, settings: &Settings, gap: f64) -> World {
    let mut world = World::new(seed, NODES, &mixed(seed), settings);
    world.workload = Some(Workload { service: MODEL, prompt: (50, 400), tokens: (50, 300) });
    let slots = world.capacity[MODEL].1;
    let streams = ((bound(&world) * gap) as u32).min(slots);
    for stream in 0..streams as usize {
        world.start_next_request(stream % NODES);
    }
    world
}

fn bound(world: &World) -> f64 {
    world.nodes[0].router.bound(MODEL).expect("the model is known")
}

/// Returns the work done in `time` as a share of the bound.
fn rate(world: &mut World, time: Duration) -> f64 {
    let before = world.useful;
    world.run_for(time);
    assert_eq!(world.violations, Vec::<String>::new());
    (world.useful - before) / time.as_secs_f64() / bound(world)
}

fn saturated(seed: u64, settings: &Settings) -> f64 {
    let mut world = loaded(seed, settings, SATURATED_GAP);
    world.run_for(seconds(10));
    rate(&mut world, seconds(20))
}

fn domain_lost(seed: u64, settings: &Settings) -> f64 {
    let mut world = loaded(seed, settings, SATURATED_GAP);
    world.run_for(seconds(10));
    let lost = world.in_domain("a");
    for target in &lost {
        world.set_health(target, Health::Dead);
    }
    world.run_for(seconds(1));
    world.publish_lost(&lost);
    world.publish_fleet();
    world.run_for(seconds(9));
    rate(&mut world, seconds(20))
}

fn any_engine(world: &mut World) -> TargetName {
    let is_engine = |kind: &Kind| matches!(kind, Kind::Engine(_));
    let up = world.servers.values().filter(|s| s.health == Health::Up && is_engine(&s.target.kind));
    let names: Vec<TargetName> = up.map(|server| server.target.name.clone()).collect();
    names[world.rng.random_range(0..names.len())].clone()
}

/// Runs the world with random arrivals that request `share` of the bound.
fn run_with_arrivals(world: &mut World, share: f64, time: Duration) {
    const STEP: f64 = 0.005;
    let end = world.now + time;
    let per_second = bound(world) * share / MEAN_WORK;
    while world.now < end {
        let mut due = per_second * STEP;
        while due > world.rng.random::<f64>() {
            due -= 1.0;
            let node = world.rng.random_range(0..NODES);
            let shape = (world.rng.random_range(50..=400), world.rng.random_range(50..=300));
            world.start(node, MODEL, shape, None);
        }
        world.run_for(Duration::from_secs_f64(STEP));
    }
}

/// Creates a world under ordinary load, half of the bound.
fn ordinary_load(seed: u64, settings: &Settings) -> World {
    let mut world = World::new(seed, NODES, &mixed(seed), settings);
    run_with_arrivals(&mut world, ORDINARY_SHARE, seconds(5));
    world
}

/// Returns the 95th percentile, in milliseconds, of the time from the last token before a failure
/// to the first token after it.
fn resumed(seed: u64, settings: &Settings, health: Health) -> f64 {
    let mut world = ordinary_load(seed, settings);
    world.resume_times.clear();
    for _ in 0..12 {
        let target = any_engine(&mut world);
        world.set_health(&target, health);
        run_with_arrivals(&mut world, ORDINARY_SHARE, seconds(3));
        world.set_health(&target, Health::Up);
        run_with_arrivals(&mut world, ORDINARY_SHARE, seconds(2));
    }
    assert_eq!(world.violations, Vec::<String>::new());
    world.resume_times.sort();
    let index = world.resume_times.len() * 95 / 100;
    world.resume_times.get(index).map_or(f64::NAN, Duration::as_secs_f64) * 1000.0
}

/// Sends a request that crashes each of its targets repeatedly through all nodes. Returns the
/// number of targets lost and the number of other requests that did not complete.
fn crashing(seed: u64, settings: &Settings) -> (f64, f64) {
    const FINGERPRINT: u64 = u64::MAX;
    let mut world = ordinary_load(seed, settings);
    world.crashing.insert(FINGERPRINT);
    let mut ids = Vec::new();
    for sending in 0..8 {
        let id = world.start(sending % NODES, MODEL, (100, 100), Some(FINGERPRINT));
        ids.push(id);
        for _ in 0..100 {
            run_with_arrivals(&mut world, ORDINARY_SHARE, Duration::from_millis(50));
            if world.outcomes.contains_key(&id) {
                break;
            }
        }
        run_with_arrivals(&mut world, ORDINARY_SHARE, Duration::from_millis(500));
        world.publish_fleet();
    }
    assert_eq!(world.violations, Vec::<String>::new());
    let others = world.outcomes.iter().filter(|(id, _)| !ids.contains(id));
    let incomplete = others.filter(|(_, outcome)| outcome.1 != Outcome::Complete).count();
    (world.lost_to_crashing.len() as f64, incomplete as f64)
}

/// Returns the attempts per request while half of the engines do not answer.
fn failing(seed: u64, settings: &Settings) -> f64 {
    let settings = Settings { retry_reserve: 10.0, ..settings.clone() };
    let mut world = ordinary_load(seed, &settings);
    for _ in 0..20 {
        let target = any_engine(&mut world);
        world.set_health(&target, Health::Frozen);
    }
    let (attempts, requests) = (world.attempts, world.outcomes.len());
    run_with_arrivals(&mut world, ORDINARY_SHARE, seconds(20));
    let requests = (world.outcomes.len() - requests) as f64;
    (world.attempts - attempts) as f64 / requests
}
