//! Dispatch of a streaming request to paths, one after another until one answers.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use path::Path;
use site::Model;
use tokio::time::{Instant, timeout};

use crate::attempt::{Accepted, Attempt, InFlight, Outcome, next_answer};
use crate::attempts::Attempts;
use crate::call::Call;
use crate::event::RETRIED;
use crate::execution::Execution;
use crate::forward::{self, Forward, MAX_UNSENT};
use crate::node::Node;
use crate::pool::Exchange;
use crate::quarantine::QUARANTINED;
use crate::reply::{self, Reply};
use crate::resumed::is_stream;
use crate::search::MAX_PRESSURE;
use crate::segment::Segment;
use crate::watchdog::STALL_TIMEOUT;

/// Maximum number of paths that one call of [`Dispatch::open_stream`] tries.
const MAX_OFFERS: u32 = 5;
/// Reason of a request to which another node has given no answer.
const NODE_FAILED: &str = "no answer of another node";
/// Reason of a stream that other nodes refuse to resume.
const REFUSED_BY_NODES: &str = "refused by other nodes";
/// Reason of a request for which no path is available.
pub(crate) const NO_PATH: &str = "no path";
/// Reason of a request that has a path but no retry left in the budget.
pub(crate) const NO_RETRY: &str = "no retry left";
/// Reason of a stream that has a path but may not run at any further engine.
pub(crate) const NO_ATTEMPT: &str = "no attempt left";

/// Why no path gave an answer.
pub(crate) enum Failure {
    /// The request has not run.
    NotRun(&'static str),
    /// The request may have run. States why it was sent to no further path.
    Unknown(&'static str),
    /// An engine failed the request, or other nodes refused it.
    Failed(Box<Reply>),
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
    pub(crate) model: Arc<Model>,
    pub(crate) excluded: Vec<SocketAddr>,
    pub(crate) offers: u32,
    /// Number of offers that were not sent. They are no load on any engine and take no retry.
    pub(crate) unsent: u32,
    /// When a retry was taken from the budget that has not been used.
    pub(crate) retry_taken_at: Cell<Option<Duration>>,
    /// Number of offers after which the present call of [`Dispatch::open_stream`] ends.
    max_offers: u32,
    /// Engines at which the request may have run.
    pub(crate) ran: Attempts,
    /// Number of engines at which it may run.
    pub(crate) max_attempts: u32,
    /// Whether the caller has received the head of the answer, so that the stream has to go on.
    pub(crate) has_begun: bool,
    /// Segment of a stalled stream that continues if no other path accepts the request.
    pub(crate) fallback: Option<Segment>,
    /// Attempts without an answer: the last one, and those at silent paths, which may go on.
    pub(crate) waiting: Vec<Attempt>,
    /// Share of memory in use on the best path of the last search.
    pub(crate) pressure: f64,
    /// Number that differs between requests, for the choice among paths.
    pub(crate) seed: u64,
    /// Pressure up to which the request is admitted, by the last decision on it.
    pub(crate) threshold: f64,
    /// Whether the request counts as demand for the memory of engines.
    pub(crate) is_counted: bool,
    /// Retry delay of the last decision to refuse the request.
    pub(crate) retry_after: Option<Duration>,
}

impl Dispatch {
    pub(crate) fn new(node: &Rc<Node>, call: Rc<Call>, model: Arc<Model>) -> Self {
        let max_attempts = call.attempts;
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
            max_attempts,
            has_begun: false,
            fallback: None,
            waiting: Vec::new(),
            pressure: 0.0,
            seed: node.random_fraction().to_bits(),
            threshold: MAX_PRESSURE,
            is_counted: false,
            retry_after: None,
        }
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
                if forward::shown_execution(&exchange) != Execution::NotRun {
                    self.ran.record_forwarded(attempts);
                }
                Some(Err(Failure::Unknown(NODE_FAILED)))
            }
            Ok(exchange) => {
                self.ran.record_forwarded(forward::used_attempts(&exchange).min(attempts));
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
                // The other nodes state only that the request has not run there.
                Some(Err(Failure::Unknown(REFUSED_BY_NODES)))
            }
            Err(forward::Failure::Refused(reply)) => Some(Err(Failure::Failed(reply))),
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
            if let Some(failure) = outcome.failure() {
                // A later engine of the path may have refused the request.
                let target = match &outcome {
                    Outcome::NotRun(target) => target,
                    _ => &path.first().target,
                };
                failure.log(&self.node, &self.call, target, in_flight.sent_at);
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
                Outcome::Unproven(_) | Outcome::Unknown(_) => {
                    unknown = true;
                    self.record_run(&path);
                    self.excluded.push(first);
                }
                Outcome::Failed(response) => {
                    self.record_run(&path);
                    self.excluded.push(first);
                    failure = Some(Box::new(Reply::ran(response)));
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
            Some(reply) => Err(Failure::Failed(reply)),
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
        if has_failed && self.node.may_forward(&self.call)
            || self.offers > 0 && self.node.leaves_to_others(&self.call)
        {
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
        let prefill = self.prepare_prompt();
        self.waiting.push(Attempt::start(&self.node, &self.call, path, prefill, last_event));
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
            let may_forward = self.node.leaves_to_others(&self.call)
                && self.attempts_left(Some(path.first())) > 0;
            may_forward || self.node.is_lost(path)
        })
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
                let failure = reply::Failure::new(reason, Execution::Unknown);
                failure.log(&self.node, &self.call, target, sent_at);
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
