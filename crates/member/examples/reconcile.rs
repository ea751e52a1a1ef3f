//! Compares methods of set reconciliation by the bytes and time to find the differences of two
//! nodes' facts: digests of buckets, one counter per origin, and rateless coded symbols as in
//! Yang, Gilad, Alizadeh, "Practical Rateless Set Reconciliation" (SIGCOMM 2024).
//!
//! `cargo run --release -p member --example reconcile`. An item is an 8-byte hash of a fact's key
//! and version. The bytes of the missing facts themselves are the same for all methods and not
//! counted.

use std::collections::BTreeMap;
use std::time::Instant;

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

const ITEM_BYTES: usize = 8;
/// Sum and checksum of 8 bytes each, and a count of one byte.
const SYMBOL_BYTES: usize = 17;
/// Size of a node's index and its counter.
const COUNTER_BYTES: usize = 12;
const SEEDS: u64 = 20;

fn main() {
    for (nodes, common) in [(4, 100), (620, 1_000), (620, 10_000)] {
        for differences in [1, 10, 100, 1_000, 10_000] {
            let mut rows = [vec![], vec![], vec![]];
            for seed in 0..SEEDS {
                let (one, two) = sets(common, differences, seed);
                rows[0].push(timed(|| bucket_digest_bytes(&one, &two)));
                rows[1].push(timed(|| coded_symbol_bytes(&one, &two, differences)));
                rows[2].push((one.len().max(two.len()) * ITEM_BYTES, 0.0));
            }
            report("bucket digests", nodes, common, differences, &rows[0]);
            report("rateless symbols", nodes, common, differences, &rows[1]);
            report("all items", nodes, common, differences, &rows[2]);
        }
        println!(
            "{}",
            serde_json::json!({"name": "counters by origin", "nodes": nodes,
                "bytes": nodes * COUNTER_BYTES, "measured": false})
        );
    }
}

fn report(name: &str, nodes: usize, common: usize, differences: usize, rows: &[(usize, f64)]) {
    let mut bytes: Vec<usize> = rows.iter().map(|(bytes, _)| *bytes).collect();
    let mut micros: Vec<f64> = rows.iter().map(|(_, micros)| *micros).collect();
    bytes.sort_unstable();
    micros.sort_by(f64::total_cmp);
    let line = serde_json::json!({
        "name": name, "nodes": nodes, "common": common, "differences": differences,
        "seeds": rows.len(), "median_bytes": bytes[bytes.len() / 2],
        "worst_bytes": bytes[bytes.len() - 1],
        "median_us": micros[micros.len() / 2].round(),
        "worst_us": micros[micros.len() - 1].round(),
    });
    println!("{line}");
}

fn timed(run: impl FnOnce() -> usize) -> (usize, f64) {
    let started = Instant::now();
    let bytes = run();
    (bytes, started.elapsed().as_secs_f64() * 1e6)
}

/// Returns two sets that share `common` items and differ in `differences` items, half of them on
/// each side.
fn sets(common: usize, differences: usize, seed: u64) -> (Vec<u64>, Vec<u64>) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut one: Vec<u64> = (0..common).map(|_| rng.random()).collect();
    let mut two = one.clone();
    for index in 0..differences {
        if index % 2 == 0 { one.push(rng.random()) } else { two.push(rng.random()) }
    }
    (one, two)
}

/// Returns the bytes of digests of buckets of about 16 items each, and of the items of the
/// buckets that differ.
fn bucket_digest_bytes(one: &[u64], two: &[u64]) -> usize {
    let count = (one.len().max(two.len()) / 16).next_power_of_two().max(4);
    let split = |items: &[u64]| {
        let mut buckets = vec![Vec::new(); count];
        for item in items {
            buckets[(item >> 32) as usize % count].push(*item);
        }
        buckets
    };
    let digest = |items: &Vec<u64>| items.iter().fold(0, |sum, item| sum ^ item);
    let (one, two) = (split(one), split(two));
    let mut bytes = count * ITEM_BYTES;
    let mut missing = 0;
    for (ours, theirs) in one.iter().zip(&two) {
        if digest(ours) != digest(theirs) {
            // One side sends its items, and the other requests those that it lacks.
            bytes += ours.len() * ITEM_BYTES;
            missing += ours.iter().filter(|item| !theirs.contains(item)).count();
        }
    }
    bytes + missing * ITEM_BYTES
}

#[derive(Clone, Copy, Default)]
struct Symbol {
    sum: u64,
    checksum: u64,
    count: i64,
}

impl Symbol {
    fn add(&mut self, item: u64, sign: i64) {
        self.sum ^= item;
        self.checksum ^= checksum(item);
        self.count += sign;
    }

    fn pure(&self) -> bool {
        self.count.abs() == 1 && checksum(self.sum) == self.checksum
    }
}

/// Iterates over the indices of the coded symbols that an item is mapped to; it is mapped to an
/// index with probability 1 / (1 + index / 2).
struct Mapping {
    state: u64,
    index: u64,
}

impl Mapping {
    fn new(item: u64) -> Self {
        Self { state: item, index: 0 }
    }

    fn advance(&mut self) {
        self.state = mix(self.state);
        let random = (self.state >> 11) as f64 / (1_u64 << 53) as f64;
        let place = 1.5 + self.index as f64;
        let gap = ((place * place - random / 4.0) / (1.0 - random)).sqrt() - place;
        self.index += (gap.ceil() as u64).max(1);
    }
}

/// Items with their signs, by the next index to which they are mapped.
type Pending = BTreeMap<u64, Vec<(u64, i64, Mapping)>>;

/// Returns the bytes of the coded symbols sent until the other side has decoded all differences,
/// and of the items that one side lacks.
fn coded_symbol_bytes(one: &[u64], two: &[u64], differences: usize) -> usize {
    let mut pending = Pending::new();
    let signed = one.iter().map(|item| (*item, 1)).chain(two.iter().map(|item| (*item, -1)));
    pending.insert(0, signed.map(|(item, sign)| (item, sign, Mapping::new(item))).collect());
    let mut symbols: Vec<Symbol> = Vec::new();
    let mut decoded: Vec<(u64, i64)> = Vec::new();
    let mut next_peel = 0;
    loop {
        let index = symbols.len() as u64;
        let mut symbol = Symbol::default();
        for (item, sign, mut mapping) in pending.remove(&index).unwrap_or_default() {
            symbol.add(item, sign);
            mapping.advance();
            pending.entry(mapping.index).or_default().push((item, sign, mapping));
        }
        symbols.push(symbol);
        // Peeling is attempted whenever the number of symbols has grown by about 3 %.
        let peeled = symbols.len() >= next_peel;
        if peeled {
            peel(&mut symbols, &mut decoded, &mut pending);
            next_peel = symbols.len() + symbols.len() / 32 + 1;
        }
        if peeled && symbols[0].count == 0 && symbols[0].sum == 0 && symbols[0].checksum == 0 {
            assert_eq!(decoded.len(), differences);
            let missing = decoded.iter().filter(|(_, sign)| *sign < 0).count();
            return symbols.len() * SYMBOL_BYTES + missing * ITEM_BYTES;
        }
    }
}

/// Decodes items from symbols that hold a single item, and removes them from all other symbols,
/// including later ones.
fn peel(symbols: &mut [Symbol], decoded: &mut Vec<(u64, i64)>, pending: &mut Pending) {
    let mut pure: Vec<usize> = (0..symbols.len()).filter(|at| symbols[*at].pure()).collect();
    while let Some(at) = pure.pop() {
        if !symbols[at].pure() {
            continue;
        }
        let (item, sign) = (symbols[at].sum, symbols[at].count);
        decoded.push((item, sign));
        let mut mapping = Mapping::new(item);
        while (mapping.index as usize) < symbols.len() {
            let index = mapping.index as usize;
            symbols[index].add(item, -sign);
            if symbols[index].pure() {
                pure.push(index);
            }
            mapping.advance();
        }
        pending.entry(mapping.index).or_default().push((item, -sign, mapping));
    }
}

/// SplitMix64.
fn mix(state: u64) -> u64 {
    let mut mixed = state.wrapping_add(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

fn checksum(item: u64) -> u64 {
    mix(item ^ 0x5bd1_e995)
}
