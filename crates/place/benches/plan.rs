//! Cost of one plan, at present deployment sizes and at the size to design for: for a layout that
//! stays, one with a gap, and one whose engines have little memory for requests.

#![allow(missing_docs)]

use std::hint::black_box;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use fleet::Layers;
use place::{Engine, plan};
use sample::{engine, model, plan_until_stable};

/// Kinds of accelerator in rotation, in proportions close to those of the largest deployments.
const CARDS: [&str; 9] = ["l4", "t4", "l4", "t4", "a100s", "l4", "t4", "l4", "t4"];
const DOMAINS: usize = 4;
/// Layers of each engine of a layout with little memory for requests.
const FULL_LAYERS: u16 = 7;

/// Returns `count` engines in their settled layout.
fn layout(count: usize) -> Vec<Engine> {
    let one = |n: usize| engine(&format!("d{}", n % DOMAINS), CARDS[n / DOMAINS % 9], n);
    let mut engines: Vec<Engine> = (0..count).map(one).collect();
    plan_until_stable(&mut engines);
    engines
}

/// Removes the engines that hold the first layer in one domain.
fn with_gap(mut engines: Vec<Engine>) -> Vec<Engine> {
    engines.retain(|engine| engine.domain != "d0" || engine.layers.is_none_or(|l| l.start > 0));
    engines
}

/// Assigns as many layers to each engine as it can hold.
fn with_little_capacity(mut engines: Vec<Engine>) -> Vec<Engine> {
    for (number, engine) in engines.iter_mut().enumerate() {
        let start = (number / DOMAINS) as u16 % (80 / FULL_LAYERS) * FULL_LAYERS;
        engine.layers = Some(Layers::new(start, start + FULL_LAYERS));
    }
    engines
}

fn plans(criterion: &mut Criterion) {
    let model = model();
    let mut group = criterion.benchmark_group("plan");
    for count in [42, 98, 2100] {
        let settled = layout(count);
        let cases = [
            ("settled", settled.clone()),
            ("gap", with_gap(settled.clone())),
            ("little room", with_little_capacity(settled)),
        ];
        for (name, engines) in cases {
            group.bench_function(BenchmarkId::new(name, count), |bencher| {
                bencher.iter(|| black_box(plan(black_box(&engines), &model)));
            });
        }
    }
    group.finish();
}

criterion_group!(benches, plans);
criterion_main!(benches);
