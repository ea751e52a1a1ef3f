//! Measures of membership in virtual time, one line of JSON for each.
//!
//! `cargo run --release -p member --example measure [NAME]` runs all measures or those whose
//! name begins with NAME.

#[path = "../tests/common/mod.rs"]
mod common;

use std::env;
use std::time::Duration;

use common::{Net, entry, ms, target};
use fleet::Standing;
use member::{Heartbeat, Message, Settings, State, Update};
use prost::Message as _;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};

const SIZES: [usize; 4] = [4, 32, 128, 620];
const ORGANISATIONS: usize = 520;
const TARGETS: usize = 2_100;
const POLLS_PER_SECOND: f64 = 40.0;
/// Warm-up in which the news of all starts has spread.
const WARM: Duration = Duration::from_secs(6);

/// What a measure is held against.
#[derive(Clone, Copy)]
struct Bound {
    value: f64,
    source: &'static str,
}

const NONE: Option<Bound> = None;
const PRESET: Option<Bound> = Some(Bound { value: 2.0, source: "preset in force, 2 s" });
const LEAVING: Option<Bound> = Some(Bound { value: 2.0, source: "leaving target, 2 s" });
const BYTES: Option<Bound> = Some(Bound { value: 8_000.0, source: "control per node, 8 KB/s" });
const CORE: Option<Bound> = Some(Bound { value: 1.5, source: "control per node, 1.5%" });
const MEMORY: Option<Bound> = Some(Bound { value: 128.0, source: "control per node, 128 MB" });
const FRESH: Option<Bound> = Some(Bound { value: 5.0, source: "preset::Settings::freshness" });

fn row(name: &str, mut values: Vec<f64>, unit: &str, bound: Option<Bound>) {
    values.sort_by(f64::total_cmp);
    let seeds = values.len();
    let median = values[seeds / 2];
    let worst = values[seeds - 1];
    let bound_value = bound.map(|bound| bound.value);
    let line = serde_json::json!({
        "name": name, "seeds": seeds, "median": round(median), "worst": round(worst),
        "unit": unit, "bound": bound_value, "source": bound.map(|bound| bound.source),
        "holds": bound_value.map(|bound| worst <= bound),
    });
    println!("{line}");
}

fn round(value: f64) -> f64 {
    (value * 1e6).round() / 1e6
}

fn seeds(count: usize) -> u64 {
    if count > 200 { 20 } else { 40 }
}

/// A net that has run long enough for the news of its start to be over.
fn warm(count: usize, seed: u64, settings: impl Fn(Settings) -> Settings) -> Net {
    let mut net = Net::new(count, seed, settings);
    net.run(WARM + ms(seed * 37));
    net
}

fn main() {
    let only = env::args().nth(1).unwrap_or_default();
    let measures: [(&str, fn()); 8] = [
        ("spread", spread),
        ("preset", preset_in_force),
        ("proof", proof_age),
        ("detect", detection),
        ("false", false_suspicions),
        ("cost", cost),
        ("memory", memory),
        ("demand", demand_error),
    ];
    for (name, measure) in measures {
        if name.starts_with(&only) {
            measure();
        }
    }
}

fn spread() {
    for count in SIZES {
        for push in [true, false] {
            let found: Vec<f64> = (0..seeds(count))
                .map(|seed| {
                    let mut net = warm(count, seed, |settings| Settings { push, ..settings });
                    let begun = net.now;
                    net.step(0, Message::Leaving("e1".into()));
                    net.run(begun + ms(6_000));
                    let at = net.seats.iter().skip(1).map(|seat| seat.view.leaving["e1"]).max();
                    (at.unwrap_or_default() - begun).as_secs_f64()
                })
                .collect();
            let how = if push { "pushed" } else { "by rounds" };
            let rounds = found.iter().map(|seconds| seconds / 0.5).collect();
            row(&format!("leaving known to all, {how}, {count} nodes"), found, "s", LEAVING);
            row(&format!("the same in rounds, {how}, {count} nodes"), rounds, "rounds", NONE);
        }
    }
}

fn preset_in_force() {
    for count in SIZES {
        for watches in [count, 8, 0] {
            let found = (0..seeds(count)).map(|seed| preset_once(count, watches, seed)).collect();
            let name = format!("preset accepted to in force, {watches} watches, {count} nodes");
            row(&name, found, "s", PRESET);
        }
    }
}

/// Time until all have a version that is accepted now. Polls and watches answer in 2 ms.
fn preset_once(count: usize, watches: usize, seed: u64) -> f64 {
    let mut net = warm(count, seed, |settings| settings);
    let mut rng = SmallRng::seed_from_u64(seed);
    let begun = net.now;
    let all: Vec<usize> = (0..count).collect();
    let watching: Vec<usize> = all.sample(&mut rng, watches.min(count)).copied().collect();
    let period = (count as f64 / POLLS_PER_SECOND).max(1.0);
    let mut learns: Vec<(Duration, usize)> = all
        .iter()
        .map(|node| (begun + Duration::from_secs_f64(rng.random_range(0.0..period)), *node))
        .chain(watching.into_iter().map(|node| (begun, node)))
        .map(|(at, node)| (at + ms(2), node))
        .collect();
    learns.sort();
    for (at, node) in learns {
        net.run(at);
        if net.seats.iter().all(|seat| seat.view.preset == 1) {
            break;
        }
        net.put(node, 1);
    }
    net.run(net.now + ms(3_000));
    let at = net.seats.iter().map(|seat| seat.view.preset_at).max().unwrap_or_default();
    assert!(net.seats.iter().all(|seat| seat.view.preset == 1));
    (at - begun).as_secs_f64()
}

/// The oldest proof of freshness over all nodes and a minute, with the polls of all nodes at
/// their common rate.
fn proof_age() {
    for count in SIZES {
        let found =
            (0..if count > 200 { 3 } else { 20 }).map(|seed| proof_once(count, seed)).collect();
        row(&format!("oldest proof of freshness, {count} nodes"), found, "s", FRESH);
    }
}

fn proof_once(count: usize, seed: u64) -> f64 {
    let mut net = warm(count, seed, |settings| settings);
    let mut rng = SmallRng::seed_from_u64(seed);
    let begun = net.now;
    let period = (count as f64 / POLLS_PER_SECOND).max(1.0);
    let mut next: Vec<Duration> = (0..count)
        .map(|_| begun + Duration::from_secs_f64(rng.random_range(0.0..period)))
        .collect();
    let mut worst = Duration::ZERO;
    for tick in 0..6_000 {
        let now = begun + ms(tick * 10);
        net.run(now);
        for (node, next) in next.iter_mut().enumerate() {
            if *next <= now {
                let jitter = rng.random_range(0.5..1.5);
                *next = now + Duration::from_secs_f64(period * jitter);
                net.seats[node].view.proved = Some(now);
                net.step(node, Message::Proof(Some(now)));
            }
        }
        if tick > 1_000 && tick % 10 == 0 {
            let oldest = net.seats.iter().map(|seat| seat.view.proved.unwrap_or_default()).min();
            worst = worst.max(now - oldest.unwrap_or_default());
        }
    }
    worst.as_secs_f64()
}

fn detection() {
    for count in SIZES {
        let mut suspected = Vec::new();
        let mut dead = Vec::new();
        for seed in 0..seeds(count) {
            let mut net = warm(count, seed, |settings| settings);
            let begun = net.now;
            net.seats[1].up = false;
            let others = |net: &Net, bad: &dyn Fn(Option<State>) -> bool| {
                (0..count).filter(|at| *at != 1).all(|at| bad(net.state(1, at)))
            };
            let mut first = None;
            while !others(&net, &|state| state == Some(State::Dead)) {
                net.run(net.now + ms(20));
                let seen = others(&net, &|state| state != Some(State::Alive));
                first = first.or(seen.then_some(net.now));
                assert!(net.now < begun + ms(60_000));
            }
            suspected.push((first.unwrap_or(net.now) - begun).as_secs_f64());
            dead.push((net.now - begun).as_secs_f64());
        }
        row(&format!("killed node suspected by all, {count} nodes"), suspected, "s", NONE);
        row(&format!("killed node dead for all, {count} nodes"), dead, "s", NONE);
    }
}

/// Live nodes that others held for dead in five minutes, in which each node pauses once for up
/// to three seconds and one call in fifty is lost.
fn false_suspicions() {
    for count in [4, 32, 128] {
        let mut deaths = Vec::new();
        let mut suspects = Vec::new();
        for seed in 0..20 {
            let mut net = warm(count, seed, |settings| settings);
            let mut rng = SmallRng::seed_from_u64(seed);
            net.loss = 0.02;
            let begun = net.now;
            let mut pauses: Vec<(u64, usize)> =
                (0..count).map(|node| (rng.random_range(0..300_000), node)).collect();
            pauses.sort_unstable();
            for (at, node) in pauses {
                net.run(begun + ms(at));
                net.pause(node, ms(rng.random_range(0..3_000)));
            }
            net.run(begun + ms(310_000));
            deaths.push(net.seats.iter().map(|seat| seat.view.died.len()).sum::<usize>() as f64);
            let accused = net.seats.iter().map(|seat| seat.view.accused.values().sum::<usize>());
            suspects.push(accused.sum::<usize>() as f64 / count as f64);
        }
        row(&format!("live nodes held for dead, {count} nodes"), deaths, "views", NONE);
        row(&format!("suspicions of live nodes, {count} nodes"), suspects, "per node", NONE);
    }
}

/// Bytes and processor time of idle nodes that carry the demand of all organisations.
fn cost() {
    let mut points = Vec::new();
    for count in SIZES {
        let (mut bytes, mut core, mut messages) = (Vec::new(), Vec::new(), Vec::new());
        for seed in 0..if count > 200 { 5 } else { 20 } {
            let mut net = Net::new(count, seed, |settings| settings);
            let mut rng = SmallRng::seed_from_u64(seed);
            for node in 0..count {
                net.step(node, Message::Demand(local_demand(&mut rng)));
            }
            net.run(ms(20_000));
            net.size = Some(wire_size);
            net.spent = Duration::ZERO;
            net.run(ms(40_000));
            let seconds = 20.0 * count as f64;
            let sent: u64 = net.seats.iter().map(|seat| seat.sent_bytes).sum();
            let received: u64 = net.seats.iter().map(|seat| seat.received_bytes).sum();
            let sends: u64 = net.seats.iter().map(|seat| seat.messages).sum();
            bytes.push((sent + received) as f64 / seconds);
            messages.push(sends as f64 / seconds);
            core.push(net.spent.as_secs_f64() / seconds * 100.0);
        }
        points.push((count as f64, median(&bytes), median(&core)));
        let name = format!("heartbeats sent and received, {count} nodes");
        row(&name, bytes, "bytes/s per node", BYTES);
        row(&format!("messages sent, {count} nodes"), messages, "messages/s per node", NONE);
        row(&format!("processor time, {count} nodes"), core, "% of a core", CORE);
    }
    let (first, last) = (points[1], points[3]);
    let slope = |one: f64, two: f64| (two - one) / (last.0 - first.0);
    row("slope of bytes from 32 to 620", vec![slope(first.1, last.1)], "bytes/s per node", NONE);
    row("slope of processor time from 32 to 620", vec![slope(first.2, last.2)], "% per node", NONE);
    news_cost();
}

/// Bytes that one fact costs all nodes together, by node.
fn news_cost() {
    for count in SIZES {
        let found = (0..if count > 200 { 2 } else { 10 })
            .map(|seed| {
                let bytes = |facts: u64| {
                    let mut net = warm(count, seed, |settings| settings);
                    net.run(ms(20_000));
                    net.size = Some(wire_size);
                    for fingerprint in 0..facts {
                        let target = "engine-1".into();
                        let update = Update::Quarantine { fingerprint, target, confirmed: true };
                        net.step(0, Message::Publish(update));
                    }
                    net.run(ms(45_000));
                    let sent: u64 = net.seats.iter().map(|seat| seat.sent_bytes).sum();
                    2.0 * sent as f64 / count as f64
                };
                (bytes(20) - bytes(0)) / 20.0
            })
            .collect();
        row(&format!("bytes of one fact, {count} nodes"), found, "bytes per node", NONE);
    }
}

fn memory() {
    const NODES: usize = 100;
    let list: Vec<_> = (0..620)
        .map(entry)
        .chain((0..TARGETS).map(|index| target(&format!("engine-{index}"), "r1", Standing::Live)))
        .collect();
    let bytes = serde_json::to_vec(&list).map_or(0, |text| text.len()) as f64;
    row("platform's list, 620 nodes, 2100 targets", vec![bytes], "bytes", NONE);
    let before = resident();
    let mut net = Net::new(NODES, 1, |settings| settings);
    let mut rng = SmallRng::seed_from_u64(1);
    for node in 0..NODES {
        net.step(node, Message::Listed(list.clone()));
        net.step(node, Message::Demand(local_demand(&mut rng)));
        for fingerprint in 0..1_000 {
            let update =
                Update::Quarantine { fingerprint, target: "engine-1".into(), confirmed: false };
            net.step(node, Message::Publish(update));
        }
    }
    net.run(ms(2_000));
    let grown = (resident() - before) as f64 / NODES as f64 / 1e6;
    let name = "state of membership, 620 nodes, 2100 targets, 1000 facts";
    row(name, vec![grown], "MB per node", MEMORY);
}

/// Resident bytes of this process.
fn resident() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|pages| pages.parse::<u64>().ok());
    pages.unwrap_or(0) * 4_096
}

/// Error of the total demand of an organisation as nodes see it, by its share of all demand.
fn demand_error() {
    for (share, low, high) in [("5% and more", 0.05, 1.0), ("1% to 5%", 0.01, 0.05)] {
        for count in [32, 620] {
            let mut found = Vec::new();
            for seed in 0..if count > 200 { 3 } else { 20 } {
                let mut rng = SmallRng::seed_from_u64(seed);
                let mut net = Net::new(count, seed, |settings| settings);
                let mut totals = std::collections::BTreeMap::new();
                for node in 0..count {
                    let own = local_demand(&mut rng);
                    for (name, cost) in &own {
                        *totals.entry(name.to_string()).or_insert(0.0) += cost;
                    }
                    net.step(node, Message::Demand(own));
                }
                net.run(ms(30_000));
                let all: f64 = totals.values().sum();
                for (name, total) in &totals {
                    if (low..high).contains(&(total / all)) {
                        let off = net.seats.iter().map(|seat| {
                            let seen = seat.view.demand.get(name).copied().unwrap_or(0.0);
                            (seen / total - 1.0).abs()
                        });
                        found.extend(off);
                    }
                }
            }
            let name = format!("error of an organisation's total, share {share}, {count} nodes");
            row(&name, found, "of the total", NONE);
        }
    }
}

/// Demand at one node behind a balancer: 40 requests a second for ten seconds from 520
/// organisations of very different sizes.
fn local_demand(rng: &mut SmallRng) -> Vec<(fleet::OrganisationName, f64)> {
    let weights: Vec<f64> = (1..=ORGANISATIONS).map(|rank| 1.0 / rank as f64).collect();
    let sum: f64 = weights.iter().sum();
    let mut counts = vec![0.0; ORGANISATIONS];
    for _ in 0..400 {
        let mut left = rng.random_range(0.0..sum);
        let index = weights.iter().position(|weight| {
            left -= weight;
            left < 0.0
        });
        counts[index.unwrap_or(0)] += 33.6;
    }
    let named = counts.into_iter().enumerate().filter(|(_, cost)| *cost > 0.0);
    named.map(|(index, cost)| (format!("organisation-{index}").into(), cost)).collect()
}

fn median(values: &[f64]) -> f64 {
    let mut values = values.to_vec();
    values.sort_by(f64::total_cmp);
    values[values.len() / 2]
}

/// Bytes of a heartbeat as it goes over the wire, without the framing of gRPC, HTTP and TCP.
fn wire_size(heartbeat: &Heartbeat) -> u64 {
    let age = |age: Duration| u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
    let share = |(name, cost): &(fleet::OrganisationName, f64)| wire::Share {
        organisation: name.to_string(),
        cost: *cost as f32,
    };
    let message = wire::Heartbeat {
        from: heartbeat.from.to_string(),
        incarnation: heartbeat.incarnation,
        sequence: heartbeat.sequence,
        preset_version: heartbeat.preset,
        facts: heartbeat.facts.iter().map(wire_fact).collect(),
        leaving: heartbeat.leaving,
        wants_preset: false,
        preset: vec![],
        digest: heartbeat.digest,
        wants_facts: heartbeat.wants_facts,
        proof_age_ms: heartbeat.proof_age.map(age),
        demand: heartbeat.demand.iter().map(share).collect(),
    };
    message.encoded_len() as u64
}

fn wire_fact(fact: &member::Fact) -> wire::Fact {
    let body = match &fact.update {
        Update::Standing { node, incarnation, address, state } => {
            wire::fact::Body::Standing(wire::Standing {
                node: node.to_string(),
                incarnation: *incarnation,
                state: *state as i32,
                address: address.to_string(),
            })
        }
        Update::Quarantine { fingerprint, target, confirmed } => {
            wire::fact::Body::Quarantine(wire::Quarantine {
                fingerprint: *fingerprint,
                target: target.to_string(),
                condemned: *confirmed,
            })
        }
        Update::Demand { node, organisation, cost } => wire::fact::Body::Demand(wire::Demand {
            node: node.to_string(),
            organisation: organisation.to_string(),
            cost: *cost,
        }),
        Update::Leaving { target } => {
            wire::fact::Body::Leaving(wire::Leaving { target: target.to_string() })
        }
    };
    let ttl_ms = fact.ttl.map_or(0, |ttl| ttl.as_millis() as u64);
    wire::Fact { key: String::new(), version: fact.version, ttl_ms, body: Some(body) }
}
