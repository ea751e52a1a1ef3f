//! Cost of one decision and of computing the plans, and memory of the state, at 43 and at 2,100
//! targets.

#![allow(missing_docs)]

use std::alloc::{GlobalAlloc, Layout, System};
use std::hint::black_box;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use criterion::{Criterion, criterion_group, criterion_main};
use fleet::{Engine, Kind, Layers, Request, Shape, Standing, Target};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use route::{Action, Ending, Load, Message, Router, Settings};

const DEPTH: u16 = 48;
/// Layers held and tokens per second of the six accelerator kinds.
const KINDS: [(u16, f64); 6] =
    [(24, 1800.0), (16, 1500.0), (12, 900.0), (8, 400.0), (48, 900.0), (6, 300.0)];

/// Allocator that counts the bytes in use.
struct Counting;

static USED: AtomicUsize = AtomicUsize::new(0);

// SAFETY: both calls pass through to the system allocator unchanged.
#[allow(unsafe_code)]
unsafe impl GlobalAlloc for Counting {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        USED.fetch_add(layout.size(), Ordering::Relaxed);
        // SAFETY: the caller keeps the contract of `alloc`.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        USED.fetch_sub(layout.size(), Ordering::Relaxed);
        // SAFETY: the caller keeps the contract of `dealloc`.
        unsafe { System.dealloc(pointer, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: Counting = Counting;

fn targets(count: usize, models: usize, domains: usize) -> Vec<Target> {
    let mut rng = SmallRng::seed_from_u64(1);
    let target = |index: usize| {
        let (held, rate) = KINDS[rng.random_range(0..KINDS.len())];
        let start = rng.random_range(0..=(DEPTH - held) / 4) * 4;
        let kind = Kind::Engine(Engine {
            model: format!("m{}", index % models).into(),
            depth: DEPTH,
            layers: Layers::new(start, start + held),
            tokens_per_second: rate,
            slots: 256,
            accelerator: "a100".into(),
            checks_orders: true,
        });
        Target {
            name: format!("t{index}").into(),
            address: "127.0.0.1:9001".parse().expect("constant address"),
            domain: format!("d{}", rng.random_range(0..domains)).into(),
            rack: "".into(),
            standing: Standing::Live,
            kind,
        }
    };
    (0..count).map(target).collect()
}

fn request(id: u128, models: usize) -> Request {
    Request {
        id,
        organisation: "cascade".into(),
        service: format!("m{}", id as usize % models).into(),
        shape: Shape { prompt_tokens: 200, max_tokens: 200, stream: true },
        fingerprint: id as u64,
        idempotent: true,
    }
}

fn decision(criterion: &mut Criterion) {
    for (count, models, domains) in [(43, 1, 3), (2100, 6, 4)] {
        let targets = targets(count, models, domains);
        let before = USED.load(Ordering::Relaxed);
        let settings = Settings::builder().node("n1".into()).build();
        let mut router = Router::new(settings);
        let mut rng = SmallRng::seed_from_u64(2);
        let mut actions: Vec<Action> = Vec::new();
        let fleet = Message::Fleet { targets: targets.clone(), links: Vec::new() };
        router.step(Duration::ZERO, fleet, &mut rng, &mut actions);
        for target in &targets {
            let name = target.name.clone();
            let age = Duration::from_millis(200);
            let load = Load { target: name, running: 40, queued: 0, tokens_per_second: 1.0, age };
            router.step(Duration::from_secs(1), Message::Load(load), &mut rng, &mut actions);
        }
        // Streams in flight at one node, as many as the project's sizing gives.
        let mut id = 0;
        for _ in 0..1000 {
            id += 1;
            let message =
                Message::Start { request: request(id, models), priority: 3, prefixes: vec![] };
            router.step(Duration::from_secs(1), message, &mut rng, &mut actions);
        }
        actions.clear();
        actions.shrink_to_fit();
        println!("state at {count} targets: {} bytes", USED.load(Ordering::Relaxed) - before);
        let mut now = Duration::from_secs(1);
        criterion.bench_function(&format!("start and end a request, {count} targets"), |bench| {
            bench.iter(|| {
                id += 1;
                now += Duration::from_micros(100);
                let message =
                    Message::Start { request: request(id, models), priority: 3, prefixes: vec![] };
                router.step(now, message, &mut rng, &mut actions);
                let ending = Ending::Complete;
                let message = Message::Ended { request: id, attempt: 1, next: 200, ending };
                router.step(now, message, &mut rng, &mut actions);
                black_box(&actions);
                actions.clear();
            });
        });
        let mut absent = 0;
        criterion.bench_function(&format!("one target less, {count} targets"), |bench| {
            bench.iter(|| {
                absent = (absent + 1) % count;
                let mut targets = targets.clone();
                targets.remove(absent);
                let fleet = Message::Fleet { targets, links: Vec::new() };
                router.step(now, fleet, &mut rng, &mut actions);
                actions.clear();
            });
        });
        criterion.bench_function(&format!("compute the plans, {count} targets"), |bench| {
            bench.iter(|| {
                let mut router = Router::new(Settings::default());
                let fleet = Message::Fleet { targets: targets.clone(), links: Vec::new() };
                router.step(Duration::ZERO, fleet, &mut rng, &mut actions);
                actions.clear();
            });
        });
    }
}

criterion_group! {
    name = benches;
    config = Criterion::default().sample_size(10).measurement_time(Duration::from_secs(2))
        .warm_up_time(Duration::from_millis(500));
    targets = decision
}
criterion_main!(benches);
