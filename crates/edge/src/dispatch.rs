//! Dispatch of a streaming request to paths, one after another until one answers.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::{Response, StatusCode};
use path::{Fault, Path, Query, Stage};
use site::{Model, TargetKey};
use tokio::pin;
use tokio::time::{Instant, timeout};

use crate::answer::Answer;
use crate::call::Call;
use crate::diagnose::{probe_failure, probe_fault};
use crate::event::RETRIED;
use crate::forward::{self, Forward, MAX_UNSENT};
use crate::node::Node;
use crate::pool::{Connection, Exchange, MAX_ANSWER_BYTES, Unanswered, read_body};
use crate::quarantine::QUARANTINED;
use crate::reply::{is_not_run, log_failed_attempt, matches_request, passthrough};
use crate::resumed::{is_signed, is_stream};
use crate::segment::Segment;
use crate::watchdog::STALL_TIMEOUT;

/// Maximum number of paths that one call of [`Dispatch::open_stream`] tries.
const MAX_OFFERS: u32 = 5;
/// Share of an engine's memory above which new requests are refused.
const MAX_PRESSURE: f64 = 1.0;
/// Time for which a retry that was taken and not used may be used for another offer: it counts in the
/// window in which it was taken.
const RETRY_VALIDITY: Duration = Duration::from_millis(1000);
/// Reason of a stream that other nodes refuse to resume.
const REFUSED_BY_NODES: &str = "refused by other nodes";
/// Reason of a request for which no path is available.
pub(crate) const NO_PATH: &str = "no path";
/// Reason of a request that has a path but no retry left in the budget.
pub(crate) const NO_RETRY: &str = "no retry left";
/// Reason of a stream that has a path but may not run at any further engine.
const NO_ATTEMPT: &str = "no attempt left";
/// A refusal that takes longer than this indicates that the engine had stalled.
const SLOW_REFUSAL: Duration = Duration::from_millis(800);

/// A request that is counted as running at the engines of a path. Dropping it ends the count.
pub(crate) struct InFlight {
    node: Rc<Node>,
    pub(crate) path: Path,
    /// Time at which the request was sent.
    pub(crate) sent_at: Duration,
    tokens: f64,
    /// Tokens that the engines process before the first event.
    prefill: f64,
}

impl InFlight {
    fn start(node: &Rc<Node>, path: Path, tokens: f64, prefill: f64) -> Self {
        let mut table = node.table.borrow_mut();
        for stage in &path.stages {
            table.add_request(&stage.target, tokens);
            table.request_sent(node.now(), &stage.target);
            table.add_prefill(&stage.target, prefill);
        }
        drop(table);
        Self { node: node.clone(), path, sent_at: node.now(), tokens, prefill }
    }

    /// Records that the engines have accepted the request.
    fn record_accepted(&self) {
        let mut table = self.node.table.borrow_mut();
        for stage in &self.path.stages {
            table.request_accepted(self.node.now(), &stage.target);
        }
    }

    /// Records that the engines have processed the prompt.
    fn record_prefill_done(&mut self) {
        let prefill = std::mem::take(&mut self.prefill);
        let mut table = self.node.table.borrow_mut();
        for stage in &self.path.stages {
            table.add_prefill(&stage.target, -prefill);
        }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.record_prefill_done();
        let mut table = self.node.table.borrow_mut();
        for stage in &self.path.stages {
            table.remove_request(&stage.target, self.tokens);
        }
    }
}

/// An answer whose head has arrived.
pub(crate) struct Accepted {
    pub(crate) response: Response<Incoming>,
    pub(crate) connection: Connection,
    pub(crate) in_flight: InFlight,
}

/// Why no path gave an answer.
pub(crate) enum Failure {
    /// The request has not run.
    NotRun(&'static str),
    /// The request may have run.
    Unknown,
    /// The engine answered with a failure status.
    Failed(Response<Answer>),
}

impl Failure {
    /// Returns whether another attempt soon may find a path. Waiting does not help a request
    /// without a retry left: its caller retries at another node.
    pub(crate) fn is_transient(&self) -> bool {
        matches!(self, Failure::NotRun(reason) if *reason != NO_RETRY && *reason != QUARANTINED)
    }

    /// Returns what prevented an answer, for the log.
    pub(crate) fn reason(&self) -> &'static str {
        match self {
            Failure::NotRun(reason) => reason,
            Failure::Unknown => "no answer",
            Failure::Failed(_) => "another target failed",
        }
    }

    /// Returns the outcome that is logged for a stream that cannot resume for this reason.
    pub(crate) fn stream_outcome(&self) -> &'static str {
        match self {
            Failure::NotRun(NO_RETRY) => "cut, no retry left",
            Failure::NotRun(NO_ATTEMPT) => "cut, no attempt left",
            Failure::NotRun(_) => "cut, no other path",
            Failure::Unknown => "cut, lost on other paths too",
            Failure::Failed(_) => "cut, another target failed",
        }
    }
}

/// Outcome of an attempt at one path.
enum Outcome {
    Accepted(Accepted),
    /// No connection to the first engine could be established.
    NotSent,
    /// This engine refused the request.
    NotRun(TargetKey),
    Unknown,
    /// An engine of the path does not respond.
    Stalled,
    Failed(Response<Answer>),
    TimedOut,
}

impl Outcome {
    /// Returns the reason of a failed attempt and whether the request can have run, for the log.
    fn failure(&self) -> Option<(&'static str, &'static str)> {
        match self {
            Outcome::Accepted(_) => None,
            Outcome::NotSent => Some(("no connection", "no")),
            Outcome::NotRun(_) => Some(("refused", "no")),
            Outcome::Unknown => Some(("connection lost, or invalid answer", "unknown")),
            Outcome::Stalled => Some(("an engine of the path does not respond", "unknown")),
            Outcome::Failed(_) => Some(("failure status", "yes")),
            Outcome::TimedOut => Some(("no answer in time", "unknown")),
        }
    }
}

/// An answer to a streaming request, whose head has arrived.
pub(crate) enum Opened {
    /// From the first engine of a path.
    Path(Accepted),
    /// From another node, to which the request was forwarded.
    Node(Exchange),
}

/// The attempts at one request.
pub(crate) struct Dispatch {
    pub(crate) node: Rc<Node>,
    pub(crate) call: Rc<Call>,
    model: Arc<Model>,
    excluded: Vec<SocketAddr>,
    pub(crate) offers: u32,
    /// Number of offers that were not sent. They are no load on any engine and take no retry.
    unsent: u32,
    /// When a retry was taken from the budget that has not been used.
    retry_taken_at: Cell<Option<Duration>>,
    /// Number of offers after which the present call of [`Dispatch::open_stream`] ends.
    max_offers: u32,
    /// Engines at which the request may have run: the first engine of each path that accepted it.
    ran: Vec<Stage>,
    /// Segment of a stalled stream that continues if no other path accepts the request.
    pub(crate) fallback: Option<Segment>,
    /// Share of memory in use on the best path of the last search.
    pub(crate) pressure: f64,
}

impl Dispatch {
    pub(crate) fn new(node: &Rc<Node>, call: Rc<Call>, model: Arc<Model>) -> Self {
        Self {
            node: node.clone(),
            call,
            model,
            excluded: Vec::new(),
            offers: 0,
            unsent: 0,
            retry_taken_at: Cell::new(None),
            max_offers: 0,
            ran: Vec::new(),
            fallback: None,
            pressure: 0.0,
        }
    }

    /// Records that the request may have run at the first engine of `path`, and excludes that
    /// engine from further attempts unless another engine of the path is down.
    pub(crate) fn record_run(&mut self, path: &Path) {
        let first = path.first();
        if !self.ran.iter().any(|other| other.target == first.target) {
            self.ran.push(first.clone());
        }
        // If no engine of the path is down, only the first one, which ended the answer, can be at
        // fault.
        if !self.node.is_broken(path) {
            self.excluded.push(first.address);
        }
    }

    /// Returns whether the request has run at as many engines as its route allows. Engines that
    /// were lost without notice do not count; those that drained do.
    fn attempts_exhausted(&self) -> bool {
        self.would_exhaust_attempts(None)
    }

    /// Returns the same for the case that the request has also run at `next`.
    fn would_exhaust_attempts(&self, next: Option<&Stage>) -> bool {
        let table = self.node.table.borrow();
        let next = next.filter(|next| self.ran.iter().all(|stage| stage.target != next.target));
        let alive = self.ran.iter().chain(next).filter(|stage| !table.is_lost(&stage.target));
        alive.count() >= self.call.attempts as usize
    }

    /// Returns the best path at `now`. A stream that was cut may resume at an excluded target if
    /// there is no other. A request without an attempt left, also one whose stream was cut before
    /// its first event, may run only at engines where it has run.
    fn find_path(&self, now: Duration, resumes: bool) -> Result<Path, &'static str> {
        self.find_path_after(now, None, resumes)
    }

    /// Returns the path that [`Dispatch::find_path`] returns once the request has also run at
    /// `next`.
    fn find_path_after(
        &self,
        now: Duration,
        next: Option<&Stage>,
        resumes: bool,
    ) -> Result<Path, &'static str> {
        let find = |avoid: &[SocketAddr], first: Option<&[SocketAddr]>| {
            let (service, tokens) = (&self.call.service, self.call.tokens);
            let criteria = Query { service, excluded: avoid, allowed_first: first, tokens };
            self.node.table.borrow().path(now, &self.model, &criteria)
        };
        if self.would_exhaust_attempts(next) {
            let ran = self.ran.iter().chain(next);
            let before: Vec<SocketAddr> = ran.map(|stage| stage.address).collect();
            return find(&self.excluded, Some(&before)).ok_or(NO_ATTEMPT);
        }
        let path = find(&self.excluded, None);
        path.or_else(|| if resumes { find(&[], None) } else { None }).ok_or(NO_PATH)
    }

    /// Returns whether to give up a path on which the request waits and an engine is down. A silent
    /// engine may go on at any moment, so the request waits on unless it can be sent elsewhere, or
    /// the engine is lost. Takes the retry for the other path.
    async fn may_give_up(&self, path: &Path, resumes: bool) -> bool {
        let cut_off = !self.node.reaches_targets() && self.node.may_forward(&self.call);
        if cut_off || self.node.is_lost(path) {
            return true;
        }
        let next = self.find_path_after(self.node.now(), Some(path.first()), resumes);
        let may_be_sent = match next {
            // Below, only a stream that resumes is sent without an attempt left or to full engines.
            Ok(_) if resumes => true,
            Ok(next) => {
                next.pressure <= MAX_PRESSURE && !self.would_exhaust_attempts(Some(path.first()))
            }
            Err(_) => false,
        };
        if !may_be_sent || self.offers >= self.max_offers {
            return false;
        }
        let taken = self.take_retry().await;
        if taken {
            self.retry_taken_at.set(Some(self.node.now()));
        }
        taken
    }

    /// Takes a retry for another offer, unless none has been sent yet. Uses one that was taken a
    /// moment ago for an offer that was not made.
    async fn take_retry(&self) -> bool {
        if self.offers == self.unsent {
            return true;
        }
        let now = self.node.now();
        let unused = self.retry_taken_at.take();
        if unused.is_some_and(|at| now.saturating_sub(at) < RETRY_VALIDITY) {
            return true;
        }
        self.node.take_retry(&self.call.service).await
    }

    /// Keeps a retry that was taken for an offer that did not arrive anywhere.
    fn keep_retry(&self) {
        if self.offers > self.unsent {
            self.retry_taken_at.set(Some(self.node.now()));
        }
    }

    /// Returns the time until a path is available, if paused engines are the only obstacle.
    pub(crate) fn time_to_path(&self) -> Option<Duration> {
        let (service, tokens) = (&self.call.service, self.call.tokens);
        let criteria = Query { service, excluded: &[], allowed_first: None, tokens };
        self.node.table.borrow().path_available_in(self.node.now(), &self.model, &criteria)
    }

    /// Sends the request to paths, or to another node if this one does not reach the engines. A
    /// stream resumes after `last_event`.
    pub(crate) async fn open(&mut self, last_event: Option<u64>) -> Result<Opened, Failure> {
        if !self.node.reaches_targets()
            && let Some(opened) = self.forward(last_event).await
        {
            return opened;
        }
        let unsent = self.unsent;
        let failure = match self.open_stream(last_event).await {
            Ok(accepted) => return Ok(Opened::Path(accepted)),
            Err(failure) => failure,
        };
        // The paths that failed show that this node does not reach the engines.
        let is_cut_off = self.unsent > unsent || self.node.doubts_targets();
        if is_cut_off
            && !matches!(failure, Failure::Failed(_) | Failure::NotRun(QUARANTINED))
            && let Some(opened) = self.forward(last_event).await
        {
            return opened;
        }
        Err(failure)
    }

    /// Forwards the request to another node. Returns `None` if it may not be forwarded, or if no
    /// node takes it.
    async fn forward(&mut self, last_event: Option<u64>) -> Option<Result<Opened, Failure>> {
        let (node, call) = (self.node.clone(), self.call.clone());
        let has_run = !self.ran.is_empty();
        let mut attempts = call.attempts.saturating_sub(self.ran.len() as u32);
        if !node.reaches_targets() {
            // The engines that the request was sent to are cut off from this node and do not count.
            attempts = attempts.max(1);
        }
        let is_allowed = !has_run || call.kind.is_idempotent();
        if attempts == 0 || !is_allowed || !node.may_forward(&call) {
            return None;
        }
        if !self.take_retry().await {
            return None;
        }
        let forward = Forward { call: &call, attempts, last_event };
        match forward.send(&node).await {
            Ok(exchange) if last_event.is_some() && !is_stream(&exchange.response) => {
                // The connection is closed: its answer is of no use to a stream that has begun.
                Some(Err(Failure::Unknown))
            }
            Ok(exchange) => {
                self.offers += 1;
                Some(Ok(Opened::Node(exchange)))
            }
            Err(forward::Failure::NoNode) => {
                self.keep_retry();
                None
            }
            Err(forward::Failure::Refused(_)) if last_event.is_some() => {
                self.keep_retry();
                Some(Err(Failure::NotRun(REFUSED_BY_NODES)))
            }
            Err(forward::Failure::Refused(response)) => Some(Err(Failure::Failed(response))),
            Err(forward::Failure::Unknown) => Some(Err(Failure::Unknown)),
        }
    }

    /// Sends the request to one path after another until one answers. A stream resumes after
    /// `last_event`.
    async fn open_stream(&mut self, last_event: Option<u64>) -> Result<Accepted, Failure> {
        let idempotent = self.call.kind.is_idempotent();
        let mut unknown = false;
        let mut failure = None;
        let mut reason = NO_PATH;
        self.node.count_call(&self.call);
        self.max_offers = self.offers + MAX_OFFERS;
        let unsent_before = self.unsent;
        loop {
            let now = self.node.now();
            if now >= self.call.deadline || self.offers >= self.max_offers {
                break;
            }
            if self.unsent >= unsent_before + MAX_UNSENT && self.node.may_forward(&self.call) {
                // Another node can serve the request at once.
                break;
            }
            if self.node.admit(&self.call).await.is_err() {
                reason = QUARANTINED;
                break;
            }
            let path = match self.find_path(now, last_event.is_some()) {
                Ok(path) => path,
                Err(missing) => {
                    reason = missing;
                    break;
                }
            };
            self.pressure = path.pressure;
            if path.pressure > MAX_PRESSURE && last_event.is_none() {
                reason = "full";
                break;
            }
            if self.offers > 0 {
                if !self.take_retry().await {
                    reason = NO_RETRY;
                    break;
                }
                let event = self
                    .call
                    .event(RETRIED)
                    .with("offer", self.offers)
                    .with("after_event", format_args!("{last_event:?}"))
                    .with("target", &path.first().target);
                log::info!("{event}");
            }
            self.offers += 1;
            let first = path.first().clone();
            // An engine must not run two attempts at the same request at a time.
            self.fallback.take_if(|fallback| fallback.path().first().address == first.address);
            let outcome = self.try_path(path.clone(), last_event).await;
            if let Some((reason, ran)) = outcome.failure() {
                // A later engine of the path may have refused the request.
                let target = match &outcome {
                    Outcome::NotRun(target) => target,
                    _ => &first.target,
                };
                log_failed_attempt(&self.node, &self.call, target, reason, ran, now);
            }
            match outcome {
                Outcome::Accepted(accepted) => return Ok(accepted),
                Outcome::NotSent => {
                    self.unsent += 1;
                    continue;
                }
                Outcome::NotRun(_) => continue,
                Outcome::Stalled => {
                    unknown = true;
                    self.record_run(&path);
                }
                Outcome::Unknown => {
                    unknown = true;
                    self.record_run(&path);
                    self.excluded.push(first.address);
                }
                Outcome::Failed(response) => {
                    self.record_run(&path);
                    self.excluded.push(first.address);
                    failure = Some(response);
                }
                Outcome::TimedOut => {
                    unknown = true;
                    break;
                }
            }
            if !idempotent || last_event.is_none() && self.attempts_exhausted() {
                break;
            }
        }
        match failure {
            Some(response) => Err(Failure::Failed(response)),
            None if unknown => Err(Failure::Unknown),
            None => Err(Failure::NotRun(reason)),
        }
    }

    /// Sends the request to one path and waits for the head of the answer.
    async fn try_path(&self, path: Path, last_event: Option<u64>) -> Outcome {
        let node = &self.node;
        let call = &self.call;
        let started_at = node.now();
        let first = path.first().clone();
        let request = call.request(started_at, &first.target, Some(&path), last_event);
        let mut in_flight = InFlight::start(node, path, call.tokens, call.prompt_tokens);
        let sending = node.send(first.address, request, &call.used);
        pin!(sending);
        let answer = loop {
            let left = call.deadline.saturating_sub(node.now());
            if left.is_zero() {
                self.record_interruption(&in_flight.path, in_flight.sent_at, true);
                return Outcome::TimedOut;
            }
            match timeout(STALL_TIMEOUT.min(left), &mut sending).await {
                Ok(answer) => break answer,
                Err(_) => {
                    let path = &in_flight.path;
                    if self.check_stalled(path)
                        && call.kind.is_idempotent()
                        && self.may_give_up(path, last_event.is_some()).await
                    {
                        self.record_interruption(path, in_flight.sent_at, true);
                        return Outcome::Stalled;
                    }
                }
            }
        };
        let exchange = match answer {
            Ok(exchange) => exchange,
            Err(unsent @ (Unanswered::Refused | Unanswered::NotSent)) => {
                let fault = probe_fault(probe_failure(unsent));
                node.record_fault(first.address, fault, "no connection");
                return Outcome::NotSent;
            }
            Err(Unanswered::Unknown) => {
                // A single lost connection does not show that an engine is gone; an engine that is
                // gone gives no report.
                node.record_fault(first.address, Fault::Failed, "connection lost");
                self.check_stalled(&in_flight.path);
                self.record_interruption(&in_flight.path, in_flight.sent_at, true);
                return Outcome::Unknown;
            }
        };
        in_flight.record_prefill_done();
        let (response, connection) = exchange.split();
        if !matches_request(response.headers(), call) {
            node.record_fault(first.address, Fault::Failed, "answer to another request");
            return Outcome::Unknown;
        }
        let status = response.status();
        if is_not_run(status, response.headers()) {
            let address = platform::faulty_engine(response.headers()).unwrap_or(first.address);
            let slow = node.now().saturating_sub(started_at) > SLOW_REFUSAL;
            match status {
                StatusCode::MISDIRECTED_REQUEST => {
                    node.record_fault(address, Fault::WrongTarget, "refused")
                }
                _ if slow => {
                    node.record_fault(address, Fault::Unresponsive, "refused after a long wait")
                }
                _ => node.record_refusal(address),
            }
            node.pool.drain(response.into_body(), connection).await;
            let at_fault = in_flight.path.stages.iter().find(|stage| stage.address == address);
            return Outcome::NotRun(at_fault.map_or(first.target, |stage| stage.target.clone()));
        }
        if status != StatusCode::OK {
            node.record_fault(first.address, Fault::Failed, "failure status");
            let (parts, body) = response.into_parts();
            if last_event.is_some() {
                // Its text is of no use to a stream that has begun.
                node.pool.drain(body, connection).await;
                return Outcome::Failed(passthrough(status, &parts.headers, Bytes::new()));
            }
            let left = call.deadline.saturating_sub(node.now());
            let body = timeout(left, read_body(body, MAX_ANSWER_BYTES)).await;
            let Some(body) = body.ok().flatten() else { return Outcome::Unknown };
            node.pool.release(connection);
            return Outcome::Failed(passthrough(status, &parts.headers, body));
        }
        let is_answer = match last_event {
            Some(_) => is_stream(&response),
            None => is_signed(response.headers()),
        };
        if !is_answer {
            node.record_fault(first.address, Fault::Failed, "success without a stream");
            return Outcome::Unknown;
        }
        in_flight.record_accepted();
        Outcome::Accepted(Accepted { response, connection, in_flight })
    }

    /// Records that an attempt ended without its answer; `fresh` if no part of one had arrived.
    pub(crate) fn record_interruption(&self, path: &Path, sent_at: Duration, fresh: bool) {
        let targets = path.stages.iter().map(|stage| &stage.target);
        self.node.record_interruption(&self.call, targets, sent_at, fresh);
    }

    /// Returns whether an engine of a silent path is down. Starts a diagnosis of the path if none
    /// is.
    pub(crate) fn check_stalled(&self, path: &Path) -> bool {
        if self.node.is_broken(path) {
            return true;
        }
        let node = self.node.clone();
        let path = path.clone();
        tokio::task::spawn_local(async move { node.diagnose(&path).await });
        false
    }

    /// Returns the deadline of the request on the runtime's clock.
    pub(crate) fn deadline(&self) -> Instant {
        Instant::now() + self.call.deadline.saturating_sub(self.node.now())
    }
}
