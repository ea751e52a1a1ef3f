//! Fleets for tests and measurements.

#![allow(dead_code)]

use fleet::{Engine, Kind, Layers, Service, Standing, Target};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

pub(crate) const DEPTH: u16 = 48;
pub(crate) const MODEL: &str = "plank";

/// Accelerator kinds: name, number of layers held, tokens per second through them.
const KINDS: [(&str, u16, f64); 4] =
    [("h100", 24, 1800.0), ("a100", 16, 1500.0), ("l40", 12, 900.0), ("t4", 8, 400.0)];

pub(crate) fn engine(name: &str, place: (&str, &str), layers: (u16, u16), rate: f64) -> Target {
    let kind = Kind::Engine(Engine {
        model: MODEL.into(),
        depth: DEPTH,
        layers: Layers::from(layers),
        tokens_per_second: rate,
        slots: 256,
        accelerator: "a100".into(),
        checks_orders: true,
    });
    target(name, place, kind)
}

pub(crate) fn booking(name: &str, place: (&str, &str)) -> Target {
    let service = Service { name: "booking".into(), idempotent: false, slots: 8 };
    target(name, place, Kind::Service(service))
}

fn target(name: &str, (domain, rack): (&str, &str), kind: Kind) -> Target {
    Target {
        name: name.into(),
        address: "127.0.0.1:9001".parse().expect("constant address"),
        domain: domain.into(),
        rack: rack.into(),
        standing: Standing::Live,
        kind,
    }
}

/// Returns forty engines of four kinds with overlapping layer ranges and three booking services,
/// in three failure domains. Each domain covers the whole model.
pub(crate) fn mixed(seed: u64) -> Vec<Target> {
    let mut rng = SmallRng::seed_from_u64(seed ^ 0x00f1_ee75);
    let mut targets = Vec::new();
    for (index, domain) in ["a", "b", "c"].iter().enumerate() {
        let count = if index == 0 { 14 } else { 13 };
        let mut at = 0;
        for number in 0..count {
            let kind = KINDS[rng.random_range(0..KINDS.len())];
            let start = if number < 6 { at } else { rng.random_range(0..=DEPTH - kind.1) };
            let start = start.min(DEPTH - kind.1);
            at = if start + kind.1 >= DEPTH { 0 } else { start + kind.1 };
            let rate = kind.2 * rng.random_range(0.8..1.2);
            let rack = format!("{domain}{}", number % 4);
            let name = format!("{domain}{number}");
            targets.push(engine(&name, (domain, &rack), (start, start + kind.1), rate));
        }
        targets.push(booking(&format!("{domain}b"), (domain, &format!("{domain}0"))));
    }
    targets
}
