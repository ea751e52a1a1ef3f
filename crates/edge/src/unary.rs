//! Requests with a single answer.

use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::header::HeaderMap;
use hyper::{Response, StatusCode};
use limit::permit::Class;
use path::{Fault, Query};
use site::TargetKey;
use tokio::time::timeout;

use crate::answer::{Answer, retry_later};
use crate::body::{self, Room};
use crate::call::Call;
use crate::diagnose::{probe_failure, probe_fault};
use crate::event::RETRIED;
use crate::execution::Execution;
use crate::first::take_first;
use crate::forward::{MAX_UNSENT, forward_unary, name_target};
use crate::limited::LIMITED;
use crate::node::Node;
use crate::permit::{Remedy, patience};
use crate::pool::{MAX_ANSWER_BYTES, Unanswered};
use crate::reply::{Failure, Reply, UNPROVEN_REFUSAL, is_signed, matches_request, passthrough};

/// Maximum number of targets that a request is sent to, including those that refused it.
const MAX_OFFERS: u32 = 4;
/// Maximum number of targets whose permits are denied to a request in a row.
const MAX_DENIALS: u32 = 4;
/// Maximum wait of a request for a permit.
const MAX_PERMIT_WAIT: Duration = Duration::from_millis(300);
/// Share of the remaining time that one attempt of an idempotent request may take while another
/// attempt is allowed.
const ATTEMPT_SHARE: f64 = 0.45;
/// Minimum time left in which another attempt is of use.
const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(50);
/// Minimum retry delay of a refused caller.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(400);

/// Outcome of an attempt at one target.
enum Outcome {
    /// The target's complete answer.
    Answered { status: StatusCode, headers: HeaderMap, body: Bytes },
    /// No connection could be established.
    NotSent,
    /// The target refused the request.
    NotRun,
    /// The target answered with a status that promises that the request has not run, but does not
    /// state that it has not.
    Unproven(StatusCode),
    /// The target may have run the request, and its answer is lost.
    Unknown(&'static str),
}

impl Outcome {
    /// Returns why the attempt failed; `None` if it did not.
    fn failure(&self) -> Option<Failure> {
        let failure = match self {
            Outcome::Answered { status, .. } if status.is_server_error() => {
                Failure::answered("server error", Execution::Ran, *status)
            }
            Outcome::Answered { .. } => return None,
            Outcome::NotSent => Failure::new("no connection", Execution::NotRun),
            Outcome::NotRun => Failure::new("refused", Execution::NotRun),
            Outcome::Unproven(status) => {
                Failure::answered(UNPROVEN_REFUSAL, Execution::Unknown, *status)
            }
            Outcome::Unknown(reason) => Failure::new(reason, Execution::Unknown),
        };
        Some(failure)
    }
}

/// A request that is counted as running at a target. Dropping it ends the count.
struct InFlight {
    node: Rc<Node>,
    target: TargetKey,
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.node.table.borrow_mut().remove_request(&self.target, 0.0);
    }
}

/// An attempt that has no answer yet. Dropping it closes the connection.
struct Attempt<'a> {
    target: TargetKey,
    address: SocketAddr,
    sent_at: Duration,
    /// Whether it counts among the targets at which the request has run.
    counted: bool,
    outcome: Pin<Box<dyn Future<Output = Outcome> + 'a>>,
}

/// The attempts at one request.
struct Dispatch<'a> {
    node: &'a Rc<Node>,
    call: &'a Call,
    /// Targets that the request was sent to.
    excluded: Vec<SocketAddr>,
    /// Number of targets at which the request may have run.
    ran: u32,
    offers: u32,
    /// Number of offers that were not sent. They are no load on any target and take no retry.
    unsent: u32,
    /// Whether a retry was taken for the next offer.
    retry_taken: bool,
    /// Attempts without an answer: the last one, and those at silent targets, which may go on.
    pending: Vec<Attempt<'a>>,
    /// The answer of a target that failed.
    failed: Option<Response<Answer>>,
    /// Time left in quarantine, if the request is in one.
    quarantined: Option<Duration>,
}

/// Sends a request to a target, and to further ones if it fails and may be repeated.
pub(crate) async fn forward(node: &Rc<Node>, call: &Call) -> Reply {
    if !node.reaches_targets()
        && let Some(reply) = forward_unary(node, call, call.attempts).await
    {
        return reply;
    }
    node.count_call(call);
    let mut dispatch = Dispatch::new(node, call);
    if let Some(reply) = dispatch.run().await {
        return reply;
    }
    dispatch.give_up();
    let (ran, retry_taken, quarantined) =
        (dispatch.ran, dispatch.retry_taken, dispatch.quarantined);
    let has_run = ran > 0 && call.kind.is_idempotent() && ran < call.attempts;
    let may_run = if has_run { retry_taken } else { quarantined.is_none() };
    if (has_run || dispatch.is_forwardable())
        && may_run
        && let Some(reply) = forward_unary(node, call, call.attempts - ran).await
    {
        // The other node states only that the request has not run there.
        return match reply.execution {
            Execution::NotRun if ran > 0 => Reply::unknown(node, call),
            _ => reply,
        };
    }
    let refusal = match dispatch.failed {
        Some(response) => return Reply::ran(response),
        None if ran > 0 => return Reply::unknown(node, call),
        None if let Some(left) = quarantined => node.refuse_quarantined(call, left),
        None => refuse(node, call),
    };
    Reply::refused(refusal)
}

/// Returns the refusal of a request that no target has taken.
fn refuse(node: &Node, call: &Call) -> Response<Answer> {
    let left = node.table.borrow().service_available_in(node.now(), &call.service);
    if left.is_none() && node.is_limited(&call.service) {
        let after = node.after_limits(call);
        node.log_limited(call, None, after, Remedy::Refused);
        return retry_later(StatusCode::SERVICE_UNAVAILABLE, LIMITED, after);
    }
    let after = left.map(|left| node.after_backoff(left));
    let after = after.unwrap_or_else(|| node.retry_after(call, MIN_RETRY_AFTER));
    retry_later(StatusCode::SERVICE_UNAVAILABLE, "no target", after)
}

impl<'a> Dispatch<'a> {
    fn new(node: &'a Rc<Node>, call: &'a Call) -> Self {
        Self {
            node,
            call,
            excluded: Vec::new(),
            ran: 0,
            offers: 0,
            unsent: 0,
            retry_taken: false,
            pending: Vec::new(),
            failed: None,
            quarantined: None,
        }
    }

    /// Sends the request to one target after another. Returns the answer that ends the request;
    /// `None` if no target gives one.
    async fn run(&mut self) -> Option<Reply> {
        loop {
            let is_left_to_others = self.retry_taken && self.node.leaves_to_others(self.call);
            let may_offer = self.may_offer() && !is_left_to_others;
            let next = if may_offer { self.next_target().await } else { None };
            match next {
                Some((target, address)) => self.start(target, address),
                None if self.pending.is_empty() || is_left_to_others => return None,
                None => {}
            }
            let Some((attempt, outcome)) = self.wait().await else {
                if self.time_left().is_zero() {
                    return None;
                }
                continue;
            };
            if let Some(reply) = self.record(attempt, outcome) {
                self.give_up();
                return Some(reply);
            }
        }
    }

    /// Returns whether the request may be sent to a target, or to another one. At most one attempt at
    /// a time does not count yet among those that have run.
    fn may_offer(&self) -> bool {
        let is_due = self.pending.iter().all(|attempt| attempt.counted);
        let may_run = (self.ran == 0 || self.may_repeat()) && self.quarantined.is_none() && is_due;
        may_run && self.offers < MAX_OFFERS && !(self.offers > 0 && self.is_forwardable())
    }

    /// Returns whether the request may run at one more target than now.
    fn may_repeat(&self) -> bool {
        self.call.kind.is_idempotent() && self.ran < self.call.attempts
    }

    fn time_left(&self) -> Duration {
        self.call.deadline.saturating_sub(self.node.now())
    }

    /// Returns the target that the request is sent to next, and takes the retry for it.
    async fn next_target(&mut self) -> Option<(TargetKey, SocketAddr)> {
        self.quarantined = self.node.admit(self.call).await.err();
        if self.quarantined.is_some() || self.time_left().is_zero() {
            return None;
        }
        let target = self.permitted_target().await?;
        if self.offers > 0 {
            let event = self.call.event(RETRIED).with("target", &target.0);
            log::info!("{event}");
        }
        Some(target)
    }

    /// Returns the best target, with a permit for it and the retry for another offer.
    async fn permitted_target(&mut self) -> Option<(TargetKey, SocketAddr)> {
        for _ in 0..MAX_DENIALS {
            let patience = self.patience();
            let target = self.best_target().or_else(|| self.best_target_within(patience))?;
            let taken = std::mem::take(&mut self.retry_taken) || self.offers == self.unsent;
            if !taken && !self.node.take_retry(&self.call.service).await {
                return None;
            }
            if self.node.take_permit(self.call, target.1, Class::Request, patience).await {
                return Some(target);
            }
            self.retry_taken = self.offers > self.unsent;
        }
        None
    }

    /// Returns the time for which the request can wait for a permit: none beside another attempt.
    fn patience(&self) -> Duration {
        match self.pending.is_empty() {
            true => patience(MAX_PERMIT_WAIT, self.time_left()),
            false => Duration::ZERO,
        }
    }

    fn best_target(&self) -> Option<(TargetKey, SocketAddr)> {
        self.best_target_within(Duration::ZERO)
    }

    /// Returns the best target, also one whose limit is used up for up to `patience`.
    fn best_target_within(&self, patience: Duration) -> Option<(TargetKey, SocketAddr)> {
        let now = self.node.now();
        let mut excluded = self.node.permits.borrow().closed(now, Class::Request, patience);
        excluded.extend(&self.excluded);
        let (service, excluded) = (&self.call.service, excluded.as_slice());
        let criteria = Query {
            service,
            excluded,
            allowed_first: None,
            closed_first: &[],
            tokens: 0.0,
            prompt: None,
        };
        self.node.table.borrow().best_target(now, &criteria)
    }

    fn start(&mut self, target: TargetKey, address: SocketAddr) {
        self.offers += 1;
        self.excluded.push(address);
        let outcome = Box::pin(try_target(self.node, self.call, target.clone(), address));
        let sent_at = self.node.now();
        self.pending.push(Attempt { target, address, sent_at, counted: false, outcome });
    }

    /// Waits until an attempt ends. Returns `None` if the request is to be sent to another target
    /// too, or its deadline has passed.
    async fn wait(&mut self) -> Option<(Attempt<'a>, Outcome)> {
        let are_all_counted = self.pending.iter().all(|attempt| attempt.counted);
        let may_repeat = match are_all_counted {
            true => self.may_offer(),
            false => self.call.kind.is_idempotent() && self.ran + 1 < self.call.attempts,
        };
        // Another target, or a retry, may be there a moment later.
        while may_repeat && self.time_left() > MIN_ATTEMPT_TIME {
            let patience = self.time_left().mul_f64(ATTEMPT_SHARE);
            let ended = timeout(patience, next_ended(&mut self.pending)).await;
            if let Ok(ended) = ended {
                return Some(ended);
            }
            self.retry_taken = self.retry_taken || self.take_alternative().await;
            if self.retry_taken {
                self.count_silent();
                return None;
            }
        }
        let ended = timeout(self.time_left(), next_ended(&mut self.pending)).await.ok();
        if ended.is_none() {
            self.count_silent();
        }
        ended
    }

    /// Takes a retry for another target, if there is one. A request that cannot be sent elsewhere
    /// waits on: its target may be silent for a while and go on.
    async fn take_alternative(&self) -> bool {
        let is_available = self.best_target().is_some() || self.node.leaves_to_others(self.call);
        is_available && self.node.take_retry(&self.call.service).await
    }

    /// Counts the attempts that have given no answer in time.
    fn count_silent(&mut self) {
        let mut silent: Vec<&mut Attempt<'_>> =
            self.pending.iter_mut().filter(|attempt| !attempt.counted).collect();
        for attempt in &mut silent {
            attempt.counted = true;
            let reason = "no answer in time";
            self.node.record_fault(attempt.address, Fault::Failed, reason);
            let failure = Failure::new(reason, Execution::Unknown);
            failure.log(self.node, self.call, &attempt.target, attempt.sent_at);
            self.node.check_connection(attempt.address);
        }
        self.ran += silent.len() as u32;
    }

    /// Records the end of an attempt. Returns the answer if it ends the request.
    fn record(&mut self, attempt: Attempt<'a>, outcome: Outcome) -> Option<Reply> {
        let (node, call) = (self.node, self.call);
        let Attempt { target, address, sent_at, counted, .. } = attempt;
        if let Some(failure) = outcome.failure() {
            failure.log(node, call, &target, sent_at);
        }
        match outcome {
            Outcome::Answered { status, headers, body } => {
                let mut response = passthrough(status, &headers, body);
                name_target(call, address, &mut response);
                if !status.is_server_error() {
                    node.table.borrow_mut().record_success(address);
                    node.record_completed(call);
                    return Some(Reply::ran(response));
                }
                node.record_fault(address, Fault::Failed, "server error");
                self.failed = Some(response);
                self.ran += u32::from(!counted);
            }
            Outcome::NotSent => {
                self.unsent += 1;
                self.ran -= u32::from(counted);
            }
            Outcome::NotRun => {
                self.ran -= u32::from(counted);
                if !self.pending.is_empty() {
                    // It may accept the request after its pause, while another target is silent.
                    self.excluded.retain(|excluded| *excluded != address);
                }
            }
            Outcome::Unproven(_) => {
                self.ran += u32::from(!counted);
                if !call.kind.is_idempotent() {
                    return Some(Reply::unknown(node, call));
                }
            }
            Outcome::Unknown(_) => {
                node.record_interruption(call, std::iter::once(&target), sent_at, true);
                node.check_connection(address);
                self.ran += u32::from(!counted);
                if !call.kind.is_idempotent() {
                    return Some(Reply::unknown(node, call));
                }
            }
        }
        None
    }

    /// Gives up the attempts that are left. They have ended without their answers.
    fn give_up(&mut self) {
        for attempt in self.pending.drain(..) {
            let target = std::iter::once(&attempt.target);
            self.node.record_interruption(self.call, target, attempt.sent_at, true);
        }
    }

    /// Returns whether the request is to be forwarded to another node, because none of its offers
    /// could be sent.
    fn is_forwardable(&self) -> bool {
        let is_unreached = self.unsent >= MAX_UNSENT || self.node.doubts_targets();
        self.offers == self.unsent && is_unreached && self.node.may_forward(self.call)
    }
}

/// Waits until one of the attempts ends, and takes it from the list.
async fn next_ended<'a>(attempts: &mut Vec<Attempt<'a>>) -> (Attempt<'a>, Outcome) {
    take_first(attempts, |attempt, context| attempt.outcome.as_mut().poll(context)).await
}

async fn try_target(
    node: &Rc<Node>,
    call: &Call,
    target: TargetKey,
    address: SocketAddr,
) -> Outcome {
    node.table.borrow_mut().add_request(&target, 0.0);
    node.table.borrow_mut().request_sent(node.now(), &target);
    let _in_flight = InFlight { node: node.clone(), target: target.clone() };
    let request = call.request(node.now(), &target, None, None);
    let exchange = match node.send(address, request, &call.used).await {
        Ok(exchange) => exchange,
        Err(unsent @ (Unanswered::Refused | Unanswered::NotSent)) => {
            let fault = probe_fault(probe_failure(unsent));
            node.record_fault(address, fault, "no connection");
            return Outcome::NotSent;
        }
        Err(Unanswered::Unknown) => {
            node.record_fault(address, Fault::Failed, "connection lost");
            return Outcome::Unknown("connection lost");
        }
        Err(Unanswered::Malformed(defect)) => {
            node.record_fault(address, Fault::Failed, defect.reason());
            return Outcome::Unknown(defect.reason());
        }
    };
    let (response, connection) = exchange.split();
    let (parts, body) = response.into_parts();
    if !matches_request(&parts.headers, call) {
        // The answer belongs to another request. The connection is dropped with it.
        node.record_fault(address, Fault::Failed, "answer to another request");
        return Outcome::Unknown("answer to another request");
    }
    match Execution::of_target(parts.status, &parts.headers, &target) {
        Execution::NotRun => {
            node.pool.drain(body, connection).await;
            if parts.status == StatusCode::MISDIRECTED_REQUEST {
                node.record_fault(address, Fault::WrongTarget, "refused");
            } else {
                node.pause_target(address, true);
            }
            return Outcome::NotRun;
        }
        Execution::Unknown => {
            node.record_fault(address, Fault::Failed, UNPROVEN_REFUSAL);
            node.pool.drain(body, connection).await;
            return Outcome::Unproven(parts.status);
        }
        Execution::Ran => {}
    }
    if parts.status.is_success() && !is_signed(&parts.headers) {
        node.record_fault(address, Fault::Failed, "success without a signature");
        return Outcome::Unknown("success without a signature");
    }
    let holding = node.answers.begin(address);
    let body = match body::read(body, MAX_ANSWER_BYTES, holding, Room::Awaited).await {
        Ok(body) => body,
        Err(failure) => {
            node.record_fault(address, Fault::Failed, failure.reason());
            return Outcome::Unknown(failure.reason());
        }
    };
    node.pool.release(connection);
    node.table.borrow_mut().request_accepted(node.now(), &target);
    Outcome::Answered { status: parts.status, headers: parts.headers, body }
}
