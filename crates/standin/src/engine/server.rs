//! HTTP handlers of an engine.

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use fleet::{Event, Trail};
use hyper::{Method, StatusCode};
use serde::de::DeserializeOwned;
use serde_json::json;
use smol_str::SmolStr;
use tokio::sync::{Notify, oneshot};

use super::builder::Crash;
use super::command::Command;
use super::compute::crash;
use super::deliver::end_stream;
use super::execution::Execution;
use super::order;
use super::session;
use super::state::{Phase, Sink, State, Token, touch};
use super::wire::{Activation, AttemptKey, Batch, BatchResult, CacheImage, TokenResult};
use crate::event::COMMANDED;
use crate::http::{Call, Client, Cut, Gate, Handler, Reply, ReplyFuture, Stop};

/// State and handles shared by the HTTP handlers and the compute loop.
pub(super) struct Shared {
    pub(super) state: Mutex<State>,
    /// Wakes the compute loop when a token becomes ready or a stream is queued.
    pub(super) work: Notify,
    pub(super) gate: Gate,
    pub(super) client: Client,
    pub(super) stop: Stop,
    pub(super) crash: Crash,
    pub(super) load_time: Duration,
    pub(super) event_lag: Duration,
    pub(super) sample_interval: Duration,
}

impl Shared {
    /// Locks the state.
    pub(super) fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no thread panics while it holds the lock")
    }

    /// Aborts the process or stops only this server, depending on the configured [`Crash`].
    pub(super) fn crash(&self) {
        match self.crash {
            Crash::Abort => std::process::abort(),
            Crash::Stop => self.stop.stop(),
        }
    }

    /// Applies a control command.
    pub(super) fn command(&self, command: Command) {
        log::info!("{}", Event::new(&COMMANDED).with("command", format_args!("{command:?}")));
        let millis = Duration::from_millis;
        let mut state = self.state();
        match command {
            Command::CrashOn { mark, index } => state.faults.crash_on = Some((mark, index)),
            Command::Crash => {
                drop(state);
                crash(self);
            }
            Command::Freeze => self.gate.freeze(true),
            Command::Thaw => self.gate.freeze(false),
            Command::Slow(factor) => state.faults.slowdown = factor.max(0.0),
            Command::Link { target, delay_ms } => {
                state.faults.link_delays.insert(target, millis(delay_ms));
            }
            Command::CutNext { tokens } => state.faults.cut_next_after = Some(tokens),
            Command::LateNext { delay_ms } => state.faults.delay_next = Some(millis(delay_ms)),
            Command::Cross { count } => state.faults.crossed_tokens = count,
            Command::Leaving(leaving) => {
                state.leaving = leaving;
                state.update_phase();
            }
            Command::Full { count } => state.faults.full_rejections = count,
        }
    }

    /// Returns the retained executions, oldest first.
    pub(super) fn executions(&self) -> Vec<Execution> {
        self.state().log.list()
    }

    async fn route(self: Arc<Self>, call: Call) -> Result<Reply, Cut> {
        if call.path.starts_with("/control") {
            return Ok(self.control(&call));
        }
        self.gate.pass().await;
        let reply = match (&call.method, call.path.as_str()) {
            (&Method::POST, "/v1/chat/completions" | "/v1/completions") => {
                super::open::completion(&self, &call)
            }
            (&Method::POST, "/stage") => self.stage(&call).await,
            (&Method::POST, "/cancel") => self.cancel(&call),
            (&Method::GET, "/load") => Reply::json(StatusCode::OK, &self.state().history.read()),
            (&Method::GET, "/events") => self.events(&call),
            (&Method::POST, "/orders") => self.orders(&call),
            (&Method::GET, "/state") => Reply::json(StatusCode::OK, &order::report(&self.state())),
            (&Method::POST, "/cache/export") => self.export(&call),
            (&Method::POST, "/cache/import") => self.import(&call),
            _ => Reply::not_run(StatusCode::NOT_FOUND, "not-found", "no such endpoint"),
        };
        self.gate.pass().await;
        Ok(reply)
    }

    fn control(&self, call: &Call) -> Reply {
        if call.method == Method::GET {
            let lines = self.executions().iter().map(json_line).collect::<String>();
            return Reply::whole(StatusCode::OK, "application/jsonl", lines);
        }
        match parse_body(call) {
            Ok(command) => {
                self.command(command);
                empty_ok()
            }
            Err(reply) => reply,
        }
    }

    /// Queues tokens from the previous stage and replies once each has passed all later stages or
    /// has failed.
    async fn stage(&self, call: &Call) -> Reply {
        let batch: Batch = match parse_body(call) {
            Ok(batch) => batch,
            Err(reply) => return reply,
        };
        let mut waiting = Vec::with_capacity(batch.tokens.len());
        {
            let mut state = self.state();
            for key in batch.ends {
                state.sessions.remove(&key);
            }
            for activation in batch.tokens {
                waiting.push(enqueue(&mut state, activation));
            }
        }
        self.work.notify_one();
        let mut results = Vec::with_capacity(waiting.len());
        for token in waiting {
            results.push(match token {
                Ok(receiver) => receiver.await.unwrap_or_else(|_| self.failed("dropped")),
                Err(reason) => self.failed(reason),
            });
        }
        Reply::json(StatusCode::OK, &BatchResult { results })
    }

    fn failed(&self, reason: &str) -> TokenResult {
        TokenResult::Failed { target: self.state().name.clone(), reason: reason.into() }
    }

    fn cancel(self: &Arc<Self>, call: &Call) -> Reply {
        let key: AttemptKey = match parse_body(call) {
            Ok(key) => key,
            Err(reply) => return reply,
        };
        let ended = self.state().cancel(key);
        let name = self.state().name.clone();
        for key in ended {
            end_stream(self, key, Some((name.clone(), SmolStr::new_static("cancelled"))));
        }
        empty_ok()
    }

    fn events(&self, call: &Call) -> Reply {
        let from = call.query_number("from").unwrap_or(0);
        Reply::json(StatusCode::OK, &self.state().cache.events(from, self.event_lag))
    }

    fn orders(self: &Arc<Self>, call: &Call) -> Reply {
        let fenced = match parse_body(call) {
            Ok(fenced) => fenced,
            Err(reply) => return reply,
        };
        match order::apply(&mut self.state(), fenced) {
            Ok(false) => empty_ok(),
            Ok(true) => {
                tokio::spawn(finish_load(Arc::clone(self)));
                empty_ok()
            }
            Err(order::StaleFence) => {
                Reply::error(StatusCode::CONFLICT, "old-fence", "the fencing number is too old")
            }
        }
    }

    fn export(&self, call: &Call) -> Reply {
        let key: AttemptKey = match parse_body(call) {
            Ok(key) => key,
            Err(reply) => return reply,
        };
        let state = self.state();
        let generation = state.generations.get(&key).map(|generation| generation.next);
        let Some(index) = generation.or_else(|| state.retained_index(key.request)) else {
            return Reply::error(
                StatusCode::NOT_FOUND,
                "not-found",
                "no cache is held for this request",
            );
        };
        let image = CacheImage {
            request: key.request,
            model: state.model.clone().unwrap_or_default(),
            layers: state.layers,
            index,
            prefixes: state.cache.list(),
        };
        Reply::json(StatusCode::OK, &image)
    }

    fn import(&self, call: &Call) -> Reply {
        let image: CacheImage = match parse_body(call) {
            Ok(image) => image,
            Err(reply) => return reply,
        };
        let mut state = self.state();
        if state.model.as_ref() != Some(&image.model) || state.layers != image.layers {
            return Reply::error(
                StatusCode::CONFLICT,
                "other-layers",
                "the engine holds another model or other layers",
            );
        }
        state.cache.store(&image.prefixes);
        state.retain_cache(image.request, image.index);
        empty_ok()
    }
}

impl Handler for Shared {
    fn call(self: Arc<Self>, call: Call) -> ReplyFuture {
        Box::pin(self.route(call))
    }
}

/// Marks the layers as loaded after `load_time`.
async fn finish_load(shared: Arc<Shared>) {
    tokio::time::sleep(shared.load_time).await;
    let mut state = shared.state();
    state.loading = false;
    state.update_phase();
}

/// Queues a token from the previous stage for execution.
///
/// # Errors
///
/// Returns the failure reason as it is sent to the previous stage.
fn enqueue(
    state: &mut State,
    activation: Activation,
) -> Result<oneshot::Receiver<TokenResult>, &'static str> {
    let Activation { key, index, open, trail } = activation;
    if let Some(open) = open {
        match state.phase {
            Phase::Leaving => return Err("leaving"),
            Phase::Loading => return Err("loading"),
            Phase::Live => {}
        }
        if let Some(previous) = key.previous() {
            state.cancel(previous);
        }
        session::open(state, key, *open).map_err(session::OpenError::reason)?;
    }
    let session = state.sessions.get_mut(&key).ok_or("unknown-session")?;
    touch(session);
    if executed_end(&trail) != session.layers.start {
        return Err("astray");
    }
    let (sender, receiver) = oneshot::channel();
    state.ready.push(Token { key, index, trail, sink: Sink::Upstream(sender) });
    Ok(receiver)
}

fn executed_end(trail: &Trail) -> fleet::Layer {
    trail.hops.last().map_or(0, |hop| hop.layers.end)
}

fn json_line(execution: &Execution) -> String {
    let mut line = serde_json::to_string(execution).unwrap_or_default();
    line.push('\n');
    line
}

fn parse_body<T: DeserializeOwned>(call: &Call) -> Result<T, Reply> {
    call.json()
        .map_err(|error| Reply::not_run(StatusCode::BAD_REQUEST, "invalid", &error.to_string()))
}

fn empty_ok() -> Reply {
    Reply::json(StatusCode::OK, &json!({}))
}
