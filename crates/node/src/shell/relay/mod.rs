//! The relay of one request: receives the events of its attempts, validates each
//! token, forwards it to the caller and reports only progress samples and the ends
//! of attempts to the decision thread.
//!
//! A token is delivered only if its request, attempt and index are the expected
//! ones and its trail follows the plan of that attempt. The next attempt receives
//! the text generated so far, so that it resumes the caller's stream where the
//! previous attempt broke off.

mod answer;
mod token;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bytes::Bytes;
use edge::Share;
use fleet::{AttemptId, Depth, Event as LogEvent, Plan, RequestId, TokenIndex};
use hyper::StatusCode;
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

/// Capacity of the queue from attempts to the relay, in events.
const EVENT_CAPACITY: usize = 64;
/// Capacity of the queue from the relay to the caller's connection, in chunks.
const CHUNK_CAPACITY: usize = 32;
/// Number of tokens between progress reports.
const SAMPLE_TOKENS: TokenIndex = 16;
/// Timeout of one cancel call to a target.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(1);
/// A timer that fires later than this shows that this process was paused or starved.
const LATE_TIMER: Duration = Duration::from_millis(20);
/// Consecutive late timers after which a silent target counts as stalled nevertheless.
const MAX_LATE_TIMERS: u32 = 3;
/// Added to the timeouts of blocking I/O, so that the relay's own timeouts fire first.
const READ_MARGIN: Duration = Duration::from_millis(500);

/// A call from a caller.
pub(crate) enum Call {
    /// A call to a model.
    Model(Box<Model>),
    /// A call to a plain service.
    Service(Box<Service>),
}

/// A call to a model.
pub(crate) struct Model {
    pub(crate) completion: Completion,
    pub(crate) header: Header,
    /// Seed for sampling in the engine.
    pub(crate) seed: u64,
    /// Last event that the caller received, from `Last-Event-ID`.
    pub(crate) last: Option<EventId>,
    /// Whether the caller gave an idempotency key, so that it may have sent the call before.
    pub(crate) keyed: bool,
    /// What the body of the request holds until it is answered.
    pub(crate) _share: Share,
}

/// A call to a plain service.
pub(crate) struct Service {
    pub(crate) method: hyper::Method,
    /// Path and query of the call at the target.
    pub(crate) path: String,
    pub(crate) headers: Vec<(hyper::header::HeaderName, hyper::header::HeaderValue)>,
    pub(crate) body: Bytes,
    /// Whether the call may run more than once.
    pub(crate) repeatable: bool,
    /// Whether the caller gave an idempotency key.
    pub(crate) keyed: bool,
}

/// The running attempt.
struct Attempt {
    id: AttemptId,
    plan: Plan,
    /// Number of layers of the model.
    depth: Depth,
    /// Longest time between two tokens.
    stall: Duration,
    /// Tells the attempt's thread to stop reading.
    abandoned: Arc<AtomicBool>,
}

/// The connection to the caller.
enum Caller {
    /// No part of the reply has been sent.
    Waiting(oneshot::Sender<Reply>),
    /// The reply is being streamed.
    Streaming(mpsc::Sender<Bytes>),
    /// The caller has disconnected or has been answered.
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
    /// Number of consecutive timers that fired late.
    late_timers: u32,
    events: mpsc::Sender<(AttemptId, Event)>,
    /// Texts of all tokens accepted so far.
    texts: Vec<SmolStr>,
    digest: Digest,
    finish_reason: SmolStr,
    /// The answer of a plain service, and what it holds.
    answer: Option<(Answer, Share)>,
    /// Index at the last progress report.
    last_reported: TokenIndex,
    /// Whether the first token or answer has been reported to the node.
    started: bool,
    started_at: Instant,
}

/// Parameters of a relay.
pub(crate) struct Params {
    pub(crate) shared: Arc<Shared>,
    pub(crate) agent: ureq::Agent,
    pub(crate) request: RequestId,
    pub(crate) call: Call,
    pub(crate) caller: oneshot::Sender<Reply>,
}

/// Relays a request until it has finished.
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
    /// Waits until the caller has disconnected. Never completes in state [`Caller::Closed`].
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
        self.shared.inbox.post(Message::Request(request));
    }

    fn log(&self, event: LogEvent) {
        self.shared.inbox.send(Input::Log(event));
    }

    fn next_index(&self) -> TokenIndex {
        TokenIndex::try_from(self.texts.len()).unwrap_or(TokenIndex::MAX)
    }

    /// Stops the timer and tells the thread of the current attempt to stop reading.
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
            target: first.address,
            answers: self.shared.answers.clone(),
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

    /// Builds the request body for the first stage: the caller's JSON members, the plan and, after
    /// an earlier attempt, the text to resume from.
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
            Event::Failed { target, reason } => self.end_attempt(stage_ending(target, &reason)),
            Event::Refused { leaving, retry_after } => {
                self.end_attempt(route::Ending::Refused { target: first, leaving, retry_after });
            }
            Event::Unreachable => self.end_attempt(route::Ending::Unreachable { target: first }),
            Event::Broken => {
                let target = matches!(self.call, Call::Service(_)).then_some(first);
                self.end_attempt(route::Ending::Broken { target });
            }
            Event::Malformed => self.end_attempt(route::Ending::Failed),
            Event::Unproven(status) => {
                self.log_unproven(&first, status);
                self.end_attempt(route::Ending::Failed);
            }
            Event::Answer(answer, share) => self.on_answer(answer, share),
        }
    }

    /// Sends a chunk of the stream, preceded by the response head if it is the first.
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
            let sent = timeout(self.shared.settings.write_timeout, body.send(chunk)).await;
            if !matches!(sent, Ok(Ok(()))) {
                self.on_caller_closed();
            }
        }
        // Restarts the stall timer, because the time spent on writing to the caller does not
        // count against the engine.
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
        let hung_up = LogEvent::new(&event::CALLER_DISCONNECTED)
            .with("request", hex(self.request))
            .with("tokens", self.texts.len());
        self.log(hung_up);
        self.notify(Request::CallerDisconnected(self.request));
    }

    /// Logs a target's answer that promises what the target does not state.
    fn log_unproven(&self, target: &str, status: StatusCode) {
        let event = LogEvent::new(&event::REFUSAL_UNPROVEN)
            .with("request", hex(self.request))
            .with("target", target)
            .with("status", status.as_u16());
        self.log(event);
    }

    fn on_answer(&mut self, answer: Answer, share: Share) {
        if !self.started {
            self.started = true;
            self.notify(Request::Started(self.request));
        }
        let Call::Service(service) = &self.call else { return };
        let failed = answer.status >= 500 && service.repeatable;
        self.answer = Some((answer, share));
        self.end_attempt(if failed { route::Ending::Failed } else { route::Ending::Complete });
    }

    /// Ends the attempt as stalled because no event arrived in time. If the timer itself fired
    /// late, this process was paused or starved and events of the target may be waiting to be
    /// read, so the timer is restarted, at most [`MAX_LATE_TIMERS`] times in a row.
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

    /// Abandons the current attempt and reports its ending to the node.
    fn end_attempt(&mut self, ending: route::Ending) {
        let Some(attempt) = self.current.as_ref().map(|current| current.id) else { return };
        self.abandon();
        let (request, next) = (self.request, self.next_index());
        let answer = self.answer.as_ref().map(|(answer, _)| answer.clone());
        self.notify(Request::Ended { request, attempt, next, ending, answer });
    }
}

/// Maps a stage failure reported by the first stage to an ending that names the failed stage.
fn stage_ending(target: SmolStr, reason: &str) -> route::Ending {
    match reason {
        "unreachable" => route::Ending::Unreachable { target },
        "leaving" | "loading" | "full" => {
            route::Ending::Refused { target, leaving: reason == "leaving", retry_after: None }
        }
        _ => route::Ending::Broken { target: Some(target) },
    }
}

/// Tells all stages of a plan that hold layers to end an attempt.
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
