//! Measures routing in virtual time. Each row is printed as one line of JSON with the median and
//! the worst value over the seeds, the bound and the source of the bound.
//!
//! `cargo run --release -p route --example measure [SEEDS] [ROW] [POLICY]`

#[path = "../../tests/fake/mod.rs"]
mod fake;
#[path = "../../tests/fleets/mod.rs"]
mod fleets;
mod policy;
mod rows;

use std::sync::atomic::{AtomicU64, Ordering};

use policy::{POLICIES, Policy};
use rows::{ROWS, Row};

const SEEDS: u64 = 20;
const THREADS: usize = 4;

fn main() {
    let seeds = std::env::args().nth(1).and_then(|text| text.parse().ok()).unwrap_or(SEEDS);
    let only = std::env::args().nth(2);
    let one = std::env::args().nth(3);
    let wanted = |row: &&Row| only.as_deref().is_none_or(|only| row.name.contains(only));
    for row in ROWS.iter().filter(wanted) {
        let listed = POLICIES.iter().filter(|policy| row.policies.contains(&policy.name));
        for policy in listed.filter(|policy| one.as_deref().is_none_or(|one| one == policy.name)) {
            print(row, policy, seeds, &mut values(row, policy, seeds));
        }
    }
}

fn values(row: &Row, policy: &Policy, seeds: u64) -> Vec<f64> {
    let next = AtomicU64::new(0);
    let work = || {
        let mut values = Vec::new();
        loop {
            let seed = next.fetch_add(1, Ordering::Relaxed);
            if seed >= seeds {
                return values;
            }
            values.push((row.measure)(seed, &policy.settings()));
        }
    };
    std::thread::scope(|scope| {
        let threads: Vec<_> = (0..THREADS).map(|_| scope.spawn(work)).collect();
        let join = |thread: std::thread::ScopedJoinHandle<'_, Vec<f64>>| {
            thread.join().expect("a measure ends")
        };
        threads.into_iter().flat_map(join).collect()
    })
}

fn print(row: &Row, policy: &Policy, seeds: u64, values: &mut [f64]) {
    values.sort_by(f64::total_cmp);
    let median = values[values.len() / 2];
    let worst = if row.more_is_better { values[0] } else { values[values.len() - 1] };
    println!(
        "{{\"name\":\"{}\",\"policy\":\"{}\",\"seeds\":{seeds},\"median\":{median:.4},\
         \"worst\":{worst:.4},\"unit\":\"{}\",\"bound\":{},\"bound_source\":\"{}\"}}",
        row.name, policy.name, row.unit, row.bound, row.source,
    );
}
