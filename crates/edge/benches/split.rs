//! Cost of splitting off one stream event.

#![allow(missing_docs)]

use std::hint::black_box;

use criterion::{Criterion, criterion_group, criterion_main};
use edge::Splitter;

fn split(criterion: &mut Criterion) {
    let event = format!("id: 12345\ndata: {}\n\n", "x".repeat(65));
    criterion.bench_function("event", |bencher| {
        let mut splitter = Splitter::default();
        bencher.iter(|| {
            splitter.push(event.as_bytes());
            black_box(splitter.pop())
        });
    });
}

criterion_group!(benches, split);
criterion_main!(benches);
