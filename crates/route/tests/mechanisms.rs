//! Each mechanism switched on and off over the same fake fleet: its property holds only if it is
//! on.

mod fake;
mod fleets;

use std::time::Duration;

use fake::{Health, World};
use fleet::TargetName;
use fleets::{MODEL, booking, engine, mixed};
use route::{Mechanism, Message, Outcome, Quarantine, Settings};
use yare::parameterized;

const SECOND: Duration = Duration::from_secs(1);

fn settings(change: fn(&mut Mechanism)) -> Settings {
    let mut mechanism = Mechanism::default();
    change(&mut mechanism);
    Settings::builder().mechanism(mechanism).build()
}

/// Returns two engines for each half of the model in each of three failure domains.
fn half_model_engines() -> Vec<fleet::Target> {
    let mut targets = Vec::new();
    for domain in ["a", "b", "c"] {
        for number in 0..2 {
            let rack = format!("{domain}{number}");
            let name = |half: &str| format!("{domain}{number}{half}");
            targets.push(engine(&name("low"), (domain, &rack), (0, 24), 500.0));
            targets.push(engine(&name("high"), (domain, &rack), (24, 48), 500.0));
        }
        targets.push(booking(&format!("{domain}b"), (domain, &format!("{domain}0"))));
    }
    targets
}

fn start_requests(world: &mut World, count: usize, every: Duration) {
    for number in 0..count {
        world.start(number % world.nodes.len(), MODEL, (50, 60), None);
        world.run_for(every);
    }
}

fn count_incomplete(world: &World) -> usize {
    world.outcomes.values().filter(|(_, outcome)| *outcome != Outcome::Complete).count()
}

struct Case {
    disable: fn(&mut Mechanism),
    holds: fn(Settings) -> bool,
}

#[parameterized(
    stall_timeout_learned = { Case {
        disable: |m| m.learned_stall = false,
        holds: frozen_stage_is_replaced_within_a_second,
    } },
    failed_stage_excluded = { Case {
        disable: |m| (m.exclude, m.outlier) = (false, false),
        holds: retries_avoid_frozen_targets,
    } },
    surviving_stage_kept = { Case {
        disable: |m| m.reuse = false,
        holds: surviving_stage_is_reused,
    } },
    failed_target_ejected = { Case {
        disable: |m| m.outlier = false,
        holds: dead_target_is_tried_rarely,
    } },
    retries_bounded = { Case {
        disable: |m| m.budget = false,
        holds: retries_are_bounded,
    } },
    new_target_warmed_up = { Case {
        disable: |m| m.warm_up = false,
        holds: new_target_gets_less,
    } },
    crashing_request_quarantined = { Case {
        disable: |m| m.quarantine = false,
        holds: crashing_request_costs_two_targets,
    } },
    rack_loss_quarantines_no_request = { Case {
        disable: |m| m.correlation = false,
        holds: rack_losses_quarantine_no_request,
    } },
    load_expected = { Case {
        disable: |m| (m.flow, m.two_choices, m.delay) = (false, false, false),
        holds: slow_accelerators_get_less,
    } },
    report_joined_with_own_work = { Case {
        disable: |m| m.join = false,
        holds: burst_is_spread,
    } },
)]
fn mechanism(case: Case) {
    assert!((case.holds)(settings(|_| {})), "on: holds");
    assert!(!(case.holds)(settings(case.disable)), "off: does not hold");
}

/// Streams resume within one second of the freeze of a stage.
fn frozen_stage_is_replaced_within_a_second(settings: Settings) -> bool {
    let settings = Settings { stall_max: 2 * SECOND, ..settings };
    let mut world = World::new(1, 1, &half_model_engines(), &settings);
    start_requests(&mut world, 40, Duration::from_millis(20));
    world.set_health("a0low", Health::Frozen);
    start_requests(&mut world, 40, Duration::from_millis(20));
    world.run_for(5 * SECOND);
    assert!(!world.resume_times.is_empty(), "the failure hit streams");
    world.resume_times.iter().all(|time| *time <= SECOND)
}

/// With all but one target of one half frozen, every answer is still complete.
fn retries_avoid_frozen_targets(settings: Settings) -> bool {
    let settings = Settings { retry_reserve: 1000.0, ..settings };
    let mut world = World::new(2, 1, &half_model_engines(), &settings);
    for name in ["a0low", "a1low", "b0low", "b1low", "c0low"] {
        world.set_health(name, Health::Frozen);
    }
    start_requests(&mut world, 40, Duration::from_millis(50));
    world.run_for(60 * SECOND);
    count_incomplete(&world) == 0 && world.streams.is_empty()
}

/// After the loss of one stage, the other stage does not compute the prompt again.
fn surviving_stage_is_reused(settings: Settings) -> bool {
    let mut world = World::new(3, 1, &half_model_engines(), &settings);
    start_requests(&mut world, 40, Duration::from_millis(10));
    let before = world.recomputed_prompts;
    let due = world.streams.len();
    world.set_health("a0low", Health::Dead);
    let hit = world.broken;
    world.run_for(10 * SECOND);
    assert!(hit > 0 && due >= hit, "the failure hit streams");
    world.recomputed_prompts - before <= hit
}

/// A dead target is tried a few times instead of by each request.
fn dead_target_is_tried_rarely(settings: Settings) -> bool {
    let mut world = World::new(4, 1, &half_model_engines(), &settings);
    world.set_health("a0low", Health::Dead);
    start_requests(&mut world, 200, Duration::from_millis(10));
    world.refused <= 4
}

/// With nearly all targets of one half frozen, retries stay within their share of the successes.
fn retries_are_bounded(settings: Settings) -> bool {
    let settings = Settings { retry_reserve: 5.0, eject_share: 0.0, ..settings };
    let mut world = World::new(5, 1, &half_model_engines(), &settings);
    for name in ["a0low", "a1low", "b0low", "b1low", "c0low"] {
        world.set_health(name, Health::Frozen);
    }
    start_requests(&mut world, 200, Duration::from_millis(20));
    world.run_for(60 * SECOND);
    let complete = world.outcomes.len() - count_incomplete(&world);
    let seconds = world.now.as_secs_f64();
    let most = 0.2 * complete as f64 + 5.0 + 0.5 * seconds;
    (world.attempts - 200) as f64 <= most
}

/// In its first second, a new target gets less than half of its share.
fn new_target_gets_less(settings: Settings) -> bool {
    let mut world = World::new(6, 1, &half_model_engines(), &settings);
    start_requests(&mut world, 20, Duration::from_millis(10));
    world.add(engine("new", ("a", "a9"), (0, 24), 500.0));
    start_requests(&mut world, 100, Duration::from_millis(10));
    let started = world.servers["new"].started.len();
    started <= 100 / 7 / 2
}

/// A request that crashes its targets costs at most two of them, and all other requests complete.
fn crashing_request_costs_two_targets(settings: Settings) -> bool {
    let mut world = World::new(7, 2, &half_model_engines(), &settings);
    world.crashing.insert(u64::MAX);
    for node in [0, 1, 0, 1] {
        start_requests(&mut world, 10, Duration::from_millis(10));
        world.start(node, MODEL, (100, 50), Some(u64::MAX));
        start_requests(&mut world, 10, Duration::from_millis(100));
    }
    world.run_for(10 * SECOND);
    let whole = |(id, (_, outcome)): (&u128, &(Duration, Outcome))| {
        *outcome == Outcome::Complete || world.is_crashing(*id)
    };
    world.lost_to_crashing.len() <= 2 && world.outcomes.iter().all(whole)
}

/// Two racks fail one after the other while their streams have only started.
fn rack_losses_quarantine_no_request(settings: Settings) -> bool {
    let mut world = World::new(8, 1, &half_model_engines(), &settings);
    let mut quarantined_count = 0;
    for rack in ["a0", "b0"] {
        for _ in 0..60 {
            world.start(0, MODEL, (4000, 50), None);
        }
        world.run_for(Duration::from_millis(300));
        let names: Vec<TargetName> =
            ["low", "high"].map(|half| format!("{rack}{half}").into()).into();
        for name in &names {
            world.set_health(name, Health::Dead);
        }
        world.run_for(Duration::from_millis(600));
        quarantined_count += count_quarantined(&world);
    }
    world.run_for(60 * SECOND);
    quarantined_count + count_quarantined(&world) == 0
}

fn count_quarantined(world: &World) -> usize {
    let hit = |outcome: &Outcome| matches!(outcome, Outcome::Quarantined { .. });
    world.outcomes.values().filter(|(_, outcome)| hit(outcome)).count()
}

/// Work follows speed: the fast target gets at least four times the work of the slow one.
fn slow_accelerators_get_less(settings: Settings) -> bool {
    let targets =
        [engine("fast", ("a", "a0"), (0, 48), 900.0), engine("slow", ("b", "b0"), (0, 48), 100.0)];
    let mut world = World::new(9, 1, &targets, &settings);
    start_requests(&mut world, 100, Duration::from_millis(40));
    world.run_for(20 * SECOND);
    let started = |name: &str| world.servers[name].started.len();
    started("fast") >= 4 * started("slow")
}

/// A burst between two reports does not all go to the target that was idle in the last report.
fn burst_is_spread(settings: Settings) -> bool {
    let targets: Vec<_> =
        ["x", "y", "z"].map(|name| engine(name, ("a", name), (0, 48), 500.0)).into();
    let mut world = World::new(10, 1, &targets, &settings);
    for (target, running) in [("x", 0), ("y", 20), ("z", 20)] {
        let age = Duration::ZERO;
        let target = target.into();
        let load = route::Load { target, running, queued: 0, tokens_per_second: 0.0, age };
        world.deliver_to(0, Message::Load(load));
    }
    for _ in 0..90 {
        world.start(0, MODEL, (10, 50), None);
    }
    world.run_for(Duration::from_millis(50));
    let most = world.servers.values().map(|server| server.started.len()).max();
    most.is_some_and(|most| most <= 50)
}

#[test]
fn whole_domain_lost_at_once_loses_no_answer() {
    for seed in 0..5 {
        let mut world = World::new(seed, 4, &mixed(seed), &Settings::default());
        start_requests(&mut world, 100, Duration::from_millis(5));
        let lost: Vec<TargetName> = world.in_domain("a");
        for name in &lost {
            world.set_health(name, Health::Dead);
        }
        start_requests(&mut world, 50, Duration::from_millis(5));
        world.publish_lost(&lost);
        world.publish_fleet();
        start_requests(&mut world, 50, Duration::from_millis(5));
        world.run_for(60 * SECOND);
        assert_eq!(world.violations, Vec::<String>::new());
        assert_eq!((count_incomplete(&world), world.streams.len()), (0, 0), "seed {seed}");
    }
}

#[test]
fn remote_quarantine_applies_at_once_and_expires() {
    let mut world = World::new(1, 1, &half_model_engines(), &Settings::default());
    let fact =
        Quarantine { fingerprint: 77, target: "a0low".into(), confirmed: true, ttl: 30 * SECOND };
    world.deliver_to(0, Message::Quarantine(fact));
    let now = world.now;
    let early = world.start(0, MODEL, (10, 10), Some(77));
    let outcome = Outcome::Quarantined { retry_after: 30 * SECOND };
    assert_eq!(world.outcomes[&early], (now, outcome));
    world.run_for(31 * SECOND);
    let late = world.start(0, MODEL, (10, 10), Some(77));
    world.run_for(5 * SECOND);
    assert_eq!(world.outcomes[&late].1, Outcome::Complete);
}
