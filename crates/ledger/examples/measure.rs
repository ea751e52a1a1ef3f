//! Measures the ledger in a simulation in virtual time and prints one JSON line per measure.
//!
//! `cargo run --release -p ledger --example measure`

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::time::Duration;

use fleet::RequestId;
use ledger::{
    Action, Key, Ledger, Message, Outcome, Record, Reply, SHARD_COUNT, Settings, Shard, ShardId,
    StoreResult, Ticket, Verdict, key_id, preferred_node, shard_of,
};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use smol_str::SmolStr;
use store::{Budget, Purpose, Rates};

const SEEDS: u64 = 20;
/// Rate limits of the store, in calls per second.
const STORE_WRITES: f64 = 300.0;
const STORE_READS: f64 = 2000.0;
/// Range of the one-way latency to the store, in microseconds.
const ONE_WAY_US: (u64, u64) = (500, 3000);
/// Time that a target takes for a booking.
const SERVICE_TIME: Duration = Duration::from_millis(50);
/// Time before the measurement, in which the calls saved up in the budgets are used.
const WARM_UP: Duration = Duration::from_secs(2);
/// Duration of the measurement.
const MEASUREMENT_TIME: Duration = Duration::from_secs(3);
/// Size of the body of a confirmation, in bytes.
const CONFIRMATION_BYTES: usize = 200;

/// Parameters of one run.
#[derive(Clone, Copy)]
struct Load {
    nodes: usize,
    /// Offered bookings per second.
    offered: f64,
    /// Maximum number of entries in one write.
    max_batch: usize,
    /// Whether bookings arrive at the preferred node of their shard, as if forwarded at no cost.
    forwarded: bool,
    /// Whether a node is lost when the measurement starts.
    loss: bool,
}

enum Event {
    Booking,
    /// A call arrives at the store.
    Store {
        node: usize,
        call: Action,
    },
    Deliver {
        node: usize,
        message: Message,
    },
}

struct World {
    load: Load,
    now: Duration,
    rng: SmallRng,
    queue: BinaryHeap<Reverse<(Duration, u64)>>,
    events: HashMap<u64, Event>,
    next: u64,
    nodes: Vec<Option<Ledger>>,
    names: Vec<SmolStr>,
    budgets: Vec<Budget>,
    shards: BTreeMap<ShardId, (u64, Vec<u8>)>,
    requests: HashMap<RequestId, (Key, Duration)>,
    counts: Counts,
}

/// Counts and times of the measurement.
#[derive(Default)]
struct Counts {
    run: u64,
    refused: u64,
    calls: u64,
    conflicts: u64,
    waits: Vec<Duration>,
    /// Time from the start of the measurement, and so from the loss of a node if there is one, to the
    /// first claim granted in each shard to a booking that arrived in between.
    first_claim: BTreeMap<ShardId, Duration>,
}

impl World {
    fn new(load: Load, seed: u64) -> Self {
        let names: Vec<SmolStr> =
            (0..load.nodes).map(|index| smol_str::format_smolstr!("n{index}")).collect();
        let share = 1.0 / load.nodes as f64;
        let rates = Rates { writes: STORE_WRITES * share, reads: STORE_READS * share };
        let settings = |index: usize| {
            Settings::builder(&names[index], index as u64 + 1).max_batch(load.max_batch).build()
        };
        Self {
            load,
            now: Duration::ZERO,
            rng: SmallRng::seed_from_u64(seed),
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            next: 0,
            nodes: (0..load.nodes).map(|index| Some(Ledger::new(settings(index)))).collect(),
            budgets: vec![Budget::new(rates); load.nodes],
            names,
            shards: BTreeMap::new(),
            requests: HashMap::new(),
            counts: Counts::default(),
        }
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.next += 1;
        self.queue.push(Reverse((self.now + after, self.next)));
        self.events.insert(self.next, event);
    }

    fn one_way(&mut self) -> Duration {
        Duration::from_micros(self.rng.random_range(ONE_WAY_US.0..=ONE_WAY_US.1))
    }

    fn run(mut self) -> Counts {
        self.schedule(Duration::ZERO, Event::Booking);
        let mut counting = false;
        while let Some(Reverse((at, number))) = self.queue.pop() {
            self.now = at;
            if at >= WARM_UP + MEASUREMENT_TIME {
                break;
            }
            if at >= WARM_UP && !counting {
                counting = true;
                self.counts = Counts::default();
                if self.load.loss {
                    self.nodes[0] = None;
                    (0..SHARD_COUNT).for_each(|shard| self.book_in(shard));
                }
            }
            match self.events.remove(&number) {
                Some(Event::Booking) => self.book(),
                Some(Event::Store { node, call }) => self.store(node, call),
                Some(Event::Deliver { node, message }) => self.deliver(node, message),
                None => {}
            }
        }
        self.counts
    }

    fn book(&mut self) {
        let gap = -self.rng.random_range(f64::EPSILON..1.0).ln() / self.load.offered;
        self.schedule(Duration::from_secs_f64(gap), Event::Booking);
        let request: RequestId = self.rng.random();
        self.arrive(request);
    }

    /// Makes a booking whose key belongs to `shard`.
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
            let name = preferred_node(shard_of(&key_id(&key)), &names).expect("a node");
            node = self.names.iter().position(|other| other == name).expect("a known node");
        }
        self.requests.insert(request, (key.clone(), self.now));
        self.deliver(node, Message::Claim { request, key, digest: 1 });
    }

    fn deliver(&mut self, node: usize, message: Message) {
        let mut actions = Vec::new();
        let Some(ledger) = &mut self.nodes[node] else { return };
        ledger.step(self.now, message, &mut self.rng, &mut actions);
        for action in actions {
            match action {
                Action::Read { .. } | Action::Write { .. } => self.call(node, action),
                Action::Wake(after) => {
                    self.schedule(after, Event::Deliver { node, message: Message::Wake });
                }
                Action::Verdict { request, verdict } => self.verdict(node, request, &verdict),
                Action::Settled { .. } | Action::Log(_) => {}
            }
        }
    }

    fn verdict(&mut self, node: usize, request: RequestId, verdict: &Verdict) {
        let Some((key, arrived)) = self.requests.remove(&request) else { return };
        if !matches!(verdict, Verdict::Run { .. }) {
            self.counts.refused += 1;
            return;
        }
        self.counts.run += 1;
        self.counts.waits.push(self.now - arrived);
        if arrived >= WARM_UP {
            self.counts.first_claim.entry(shard_of(&key_id(&key))).or_insert(self.now - WARM_UP);
        }
        let body = vec![0; CONFIRMATION_BYTES];
        let outcome = Outcome::Answer { status: 200, content_type: "text/plain".into(), body };
        let message = Message::Settle { key, request, outcome };
        self.schedule(SERVICE_TIME, Event::Deliver { node, message });
    }

    /// Sends a store call of a node if the node's budget allows it.
    fn call(&mut self, node: usize, call: Action) {
        let budget = &mut self.budgets[node];
        let (ticket, allowed) = match &call {
            Action::Write { ticket, .. } => (*ticket, budget.take_write(self.now, Purpose::Ledger)),
            Action::Read { ticket, .. } => (*ticket, budget.take_read(self.now, Purpose::Ledger)),
            _ => return,
        };
        if !allowed {
            let message = Message::Store(Reply { ticket, result: StoreResult::RateLimited });
            self.schedule(Duration::ZERO, Event::Deliver { node, message });
            return;
        }
        self.counts.calls += 1;
        let way = self.one_way();
        self.schedule(way, Event::Store { node, call });
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
                    self.counts.conflicts += 1;
                    (ticket, self.value(shard))
                }
            }
            _ => return,
        };
        let way = self.one_way();
        let message = Message::Store(Reply { ticket, result });
        self.schedule(way, Event::Deliver { node, message });
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

fn bookings_per_second(counts: &Counts) -> f64 {
    counts.run as f64 / MEASUREMENT_TIME.as_secs_f64()
}

fn calls_per_booking(counts: &Counts) -> f64 {
    counts.calls as f64 / counts.run.max(1) as f64
}

fn refused_share(counts: &Counts) -> f64 {
    counts.refused as f64 / (counts.run + counts.refused).max(1) as f64
}

fn wait_p99(counts: &Counts) -> f64 {
    let mut waits = counts.waits.clone();
    waits.sort_unstable();
    let rank = waits.len() * 99 / 100;
    waits.get(rank).map_or(f64::NAN, |wait| wait.as_secs_f64() * 1000.0)
}

/// Returns the time from the loss until each shard has accepted a booking made after it, in
/// seconds.
fn recovery_time(counts: &Counts) -> f64 {
    if counts.first_claim.len() < SHARD_COUNT as usize {
        return f64::INFINITY;
    }
    counts.first_claim.values().max().map_or(f64::INFINITY, Duration::as_secs_f64)
}

struct Row {
    name: &'static str,
    load: Load,
    value: fn(&Counts) -> f64,
    unit: &'static str,
    higher_is_better: bool,
    bound: Option<f64>,
    source: &'static str,
}

const HEAVY: Load =
    Load { nodes: 4, offered: 1000.0, max_batch: usize::MAX, forwarded: false, loss: false };
const LIGHT: Load = Load { offered: 20.0, ..HEAVY };
const DEFAULT_ROW: Row = Row {
    name: "",
    load: HEAVY,
    value: bookings_per_second,
    unit: "1/s",
    higher_is_better: true,
    bound: None,
    source: "none: against one write for each claim and each outcome",
};

const ROWS: &[Row] = &[
    Row { name: "bookings-group-commit-1-node", load: Load { nodes: 1, ..HEAVY }, ..DEFAULT_ROW },
    Row { name: "bookings-group-commit-4-nodes", ..DEFAULT_ROW },
    Row {
        name: "bookings-group-commit-4-nodes-forwarded",
        load: Load { forwarded: true, ..HEAVY },
        ..DEFAULT_ROW
    },
    Row {
        name: "bookings-one-write-each-1-node",
        load: Load { nodes: 1, max_batch: 1, ..HEAVY },
        ..DEFAULT_ROW
    },
    Row {
        name: "bookings-one-write-each-4-nodes",
        load: Load { max_batch: 1, ..HEAVY },
        ..DEFAULT_ROW
    },
    Row {
        name: "bookings-offered-150-4-nodes",
        load: Load { offered: 150.0, ..HEAVY },
        ..DEFAULT_ROW
    },
    Row {
        name: "refused-offered-150-4-nodes",
        load: Load { offered: 150.0, ..HEAVY },
        value: refused_share,
        unit: "share",
        higher_is_better: false,
        ..DEFAULT_ROW
    },
    Row {
        name: "refused-offered-150-4-nodes-forwarded",
        load: Load { offered: 150.0, forwarded: true, ..HEAVY },
        value: refused_share,
        unit: "share",
        higher_is_better: false,
        ..DEFAULT_ROW
    },
    Row {
        name: "claim-wait-p99-offered-20",
        load: LIGHT,
        value: wait_p99,
        unit: "ms",
        higher_is_better: false,
        ..DEFAULT_ROW
    },
    Row {
        name: "claim-wait-p99-offered-150",
        load: Load { offered: 150.0, ..HEAVY },
        value: wait_p99,
        unit: "ms",
        higher_is_better: false,
        ..DEFAULT_ROW
    },
    Row {
        name: "claim-wait-p99-offered-1000-forwarded",
        load: Load { forwarded: true, ..HEAVY },
        value: wait_p99,
        unit: "ms",
        higher_is_better: false,
        ..DEFAULT_ROW
    },
    Row {
        name: "store-calls-per-booking-offered-20",
        load: LIGHT,
        value: calls_per_booking,
        unit: "calls",
        higher_is_better: false,
        ..DEFAULT_ROW
    },
    Row {
        name: "store-calls-per-booking-offered-20-forwarded",
        load: Load { forwarded: true, ..LIGHT },
        value: calls_per_booking,
        unit: "calls",
        higher_is_better: false,
        ..DEFAULT_ROW
    },
    Row {
        name: "store-calls-per-booking-offered-1000",
        value: calls_per_booking,
        unit: "calls",
        higher_is_better: false,
        ..DEFAULT_ROW
    },
    Row {
        name: "store-calls-per-booking-offered-1000-forwarded",
        load: Load { forwarded: true, ..HEAVY },
        value: calls_per_booking,
        unit: "calls",
        higher_is_better: false,
        ..DEFAULT_ROW
    },
    Row {
        name: "bookings-again-in-all-shards-after-loss-of-a-node-forwarded",
        load: Load { offered: 100.0, loss: true, forwarded: true, ..HEAVY },
        value: recovery_time,
        unit: "s",
        higher_is_better: false,
        bound: Some(1.0),
        source: "entry VM killed: bookings accepted again for all keys within 1 s",
    },
    Row {
        name: "bookings-again-in-all-shards-after-loss-of-a-node",
        load: Load { offered: 100.0, loss: true, ..HEAVY },
        value: recovery_time,
        unit: "s",
        higher_is_better: false,
        bound: Some(1.0),
        source: "entry VM killed: bookings accepted again for all keys within 1 s",
    },
];

fn print_row(row: &Row) {
    let mut values: Vec<f64> =
        (0..SEEDS).map(|seed| (row.value)(&World::new(row.load, seed).run())).collect();
    values.sort_by(f64::total_cmp);
    let median = values[values.len() / 2];
    let worst = if row.higher_is_better { values[0] } else { values[values.len() - 1] };
    let bound = row.bound.map_or("null".to_owned(), |bound| bound.to_string());
    println!(
        r#"{{"name": "{}", "seeds": {SEEDS}, "median": {median:.4}, "worst": {worst:.4}, "unit": "{}", "bound": {bound}, "bound_source": "{}"}}"#,
        row.name, row.unit, row.source
    );
}

/// Prints sizes of the stored form, which do not depend on a seed.
fn print_sizes() {
    let record = |outcome| Record {
        incarnation: u64::MAX,
        request: RequestId::MAX,
        digest: u64::MAX,
        at: Duration::from_secs(24 * 60 * 60),
        outcome,
    };
    let body = vec![0; CONFIRMATION_BYTES];
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
        print_row(row);
    }
    print_sizes();
}
