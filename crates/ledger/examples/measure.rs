//! Measures of the ledger in virtual time, one JSON line each.
//!
//! `cargo run --release -p ledger --example measure`

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::time::Duration;

use fleet::RequestId;
use ledger::{
    Action, Key, Ledger, Message, Outcome, Record, Reply, SHARDS, Settings, Shard, ShardId,
    StoreResult, Ticket, Verdict, key_id, preferred, shard_of,
};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use smol_str::SmolStr;
use store::{Budget, Purpose, Rates};

const SEEDS: u64 = 20;
/// Rates of the store.
const STORE_WRITES: f64 = 300.0;
const STORE_READS: f64 = 2000.0;
/// One way to the store, least and most, in microseconds.
const ONE_WAY_US: (u64, u64) = (500, 3000);
/// Time that a booking takes at its target.
const SERVICE: Duration = Duration::from_millis(50);
/// Time before anything is counted: unused calls of the budgets are spent in it.
const WARM_UP: Duration = Duration::from_secs(2);
/// Time over which is counted.
const COUNTED: Duration = Duration::from_secs(3);
/// Body of a confirmation, in bytes.
const CONFIRMATION: usize = 200;

/// One run.
#[derive(Clone, Copy)]
struct Load {
    nodes: usize,
    /// Bookings per second.
    offered: f64,
    /// Most entries in one write.
    group: usize,
    /// Bookings reach the node that is preferred for their shard, as if forwarded at no cost.
    forwarded: bool,
    /// A node is lost when the count begins.
    loss: bool,
}

enum Happening {
    Booking,
    /// A call reaches the store.
    Store {
        node: usize,
        call: Action,
    },
    Tell {
        node: usize,
        message: Message,
    },
}

struct World {
    load: Load,
    now: Duration,
    rng: SmallRng,
    queue: BinaryHeap<Reverse<(Duration, u64)>>,
    happenings: HashMap<u64, Happening>,
    next: u64,
    nodes: Vec<Option<Ledger>>,
    names: Vec<SmolStr>,
    budgets: Vec<Budget>,
    shards: BTreeMap<ShardId, (u64, Vec<u8>)>,
    requests: HashMap<RequestId, (Key, Duration)>,
    seen: Seen,
}

/// What is counted.
#[derive(Default)]
struct Seen {
    run: u64,
    refused: u64,
    calls: u64,
    conflicts: u64,
    waits: Vec<Duration>,
    /// First claim of each shard after the loss.
    first: BTreeMap<ShardId, Duration>,
}

impl World {
    fn new(load: Load, seed: u64) -> Self {
        let names: Vec<SmolStr> =
            (0..load.nodes).map(|index| smol_str::format_smolstr!("n{index}")).collect();
        let share = 1.0 / load.nodes as f64;
        let rates = Rates { writes: STORE_WRITES * share, reads: STORE_READS * share };
        let settings = |index: usize| {
            Settings::builder(&names[index], index as u64 + 1).group(load.group).build()
        };
        Self {
            load,
            now: Duration::ZERO,
            rng: SmallRng::seed_from_u64(seed),
            queue: BinaryHeap::new(),
            happenings: HashMap::new(),
            next: 0,
            nodes: (0..load.nodes).map(|index| Some(Ledger::new(settings(index)))).collect(),
            budgets: vec![Budget::new(rates); load.nodes],
            names,
            shards: BTreeMap::new(),
            requests: HashMap::new(),
            seen: Seen::default(),
        }
    }

    fn at(&mut self, after: Duration, happening: Happening) {
        self.next += 1;
        self.queue.push(Reverse((self.now + after, self.next)));
        self.happenings.insert(self.next, happening);
    }

    fn one_way(&mut self) -> Duration {
        Duration::from_micros(self.rng.random_range(ONE_WAY_US.0..=ONE_WAY_US.1))
    }

    fn run(mut self) -> Seen {
        self.at(Duration::ZERO, Happening::Booking);
        let mut begun = false;
        while let Some(Reverse((at, number))) = self.queue.pop() {
            self.now = at;
            if at >= WARM_UP + COUNTED {
                break;
            }
            if at >= WARM_UP && !begun {
                begun = true;
                self.seen = Seen::default();
                if self.load.loss {
                    self.nodes[0] = None;
                    (0..SHARDS).for_each(|shard| self.book_in(shard));
                }
            }
            match self.happenings.remove(&number) {
                Some(Happening::Booking) => self.book(),
                Some(Happening::Store { node, call }) => self.store(node, call),
                Some(Happening::Tell { node, message }) => self.tell(node, message),
                None => {}
            }
        }
        self.seen
    }

    fn book(&mut self) {
        let gap = -self.rng.random_range(f64::EPSILON..1.0).ln() / self.load.offered;
        self.at(Duration::from_secs_f64(gap), Happening::Booking);
        let request: RequestId = self.rng.random();
        self.arrive(request);
    }

    /// A booking whose key falls into `shard`.
    fn book_in(&mut self, shard: ShardId) {
        loop {
            let request: RequestId = self.rng.random();
            if shard_of(&key_id(&key(request))) == shard {
                return self.arrive(request);
            }
        }
    }

    fn arrive(&mut self, request: RequestId) {
        let key = key(request);
        let alive: Vec<usize> =
            (0..self.nodes.len()).filter(|index| self.nodes[*index].is_some()).collect();
        let mut node = alive[self.rng.random_range(0..alive.len())];
        if self.load.forwarded {
            let names: Vec<SmolStr> =
                alive.iter().map(|index| self.names[*index].clone()).collect();
            let name = preferred(shard_of(&key_id(&key)), &names).expect("a node");
            node = self.names.iter().position(|other| other == name).expect("a known node");
        }
        self.requests.insert(request, (key.clone(), self.now));
        self.tell(node, Message::Claim { request, key, digest: 1 });
    }

    fn tell(&mut self, node: usize, message: Message) {
        let mut actions = Vec::new();
        let Some(ledger) = &mut self.nodes[node] else { return };
        ledger.step(self.now, message, &mut self.rng, &mut actions);
        for action in actions {
            match action {
                Action::Read { .. } | Action::Write { .. } => self.call(node, action),
                Action::Wake(after) => {
                    self.at(after, Happening::Tell { node, message: Message::Wake });
                }
                Action::Verdict { request, verdict } => self.verdict(node, request, &verdict),
                Action::Settled { .. } | Action::Log(_) => {}
            }
        }
    }

    fn verdict(&mut self, node: usize, request: RequestId, verdict: &Verdict) {
        let Some((key, arrived)) = self.requests.remove(&request) else { return };
        if !matches!(verdict, Verdict::Run { .. }) {
            self.seen.refused += 1;
            return;
        }
        self.seen.run += 1;
        self.seen.waits.push(self.now - arrived);
        if arrived >= WARM_UP {
            self.seen.first.entry(shard_of(&key_id(&key))).or_insert(self.now - WARM_UP);
        }
        let body = vec![0; CONFIRMATION];
        let outcome = Outcome::Answer { status: 200, content_type: "text/plain".into(), body };
        let message = Message::Settle { key, request, outcome };
        self.at(SERVICE, Happening::Tell { node, message });
    }

    /// A call leaves the node, if its budget allows.
    fn call(&mut self, node: usize, call: Action) {
        let budget = &mut self.budgets[node];
        let (ticket, allowed) = match &call {
            Action::Write { ticket, .. } => (*ticket, budget.take_write(self.now, Purpose::Ledger)),
            Action::Read { ticket, .. } => (*ticket, budget.take_read(self.now, Purpose::Ledger)),
            _ => return,
        };
        if !allowed {
            let message = Message::Store(Reply { ticket, result: StoreResult::RateLimited });
            self.at(Duration::ZERO, Happening::Tell { node, message });
            return;
        }
        self.seen.calls += 1;
        let way = self.one_way();
        self.at(way, Happening::Store { node, call });
    }

    fn store(&mut self, node: usize, call: Action) {
        let (ticket, result): (Ticket, StoreResult) = match call {
            Action::Read { ticket, shard } => (ticket, self.value(shard)),
            Action::Write { ticket, shard, revision, value } => {
                let stored = self.shards.entry(shard).or_default();
                if stored.0 == revision {
                    *stored = (revision + 1, value);
                    (ticket, StoreResult::Written { revision: revision + 1 })
                } else {
                    self.seen.conflicts += 1;
                    (ticket, self.value(shard))
                }
            }
            _ => return,
        };
        let way = self.one_way();
        let message = Message::Store(Reply { ticket, result });
        self.at(way, Happening::Tell { node, message });
    }

    fn value(&self, shard: ShardId) -> StoreResult {
        let (revision, value) = self.shards.get(&shard).cloned().unwrap_or_default();
        StoreResult::Value { revision, value }
    }
}

fn key(request: RequestId) -> Key {
    let text = smol_str::format_smolstr!("{request:x}");
    Key { organisation: "fair".into(), service: "book".into(), text }
}

fn per_second(seen: &Seen) -> f64 {
    seen.run as f64 / COUNTED.as_secs_f64()
}

fn calls(seen: &Seen) -> f64 {
    seen.calls as f64 / seen.run.max(1) as f64
}

fn refused(seen: &Seen) -> f64 {
    seen.refused as f64 / (seen.run + seen.refused).max(1) as f64
}

fn wait_p99(seen: &Seen) -> f64 {
    let mut waits = seen.waits.clone();
    waits.sort_unstable();
    let rank = waits.len() * 99 / 100;
    waits.get(rank).map_or(f64::NAN, |wait| wait.as_secs_f64() * 1000.0)
}

/// Time after the loss until every shard has taken a booking made after it.
fn recovery(seen: &Seen) -> f64 {
    if seen.first.len() < SHARDS as usize {
        return f64::INFINITY;
    }
    seen.first.values().max().map_or(f64::INFINITY, Duration::as_secs_f64)
}

struct Row {
    name: &'static str,
    load: Load,
    value: fn(&Seen) -> f64,
    unit: &'static str,
    /// Whether more is better.
    more: bool,
    bound: Option<f64>,
    source: &'static str,
}

const FULL: Load =
    Load { nodes: 4, offered: 1000.0, group: usize::MAX, forwarded: false, loss: false };
const CALM: Load = Load { offered: 20.0, ..FULL };
const BASE: Row = Row {
    name: "",
    load: FULL,
    value: per_second,
    unit: "1/s",
    more: true,
    bound: None,
    source: "none: against one write for each claim and each outcome",
};

const ROWS: &[Row] = &[
    Row { name: "bookings-group-commit-1-node", load: Load { nodes: 1, ..FULL }, ..BASE },
    Row { name: "bookings-group-commit-4-nodes", ..BASE },
    Row {
        name: "bookings-group-commit-4-nodes-forwarded",
        load: Load { forwarded: true, ..FULL },
        ..BASE
    },
    Row {
        name: "bookings-one-write-each-1-node",
        load: Load { nodes: 1, group: 1, ..FULL },
        ..BASE
    },
    Row { name: "bookings-one-write-each-4-nodes", load: Load { group: 1, ..FULL }, ..BASE },
    Row { name: "bookings-offered-150-4-nodes", load: Load { offered: 150.0, ..FULL }, ..BASE },
    Row {
        name: "refused-offered-150-4-nodes",
        load: Load { offered: 150.0, ..FULL },
        value: refused,
        unit: "share",
        more: false,
        ..BASE
    },
    Row {
        name: "refused-offered-150-4-nodes-forwarded",
        load: Load { offered: 150.0, forwarded: true, ..FULL },
        value: refused,
        unit: "share",
        more: false,
        ..BASE
    },
    Row {
        name: "claim-wait-p99-offered-20",
        load: CALM,
        value: wait_p99,
        unit: "ms",
        more: false,
        ..BASE
    },
    Row {
        name: "claim-wait-p99-offered-150",
        load: Load { offered: 150.0, ..FULL },
        value: wait_p99,
        unit: "ms",
        more: false,
        ..BASE
    },
    Row {
        name: "claim-wait-p99-offered-1000-forwarded",
        load: Load { forwarded: true, ..FULL },
        value: wait_p99,
        unit: "ms",
        more: false,
        ..BASE
    },
    Row {
        name: "store-calls-per-booking-offered-20",
        load: CALM,
        value: calls,
        unit: "calls",
        more: false,
        ..BASE
    },
    Row {
        name: "store-calls-per-booking-offered-20-forwarded",
        load: Load { forwarded: true, ..CALM },
        value: calls,
        unit: "calls",
        more: false,
        ..BASE
    },
    Row {
        name: "store-calls-per-booking-offered-1000",
        value: calls,
        unit: "calls",
        more: false,
        ..BASE
    },
    Row {
        name: "store-calls-per-booking-offered-1000-forwarded",
        load: Load { forwarded: true, ..FULL },
        value: calls,
        unit: "calls",
        more: false,
        ..BASE
    },
    Row {
        name: "bookings-again-in-all-shards-after-loss-of-a-node-forwarded",
        load: Load { offered: 100.0, loss: true, forwarded: true, ..FULL },
        value: recovery,
        unit: "s",
        more: false,
        bound: Some(1.0),
        source: "entry VM killed: bookings accepted again for all keys within 1 s",
    },
    Row {
        name: "bookings-again-in-all-shards-after-loss-of-a-node",
        load: Load { offered: 100.0, loss: true, ..FULL },
        value: recovery,
        unit: "s",
        more: false,
        bound: Some(1.0),
        source: "entry VM killed: bookings accepted again for all keys within 1 s",
    },
];

fn print(row: &Row) {
    let mut values: Vec<f64> =
        (0..SEEDS).map(|seed| (row.value)(&World::new(row.load, seed).run())).collect();
    values.sort_by(f64::total_cmp);
    let median = values[values.len() / 2];
    let worst = if row.more { values[0] } else { values[values.len() - 1] };
    let bound = row.bound.map_or("null".to_owned(), |bound| bound.to_string());
    println!(
        r#"{{"name": "{}", "seeds": {SEEDS}, "median": {median:.4}, "worst": {worst:.4}, "unit": "{}", "bound": {bound}, "bound_source": "{}"}}"#,
        row.name, row.unit, row.source
    );
}

/// Sizes of the stored form; they do not depend on a seed.
fn sizes() {
    let record = |outcome| Record {
        life: u64::MAX,
        request: RequestId::MAX,
        digest: u64::MAX,
        at: Duration::from_secs(24 * 60 * 60),
        outcome,
    };
    let body = vec![0; CONFIRMATION];
    let answer = Outcome::Answer { status: 200, content_type: "application/json".into(), body };
    for (name, outcome) in
        [("bytes-per-open-claim", None), ("bytes-per-claim-with-200-byte-answer", Some(answer))]
    {
        let mut shard = Shard::default();
        let count = 1000_u128;
        for number in 0..count {
            shard.put(number.to_le_bytes(), record(outcome.clone()));
        }
        let bytes = shard.encode().len() as f64 / count as f64;
        println!(
            r#"{{"name": "{name}", "seeds": 0, "median": {bytes:.1}, "worst": {bytes:.1}, "unit": "bytes", "bound": null, "bound_source": "none: stored form of 1000 records"}}"#
        );
    }
}

fn main() {
    for row in ROWS {
        print(row);
    }
    sizes();
}
