//! Admission under load, with each mechanism on (passes) and off (fails).

use std::time::Duration;

use limit::Settings;
use yare::parameterized;

mod fake;
mod loads;

use fake::{Callers, Tally, World};

fn off() -> Settings {
    Settings { fair: false, urgency: false, early_refusal: false, ..Settings::default() }
}

fn share(tallies: &[Tally]) -> f64 {
    let in_time: u32 = tallies.iter().map(|tally| tally.in_time).sum();
    let offered: u32 = tallies.iter().map(|tally| tally.offered).sum();
    f64::from(in_time) / f64::from(offered)
}

fn urgent(settings: &Settings) -> f64 {
    let callers = loads::urgent_and_patient(1.5);
    let tallies = World { nodes: 4, ..World::new(100, 11) }.run(settings, &callers);
    let urgent: Vec<Tally> = tallies.into_iter().step_by(2).collect();
    share(&urgent)
}

fn isolated(settings: &Settings) -> f64 {
    let callers = loads::one_greedy(10.0);
    let tallies = World { nodes: 4, ..World::new(100, 12) }.run(settings, &callers);
    share(&tallies[1..])
}

struct Case {
    run: fn(&Settings) -> f64,
    off: Settings,
    /// Stated target of the share in time.
    bound: f64,
}

#[parameterized(
    urgent_without_urgency = { Case {
        run: urgent, off: Settings { urgency: false, ..Settings::default() }, bound: 0.99 } },
    urgent_without_early_refusal = { Case {
        run: urgent, off: Settings { early_refusal: false, ..Settings::default() }, bound: 0.99 } },
    urgent_first_come = { Case { run: urgent, off: off(), bound: 0.99 } },
    isolation_without_shares = { Case {
        run: isolated, off: Settings { fair: false, ..Settings::default() }, bound: 0.95 } },
)]
fn mechanism(case: Case) {
    let with = (case.run)(&Settings::default());
    let without = (case.run)(&case.off);
    assert!(with >= case.bound, "with the mechanism {with}");
    assert!(without < case.bound, "without it {without}");
}

fn light() -> Vec<Callers> {
    loads::urgent_and_patient(0.8)
}

/// Half of all requests come to one node of four: shares follow the demand that nodes
/// tell each other, so it may use more than a quarter of the slots.
#[test]
fn uneven_balancer() {
    let world = World { nodes: 4, favourite: Some(0), ..World::new(100, 13) };
    let tallies = world.run(&Settings::default(), &light());
    assert!(share(&tallies) >= 0.95, "{}", share(&tallies));
}

/// One node of four is lost with a quarter of the slots; the others take them over.
#[test]
fn node_lost() {
    let world = World {
        nodes: 4,
        node_lost: Some(Duration::from_secs(60)),
        warm_up: Duration::from_secs(66),
        ..World::new(100, 14)
    };
    let tallies = world.run(&Settings::default(), &light());
    assert!(share(&tallies) >= 0.95, "{}", share(&tallies));
}

/// A caller that comes back when it was told to finds its place more often than not.
#[test]
fn time_to_come_back_is_truthful() {
    let callers = loads::returning(1.3);
    let tallies = World { nodes: 4, ..World::new(100, 16) }.run(&Settings::default(), &callers);
    let back: u32 = tallies.iter().map(|tally| tally.came_back).sum();
    let served: u32 = tallies.iter().map(|tally| tally.came_back_served).sum();
    assert!(back > 0 && served * 2 > back, "{served} of {back}");
}

/// Patient callers of each organisation are served too while urgent ones ask for more
/// than there is.
#[test]
fn nothing_starves() {
    let mut callers = loads::urgent_and_patient(0.5);
    for urgent in callers.iter_mut().step_by(2) {
        urgent.rate *= 8.0;
    }
    let tallies = World { nodes: 4, ..World::new(100, 15) }.run(&Settings::default(), &callers);
    for patient in tallies.iter().skip(1).step_by(2) {
        assert!(patient.in_time > 0, "{patient:?}");
    }
}
