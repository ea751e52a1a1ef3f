//! Admission under load. The bounds hold with all mechanisms enabled and are missed with the
//! tested one disabled.

use std::time::Duration;

use limit::Settings;
use yare::parameterized;

mod fake;
mod loads;

use fake::{Callers, Counts, Simulation};

fn off() -> Settings {
    Settings { fair: false, urgency: false, early_refusal: false, ..Settings::default() }
}

fn share(counts: &[Counts]) -> f64 {
    let in_time: u32 = counts.iter().map(|count| count.in_time).sum();
    let offered: u32 = counts.iter().map(|count| count.offered).sum();
    f64::from(in_time) / f64::from(offered)
}

fn urgent(settings: &Settings) -> f64 {
    let callers = loads::urgent_and_patient(1.5);
    let counts = Simulation { nodes: 4, ..Simulation::new(100, 11) }.run(settings, &callers);
    let urgent: Vec<Counts> = counts.into_iter().step_by(2).collect();
    share(&urgent)
}

fn isolated(settings: &Settings) -> f64 {
    let callers = loads::one_greedy(10.0);
    let counts = Simulation { nodes: 4, ..Simulation::new(100, 12) }.run(settings, &callers);
    share(&counts[1..])
}

struct Case {
    run: fn(&Settings) -> f64,
    off: Settings,
    /// Required fraction of requests answered in time.
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

/// More than half of all requests arrive at one of four nodes. Shares follow the demand that nodes
/// exchange, so this node may use more than a quarter of the slots.
#[test]
fn uneven_balancer() {
    let simulation = Simulation { nodes: 4, preferred_node: Some(0), ..Simulation::new(100, 13) };
    let counts = simulation.run(&Settings::default(), &light());
    assert!(share(&counts) >= 0.95, "{}", share(&counts));
}

/// One of four nodes is lost; the others take over its quarter of the slots.
#[test]
fn node_lost() {
    let simulation = Simulation {
        nodes: 4,
        node_lost: Some(Duration::from_secs(60)),
        warm_up: Duration::from_secs(66),
        ..Simulation::new(100, 14)
    };
    let counts = simulation.run(&Settings::default(), &light());
    assert!(share(&counts) >= 0.95, "{}", share(&counts));
}

/// More than half of the callers that retry at the returned time are served.
#[test]
fn retry_after_finds_capacity() {
    let callers = loads::returning(1.3);
    let counts =
        Simulation { nodes: 4, ..Simulation::new(100, 16) }.run(&Settings::default(), &callers);
    let retried: u32 = counts.iter().map(|count| count.retried).sum();
    let served: u32 = counts.iter().map(|count| count.retried_served).sum();
    assert!(retried > 0 && served * 2 > retried, "{served} of {retried}");
}

/// Patient callers of each organisation are served while urgent callers demand more than the
/// capacity.
#[test]
fn patient_callers_do_not_starve() {
    let mut callers = loads::urgent_and_patient(0.5);
    for urgent in callers.iter_mut().step_by(2) {
        urgent.rate *= 8.0;
    }
    let counts =
        Simulation { nodes: 4, ..Simulation::new(100, 15) }.run(&Settings::default(), &callers);
    for patient in counts.iter().skip(1).step_by(2) {
        assert!(patient.in_time > 0, "{patient:?}");
    }
}
