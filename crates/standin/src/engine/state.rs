//! State shared by an engine's HTTP handlers and its compute loop.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use fleet::{AttemptId, Layers, ModelName, RequestId, TargetName, TokenIndex, Trail};
use serde::Serialize;
use smol_str::SmolStr;
use tokio::sync::oneshot;

use super::cache::Cache;
use super::decode::Finish;
use super::execution::Log;
use super::load::{History, Load};
use super::session::{self, Session};
use super::wire::{AttemptKey, FailureEvent, Open, TokenResult};
use crate::http::Stream;

/// Requests for which the highest cancelled attempt is remembered.
const MAX_CANCELLED_REQUESTS: usize = 4096;
/// Ended requests whose cache is retained so that a later attempt can reuse it.
const MAX_RETAINED_CACHES: usize = 256;
/// Sessions of streams that start at another engine are dropped after this time without use.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Whether the engine accepts new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum Phase {
    Live,
    Leaving,
    Loading,
}

/// Destination of the result of a token.
#[derive(Debug)]
pub(super) enum Sink {
    /// The response stream that this engine writes as the first stage.
    Client,
    /// The previous stage, which waits for the result.
    Upstream(oneshot::Sender<TokenResult>),
}

/// A token that is ready to be executed at this stage.
#[derive(Debug)]
pub(super) struct Token {
    pub(super) key: AttemptKey,
    pub(super) index: TokenIndex,
    pub(super) trail: Trail,
    pub(super) sink: Sink,
}

/// A completion whose response stream this engine writes as the first stage.
pub(super) struct Generation {
    pub(super) stream: Stream,
    pub(super) priority: u8,
    pub(super) arrival: u64,
    /// Data for opening the session; `None` once the stream has a slot.
    pub(super) open: Option<Open>,
    /// Index of the next token to write.
    pub(super) next: TokenIndex,
    /// Number of tokens of the whole answer.
    pub(super) length: TokenIndex,
    pub(super) finish: Finish,
    /// Tokens still to be written before the connection is cut; `None` without that fault.
    pub(super) cut_after: Option<u32>,
    /// Delay of the first token; `None` without that fault or once it has been applied.
    pub(super) first_token_delay: Option<Duration>,
    /// Text of the last token, which the crossed-token fault writes into another stream.
    pub(super) last_text: SmolStr,
}

/// Injected faults that are in effect.
#[derive(Debug)]
pub(super) struct Faults {
    pub(super) crash_on: Option<(SmolStr, TokenIndex)>,
    pub(super) slowdown: f64,
    pub(super) link_delays: HashMap<SmolStr, Duration>,
    pub(super) cut_next_after: Option<u32>,
    pub(super) delay_next: Option<Duration>,
    pub(super) crossed_tokens: u32,
    pub(super) full_rejections: u32,
}

/// State of an engine; one lock guards all of it.
pub(super) struct State {
    pub(super) name: TargetName,
    pub(super) model: Option<ModelName>,
    pub(super) layers: Layers,
    pub(super) tokens_per_second: f64,
    pub(super) slots: usize,
    pub(super) queue_limit: usize,
    pub(super) checks_orders: bool,
    pub(super) leaving: bool,
    pub(super) loading: bool,
    pub(super) phase: Phase,
    pub(super) role: SmolStr,
    pub(super) adapters: Vec<SmolStr>,
    pub(super) fence: u64,
    pub(super) sessions: HashMap<AttemptKey, Session>,
    pub(super) generations: HashMap<AttemptKey, Generation>,
    pub(super) ready: Vec<Token>,
    pub(super) cache: Cache,
    pub(super) log: Log,
    pub(super) executed: u64,
    pub(super) history: History,
    pub(super) faults: Faults,
    pub(super) arrivals: u64,
    cancelled: HashMap<RequestId, AttemptId>,
    cancelled_order: VecDeque<RequestId>,
    retained: VecDeque<(RequestId, TokenIndex)>,
}

/// Initial settings of an engine.
pub(super) struct Settings {
    pub(super) name: TargetName,
    pub(super) model: ModelName,
    pub(super) layers: Layers,
    pub(super) tokens_per_second: f64,
    pub(super) slots: usize,
    pub(super) queue_limit: usize,
    pub(super) checks_orders: bool,
    pub(super) cache: usize,
    pub(super) load_lag: Duration,
}

impl State {
    /// Creates the state of an idle engine.
    pub(super) fn new(settings: Settings) -> Self {
        Self {
            name: settings.name,
            model: Some(settings.model),
            layers: settings.layers,
            tokens_per_second: settings.tokens_per_second,
            slots: settings.slots,
            queue_limit: settings.queue_limit,
            checks_orders: settings.checks_orders,
            leaving: false,
            loading: false,
            phase: Phase::Live,
            role: SmolStr::default(),
            adapters: Vec::new(),
            fence: 0,
            sessions: HashMap::new(),
            generations: HashMap::new(),
            ready: Vec::new(),
            cache: Cache::new(settings.cache),
            log: Log::default(),
            executed: 0,
            history: History::new(settings.load_lag),
            faults: Faults {
                crash_on: None,
                slowdown: 1.0,
                link_delays: HashMap::new(),
                cut_next_after: None,
                delay_next: None,
                crossed_tokens: 0,
                full_rejections: 0,
            },
            arrivals: 0,
            cancelled: HashMap::new(),
            cancelled_order: VecDeque::new(),
            retained: VecDeque::new(),
        }
    }

    /// Assigns free slots to waiting streams by priority value, lowest first, then by arrival.
    pub(super) fn fill_slots(&mut self) {
        while self.running_generations() < self.slots {
            let waiting =
                self.generations.iter().filter(|(_, generation)| generation.open.is_some());
            let first =
                waiting.min_by_key(|(_, generation)| (generation.priority, generation.arrival));
            let Some(key) = first.map(|(key, _)| *key) else {
                return;
            };
            self.start_generation(key);
        }
    }

    /// Returns whether this attempt or a higher attempt of its request has been cancelled.
    pub(super) fn is_cancelled(&self, key: AttemptKey) -> bool {
        self.cancelled.get(&key.request).is_some_and(|attempt| *attempt >= key.attempt)
    }

    /// Cancels this attempt and all lower attempts of its request.
    ///
    /// Drops their sessions, except those of streams that start at this engine. Returns the keys
    /// of these streams, which the caller has to end.
    pub(super) fn cancel(&mut self, key: AttemptKey) -> Vec<AttemptKey> {
        let highest = self.cancelled.get(&key.request).copied().unwrap_or(0);
        if self.cancelled.insert(key.request, key.attempt.max(highest)).is_none() {
            self.cancelled_order.push_back(key.request);
        }
        if self.cancelled_order.len() > MAX_CANCELLED_REQUESTS
            && let Some(oldest) = self.cancelled_order.pop_front()
        {
            self.cancelled.remove(&oldest);
        }
        let covers =
            |other: &AttemptKey| other.request == key.request && other.attempt <= key.attempt;
        let sessions: Vec<AttemptKey> = self.sessions.keys().copied().filter(covers).collect();
        for other in sessions.into_iter().filter(|other| !self.generations.contains_key(other)) {
            self.sessions.remove(&other);
        }
        self.generations.keys().copied().filter(covers).collect()
    }

    /// Returns the token index up to which the cache of an ended attempt is retained.
    pub(super) fn retained_index(&self, request: RequestId) -> Option<TokenIndex> {
        self.retained.iter().find(|(retained, _)| *retained == request).map(|(_, index)| *index)
    }

    /// Retains the cache of a request up to the token `index`.
    pub(super) fn retain_cache(&mut self, request: RequestId, index: TokenIndex) {
        self.retained.retain(|(retained, _)| *retained != request);
        self.retained.push_back((request, index));
        if self.retained.len() > MAX_RETAINED_CACHES {
            self.retained.pop_front();
        }
    }

    /// Removes an ended attempt and returns its stream, with its session if it had a slot.
    ///
    /// Retains the cache of an attempt that had a slot.
    pub(super) fn remove_generation(
        &mut self,
        key: AttemptKey,
    ) -> Option<(Generation, Option<Session>)> {
        let generation = self.generations.remove(&key)?;
        let session = self.sessions.remove(&key);
        if session.is_some() {
            self.retain_cache(key.request, generation.next);
        }
        Some((generation, session))
    }

    /// Replaces the loaded layers: ends all attempts and clears the cache.
    pub(super) fn reload(&mut self, model: Option<ModelName>, layers: Layers) {
        self.model = model;
        self.layers = layers;
        self.loading = true;
        self.sessions.clear();
        self.retained.clear();
        self.cache.clear();
        for (key, generation) in self.generations.drain() {
            let failed = self.name.clone();
            let reason = SmolStr::new_static("reloaded");
            let event = FailureEvent { request: key.request, attempt: key.attempt, failed, reason };
            // Fails only if the client has disconnected and no longer needs the event.
            let _ = generation.stream.write(super::deliver::sse_event(&event));
        }
        self.update_phase();
    }

    /// Derives the phase from `leaving` and `loading`.
    pub(super) fn update_phase(&mut self) {
        self.phase = match (self.leaving, self.loading) {
            (true, _) => Phase::Leaving,
            (false, true) => Phase::Loading,
            (false, false) => Phase::Live,
        };
    }

    /// Records a sample of the load and drops idle sessions.
    pub(super) fn sample(&mut self) {
        let load = Load {
            running: saturating_u32(self.sessions.len()),
            queued: saturating_u32(self.waiting()),
            slots: saturating_u32(self.slots),
            ..Load::default()
        };
        self.history.push(load, self.executed);
        let live = &self.generations;
        self.sessions
            .retain(|key, session| live.contains_key(key) || session.used.elapsed() < IDLE_TIMEOUT);
    }

    /// Returns the number of streams that wait for a slot.
    pub(super) fn waiting(&self) -> usize {
        self.generations.values().filter(|generation| generation.open.is_some()).count()
    }

    fn running_generations(&self) -> usize {
        self.generations.len() - self.waiting()
    }

    fn start_generation(&mut self, key: AttemptKey) {
        let Some(generation) = self.generations.get_mut(&key) else {
            return;
        };
        let Some(open) = generation.open.take() else {
            return;
        };
        let index = generation.next;
        if generation.stream.is_closed() || session::open(self, key, open).is_err() {
            self.generations.remove(&key);
            return;
        }
        self.ready.push(Token { key, index, trail: Trail::default(), sink: Sink::Client });
    }
}

fn saturating_u32(number: usize) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}

/// Resets the idle time of a session.
pub(super) fn touch(session: &mut Session) {
    session.used = Instant::now();
}
