//! Measurements of membership in virtual time, one line of JSON each.
//!
//! `cargo run --release -p member --example measure [NAME]` runs all measurements, or those
//! whose name begins with NAME.

#[path = "../tests/common/mod.rs"]
mod common;

use std::env;
use std::time::Duration;

use common::{Network, entry, ms, target};
use fleet::Standing;
use member::{Heartbeat, Message, Settings, State, Update};
use prost::Message as _;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};

const NODE_COUNTS: [usize; 4] = [4, 32, 128, 620];
const ORGANISATIONS: usize = 520;
const TARGETS: usize = 2_100;
const POLLS_PER_SECOND: f64 = 40.0;
/// Warm-up time in which the updates from the start of all nodes have spread.
const WARM_UP: Duration = Duration::from_secs(6);

/// Bound on a measured value.
#[derive(Clone, Copy)]
struct Bound {
    value: f64,
    source: &'static str,
}

const NO_BOUND: Option<Bound> = None;
const PRESET_BOUND: Option<Bound> = Some(Bound { value: 2.0, source: "preset in force, 2 s" });
const LEAVING_BOUND: Option<Bound> = Some(Bound { value: 2.0, source: "leaving target, 2 s" });
const BYTES_BOUND: Option<Bound> =
    Some(Bound { value: 8_000.0, source: "control per node, 8 KB/s" });
const CORE_BOUND: Option<Bound> = Some(Bound { value: 1.5, source: "control per node, 1.5%" });
const MEMORY_BOUND: Option<Bound> =
    Some(Bound { value: 128.0, source: "control per node, 128 MB" });
const FRESHNESS_BOUND: Option<Bound> =
    Some(Bound { value: 5.0, source: "preset::Settings::freshness" });

fn print_row(name: &str, mut values: Vec<f64>, unit: &str, bound: Option<Bound>) {
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

/// Returns a network after warm-up, at a time that depends on the seed.
fn warmed_up(count: usize, seed: u64, settings: impl Fn(Settings) -> Settings) -> Network {
    let mut network = Network::new(count, seed, settings);
    network.run(WARM_UP + ms(seed * 37));
    network
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
    for count in NODE_COUNTS {
        for push in [true, false] {
            let found: Vec<f64> = (0..seeds(count))
                .map(|seed| {
                    let mut network =
                        warmed_up(count, seed, |settings| Settings { push, ..settings });
                    let started = network.now;
                    network.step(0, Message::Leaving("e1".into()));
                    network.run(started + ms(6_000));
                    let at = network.hosts.iter().skip(1).map(|host| host.view.leaving["e1"]).max();
                    (at.unwrap_or_default() - started).as_secs_f64()
                })
                .collect();
            let method = if push { "pushed" } else { "by rounds" };
            let rounds = found.iter().map(|seconds| seconds / 0.5).collect();
            print_row(
                &format!("leaving known to all, {method}, {count} nodes"),
                found,
                "s",
                LEAVING_BOUND,
            );
            print_row(
                &format!("the same in rounds, {method}, {count} nodes"),
                rounds,
                "rounds",
                NO_BOUND,
            );
        }
    }
}

fn preset_in_force() {
    for count in NODE_COUNTS {
        for watches in [count, 8, 0] {
            let found =
                (0..seeds(count)).map(|seed| time_to_preset(count, watches, seed)).collect();
            let name = format!("preset accepted to in force, {watches} watches, {count} nodes");
            print_row(&name, found, "s", PRESET_BOUND);
        }
    }
}

/// Returns the time in seconds until all nodes have a version accepted now. Polls and watches
/// answer in 2 ms.
fn time_to_preset(count: usize, watches: usize, seed: u64) -> f64 {
    let mut network = warmed_up(count, seed, |settings| settings);
    let mut rng = SmallRng::seed_from_u64(seed);
    let started = network.now;
    let all: Vec<usize> = (0..count).collect();
    let watching: Vec<usize> = all.sample(&mut rng, watches.min(count)).copied().collect();
    let period = (count as f64 / POLLS_PER_SECOND).max(1.0);
    let mut learns: Vec<(Duration, usize)> = all
        .iter()
        .map(|node| (started + Duration::from_secs_f64(rng.random_range(0.0..period)), *node))
        .chain(watching.into_iter().map(|node| (started, node)))
        .map(|(at, node)| (at + ms(2), node))
        .collect();
    learns.sort();
    for (at, node) in learns {
        network.run(at);
        if network.hosts.iter().all(|host| host.view.preset == 1) {
            break;
        }
        network.set_preset(node, 1);
    }
    network.run(network.now + ms(3_000));
    let at = network.hosts.iter().map(|host| host.view.preset_at).max().unwrap_or_default();
    assert!(network.hosts.iter().all(|host| host.view.preset == 1));
    (at - started).as_secs_f64()
}

/// Measures the oldest proof of freshness over all nodes in one minute, with all nodes together
/// polling at [`POLLS_PER_SECOND`].
fn proof_age() {
    for count in NODE_COUNTS {
        let found =
            (0..if count > 200 { 3 } else { 20 }).map(|seed| oldest_proof(count, seed)).collect();
        print_row(
            &format!("oldest proof of freshness, {count} nodes"),
            found,
            "s",
            FRESHNESS_BOUND,
        );
    }
}

fn oldest_proof(count: usize, seed: u64) -> f64 {
    let mut network = warmed_up(count, seed, |settings| settings);
    let mut rng = SmallRng::seed_from_u64(seed);
    let started = network.now;
    let period = (count as f64 / POLLS_PER_SECOND).max(1.0);
    let mut next: Vec<Duration> = (0..count)
        .map(|_| started + Duration::from_secs_f64(rng.random_range(0.0..period)))
        .collect();
    let mut worst = Duration::ZERO;
    for tick in 0..6_000 {
        let now = started + ms(tick * 10);
        network.run(now);
        for (node, next) in next.iter_mut().enumerate() {
            if *next <= now {
                let jitter = rng.random_range(0.5..1.5);
                *next = now + Duration::from_secs_f64(period * jitter);
                network.hosts[node].view.proved = Some(now);
                network.step(node, Message::Proof(Some(now)));
            }
        }
        if tick > 1_000 && tick % 10 == 0 {
            let oldest =
                network.hosts.iter().map(|host| host.view.proved.unwrap_or_default()).min();
            worst = worst.max(now - oldest.unwrap_or_default());
        }
    }
    worst.as_secs_f64()
}

fn detection() {
    for count in NODE_COUNTS {
        let mut suspected = Vec::new();
        let mut dead = Vec::new();
        for seed in 0..seeds(count) {
            let mut network = warmed_up(count, seed, |settings| settings);
            let started = network.now;
            network.hosts[1].up = false;
            let all_others = |network: &Network, holds: &dyn Fn(Option<State>) -> bool| {
                (0..count).filter(|at| *at != 1).all(|at| holds(network.state(1, at)))
            };
            let mut first = None;
            while !all_others(&network, &|state| state == Some(State::Dead)) {
                network.run(network.now + ms(20));
                let seen = all_others(&network, &|state| state != Some(State::Alive));
                first = first.or(seen.then_some(network.now));
                assert!(network.now < started + ms(60_000));
            }
            suspected.push((first.unwrap_or(network.now) - started).as_secs_f64());
            dead.push((network.now - started).as_secs_f64());
        }
        print_row(
            &format!("killed node suspected by all, {count} nodes"),
            suspected,
            "s",
            NO_BOUND,
        );
        print_row(&format!("killed node dead for all, {count} nodes"), dead, "s", NO_BOUND);
    }
}

/// Measures false suspicions and deaths of live nodes in five minutes, in which each node pauses
/// once for up to three seconds and 2 % of calls are lost.
fn false_suspicions() {
    for count in [4, 32, 128] {
        let mut deaths = Vec::new();
        let mut suspects = Vec::new();
        for seed in 0..20 {
            let mut network = warmed_up(count, seed, |settings| settings);
            let mut rng = SmallRng::seed_from_u64(seed);
            network.loss = 0.02;
            let started = network.now;
            let mut pauses: Vec<(u64, usize)> =
                (0..count).map(|node| (rng.random_range(0..300_000), node)).collect();
            pauses.sort_unstable();
            for (at, node) in pauses {
                network.run(started + ms(at));
                network.pause(node, ms(rng.random_range(0..3_000)));
            }
            network.run(started + ms(310_000));
            deaths
                .push(network.hosts.iter().map(|host| host.view.died.len()).sum::<usize>() as f64);
            let suspected =
                network.hosts.iter().map(|host| host.view.suspected.values().sum::<usize>());
            suspects.push(suspected.sum::<usize>() as f64 / count as f64);
        }
        print_row(&format!("live nodes held for dead, {count} nodes"), deaths, "views", NO_BOUND);
        print_row(
            &format!("suspicions of live nodes, {count} nodes"),
            suspects,
            "per node",
            NO_BOUND,
        );
    }
}

/// Measures bytes and processor time of idle nodes that report demand.
fn cost() {
    let mut points = Vec::new();
    for count in NODE_COUNTS {
        let (mut bytes, mut core, mut messages) = (Vec::new(), Vec::new(), Vec::new());
        for seed in 0..if count > 200 { 5 } else { 20 } {
            let mut network = Network::new(count, seed, |settings| settings);
            let mut rng = SmallRng::seed_from_u64(seed);
            for node in 0..count {
                network.step(node, Message::Demand(local_demand(&mut rng)));
            }
            network.run(ms(20_000));
            network.size = Some(wire_size);
            network.step_time = Duration::ZERO;
            network.run(ms(40_000));
            let seconds = 20.0 * count as f64;
            let sent: u64 = network.hosts.iter().map(|host| host.sent_bytes).sum();
            let received: u64 = network.hosts.iter().map(|host| host.received_bytes).sum();
            let sends: u64 = network.hosts.iter().map(|host| host.messages).sum();
            bytes.push((sent + received) as f64 / seconds);
            messages.push(sends as f64 / seconds);
            core.push(network.step_time.as_secs_f64() / seconds * 100.0);
        }
        points.push((count as f64, median(&bytes), median(&core)));
        let name = format!("heartbeats sent and received, {count} nodes");
        print_row(&name, bytes, "bytes/s per node", BYTES_BOUND);
        print_row(
            &format!("messages sent, {count} nodes"),
            messages,
            "messages/s per node",
            NO_BOUND,
        );
        print_row(&format!("processor time, {count} nodes"), core, "% of a core", CORE_BOUND);
    }
    let (first, last) = (points[1], points[3]);
    let slope = |one: f64, two: f64| (two - one) / (last.0 - first.0);
    print_row(
        "slope of bytes from 32 to 620",
        vec![slope(first.1, last.1)],
        "bytes/s per node",
        NO_BOUND,
    );
    print_row(
        "slope of processor time from 32 to 620",
        vec![slope(first.2, last.2)],
        "% per node",
        NO_BOUND,
    );
    update_cost();
}

/// Measures the bytes per node that the dissemination of one fact costs.
fn update_cost() {
    for count in NODE_COUNTS {
        let found = (0..if count > 200 { 2 } else { 10 })
            .map(|seed| {
                let bytes = |facts: u64| {
                    let mut network = warmed_up(count, seed, |settings| settings);
                    network.run(ms(20_000));
                    network.size = Some(wire_size);
                    for fingerprint in 0..facts {
                        let target = "engine-1".into();
                        let update = Update::Quarantine { fingerprint, target, confirmed: true };
                        network.step(0, Message::Publish(update));
                    }
                    network.run(ms(45_000));
                    let sent: u64 = network.hosts.iter().map(|host| host.sent_bytes).sum();
                    2.0 * sent as f64 / count as f64
                };
                (bytes(20) - bytes(0)) / 20.0
            })
            .collect();
        print_row(&format!("bytes of one fact, {count} nodes"), found, "bytes per node", NO_BOUND);
    }
}

fn memory() {
    const NODES: usize = 100;
    let list: Vec<_> = (0..620)
        .map(entry)
        .chain((0..TARGETS).map(|index| target(&format!("engine-{index}"), "r1", Standing::Live)))
        .collect();
    let bytes = serde_json::to_vec(&list).map_or(0, |text| text.len()) as f64;
    print_row("platform's list, 620 nodes, 2100 targets", vec![bytes], "bytes", NO_BOUND);
    let before = resident();
    let mut network = Network::new(NODES, 1, |settings| settings);
    let mut rng = SmallRng::seed_from_u64(1);
    for node in 0..NODES {
        network.step(node, Message::Listed(list.clone()));
        network.step(node, Message::Demand(local_demand(&mut rng)));
        for fingerprint in 0..1_000 {
            let update =
                Update::Quarantine { fingerprint, target: "engine-1".into(), confirmed: false };
            network.step(node, Message::Publish(update));
        }
    }
    network.run(ms(2_000));
    let grown = (resident() - before) as f64 / NODES as f64 / 1e6;
    let name = "state of membership, 620 nodes, 2100 targets, 1000 facts";
    print_row(name, vec![grown], "MB per node", MEMORY_BOUND);
}

/// Returns the resident bytes of this process.
fn resident() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|pages| pages.parse::<u64>().ok());
    pages.unwrap_or(0) * 4_096
}

/// Measures the relative error of nodes' estimates of an organisation's total demand, by its
/// share of all demand.
fn demand_error() {
    for (share, low, high) in [("5% and more", 0.05, 1.0), ("1% to 5%", 0.01, 0.05)] {
        for count in [32, 620] {
            let mut found = Vec::new();
            for seed in 0..if count > 200 { 3 } else { 20 } {
                let mut rng = SmallRng::seed_from_u64(seed);
                let mut network = Network::new(count, seed, |settings| settings);
                let mut totals = std::collections::BTreeMap::new();
                for node in 0..count {
                    let own = local_demand(&mut rng);
                    for (name, cost) in &own {
                        *totals.entry(name.to_string()).or_insert(0.0) += cost;
                    }
                    network.step(node, Message::Demand(own));
                }
                network.run(ms(30_000));
                let all: f64 = totals.values().sum();
                for (name, total) in &totals {
                    if (low..high).contains(&(total / all)) {
                        let errors = network.hosts.iter().map(|host| {
                            let seen = host.view.demand.get(name).copied().unwrap_or(0.0);
                            (seen / total - 1.0).abs()
                        });
                        found.extend(errors);
                    }
                }
            }
            let name = format!("error of an organisation's total, share {share}, {count} nodes");
            print_row(&name, found, "of the total", NO_BOUND);
        }
    }
}

/// Returns the demand at one node behind a load balancer: 400 requests, 40 a second for ten
/// seconds, from 520 organisations whose sizes follow Zipf's law.
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

/// Returns the encoded size of a heartbeat in bytes, without the framing of gRPC, HTTP and TCP.
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
