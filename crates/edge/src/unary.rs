//! Requests with a single answer.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::header::HeaderMap;
use hyper::{Response, StatusCode};
use path::{Fault, Query};
use site::TargetKey;
use tokio::pin;
use tokio::time::timeout;

use crate::answer::{Answer, retry_later};
use crate::call::Call;
use crate::diagnose::{probe_failure, probe_fault};
use crate::event::RETRIED;
use crate::forward::{MAX_UNSENT, forward_unary, name_target};
use crate::node::Node;
use crate::pool::{MAX_ANSWER_BYTES, Unanswered, read_body};
use crate::reply::{is_not_run, log_failed_attempt, matches_request, passthrough, unknown_outcome};
use crate::resumed::is_signed;

/// Maximum number of targets that a request is sent to, including those that refused it.
const MAX_OFFERS: u32 = 4;
/// Share of the remaining time that one attempt of an idempotent request may take while another
/// attempt is allowed.
const ATTEMPT_SHARE: f64 = 0.45;
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
    /// The target may have run the request.
    Unknown(&'static str),
}

impl Outcome {
    /// Returns the reason of a failed attempt and whether the request can have run, for the log.
    fn failure(&self) -> Option<(&'static str, &'static str)> {
        match self {
            Outcome::Answered { status, .. } if status.is_server_error() => {
                Some(("server error", "yes"))
            }
            Outcome::Answered { .. } => None,
            Outcome::NotSent => Some(("no connection", "no")),
            Outcome::NotRun => Some(("refused", "no")),
            Outcome::Unknown(reason) => Some((reason, "unknown")),
        }
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

/// Sends a request to a target, and to further ones if it fails and may be repeated.
pub(crate) async fn forward(node: &Rc<Node>, call: &Call) -> Response<Answer> {
    if !node.reaches_targets()
        && let Some(response) = forward_unary(node, call, call.attempts).await
    {
        return response;
    }
    node.count_call(call);
    let mut excluded: Vec<SocketAddr> = Vec::new();
    let mut ran = 0;
    let mut offers = 0;
    // Offers that were not sent are no load on any target and take no retry.
    let mut unsent = 0;
    let mut failed: Option<Response<Answer>> = None;
    let mut quarantined = None;
    let mut retry_taken = false;
    loop {
        if let Err(left) = node.admit(call).await {
            quarantined = Some(left);
            break;
        }
        let criteria =
            Query { service: &call.service, excluded: &excluded, allowed_first: None, tokens: 0.0 };
        let candidate = node.table.borrow().best_target(node.now(), &criteria);
        let Some((target, address)) = candidate else { break };
        let left = call.deadline.saturating_sub(node.now());
        if left.is_zero() {
            break;
        }
        let is_retry = offers > 0;
        let taken = std::mem::take(&mut retry_taken) || offers == unsent;
        if is_retry && !taken && !node.take_retry(&call.service).await {
            break;
        }
        if is_retry {
            let event = call.event(RETRIED).with("target", &target);
            log::info!("{event}");
        }
        offers += 1;
        let may_repeat = call.kind.is_idempotent() && ran + 1 < call.attempts;
        excluded.push(address);
        let sent_at = node.now();
        let attempt = try_target(node, call, &target, address);
        pin!(attempt);
        let mut answer = None;
        if may_repeat {
            answer = timeout(left.mul_f64(ATTEMPT_SHARE), &mut attempt).await.ok();
            retry_taken = answer.is_none() && take_alternative(node, call, &excluded).await;
        }
        if answer.is_none() && !retry_taken {
            let left = call.deadline.saturating_sub(node.now());
            answer = timeout(left, attempt).await.ok();
        }
        let outcome = answer.unwrap_or_else(|| {
            node.record_fault(address, Fault::Failed, "no answer in time");
            Outcome::Unknown("no answer in time")
        });
        if let Some((reason, ran)) = outcome.failure() {
            log_failed_attempt(node, call, &target, reason, ran, sent_at);
        }
        match outcome {
            Outcome::Answered { status, headers, body } => {
                let mut response = passthrough(status, &headers, body);
                name_target(call, address, &mut response);
                if !status.is_server_error() {
                    node.table.borrow_mut().record_success(address);
                    node.record_completed(call);
                    return response;
                }
                node.record_fault(address, Fault::Failed, "server error");
                failed = Some(response);
                ran += 1;
                if !call.kind.is_idempotent() || ran >= call.attempts {
                    break;
                }
            }
            Outcome::NotSent | Outcome::NotRun => {
                unsent += u32::from(matches!(outcome, Outcome::NotSent));
                if offers >= MAX_OFFERS || is_forwardable(node, call, offers, unsent) {
                    break;
                }
            }
            Outcome::Unknown(_) => {
                node.record_interruption(call, std::iter::once(&target), sent_at, true);
                node.check_connection(address);
                ran += 1;
                if !call.kind.is_idempotent() {
                    return unknown_outcome(node, call);
                }
                if ran >= call.attempts {
                    break;
                }
            }
        }
    }
    let has_run = ran > 0 && call.kind.is_idempotent() && ran < call.attempts;
    let may_run = if has_run { retry_taken } else { quarantined.is_none() };
    if (has_run || is_forwardable(node, call, offers, unsent))
        && may_run
        && let Some(response) = forward_unary(node, call, call.attempts - ran).await
    {
        return response;
    }
    match failed {
        Some(response) => response,
        None if ran > 0 => unknown_outcome(node, call),
        None if let Some(left) = quarantined => node.refuse_quarantined(call, left),
        None => {
            let left = node.table.borrow().service_available_in(node.now(), &call.service);
            let after = left.map(|left| node.after_backoff(left));
            let after = after.unwrap_or_else(|| node.retry_after(call, MIN_RETRY_AFTER));
            retry_later(StatusCode::SERVICE_UNAVAILABLE, "no target", after)
        }
    }
}

/// Returns whether a request is to be forwarded to another node, because none of its offers could be
/// sent.
fn is_forwardable(node: &Node, call: &Call, offers: u32, unsent: u32) -> bool {
    let is_cut_off = unsent >= MAX_UNSENT || node.doubts_targets();
    offers == unsent && is_cut_off && node.may_forward(call)
}

/// Takes a retry for another target, if there is one. A request that cannot be sent elsewhere waits
/// on: its target may be silent for a while and go on.
async fn take_alternative(node: &Node, call: &Call, excluded: &[SocketAddr]) -> bool {
    let criteria = Query { service: &call.service, excluded, allowed_first: None, tokens: 0.0 };
    let other = node.table.borrow().best_target(node.now(), &criteria);
    let cut_off = !node.reaches_targets() && node.may_forward(call);
    (other.is_some() || cut_off) && node.take_retry(&call.service).await
}

async fn try_target(
    node: &Rc<Node>,
    call: &Call,
    target: &TargetKey,
    address: SocketAddr,
) -> Outcome {
    node.table.borrow_mut().add_request(target, 0.0);
    node.table.borrow_mut().request_sent(node.now(), target);
    let _in_flight = InFlight { node: node.clone(), target: target.clone() };
    let request = call.request(node.now(), target, None, None);
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
    };
    let (response, connection) = exchange.split();
    let (parts, body) = response.into_parts();
    if !matches_request(&parts.headers, call) {
        // The answer belongs to another request. The connection is dropped with it.
        node.record_fault(address, Fault::Failed, "answer to another request");
        return Outcome::Unknown("answer to another request");
    }
    if is_not_run(parts.status, &parts.headers) {
        node.pool.drain(body, connection).await;
        if parts.status == StatusCode::MISDIRECTED_REQUEST {
            node.record_fault(address, Fault::WrongTarget, "refused");
        } else {
            node.pause_target(address, true);
        }
        return Outcome::NotRun;
    }
    if parts.status.is_success() && !is_signed(&parts.headers) {
        node.record_fault(address, Fault::Failed, "success without a signature");
        return Outcome::Unknown("success without a signature");
    }
    let Some(body) = read_body(body, MAX_ANSWER_BYTES).await else {
        node.record_fault(address, Fault::Failed, "answer truncated or too large");
        return Outcome::Unknown("answer truncated or too large");
    };
    node.pool.release(connection);
    node.table.borrow_mut().request_accepted(node.now(), target);
    Outcome::Answered { status: parts.status, headers: parts.headers, body }
}
