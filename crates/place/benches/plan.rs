//! Cost of one plan, at today's sizes and at the size to design for: of a layout that stays, of
//! one with a gap, and of one whose engines have little room.

#![allow(missing_docs)]

use std::hint::black_box;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use fleet::Layers;
use place::{Engine, plan};
use sample::{engine, model, settle};

/// Kinds of accelerator in turn, about as in the largest deployments.
const CARDS: [&str; 9] = ["l4", "t4", "l4", "t4", "a100s", "l4", "t4", "l4", "t4"];
const DOMAINS: usize = 4;
/// Layers of each engine of a layout with little room.
const MANY: u16 = 7;

/// `count` engines in their settled layout.
fn layout(count: usize) -> Vec<Engine> {
    let one = |n: usize| engine(&format!("d{}", n % DOMAINS), CARDS[n / DOMAINS % 9], n);
    let mut engines: Vec<Engine> = (0..count).map(one).collect();
    settle(&mut engines);
    engines
}

/// The same without the engines that hold the first layer in one domain.
fn with_gap(mut engines: Vec<Engine>) -> Vec<Engine> {
    engines.retain(|engine| engine.domain != "d0" || engine.layers.is_none_or(|l| l.start > 0));
    engines
}

/// The same with engines that hold as much as they can.
fn with_little_room(mut engines: Vec<Engine>) -> Vec<Engine> {
    for (number, engine) in engines.iter_mut().enumerate() {
        let start = (number / DOMAINS) as u16 % (80 / MANY) * MANY;
        engine.layers = Some(Layers::new(start, start + MANY));
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
            ("little room", with_little_room(settled)),
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
