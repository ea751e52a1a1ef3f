//! The relay of one request: takes the events of its attempts, checks each token,
//! hands it to the caller and reports only samples and endings to the decisions.
//!
//! A token is delivered only when its request, attempt and number are the ones
//! due and its trail follows the plan of that attempt. The text delivered so far
//! goes along with the next attempt, so that the caller's stream goes on where
//! the last one broke.

mod answer;
mod token;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bytes::Bytes;
use fleet::{AttemptId, Depth, Event as LogEvent, Plan, RequestId, TokenIndex};
use serde_json::json;
use smol_str::SmolStr;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep_until, timeout};

use super::attempt::{self, Event, ServiceRequest, Sink};
use super::reply::Reply;
use super::shared::{Command, Input, Shared, hex};
use crate::api::{Completion, Header};
use crate::identity::{Digest, EventId};
use crate::{Answer, Message, Request, event};

/// Events of attempts that wait for the relay.
const EVENT_CAPACITY: usize = 64;
/// Pieces of an answer that wait for the caller.
const CHUNK_CAPACITY: usize = 32;
/// Tokens between samples of progress.
const SAMPLE_TOKENS: TokenIndex = 16;
/// Longest time for one call that tells a target to cancel.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(1);
/// A timer that fires this much late shows that this process was held up.
const LATE_TIMER: Duration = Duration::from_millis(20);
/// Late timers in a row after which a silent target counts as stalled all the same.
const MAX_LATE_TIMERS: u32 = 3;
/// Added to the timeouts of a blocking read, so that the relay's own come first.
const READ_MARGIN: Duration = Duration::from_millis(500);

/// A caller's call.
pub(crate) enum Call {
    /// To a model.
    Model(Box<Model>),
    /// To a plain service.
    Service(Box<Service>),
}

/// A call to a model.
pub(crate) struct Model {
    pub(crate) completion: Completion,
    pub(crate) header: Header,
    /// Seed of the decoding.
    pub(crate) seed: u64,
    /// Last event that the caller has.
    pub(crate) last: Option<EventId>,
    /// Whether the caller gave a key, so that earlier sendings are possible.
    pub(crate) keyed: bool,
}

/// A call to a plain service.
pub(crate) struct Service {
    pub(crate) method: hyper::Method,
    /// Path and query at the target.
    pub(crate) path: String,
    pub(crate) headers: Vec<(hyper::header::HeaderName, hyper::header::HeaderValue)>,
    pub(crate) body: Bytes,
    /// Whether it may run more than once.
    pub(crate) repeatable: bool,
    pub(crate) keyed: bool,
}

/// The attempt that runs.
struct Attempt {
    id: AttemptId,
    plan: Plan,
    depth: Depth,
    stall: Duration,
    abandoned: Arc<AtomicBool>,
}

/// The way to the caller.
enum Caller {
    /// Nothing has been sent.
    Waiting(oneshot::Sender<Reply>),
    /// The answer streams.
    Streaming(mpsc::Sender<Bytes>),
    /// Gone, or answered.
    Closed,
}

/// Relays one request.
pub(crate) struct Relay {
    shared: Arc<Shared>,
    agent: ureq::Agent,
    request: RequestId,
    call: Call,
    caller: Caller,
    current: Option<Attempt>,
    deadline: Option<Instant>,
    /// Timers in a row that fired late.
    late_timers: u32,
    events: mpsc::Sender<(AttemptId, Event)>,
    texts: Vec<SmolStr>,
    digest: Digest,
    finish_reason: SmolStr,
    answer: Option<Answer>,
    last_reported: TokenIndex,
    started: bool,
    started_at: Instant,
}

/// What a relay is made of.
pub(crate) struct Params {
    pub(crate) shared: Arc<Shared>,
    pub(crate) agent: ureq::Agent,
    pub(crate) request: RequestId,
    pub(crate) call: Call,
    pub(crate) caller: oneshot::Sender<Reply>,
}

/// Runs the relay of a request to its end.
pub(crate) async fn run(params: Params, mut commands: mpsc::UnboundedReceiver<Command>) {
    let shared = Arc::clone(&params.shared);
    let _in_flight = shared.track_request(params.request);
    let (events, mut incoming) = mpsc::channel(EVENT_CAPACITY);
    let mut relay = Relay {
        digest: shared.secret.digest(),
        shared,
        agent: params.agent,
        request: params.request,
        call: params.call,
        caller: Caller::Waiting(params.caller),
        current: None,
        deadline: None,
        late_timers: 0,
        events,
        texts: Vec::new(),
        finish_reason: SmolStr::default(),
        answer: None,
        last_reported: 0,
        started: false,
        started_at: Instant::now(),
    };
    loop {
        let deadline = relay.deadline.unwrap_or_else(Instant::now);
        let timed = relay.deadline.is_some();
        tokio::select! {
            biased;
            command = commands.recv() => match command {
                Some(Command::Dispatch { dispatch, until }) => relay.dispatch(dispatch, until),
                Some(Command::Finish(end)) => break relay.finish_request(end).await,
                None => break,
            },
            () = relay.caller.closed() => relay.on_caller_closed(),
            Some((attempt, event)) = incoming.recv() => relay.on_event(attempt, event).await,
            () = sleep_until(deadline), if timed => relay.on_timeout(deadline),
        }
    }
    relay.abandon();
}

impl Caller {
    /// Waits until the caller has gone; forever once that is known.
    async fn closed(&mut self) {
        match self {
            Caller::Waiting(head) => head.closed().await,
            Caller::Streaming(body) => body.closed().await,
            Caller::Closed => std::future::pending().await,
        }
    }
}

impl Relay {
    fn notify(&self, request: Request) {
        self.shared.inbox.send_message(Message::Request(request));
    }

    fn log(&self, event: LogEvent) {
        self.shared.inbox.send(Input::Log(event));
    }

    fn next_index(&self) -> TokenIndex {
        TokenIndex::try_from(self.texts.len()).unwrap_or(TokenIndex::MAX)
    }

    /// Lets the reader of the current attempt go.
    fn abandon(&mut self) {
        self.deadline = None;
        if let Some(current) = self.current.take() {
            current.abandoned.store(true, Ordering::Relaxed);
        }
    }

    fn dispatch(&mut self, dispatch: route::Dispatch, until: Option<std::time::Instant>) {
        self.abandon();
        let Some(first) = dispatch.plan.stages.first() else {
            debug_assert!(false, "a plan has a stage");
            return;
        };
        let abandoned = Arc::new(AtomicBool::new(false));
        let sink = Sink {
            attempt: dispatch.attempt,
            events: self.events.clone(),
            abandoned: Arc::clone(&abandoned),
        };
        let agent = self.agent.clone();
        let first_timeout = dispatch.first_timeout;
        let mut depth = 0;
        match &self.call {
            Call::Model(model) => {
                let name = &model.completion.model;
                let last = dispatch.plan.stages.last().map_or(0, |stage| stage.layers.end);
                depth = self.shared.catalog().models.get(name).copied().unwrap_or(last);
                let url = format!("http://{}{}", first.address, model.completion.form.path());
                let body = self.engine_body(model, &dispatch, depth);
                let io_timeout = first_timeout.max(dispatch.stall_timeout) + READ_MARGIN;
                tokio::task::spawn_blocking(move || {
                    attempt::stream(&agent, &url, &body, io_timeout, &sink);
                });
            }
            Call::Service(service) => {
                let service_request = ServiceRequest {
                    method: service.method.clone(),
                    url: format!("http://{}{}", first.address, service.path),
                    headers: service.headers.clone(),
                    body: service.body.clone(),
                    request: self.request,
                    answer_bytes: self.shared.settings.answer_bytes,
                    until,
                };
                let limit = first_timeout + READ_MARGIN;
                tokio::task::spawn_blocking(move || {
                    attempt::call_service(&agent, service_request, limit, &sink);
                });
            }
        }
        metrics::counter!("magnolia_attempts").increment(1);
        self.deadline = Some(Instant::now() + first_timeout);
        self.current = Some(Attempt {
            id: dispatch.attempt,
            plan: dispatch.plan,
            depth,
            stall: dispatch.stall_timeout,
            abandoned,
        });
    }

    /// The body for the first stage: the caller's members and the plan.
    fn engine_body(&self, model: &Model, dispatch: &route::Dispatch, depth: Depth) -> Vec<u8> {
        let mut plan = json!({
            "request": hex(self.request), "attempt": dispatch.attempt, "seed": model.seed,
            "priority": dispatch.priority, "depth": depth, "stages": dispatch.plan,
        });
        if !self.texts.is_empty() {
            plan["resume"] = json!({"index": self.texts.len(), "text": self.texts});
        }
        let mut members = model.completion.members.clone();
        members.insert("stream".to_owned(), json!(true));
        members.insert("plan".to_owned(), plan);
        serde_json::Value::Object(members).to_string().into_bytes()
    }

    async fn on_event(&mut self, attempt: AttemptId, event: Event) {
        let Some(current) = &self.current else { return };
        if attempt != current.id {
            self.record_dropped_event("older_attempt", attempt);
            return;
        }
        let first = current.plan.stages.first().map(|stage| stage.target.clone());
        let first = first.unwrap_or_default();
        match event {
            Event::Token(token) => self.on_token(token).await,
            Event::Closed { request, attempt, finish, tokens } => {
                self.on_closed(&request, attempt, finish, tokens);
            }
            Event::Failed { target, reason } => {
                self.end_attempt(ending_for_stage_failure(target, &reason))
            }
            Event::Refused { leaving, retry_after } => {
                self.end_attempt(route::Ending::Refused { target: first, leaving, retry_after });
            }
            Event::Unreachable => self.end_attempt(route::Ending::Unreachable { target: first }),
            Event::Broken => {
                let target = matches!(self.call, Call::Service(_)).then_some(first);
                self.end_attempt(route::Ending::Broken { target });
            }
            Event::Answer(answer) => self.on_answer(answer),
        }
    }

    /// Sends a piece of the stream, and its head before the first.
    async fn send_chunk(&mut self, chunk: Bytes) {
        if let Caller::Waiting(_) = self.caller {
            let (sender, receiver) = mpsc::channel(CHUNK_CAPACITY);
            let head = Reply::stream(self.request, receiver);
            let caller = std::mem::replace(&mut self.caller, Caller::Streaming(sender));
            if let Caller::Waiting(caller) = caller
                && caller.send(head).is_err()
            {
                self.on_caller_closed();
                return;
            }
        }
        if let Caller::Streaming(body) = &self.caller {
            let sent = timeout(self.shared.settings.write, body.send(chunk)).await;
            if !matches!(sent, Ok(Ok(()))) {
                self.on_caller_closed();
            }
        }
        // The time that the caller took is not the engine's.
        if let Some(current) = &self.current
            && self.deadline.is_some()
        {
            self.deadline = Some(Instant::now() + current.stall);
        }
    }

    fn on_caller_closed(&mut self) {
        if matches!(self.caller, Caller::Closed) {
            return;
        }
        self.caller = Caller::Closed;
        let hung_up = LogEvent::new(&event::HUNG_UP)
            .with("request", hex(self.request))
            .with("tokens", self.texts.len());
        self.log(hung_up);
        self.notify(Request::HungUp(self.request));
    }

    fn on_answer(&mut self, answer: Answer) {
        if !self.started {
            self.started = true;
            self.notify(Request::Started(self.request));
        }
        let Call::Service(service) = &self.call else { return };
        let failed = answer.status >= 500 && service.repeatable;
        self.answer = Some(answer);
        self.end_attempt(if failed { route::Ending::Failed } else { route::Ending::Complete });
    }

    /// Nothing has come in time. When the timer itself is late, this process was paused or
    /// starved, and what the target sent meanwhile may wait to be read: it gets another span.
    fn on_timeout(&mut self, deadline: Instant) {
        let Some(current) = &self.current else { return };
        let now = Instant::now();
        if now.saturating_duration_since(deadline) > LATE_TIMER
            && self.late_timers < MAX_LATE_TIMERS
        {
            self.late_timers += 1;
            self.deadline = Some(now + current.stall);
            return;
        }
        self.end_attempt(route::Ending::Stalled);
    }

    /// Reports the end of the current attempt.
    fn end_attempt(&mut self, ending: route::Ending) {
        let Some(attempt) = self.current.as_ref().map(|current| current.id) else { return };
        self.abandon();
        let (request, next) = (self.request, self.next_index());
        let answer = self.answer.clone();
        self.notify(Request::Ended { request, attempt, next, ending, answer });
    }
}

/// What a stage's failure, as the first stage tells it, says of that stage.
fn ending_for_stage_failure(target: SmolStr, reason: &str) -> route::Ending {
    match reason {
        "unreachable" => route::Ending::Unreachable { target },
        "leaving" | "loading" | "full" => {
            route::Ending::Refused { target, leaving: reason == "leaving", retry_after: None }
        }
        _ => route::Ending::Broken { target: Some(target) },
    }
}

/// Tells all stages of a plan to end an attempt.
pub(crate) fn cancel(agent: &ureq::Agent, request: RequestId, attempt: AttemptId, plan: &Plan) {
    let body = json!({"request": hex(request), "attempt": attempt}).to_string();
    for stage in plan.stages.iter().filter(|stage| !stage.layers.is_empty()) {
        let agent = agent.clone();
        let url = format!("http://{}/cancel", stage.address);
        let body = body.clone();
        tokio::task::spawn_blocking(move || {
            attempt::cancel(&agent, &url, body.as_bytes(), CANCEL_TIMEOUT);
        });
    }
}
