//! Cost of one decision of the limiter, with 10 and 520 organisations.

#![allow(missing_docs)] // The macros of criterion generate an undocumented item.

use std::hint::black_box;
use std::time::Duration;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use fleet::{Request, Shape};
use limit::{Capacity, Ending, Limiter, Message, Settings};
use rand::SeedableRng;
use rand::rngs::SmallRng;

fn request(id: u128, organisations: u128) -> Request {
    Request {
        id,
        organisation: format!("organisation-{}", id % organisations).into(),
        service: "model".into(),
        shape: Shape { prompt_tokens: 500, max_tokens: 300, stream: true },
        fingerprint: id as u64,
        idempotent: true,
    }
}

/// Measures one request from arrival to end while `waiting` others are queued.
fn decision(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("request");
    for (organisations, waiting) in [(10_u128, 0_u128), (10, 200), (520, 0), (520, 1_000)] {
        let name = format!("{organisations} organisations, {waiting} waiting");
        group.bench_function(BenchmarkId::from_parameter(name), |bencher| {
            let mut rng = SmallRng::seed_from_u64(1);
            let settings = Settings { early_refusal: false, ..Settings::default() };
            let mut limiter = Limiter::new(settings);
            let mut actions = Vec::new();
            let capacity = Capacity { service: "model".into(), tokens_per_second: 0.0, slots: 64 };
            limiter.step(Duration::ZERO, Message::Capacity(capacity), &mut rng, &mut actions);
            let mut next: u128 = 0;
            let mut last: u128 = 0;
            while limiter.running() < 64 || (limiter.waiting() as u128) < waiting {
                next += 1;
                let arrive = Message::Arrive(request(next, organisations));
                limiter.step(Duration::ZERO, arrive, &mut rng, &mut actions);
            }
            let mut now = Duration::ZERO;
            let mut running: Vec<u128> = admitted(&mut actions);
            bencher.iter(|| {
                now += Duration::from_micros(100);
                next += 1;
                let arrive = Message::Arrive(request(next, organisations));
                limiter.step(now, arrive, &mut rng, &mut actions);
                let ended = running.remove(0);
                limiter.step(now, Message::Started(ended), &mut rng, &mut actions);
                let finished = Message::Finished { request: ended, ending: Ending::Complete };
                limiter.step(now, finished, &mut rng, &mut actions);
                running.extend(admitted(&mut actions));
                last = black_box(ended);
            });
        });
    }
    group.finish();
}

fn admitted(actions: &mut Vec<limit::Action>) -> Vec<u128> {
    let admitted = actions.drain(..).filter_map(|action| match action {
        limit::Action::Admit { request, .. } => Some(request),
        _ => None,
    });
    admitted.collect()
}

criterion_group!(benches, decision);
criterion_main!(benches);
