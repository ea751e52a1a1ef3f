//! Reads of the targets' load and cache events.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use fleet::{Kind, Target, TargetName};
use serde::Deserialize;

use super::shared::Shared;
use super::store::pause;
use crate::Message;

/// Longest time for one read.
const READ_TIMEOUT: Duration = Duration::from_millis(500);
/// Largest answer, in bytes.
const ANSWER_BYTES: u64 = 1 << 20;
/// Most targets that one thread reads in one round; with more, rounds take turns.
const TARGETS_PER_ROUND: usize = 16;
/// Threads that read at once.
pub(crate) const READERS: usize = 4;

#[derive(Deserialize)]
struct Load {
    running: u32,
    queued: u32,
    tokens_per_second: f64,
    age_ms: u64,
}

#[derive(Deserialize)]
struct Events {
    events: Vec<CacheEvent>,
}

#[derive(Deserialize)]
struct CacheEvent {
    sequence: u64,
    kind: CacheChange,
    prefix: Prefix,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum CacheChange {
    Stored,
    Evicted,
}

/// A prefix hash: a number, or 16 hex digits where the writer has no 64-bit numbers.
#[derive(Deserialize)]
#[serde(untagged)]
enum Prefix {
    Number(u64),
    Text(String),
}

impl Prefix {
    fn value(&self) -> Option<u64> {
        match self {
            Prefix::Number(value) => Some(*value),
            Prefix::Text(text) => u64::from_str_radix(text, 16).ok(),
        }
    }
}

/// Reads load and cache events of every `READERS`-th engine until the process stops.
pub(crate) fn poll(shared: &Arc<Shared>, part: usize, lost: &AtomicUsize) {
    let config = ureq::Agent::config_builder()
        .proxy(None)
        .timeout_global(Some(READ_TIMEOUT))
        .max_idle_connections_per_host(1)
        .build();
    let agent = ureq::Agent::new_with_config(config);
    let mut next: HashMap<TargetName, u64> = HashMap::new();
    let mut turn = 0;
    while !shared.stopping() {
        let catalog = shared.catalog();
        let engines =
            catalog.targets.iter().filter(|target| matches!(target.kind, Kind::Engine(_)));
        let mine: Vec<&Target> = engines.skip(part).step_by(READERS).collect();
        let round = mine.len().min(TARGETS_PER_ROUND);
        for target in mine.iter().cycle().skip(turn % mine.len().max(1)).take(round) {
            if shared.stopping() {
                return;
            }
            if read(shared, &agent, target, &mut next).is_err() {
                lost.fetch_add(1, Ordering::Relaxed);
            }
        }
        turn += round;
        pause(shared, shared.settings.load);
    }
}

fn read(
    shared: &Shared,
    agent: &ureq::Agent,
    target: &Target,
    next: &mut HashMap<TargetName, u64>,
) -> Result<(), ureq::Error> {
    let load: Load = get(agent, &format!("http://{}/load", target.address))?;
    let name = target.name.clone();
    shared.inbox.post(Message::Route(route::Message::Load(route::Load {
        target: name.clone(),
        running: load.running,
        queued: load.queued,
        tokens_per_second: load.tokens_per_second,
        age: Duration::from_millis(load.age_ms),
    })));
    let from = next.entry(name.clone()).or_default();
    let events: Events = get(agent, &format!("http://{}/events?from={from}", target.address))?;
    let events: Vec<route::CacheEvent> = events
        .events
        .iter()
        .filter_map(|event| {
            let stored = matches!(event.kind, CacheChange::Stored);
            let prefix = event.prefix.value()?;
            Some(route::CacheEvent { sequence: event.sequence, prefix, stored })
        })
        .collect();
    if let Some(last) = events.last() {
        *from = last.sequence + 1;
        shared.inbox.post(Message::Route(route::Message::Cache { target: name, events }));
    }
    Ok(())
}

fn get<T: serde::de::DeserializeOwned>(agent: &ureq::Agent, url: &str) -> Result<T, ureq::Error> {
    let mut answer = agent.get(url).call()?;
    answer.body_mut().with_config().limit(ANSWER_BYTES).read_json()
}
