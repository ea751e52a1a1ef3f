//! Measurements of admission: one JSON line each, with median and worst value over the seeds.
//!
//! `cargo run --release -p limit --example measure`

use std::time::Duration;

use limit::Settings;

#[path = "../tests/fake/mod.rs"]
mod fake;
#[path = "../tests/loads/mod.rs"]
mod loads;

use fake::{Callers, Counts, Simulation};

const SEEDS: u64 = 20;

struct Variant {
    name: &'static str,
    settings: Settings,
}

fn variants() -> Vec<Variant> {
    let on = Settings::default();
    let fcfs =
        Settings { fair: false, urgency: false, early_refusal: false, ..Settings::default() };
    vec![
        Variant { name: "limiter", settings: on.clone() },
        Variant { name: "first-come-first-served", settings: fcfs },
        Variant { name: "no-urgency", settings: Settings { urgency: false, ..on.clone() } },
        Variant { name: "no-shares", settings: Settings { fair: false, ..on.clone() } },
        Variant { name: "no-early-refusal", settings: Settings { early_refusal: false, ..on } },
    ]
}

struct Row {
    name: &'static str,
    run: fn(&Settings, u64) -> f64,
    bound: Option<f64>,
    source: &'static str,
}

const ROWS: &[Row] = &[
    Row {
        name: "urgent-in-time",
        run: urgent,
        bound: Some(0.99),
        source: "urgent work in time at 1.5 times the capacity: 99 in 100",
    },
    Row {
        name: "isolation",
        run: isolation,
        bound: Some(0.95),
        source: "one organisation offers 10 times its share: others keep 0.95",
    },
    Row {
        name: "goodput-in-overload",
        run: goodput,
        bound: Some(0.95),
        source: "completed tokens over the bound, saturated: 0.95",
    },
    Row { name: "node-lost", run: node_lost, bound: None, source: "none stated" },
    Row { name: "come-back-served", run: retried_served, bound: None, source: "none stated" },
];

fn print(row: &Row, variant: &str, mut values: Vec<f64>) {
    values.sort_by(f64::total_cmp);
    let (name, source) = (row.name, row.source);
    let median = values[values.len() / 2];
    let worst = values[0];
    let bound = row.bound.map_or("null".to_owned(), |bound| bound.to_string());
    println!(
        "{{\"name\":\"{name}\",\"variant\":\"{variant}\",\"seeds\":{SEEDS},\
         \"median\":{median:.4},\"worst\":{worst:.4},\"unit\":\"share\",\
         \"bound\":{bound},\"source\":\"{source}\"}}"
    );
}

fn share(count: Counts) -> f64 {
    f64::from(count.in_time) / f64::from(count.offered.max(1))
}

/// Returns a run that is long enough for the queues of the most patient callers to reach their
/// steady length.
fn steady(seed: u64) -> Simulation {
    Simulation {
        nodes: 4,
        warm_up: Duration::from_secs(250),
        length: Duration::from_secs(450),
        ..Simulation::new(100, seed)
    }
}

fn urgent(settings: &Settings, seed: u64) -> f64 {
    let callers = loads::urgent_and_patient(1.5);
    let counts = steady(seed).run(settings, &callers);
    let urgent: Vec<&Counts> = counts.iter().step_by(2).collect();
    let in_time: u32 = urgent.iter().map(|count| count.in_time).sum();
    let offered: u32 = urgent.iter().map(|count| count.offered).sum();
    f64::from(in_time) / f64::from(offered)
}

fn isolation(settings: &Settings, seed: u64) -> f64 {
    let simulation = Simulation { nodes: 4, ..Simulation::new(100, seed) };
    let crowd = simulation.run(settings, &loads::one_greedy(10.0));
    let alone = simulation.run(settings, &loads::one_greedy(0.0001));
    let others = 1..crowd.len();
    others.map(|index| share(crowd[index]) / share(alone[index])).fold(f64::MAX, f64::min)
}

fn node_lost(settings: &Settings, seed: u64) -> f64 {
    let callers: Vec<Callers> = loads::urgent_and_patient(0.9);
    let simulation = Simulation {
        nodes: 4,
        node_lost: Some(Duration::from_secs(60)),
        warm_up: Duration::from_secs(65),
        ..Simulation::new(100, seed)
    };
    let counts = simulation.run(settings, &callers);
    let in_time: u32 = counts.iter().map(|count| count.in_time).sum();
    let offered: u32 = counts.iter().map(|count| count.offered).sum();
    f64::from(in_time) / f64::from(offered)
}

/// Returns the fraction of slots that are busy with requests answered in time.
fn goodput(settings: &Settings, seed: u64) -> f64 {
    let callers = loads::urgent_and_patient(1.5);
    let simulation = steady(seed);
    let counts = simulation.run(settings, &callers);
    let busy = counts.iter().zip(&callers).map(|(count, callers)| {
        let counted = simulation.length - simulation.warm_up - callers.tolerance;
        f64::from(count.in_time) * callers.hold.as_secs_f64() / counted.as_secs_f64()
    });
    busy.sum::<f64>() / f64::from(simulation.slots)
}

fn retried_served(settings: &Settings, seed: u64) -> f64 {
    let callers = loads::returning(1.3);
    let counts = Simulation { nodes: 4, ..Simulation::new(100, seed) }.run(settings, &callers);
    let retried: u32 = counts.iter().map(|count| count.retried).sum();
    let served: u32 = counts.iter().map(|count| count.retried_served).sum();
    f64::from(served) / f64::from(retried.max(1))
}

fn main() {
    for row in ROWS {
        for variant in variants() {
            let values = (1..=SEEDS).map(|seed| (row.run)(&variant.settings, seed)).collect();
            print(row, variant.name, values);
        }
    }
}
