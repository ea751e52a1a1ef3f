//! What an engine's handlers and its compute loop share.

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
use super::wire::{FailureEvent, Open, Passage, Run};
use crate::http::Stream;

/// Requests whose cancelled attempts are remembered.
const CANCELLED_LIMIT: usize = 4096;
/// Ended requests whose cache is kept for a later attempt.
const KEPT_LIMIT: usize = 256;
/// A session of another engine's stream that is not used for so long is dropped.
const SESSION_IDLE: Duration = Duration::from_secs(30);

/// Whether the engine takes work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum Phase {
    Live,
    Leaving,
    Loading,
}

/// Where the result of a token goes.
#[derive(Debug)]
pub(super) enum Sink {
    /// To the stream that this engine writes as the first stage.
    Own,
    /// To the stage before.
    Upstream(oneshot::Sender<Passage>),
}

/// A token that is ready to be executed here.
#[derive(Debug)]
pub(super) struct Token {
    pub(super) run: Run,
    pub(super) index: TokenIndex,
    pub(super) trail: Trail,
    pub(super) sink: Sink,
}

/// A stream that this engine writes as the first stage.
pub(super) struct Own {
    pub(super) stream: Stream,
    pub(super) priority: u8,
    pub(super) arrival: u64,
    /// Set until the stream has a slot.
    pub(super) open: Option<Open>,
    /// Next token.
    pub(super) next: TokenIndex,
    /// Tokens of the whole answer.
    pub(super) length: TokenIndex,
    pub(super) finish: Finish,
    /// Tokens left before the connection is cut, when that is commanded.
    pub(super) cut_after: Option<u32>,
    /// Delay of the next token, when that is commanded.
    pub(super) late: Option<Duration>,
    /// Text of the last token, for crossed answers.
    pub(super) last: SmolStr,
}

/// Faults in force.
#[derive(Debug)]
pub(super) struct Faults {
    pub(super) crash_on: Option<(SmolStr, TokenIndex)>,
    pub(super) slow: f64,
    pub(super) links: HashMap<SmolStr, Duration>,
    pub(super) cut_next: Option<u32>,
    pub(super) late_next: Option<Duration>,
    pub(super) cross: u32,
    pub(super) full: u32,
}

/// State of an engine, behind one lock.
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
    pub(super) sessions: HashMap<Run, Session>,
    pub(super) owns: HashMap<Run, Own>,
    pub(super) ready: Vec<Token>,
    pub(super) cache: Cache,
    pub(super) log: Log,
    pub(super) executed: u64,
    pub(super) history: History,
    pub(super) faults: Faults,
    pub(super) arrivals: u64,
    cancelled: HashMap<RequestId, AttemptId>,
    cancelled_order: VecDeque<RequestId>,
    kept: VecDeque<(RequestId, TokenIndex)>,
}

/// First settings of a state.
pub(super) struct Initial {
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
    /// Makes the state of an idle engine.
    pub(super) fn new(initial: Initial) -> Self {
        Self {
            name: initial.name,
            model: Some(initial.model),
            layers: initial.layers,
            tokens_per_second: initial.tokens_per_second,
            slots: initial.slots,
            queue_limit: initial.queue_limit,
            checks_orders: initial.checks_orders,
            leaving: false,
            loading: false,
            phase: Phase::Live,
            role: SmolStr::default(),
            adapters: Vec::new(),
            fence: 0,
            sessions: HashMap::new(),
            owns: HashMap::new(),
            ready: Vec::new(),
            cache: Cache::new(initial.cache),
            log: Log::default(),
            executed: 0,
            history: History::new(initial.load_lag),
            faults: Faults {
                crash_on: None,
                slow: 1.0,
                links: HashMap::new(),
                cut_next: None,
                late_next: None,
                cross: 0,
                full: 0,
            },
            arrivals: 0,
            cancelled: HashMap::new(),
            cancelled_order: VecDeque::new(),
            kept: VecDeque::new(),
        }
    }

    /// Gives free slots to waiting streams, the most urgent first.
    pub(super) fn fill_slots(&mut self) {
        while self.running_owns() < self.slots {
            let waiting = self.owns.iter().filter(|(_, own)| own.open.is_some());
            let first = waiting.min_by_key(|(_, own)| (own.priority, own.arrival));
            let Some(run) = first.map(|(run, _)| *run) else {
                return;
            };
            self.give_slot(run);
        }
    }

    /// Whether this attempt, or a higher one of its request, has been cancelled.
    pub(super) fn is_cancelled(&self, run: Run) -> bool {
        self.cancelled.get(&run.request).is_some_and(|attempt| *attempt >= run.attempt)
    }

    /// Ends this attempt and all lower ones; returns the streams of this engine that end.
    pub(super) fn cancel(&mut self, run: Run) -> Vec<Run> {
        let highest = self.cancelled.get(&run.request).copied().unwrap_or(0);
        if self.cancelled.insert(run.request, run.attempt.max(highest)).is_none() {
            self.cancelled_order.push_back(run.request);
        }
        if self.cancelled_order.len() > CANCELLED_LIMIT
            && let Some(oldest) = self.cancelled_order.pop_front()
        {
            self.cancelled.remove(&oldest);
        }
        let covers = |other: &Run| other.request == run.request && other.attempt <= run.attempt;
        let sessions: Vec<Run> = self.sessions.keys().copied().filter(covers).collect();
        for other in sessions.into_iter().filter(|other| !self.owns.contains_key(other)) {
            self.sessions.remove(&other);
        }
        self.owns.keys().copied().filter(covers).collect()
    }

    /// Token up to which the cache of an ended attempt at the request is kept.
    pub(super) fn kept_index(&self, request: RequestId) -> Option<TokenIndex> {
        self.kept.iter().find(|(kept, _)| *kept == request).map(|(_, index)| *index)
    }

    /// Keeps the cache of a request up to a token.
    pub(super) fn keep(&mut self, request: RequestId, index: TokenIndex) {
        self.kept.retain(|(kept, _)| *kept != request);
        self.kept.push_back((request, index));
        if self.kept.len() > KEPT_LIMIT {
            self.kept.pop_front();
        }
    }

    /// Takes the stream of an ended attempt out. Returns it with its later stages.
    pub(super) fn end(&mut self, run: Run) -> Option<(Own, Option<Session>)> {
        let own = self.owns.remove(&run)?;
        let session = self.sessions.remove(&run);
        if session.is_some() {
            self.keep(run.request, own.next);
        }
        Some((own, session))
    }

    /// Loads other layers: all attempts end and the cache is lost.
    pub(super) fn reload(&mut self, model: Option<ModelName>, layers: Layers) {
        self.model = model;
        self.layers = layers;
        self.loading = true;
        self.sessions.clear();
        self.kept.clear();
        self.cache.clear();
        for (run, own) in self.owns.drain() {
            let failed = self.name.clone();
            let reason = SmolStr::new_static("reloaded");
            let event = FailureEvent { request: run.request, attempt: run.attempt, failed, reason };
            // A reader that has gone needs no word.
            let _ = own.stream.write(super::deliver::event(&event));
        }
        self.settle_phase();
    }

    /// Derives the phase from its causes.
    pub(super) fn settle_phase(&mut self) {
        self.phase = match (self.leaving, self.loading) {
            (true, _) => Phase::Leaving,
            (false, true) => Phase::Loading,
            (false, false) => Phase::Live,
        };
    }

    /// Takes a sample of the load, and drops sessions that nobody uses.
    pub(super) fn sample(&mut self) {
        let load = Load {
            running: count(self.sessions.len()),
            queued: count(self.waiting()),
            slots: count(self.slots),
            ..Load::default()
        };
        self.history.push(load, self.executed);
        let owns = &self.owns;
        self.sessions
            .retain(|run, session| owns.contains_key(run) || session.used.elapsed() < SESSION_IDLE);
    }

    /// Streams that wait for a slot.
    pub(super) fn waiting(&self) -> usize {
        self.owns.values().filter(|own| own.open.is_some()).count()
    }

    fn running_owns(&self) -> usize {
        self.owns.len() - self.waiting()
    }

    fn give_slot(&mut self, run: Run) {
        let Some(own) = self.owns.get_mut(&run) else {
            return;
        };
        let Some(open) = own.open.take() else {
            return;
        };
        let index = own.next;
        if own.stream.is_closed() || session::open(self, run, open).is_err() {
            self.owns.remove(&run);
            return;
        }
        self.ready.push(Token { run, index, trail: Trail::default(), sink: Sink::Own });
    }
}

fn count(number: usize) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}

/// Records the use of a session.
pub(super) fn touch(session: &mut Session) {
    session.used = Instant::now();
}
