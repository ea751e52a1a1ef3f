//! Cost of one path selection, at present deployment sizes and at the size to design for; for the
//! mean prompt, and for one of known length.

#![allow(missing_docs)]

use std::hint::black_box;
use std::net::SocketAddr;
use std::time::Duration;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use fleet::Layers;
use path::{Prompt, Query, Table};
use sample::model;
use site::{State, Target};

const NOW: Duration = Duration::from_secs(100);
/// Number of VMs that share the engines.
const VMS: usize = 97;
/// Number of layers that each engine holds.
const LAYERS_HELD: u16 = 8;

/// Returns a table of `engines` engines, spread over `domains` failure domains and the layers of
/// the model.
fn table(engines: u16, domains: u16) -> Table {
    let mut table = Table::new("d0".into());
    table.vms = VMS;
    for number in 0..engines {
        let start = number / domains % (80 / LAYERS_HELD) * LAYERS_HELD;
        let [high, low] = number.to_be_bytes();
        table.set(
            NOW,
            Target {
                id: format!("i-{number}").into(),
                service: "s".into(),
                address: SocketAddr::from(([10, 0, high, low], 80)),
                domain: format!("d{}", number % domains).into(),
                state: State::Ready,
                started_unix_ms: 1,
                slots: 192,
                card: "l4".into(),
                layers: Some(Layers::new(start, start + LAYERS_HELD)),
            },
        );
    }
    table
}

fn select(criterion: &mut Criterion) {
    let model = model();
    let mut group = criterion.benchmark_group("path");
    for (engines, domains) in [(39, 3), (98, 4), (2100, 4)] {
        let table = table(engines, domains);
        let prompt = Prompt::new(&model, 2_280.0, Duration::from_millis(500)).with_seed(1);
        for (name, prompt) in [("mean", None), ("mixed", Some(prompt))] {
            group.bench_function(BenchmarkId::new(name, engines), |bencher| {
                let query = Query {
                    service: "s",
                    excluded: &[],
                    allowed_first: None,
                    closed_first: &[],
                    tokens: 944.0,
                    prompt,
                };
                bencher.iter(|| black_box(table.path(NOW, &model, &query)));
            });
        }
    }
    group.finish();
}

criterion_group!(benches, select);
criterion_main!(benches);
