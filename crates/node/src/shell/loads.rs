//! Polls the load and cache events of the engines.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use fleet::{Kind, Target, TargetName};
use serde::Deserialize;

use super::shared::Shared;
use super::store::sleep_unless_stopping;
use crate::Message;

/// Timeout of one read.
const READ_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum size of a response, in bytes.
const MAX_RESPONSE_BYTES: u64 = 1 << 20;
/// Maximum number of targets that a thread reads per round. Further targets are read in the next
/// rounds.
const MAX_TARGETS_PER_ROUND: usize = 16;
/// Number of threads that poll engines.
pub(crate) const READER_THREADS: usize = 4;

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

/// A prefix hash: a number, or 16 hex digits from engines that cannot write 64-bit numbers.
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

/// Polls every `READER_THREADS`-th engine, starting with number `index`, until the process stops.
/// Counts failed reads in `errors`.
pub(crate) fn poll(shared: &Arc<Shared>, index: usize, errors: &AtomicUsize) {
    let config = ureq::Agent::config_builder()
        .proxy(None)
        .timeout_global(Some(READ_TIMEOUT))
        .max_idle_connections_per_host(1)
        .build();
    let agent = ureq::Agent::new_with_config(config);
    let mut next_sequences: HashMap<TargetName, u64> = HashMap::new();
    let mut offset = 0;
    while !shared.stopping() {
        let catalog = shared.catalog();
        let engines =
            catalog.targets.iter().filter(|target| matches!(target.kind, Kind::Engine(_)));
        let assigned: Vec<&Target> = engines.skip(index).step_by(READER_THREADS).collect();
        let count = assigned.len().min(MAX_TARGETS_PER_ROUND);
        for target in assigned.iter().cycle().skip(offset % assigned.len().max(1)).take(count) {
            if shared.stopping() {
                return;
            }
            if read_target(shared, &agent, target, &mut next_sequences).is_err() {
                errors.fetch_add(1, Ordering::Relaxed);
            }
        }
        offset += count;
        sleep_unless_stopping(shared, shared.settings.load_interval);
    }
}

fn read_target(
    shared: &Shared,
    agent: &ureq::Agent,
    target: &Target,
    next_sequences: &mut HashMap<TargetName, u64>,
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
    let from = next_sequences.entry(name.clone()).or_default();
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
    answer.body_mut().with_config().limit(MAX_RESPONSE_BYTES).read_json()
}
