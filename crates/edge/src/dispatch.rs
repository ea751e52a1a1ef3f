//! Dispatch of a streaming request to paths, one after another until one answers.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::{Response, StatusCode};
use path::{Fault, Path, Query, Stage};
use site::{Model, TargetKey};
use tokio::time::{Instant, sleep, timeout};

use crate::answer::Answer;
use crate::attempt::{Accepted, Attempt, InFlight, Outcome, next_answer};
use crate::attempts::Attempts;
use crate::call::Call;
use crate::diagnose::{probe_failure, probe_fault};
use crate::event::{RETRIED, UNCOUNTED};
use crate::forward::{self, Forward, MAX_UNSENT};
use crate::node::Node;
use crate::pool::{Exchange, MAX_ANSWER_BYTES, Unanswered, read_body};
use crate::quarantine::QUARANTINED;
use crate::reply::{is_not_run, log_failed_attempt, matches_request, passthrough};
use crate::resumed::{is_signed, is_stream};
use crate::segment::Segment;
use crate::watchdog::STALL_TIMEOUT;

/// Maximum number of paths that one call of [`Dispatch::open_stream`] tries.
const MAX_OFFERS: u32 = 5;
/// Share of an engine's memory above which new requests are refused.
const MAX_PRESSURE: f64 = 1.0;
/// Maximum wait for the link between failure domains. Engines mostly load layers that are missing
/// in a domain in less time.
const MAX_CROSSING_WAIT: Duration = Duration::from_millis(800);
/// Interval at which a waiting request looks for a path that does not cross, or for a free link.
const CROSSING_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time for which a retry that was taken and not used may be used for another offer: it counts in the
/// window in which it was taken.
const RETRY_VALIDITY: Duration = Duration::from_millis(1000);
/// Reason of a request to which another node has given no answer.
const NODE_FAILED: &str = "no answer of another node";
/// Reason of a stream that other nodes refuse to resume.
const REFUSED_BY_NODES: &str = "refused by other nodes";
/// Reason of a request for which no path is available.
pub(crate) const NO_PATH: &str = "no path";
/// Reason of a request whose best path has no memory left.
const FULL: &str = "full";
/// Reason of a request that has a path but no retry left in the budget.
pub(crate) const NO_RETRY: &str = "no retry left";
/// Reason of a request whose paths all cross failure domains, while the link is in use.
const LINK_BUSY: &str = "link busy";
/// Reason of a stream that has a path but may not run at any further engine.
const NO_ATTEMPT: &str = "no attempt left";
/// A refusal that takes longer than this indicates that the engine had stalled.
const SLOW_REFUSAL: Duration = Duration::from_millis(800);

/// Why no path gave an answer.
pub(crate) enum Failure {
    /// The request has not run.
    NotRun(&'static str),
    /// The request may have run. States why it was sent to no further path.
    Unknown(&'static str),
    /// The engine answered with a failure status.
    Failed(Response<Answer>),
}

impl Failure {
    /// Returns what prevented an answer, for the log.
    pub(crate) fn reason(&self) -> &'static str {
        match self {
            Failure::NotRun(reason) | Failure::Unknown(reason) => reason,
            Failure::Failed(_) => "another target failed",
        }
    }

    /// Returns the outcome that is logged for a stream that cannot resume for this reason.
    pub(crate) fn stream_outcome(&self) -> &'static str {
        match self {
            Failure::NotRun(NO_RETRY) => "cut, no retry left",
            Failure::NotRun(NO_ATTEMPT) => "cut, no attempt left",
            Failure::NotRun(_) => "cut, no other path",
            Failure::Unknown(_) => "cut, lost on other paths too",
            Failure::Failed(_) => "cut, another target failed",
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
    /// Engines at which the request may have run.
    ran: Attempts,
    /// Whether the caller has received the head of the answer, so that the stream has to go on.
    pub(crate) has_begun: bool,
    /// Segment of a stalled stream that continues if no other path accepts the request.
    pub(crate) fallback: Option<Segment>,
    /// Attempts without an answer: the last one, and those at silent paths, which may go on.
    pub(crate) waiting: Vec<Attempt>,
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
            ran: Attempts::default(),
            has_begun: false,
            fallback: None,
            waiting: Vec::new(),
            pressure: 0.0,
        }
    }

    /// Records that the request may have run at the first engine of `path`, and excludes that
    /// engine from further attempts unless another engine of the path is down.
    pub(crate) fn record_run(&mut self, path: &Path) {
        let first = path.first();
        self.ran.record(first);
        // If no engine of the path is down, only the first one, which ended the answer, can be at
        // fault.
        if !self.node.is_broken(path) {
            self.excluded.push(first.address);
        }
    }

    /// Returns whether the request has run at as many engines as its route allows. Engines that
    /// ended without notice do not count; those that drained do.
    fn attempts_exhausted(&self) -> bool {
        self.would_exhaust_attempts(None)
    }

    /// Returns the same for the case that the request has also run at `next`.
    fn would_exhaust_attempts(&self, next: Option<&Stage>) -> bool {
        self.attempts_left(next) == 0
    }

    /// Returns at how many further engines the request may run.
    fn attempts_left(&self, next: Option<&Stage>) -> u32 {
        let table = self.node.table.borrow();
        let is_running = |id: &TargetKey| {
            let entry = table.entry(id);
            entry.is_some_and(|entry| !entry.health.is_down())
        };
        self.ran.recount(is_running);
        drop(table);
        let counted = self.ran.count(next, |engine| self.node.has_ended(engine));
        self.call.attempts.saturating_sub(counted)
    }

    /// Logs that the request is sent `to` one more engine than its route allows, because some of those
    /// at which it has run have ended.
    fn log_uncounted(&self, to: &str) {
        if self.ran.iter().count() < self.call.attempts as usize {
            return;
        }
        let ran: Vec<&str> = self.ran.iter().map(|engine| engine.target.as_str()).collect();
        let event = self
            .call
            .event(UNCOUNTED)
            .with("to", to)
            .with("ran", ran.join(","))
            .with("ended", self.ran.ended().join(","))
            .with("reaches_targets", self.node.reaches_targets());
        log::info!("{event}");
    }

    /// Returns whether a stream that could not resume because of `failure` may resume later: it is
    /// not quarantined, and some engine at which it may run has not ended.
    pub(crate) fn may_resume_later(&self, failure: &Failure) -> bool {
        if matches!(failure, Failure::NotRun(QUARANTINED)) {
            return false;
        }
        let table = self.node.table.borrow();
        let stays = |stage: &Stage| {
            let entry = table.entry(&stage.target);
            entry.is_some_and(|entry| !entry.is_draining())
        };
        !self.attempts_exhausted() || self.ran.iter().any(stays)
    }

    /// Returns the best path at `now`. A stream that was cut may resume at an excluded target if
    /// there is no other. A request without an attempt left, also one whose stream was cut before
    /// its first event, may run only at engines where it has run.
    fn find_path(&self, now: Duration) -> Result<Path, &'static str> {
        self.find_path_after(now, None)
    }

    /// Returns the path that [`Dispatch::find_path`] returns once the request has also run at
    /// `next`.
    fn find_path_after(&self, now: Duration, next: Option<&Stage>) -> Result<Path, &'static str> {
        self.find_open_path(now, next, Duration::ZERO)
    }

    /// Returns the path that [`Dispatch::find_path_after`] returns if it may start at engines whose
    /// limits are used up for up to `patience`.
    pub(crate) fn find_open_path(
        &self,
        now: Duration,
        next: Option<&Stage>,
        patience: Duration,
    ) -> Result<Path, &'static str> {
        let closed = self.node.permits.borrow().closed(now, self.class(), patience);
        let find = |avoid: &[SocketAddr], first: Option<&[SocketAddr]>| {
            let criteria = self.criteria(avoid, first, &closed);
            self.node.table.borrow().path(now, &self.model, &criteria)
        };
        let ran = self.ran.iter().chain(next).map(|stage| stage.address).collect::<Vec<_>>();
        let (allowed_first, missing) = match self.would_exhaust_attempts(next) {
            true => (Some(ran.as_slice()), NO_ATTEMPT),
            false => (None, NO_PATH),
        };
        let path = find(&self.excluded, allowed_first);
        path.or_else(|| if self.has_begun { find(&[], allowed_first) } else { None }).ok_or(missing)
    }

    fn criteria<'a>(
        &'a self,
        excluded: &'a [SocketAddr],
        allowed_first: Option<&'a [SocketAddr]>,
        closed_first: &'a [SocketAddr],
    ) -> Query<'a> {
        let (service, tokens) = (&self.call.service, self.call.tokens);
        Query { service, excluded, allowed_first, closed_first, tokens }
    }

    /// Returns whether to try another path beside the last attempt, on whose path an engine is down.
    /// Takes the retry for it.
    async fn may_try_another(&self) -> bool {
        let Some(attempt) = self.waiting.last() else { return false };
        let path = attempt.path();
        if !self.node.is_broken(path) || self.offers >= self.max_offers {
            return false;
        }
        let next = self.find_path_after(self.node.now(), Some(path.first()));
        let may_be_sent = match next {
            // A stream that has begun is sent without an attempt left and to full engines too.
            Ok(_) if self.has_begun => true,
            Ok(next) => {
                let has_room = next.pressure <= MAX_PRESSURE;
                let may_cross = !next.crosses || self.node.table.borrow().may_cross();
                has_room && may_cross && !self.would_exhaust_attempts(Some(path.first()))
            }
            Err(_) => false,
        };
        if !may_be_sent {
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
    pub(crate) async fn take_retry(&self) -> bool {
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
    pub(crate) fn keep_retry(&self) {
        if self.offers > self.unsent {
            self.retry_taken_at.set(Some(self.node.now()));
        }
    }

    /// Returns the time until a path is available, if paused engines are the only obstacle.
    pub(crate) fn time_to_path(&self) -> Option<Duration> {
        let criteria = self.criteria(&[], None, &[]);
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
        let attempts = self.attempts_left(None);
        let is_allowed = !has_run || call.kind.is_idempotent();
        if attempts == 0 || !is_allowed || !node.may_forward(&call) {
            return None;
        }
        if !self.take_retry().await {
            return None;
        }
        self.log_uncounted("another node");
        let forward = Forward { call: &call, attempts, last_event };
        match forward.send(&node).await {
            Ok(exchange) if self.has_begun && !is_stream(&exchange.response) => {
                // The connection is closed: its answer is of no use to a stream that has begun.
                Some(Err(Failure::Unknown(NODE_FAILED)))
            }
            Ok(exchange) => {
                self.ran.record_forwarded(attempts);
                self.offers += 1;
                Some(Ok(Opened::Node(exchange)))
            }
            Err(forward::Failure::NoNode) => {
                self.keep_retry();
                None
            }
            Err(forward::Failure::Refused(_)) if self.has_begun => {
                self.keep_retry();
                Some(Err(Failure::NotRun(REFUSED_BY_NODES)))
            }
            Err(forward::Failure::Refused(_)) if has_run => {
                // The refusal promises only that the request has not run there.
                Some(Err(Failure::Unknown(REFUSED_BY_NODES)))
            }
            Err(forward::Failure::Refused(response)) => Some(Err(Failure::Failed(response))),
            Err(forward::Failure::Unknown) => {
                self.ran.record_forwarded(attempts);
                Some(Err(Failure::Unknown(NODE_FAILED)))
            }
        }
    }

    /// Sends the request to one path after another until one answers. A stream resumes after
    /// `last_event`.
    async fn open_stream(&mut self, last_event: Option<u64>) -> Result<Accepted, Failure> {
        self.node.count_call(&self.call);
        self.max_offers = self.offers + MAX_OFFERS;
        let result = self.try_paths(last_event).await;
        self.give_up_waiting(|_| true);
        result
    }

    async fn try_paths(&mut self, last_event: Option<u64>) -> Result<Accepted, Failure> {
        let idempotent = self.call.kind.is_idempotent();
        let mut unknown = false;
        let mut failure = None;
        let unsent_before = self.unsent;
        let reason = loop {
            // At most one attempt at a time is not known to be silent.
            let is_due = self.waiting.iter().all(|attempt| attempt.is_silent);
            let may_run_elsewhere =
                !unknown && failure.is_none() || self.has_begun || !self.attempts_exhausted();
            let next = match is_due && may_run_elsewhere {
                true => self.next_path(unsent_before, last_event).await,
                false => Err(NO_ATTEMPT),
            };
            match next {
                Ok(path) => self.start(path, last_event),
                Err(reason) if self.waiting.is_empty() => break reason,
                Err(_) => {}
            }
            let Some((in_flight, outcome)) = self.await_outcome().await else {
                unknown = true;
                continue;
            };
            let path = in_flight.path.clone();
            let first = path.first().address;
            if let Some((reason, ran)) = outcome.failure() {
                // A later engine of the path may have refused the request.
                let target = match &outcome {
                    Outcome::NotRun(target) => target,
                    _ => &path.first().target,
                };
                let sent_at = in_flight.sent_at;
                log_failed_attempt(&self.node, &self.call, target, reason, ran, sent_at);
            }
            match outcome {
                Outcome::Accepted(answer) => {
                    let (response, connection) = *answer;
                    return Ok(Accepted { response, connection, in_flight });
                }
                Outcome::NotSent => {
                    self.unsent += 1;
                    continue;
                }
                Outcome::NotRun(_) => continue,
                Outcome::Lost => {
                    unknown = true;
                    self.record_run(&path);
                }
                Outcome::Unknown => {
                    unknown = true;
                    self.record_run(&path);
                    self.excluded.push(first);
                }
                Outcome::Failed(response) => {
                    self.record_run(&path);
                    self.excluded.push(first);
                    failure = Some(response);
                }
                Outcome::TimedOut => {
                    unknown = true;
                    self.record_run(&path);
                    break NO_PATH;
                }
            }
            if !idempotent {
                break NO_ATTEMPT;
            }
        };
        match failure {
            Some(response) => Err(Failure::Failed(response)),
            None if unknown => Err(Failure::Unknown(reason)),
            None => Err(Failure::NotRun(reason)),
        }
    }

    /// Returns the path to which the request is sent next, and takes the retry for it.
    ///
    /// # Errors
    ///
    /// Returns why the request is sent to no further path.
    async fn next_path(
        &mut self,
        unsent_before: u32,
        last_event: Option<u64>,
    ) -> Result<Path, &'static str> {
        let now = self.node.now();
        if now >= self.call.deadline || self.offers >= self.max_offers {
            return Err(NO_PATH);
        }
        let has_failed = self.unsent >= unsent_before + MAX_UNSENT;
        if has_failed && self.node.may_forward(&self.call) || self.offers > 0 && self.is_cut_off() {
            // Another node can serve the request at once.
            return Err(NO_PATH);
        }
        if self.node.admit(&self.call).await.is_err() {
            return Err(QUARANTINED);
        }
        let path = self.await_permitted_path().await?;
        if self.offers > 0 {
            let event = self
                .call
                .event(RETRIED)
                .with("offer", self.offers)
                .with("after_event", format_args!("{last_event:?}"))
                .with("drops_stalled", self.is_fallback_at(path.first().address))
                .with("target", &path.first().target);
            log::info!("{event}");
        }
        Ok(path)
    }

    /// Returns the best path that has room for the request. Waits if it crosses failure domains while
    /// the link between them is in use.
    ///
    /// # Errors
    ///
    /// Returns why there is none.
    pub(crate) async fn await_path(&mut self) -> Result<Path, &'static str> {
        let called_at = self.node.now();
        loop {
            let now = self.node.now();
            let path = match self.find_path(now) {
                Ok(path) => path,
                Err(reason) => self.find_limited_path(now, reason)?,
            };
            self.pressure = path.pressure;
            if path.pressure > MAX_PRESSURE && !self.has_begun {
                return Err(FULL);
            }
            // A stream that resumes does not wait: its caller has been waiting for some time.
            if !path.crosses || self.has_begun || self.node.table.borrow().may_cross() {
                return Ok(path);
            }
            if now.saturating_sub(called_at) >= MAX_CROSSING_WAIT || !self.waiting.is_empty() {
                return Err(LINK_BUSY);
            }
            sleep(CROSSING_POLL_INTERVAL).await;
        }
    }

    /// Returns whether the stalled segment is kept at an engine.
    fn is_fallback_at(&self, first: SocketAddr) -> bool {
        self.fallback.as_ref().is_some_and(|kept| kept.path().first().address == first)
    }

    /// Sends the request to a path. Gives up what waits at its first engine, which must not run two
    /// attempts at the same request at a time.
    fn start(&mut self, path: Path, last_event: Option<u64>) {
        let first = path.first().clone();
        if !self.ran.contains(&first) {
            self.log_uncounted(&first.target);
        }
        self.offers += 1;
        self.give_up_waiting(|path| path.first().address == first.address);
        if self.is_fallback_at(first.address) {
            self.fallback = None;
        }
        self.waiting.push(Attempt::start(&self.node, &self.call, path, last_event));
    }

    /// Gives up the waiting attempts at these paths.
    fn give_up_waiting(&mut self, is_given_up: impl Fn(&Path) -> bool) {
        for mut attempt in std::mem::take(&mut self.waiting) {
            if is_given_up(attempt.path()) {
                self.record_unanswered(&mut attempt);
            } else {
                self.waiting.push(attempt);
            }
        }
    }

    /// Waits until an attempt ends. Returns `None` if another path is to be tried meanwhile: a silent
    /// engine may go on at any moment, so the attempts at it go on too.
    async fn await_outcome(&mut self) -> Option<(InFlight, Outcome)> {
        loop {
            let left = self.time_left();
            if left.is_zero() {
                return self.take_unanswered(0, Outcome::TimedOut);
            }
            match timeout(STALL_TIMEOUT.min(left), next_answer(&mut self.waiting)).await {
                Ok((attempt, answer)) => return Some(self.conclude(attempt, answer).await),
                Err(_) if !self.call.kind.is_idempotent() => self.check_waiting(),
                Err(_) => {
                    self.check_waiting();
                    if let Some(index) = self.lost_attempt() {
                        return self.take_unanswered(index, Outcome::Lost);
                    }
                    if self.may_try_another().await {
                        self.record_silent();
                        return None;
                    }
                }
            }
        }
    }

    /// Looks for the engine at fault on each path that gives no answer.
    fn check_waiting(&self) {
        for attempt in &self.waiting {
            self.check_stalled(attempt.path());
        }
    }

    /// Returns the index of an attempt that cannot end with an answer: an engine of its path is lost,
    /// or this node has lost its targets and another one may handle the request.
    fn lost_attempt(&self) -> Option<usize> {
        self.waiting.iter().position(|attempt| {
            let path = attempt.path();
            let may_forward = self.is_cut_off() && self.attempts_left(Some(path.first())) > 0;
            may_forward || self.node.is_lost(path)
        })
    }

    /// Returns whether another node is to handle the request, because this one has lost its targets.
    fn is_cut_off(&self) -> bool {
        !self.node.reaches_targets() && self.node.may_forward(&self.call)
    }

    /// Takes an attempt that has ended without its answer.
    fn take_unanswered(&mut self, index: usize, outcome: Outcome) -> Option<(InFlight, Outcome)> {
        let mut attempt = self.waiting.remove(index);
        self.record_unanswered(&mut attempt);
        Some((attempt.in_flight, outcome))
    }

    /// Records that the last attempt is silent, so that another path is tried beside it.
    fn record_silent(&mut self) {
        if let Some(mut attempt) = self.waiting.pop() {
            if !std::mem::replace(&mut attempt.is_silent, true) {
                let (target, sent_at) = (&attempt.path().first().target, attempt.in_flight.sent_at);
                let reason = "an engine of the path does not respond";
                log_failed_attempt(&self.node, &self.call, target, reason, "unknown", sent_at);
            }
            self.record_unanswered(&mut attempt);
            self.record_run(attempt.path());
            // The link is free for other prompts while this one makes no progress.
            attempt.in_flight.end_crossing();
            self.waiting.push(attempt);
        }
        if self.fallback.is_some() {
            // The stalled segment is kept instead: its stream goes on without a new prefill.
            self.waiting.clear();
        }
    }

    /// Returns what an answer, or its loss, says of an attempt.
    async fn conclude(
        &self,
        attempt: Attempt,
        answer: Result<Exchange, Unanswered>,
    ) -> (InFlight, Outcome) {
        let Attempt { mut in_flight, is_recorded, .. } = attempt;
        in_flight.record_prefill_done();
        let outcome = match answer {
            Ok(exchange) => self.evaluate(&in_flight, exchange).await,
            Err(unsent @ (Unanswered::Refused | Unanswered::NotSent)) => {
                let fault = probe_fault(probe_failure(unsent));
                self.node.record_fault(in_flight.path.first().address, fault, "no connection");
                Outcome::NotSent
            }
            Err(Unanswered::Unknown) => {
                // A single lost connection does not show that an engine is gone; an engine that is
                // gone gives no report.
                let first = in_flight.path.first().address;
                self.node.record_fault(first, Fault::Failed, "connection lost");
                self.check_stalled(&in_flight.path);
                if !is_recorded {
                    self.record_interruption(&in_flight.path, in_flight.sent_at, true);
                }
                Outcome::Unknown
            }
        };
        (in_flight, outcome)
    }

    /// Returns what the answer to an attempt says of it.
    async fn evaluate(&self, in_flight: &InFlight, exchange: Exchange) -> Outcome {
        let (node, call) = (&self.node, &self.call);
        let first = in_flight.path.first();
        let (response, connection) = exchange.split();
        if !matches_request(response.headers(), call) {
            node.record_fault(first.address, Fault::Failed, "answer to another request");
            return Outcome::Unknown;
        }
        let status = response.status();
        if is_not_run(status, response.headers()) {
            let address = platform::faulty_engine(response.headers()).unwrap_or(first.address);
            let slow = node.now().saturating_sub(in_flight.sent_at) > SLOW_REFUSAL;
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
            return Outcome::NotRun(at_fault.unwrap_or(first).target.clone());
        }
        if status != StatusCode::OK {
            node.record_fault(first.address, Fault::Failed, "failure status");
            let (parts, body) = response.into_parts();
            if self.has_begun {
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
        let is_answer =
            if self.has_begun { is_stream(&response) } else { is_signed(response.headers()) };
        if !is_answer {
            node.record_fault(first.address, Fault::Failed, "success without a stream");
            return Outcome::Unknown;
        }
        in_flight.record_accepted();
        Outcome::Accepted(Box::new((response, connection)))
    }

    /// Records, at most once, that an attempt has given no answer so far.
    fn record_unanswered(&self, attempt: &mut Attempt) {
        if !std::mem::replace(&mut attempt.is_recorded, true) {
            self.record_interruption(attempt.path(), attempt.in_flight.sent_at, true);
        }
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

    /// Returns the time left until the deadline of the request.
    pub(crate) fn time_left(&self) -> Duration {
        self.call.deadline.saturating_sub(self.node.now())
    }

    /// Returns the deadline of the request on the runtime's clock.
    pub(crate) fn deadline(&self) -> Instant {
        Instant::now() + self.time_left()
    }
}
