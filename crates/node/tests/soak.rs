//! A randomized soak test: node processes run between callers and stand-ins while faults, drawn
//! from a seed, are injected from outside. The guarantees are checked against what callers and
//! targets observe.
//!
//! Runs fifty seeds with drills, in which the store comes back from a copy, by hand:
//! `MAGNOLIA_SOAK=1000..1050 cargo test --release -p node --test soak -- --nocapture`

#[path = "soak/drill.rs"]
mod drill;
mod entry;
#[path = "soak/world.rs"]
mod world;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use drill::{VALID_KEY, Withdrawal};
use platform_standin::{Document, Route, Run};
use world::{CRASHING, CRASHING_PART, EVENTS, Exchange, Outcome, run_seed};
use yare::parameterized;

/// Environment variable with the range of seeds of a manual run.
const SEEDS: &str = "MAGNOLIA_SOAK";
/// Number of seeds that run in parallel.
const MAX_PARALLEL_SEEDS: usize = 4;
/// Time after the third crash caused by a request within which all nodes quarantine it.
const PROPAGATION_LIMIT: Duration = Duration::from_secs(3);
/// Crash by requests with a part after which all nodes quarantine the part.
const LAST_UNBOUNDED_CRASH_BY_PART: usize = 5;
/// Maximum number of targets that the request may crash after that time.
const MAX_LATE_CRASHES: usize = 3;
/// Time after which no node accepts a withdrawn key.
const REVOKE: Duration = Duration::from_millis(2500);
/// First host slot of manual runs; the fixed cases use lower slots.
const FIRST_SLOT: u8 = 100;

/// Returns the violated guarantees, one line each.
fn violations(outcome: &Outcome) -> Vec<String> {
    let mut found = Vec::new();
    let mut runs: BTreeMap<&str, Vec<&Run>> = BTreeMap::new();
    for run in outcome.runs.iter().filter(|run| run.request != "probe") {
        runs.entry(&run.request).or_default().push(run);
        if !run.engines.is_empty() && !run.covers_all_layers(Document::DEPTH) {
            found.push(format!("{}: layers {:?}", run.request, run.layers));
        }
    }
    let crashed = outcome.runs.iter().filter_map(|run| run.crashed.clone());
    let ended: Vec<String> = outcome.ended.iter().cloned().chain(crashed).collect();
    for exchange in &outcome.exchanges {
        let ran = runs.get(exchange.call.id.as_str()).map_or(&[][..], Vec::as_slice);
        found.extend(violated_guarantee(exchange, ran, &ended).map(|what| {
            format!(
                "{} ({:?}): {what}; {:?}",
                exchange.call.id, exchange.call.route, exchange.reply
            )
        }));
    }
    if outcome.is_memory_lost {
        println!(
            "all nodes were started again between a copy and the return: quarantines are lost"
        );
    } else {
        found.extend(late_requests(outcome));
    }
    if outcome.exits > 0 {
        found.push(format!("{} nodes exited without a signal", outcome.exits));
    }
    if outcome.unavailable > 0 {
        found.push(format!("{} nodes did not serve again after the faults", outcome.unavailable));
    }
    found.extend(outcome.withdrawals.iter().filter_map(|key| late_acceptance(outcome, key)));
    found.extend(outcome.placements.iter().filter(|order| order.before == Some(order.layers)).map(
        |order| format!("engine {}: an order for the layers it holds: {order:?}", order.target),
    ));
    if !outcome.exchanges.iter().any(|exchange| exchange.reply.status == Some(200)) {
        found.push("no request was served".to_owned());
    }
    found
}

/// Returns a violation if a withdrawn key was accepted after `REVOKE`, or by a node that had
/// refused it. Until the operators have written it again, only a withdrawal that some node has
/// known counts.
fn late_acceptance(outcome: &Outcome, withdrawal: &Withdrawal) -> Option<String> {
    let with_key = |exchange: &&Exchange| exchange.call.key == Some(withdrawal.key);
    let exchanges: Vec<&Exchange> = outcome.exchanges.iter().filter(with_key).collect();
    let refusals = exchanges.iter().filter(|exchange| exchange.reply.status == Some(401));
    let refused_at = |refusal: &Exchange| refusal.sent_at + refusal.reply.elapsed;
    let known_at = refusals.clone().map(|refusal| refused_at(refusal)).min();
    // Another node refused what was forwarded; the one that was asked need not know the withdrawal.
    let own = refusals.filter(|refusal| !outcome.forwarded.contains(&refusal.call.id));
    let refusals: Vec<(SocketAddr, Instant)> =
        own.map(|refusal| (refusal.front, refused_at(refusal))).collect();
    let known_limit = known_at.map(|at| at.max(withdrawal.at + REVOKE));
    let again_limit = withdrawal.again_at + REVOKE;
    let limit = known_limit.map_or(again_limit, |limit| limit.min(again_limit));
    let is_late = |exchange: &&&Exchange| {
        let refused_here =
            refusals.iter().any(|(front, at)| *front == exchange.front && *at < exchange.sent_at);
        let is_accepted = !matches!(exchange.reply.status, None | Some(401 | 503));
        is_accepted && (refused_here || exchange.sent_at > limit)
    };
    let late: Vec<String> = exchanges
        .iter()
        .filter(is_late)
        .map(|exchange| {
            let after = exchange.sent_at.saturating_duration_since(withdrawal.at);
            format!(
                "{} {:?} at {} after {after:?}",
                exchange.call.id, exchange.reply.status, exchange.front
            )
        })
        .collect();
    (!late.is_empty()).then(|| {
        let again = withdrawal.again_at - withdrawal.at;
        format!(
            "withdrawn key {}, written again after {again:?}: accepted {late:?}",
            withdrawal.key
        )
    })
}

/// Returns the violations by requests that crash targets although they should be quarantined.
fn late_requests(outcome: &Outcome) -> Vec<String> {
    let late = |(body, _): &(&str, _)| {
        let late = Route::ALL.iter().filter_map(|&route| late_crashes(outcome, route, body));
        late.collect::<Vec<_>>()
    };
    let late = CRASHING.iter().flat_map(late);
    late.chain(late_requests_with_part(outcome)).collect()
}

/// Returns a violation if requests with the crashing part still reach too many targets after
/// `PROPAGATION_LIMIT`.
fn late_requests_with_part(outcome: &Outcome) -> Option<String> {
    let has_part = |run: &&Run| run.parts.iter().any(|part| part == CRASHING_PART);
    let runs: Vec<&Run> = outcome.runs.iter().filter(has_part).collect();
    let mut crashes: Vec<Instant> =
        runs.iter().filter(|run| run.crashed.is_some()).map(|run| run.at).collect();
    crashes.sort();
    let known = *crashes.get(LAST_UNBOUNDED_CRASH_BY_PART - 1)? + PROPAGATION_LIMIT;
    let late = runs.iter().filter(|run| run.at > known).count();
    println!("part {CRASHING_PART}: {} targets ended, {late} requests late", crashes.len());
    (late > MAX_LATE_CRASHES).then(|| format!("part {CRASHING_PART}: {late} requests late"))
}

/// Returns a violation if a crashing request still ends too many targets after `PROPAGATION_LIMIT`.
fn late_crashes(outcome: &Outcome, route: Route, body: &str) -> Option<String> {
    let same = |exchange: &&Exchange| exchange.call.body == body && exchange.call.route == route;
    let exchanges = outcome.exchanges.iter().filter(same);
    let ids: BTreeSet<&str> = exchanges.map(|exchange| exchange.call.id.as_str()).collect();
    let runs = outcome.runs.iter().filter(|run| ids.contains(run.request.as_str()));
    let mut crashes: Vec<Instant> =
        runs.filter(|run| run.crashed.is_some()).map(|run| run.at).collect();
    crashes.sort();
    let third = *crashes.get(2)?;
    let late = crashes.iter().filter(|at| **at > third + PROPAGATION_LIMIT).count();
    println!("{body} ({route:?}): {} targets ended, {late} of them late", crashes.len());
    (late > MAX_LATE_CRASHES).then(|| format!("{body} ({route:?}): {late} targets ended late"))
}

/// Returns the guarantee that was violated for one request, if any.
fn violated_guarantee(exchange: &Exchange, ran: &[&Run], ended: &[String]) -> Option<String> {
    let Exchange { call, reply, .. } = exchange;
    let is_stream = matches!(call.route, Route::Resumable | Route::Stream);
    if is_stream && reply.status == Some(200) {
        if !reply.events.iter().copied().eq(1..=reply.events.len() as u64) {
            return Some("events are missing, duplicated or out of order".to_owned());
        }
        if reply.ended && reply.events.len() as u64 != EVENTS {
            return Some("an incomplete stream was closed as complete".to_owned());
        }
    }
    if reply.status == Some(401) && call.key.is_none_or(|key| key == VALID_KEY) {
        return Some("a valid request was answered 401".to_owned());
    }
    if matches!(reply.status, Some(408 | 421 | 429 | 503)) && !ran.is_empty() {
        return Some("answered as not run although the request ran".to_owned());
    }
    if reply.status == Some(503) && reply.retry_after.is_none() {
        return Some("answered 503 without Retry-After".to_owned());
    }
    let once = matches!(call.route, Route::Unsafe | Route::Stream);
    if once && ran.len() > 1 {
        return Some(format!("ran {} times", ran.len()));
    }
    // Targets that ended meanwhile do not count towards the limit of attempts.
    let is_alive = |run: &&&Run| !ended.contains(&run.target);
    let alive: BTreeSet<&str> =
        ran.iter().filter(is_alive).map(|run| run.target.as_str()).collect();
    if alive.len() > Document::default().attempts as usize {
        return Some(format!("ran at {} targets: {alive:?}", alive.len()));
    }
    None
}

fn soak(seed: u64, slot: u8, has_drills: bool) -> Vec<String> {
    let outcome = run_seed(seed, slot, has_drills);
    let served =
        outcome.exchanges.iter().filter(|exchange| exchange.reply.status == Some(200)).count();
    println!(
        "seed {seed}: {} requests, {served} served, {} faults",
        outcome.exchanges.len(),
        outcome.faults.len()
    );
    let found = violations(&outcome);
    if !found.is_empty() {
        println!("seed {seed}: {}", outcome.faults.join("; "));
    }
    found
}

/// The first two seeds are for CI. The others reproduce earlier faults: a request was evaluated
/// for quarantine only when it was sent again, so nodes that started later did not know of it;
/// and a request sent by all callers was quarantined for losses of targets it did not cause. These
/// have no drills, so that their faults stay the same.
#[parameterized(
    short = { 1, 1 },
    other = { 2, 2 },
    evaluated_only_when_sent_again = { 3012, 3 },
    popular_request_quarantined = { 4010, 4 },
)]
fn guarantees_hold(seed: u64, slot: u8) {
    assert_eq!(soak(seed, slot, false), Vec::<String>::new());
}

#[parameterized(one = { 5, 5 }, other = { 6, 6 })]
fn guarantees_hold_with_drills(seed: u64, slot: u8) {
    assert_eq!(soak(seed, slot, true), Vec::<String>::new());
}

#[test]
fn guarantees_hold_for_given_seeds() {
    let Ok(range) = std::env::var(SEEDS) else { return };
    let (first, end) = range.split_once("..").expect("seeds in the form FIRST..END");
    let seeds: Vec<u64> = (first.parse().expect("a seed is a number")
        ..end.parse().expect("a seed is a number"))
        .collect();
    let mut failed = BTreeMap::new();
    for batch in seeds.chunks(MAX_PARALLEL_SEEDS) {
        let threads: Vec<_> = batch
            .iter()
            .zip(FIRST_SLOT..)
            .map(|(&seed, slot)| thread::spawn(move || (seed, soak(seed, slot, true))))
            .collect();
        for seed in threads {
            let (seed, found) = seed.join().expect("the thread of a seed ends");
            if !found.is_empty() {
                failed.insert(seed, found);
            }
        }
    }
    assert!(failed.is_empty(), "{failed:#?}");
}
