//! Requests that have one answer.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::header::HeaderMap;
use hyper::{Response, StatusCode};
use path::{Fault, Query};
use site::TargetKey;
use tokio::time::timeout;

use crate::answer::{Answer, later};
use crate::call::Call;
use crate::event::RETRIED;
use crate::link::{MOST_ANSWER_BYTES, Unanswered, read};
use crate::node::Node;
use crate::reply::{is_not_run, is_of, log_failure, lost, whole};

/// Most targets that a request is offered to, counting those that refused it.
const MOST_OFFERS: u32 = 4;
/// Share of the time left that one try of an idempotent request may take while another
/// target can still be tried.
const TRY_SHARE: f64 = 0.45;
/// Shortest time after which a refused caller is asked to come back.
const COMEBACK: Duration = Duration::from_millis(400);

/// What came of one try.
enum Tried {
    /// The target's whole answer.
    Answered { status: StatusCode, headers: HeaderMap, body: Bytes },
    /// The target has not run it.
    NotRun(&'static str),
    /// It may have run.
    Unknown(&'static str),
}

impl Tried {
    /// Why there is no answer to use, and whether the request can have run.
    fn failure(&self) -> Option<(&'static str, &'static str)> {
        match self {
            Tried::Answered { status, .. } if status.is_server_error() => {
                Some(("server error", "yes"))
            }
            Tried::Answered { .. } => None,
            Tried::NotRun(reason) => Some((reason, "no")),
            Tried::Unknown(reason) => Some((reason, "unknown")),
        }
    }
}

/// A request counted as running at a target.
struct Running {
    node: Rc<Node>,
    target: TargetKey,
}

impl Drop for Running {
    fn drop(&mut self) {
        self.node.table.borrow_mut().remove_request(&self.target, 0.0);
    }
}

/// Sends a request to a target, and to another one where that is allowed.
pub(crate) async fn relay(node: &Rc<Node>, call: &Call) -> Response<Answer> {
    let mut avoid: Vec<SocketAddr> = Vec::new();
    let mut ran = 0;
    let mut offers = 0;
    let mut failed: Option<Response<Answer>> = None;
    let mut quarantined = None;
    loop {
        if let Err(left) = node.admit(call).await {
            quarantined = Some(left);
            break;
        }
        let wish =
            Query { service: &call.service, excluded: &avoid, allowed_first: None, tokens: 0.0 };
        let picked = node.table.borrow().best_target(node.now(), &wish);
        let Some((target, address)) = picked else { break };
        let again = offers > 0;
        if again && !node.take_retry(&call.service).await {
            break;
        }
        if again {
            let event = call.event(RETRIED).with("target", &target);
            log::info!("{event}");
        }
        offers += 1;
        let left = call.ends.saturating_sub(node.now());
        if left.is_zero() {
            break;
        }
        let may_repeat = call.kind.is_idempotent() && ran + 1 < call.attempts;
        let limit = if may_repeat { left.mul_f64(TRY_SHARE) } else { left };
        avoid.push(address);
        let sent = node.now();
        let tried = match timeout(limit, offer(node, call, &target, address)).await {
            Ok(tried) => tried,
            Err(_) => {
                node.fault(address, Fault::Failed, "no answer in time");
                Tried::Unknown("no answer in time")
            }
        };
        if let Some((reason, ran)) = tried.failure() {
            log_failure(node, call, &target, reason, ran, sent);
        }
        match tried {
            Tried::Answered { status, headers, body } => {
                let response = whole(status, &headers, body);
                if !status.is_server_error() {
                    node.table.borrow_mut().record_success(address);
                    node.answered(call.fingerprint);
                    return response;
                }
                node.fault(address, Fault::Failed, "server error");
                failed = Some(response);
                ran += 1;
                if !call.kind.is_idempotent() || ran >= call.attempts {
                    break;
                }
            }
            Tried::NotRun(_) => {
                if offers >= MOST_OFFERS {
                    break;
                }
            }
            Tried::Unknown(_) => {
                node.interrupted(call, std::iter::once(&target), sent, true);
                node.check(address);
                ran += 1;
                if !call.kind.is_idempotent() {
                    return lost(node, call);
                }
                if ran >= call.attempts {
                    break;
                }
            }
        }
    }
    match failed {
        Some(response) => response,
        None if ran > 0 => lost(node, call),
        None if let Some(left) = quarantined => node.refuse_quarantined(call, left),
        None => {
            let left = node.table.borrow().service_available_in(node.now(), &call.service);
            let after = left.map(|left| node.after_backoff(left));
            let after = after.unwrap_or_else(|| node.comeback(call, COMEBACK));
            later(StatusCode::SERVICE_UNAVAILABLE, "no target", after)
        }
    }
}

async fn offer(node: &Rc<Node>, call: &Call, target: &TargetKey, address: SocketAddr) -> Tried {
    node.table.borrow_mut().add_request(target, 0.0);
    node.table.borrow_mut().request_sent(node.now(), target);
    let _running = Running { node: node.clone(), target: target.clone() };
    let request = call.request(node.now(), target, None, None);
    let begun = match node.send(address, request).await {
        Ok(begun) => begun,
        Err(Unanswered::NotSent) => {
            node.fault(address, Fault::Unresponsive, "no connection");
            return Tried::NotRun("no connection");
        }
        Err(Unanswered::Unknown) => {
            node.fault(address, Fault::Failed, "connection lost");
            return Tried::Unknown("connection lost");
        }
    };
    let (response, connection) = begun.split();
    let (parts, body) = response.into_parts();
    if !is_of(&parts.headers, call) {
        // An answer that was left over from another request; the connection is dropped.
        node.fault(address, Fault::Failed, "answer to another request");
        return Tried::Unknown("answer to another request");
    }
    if is_not_run(parts.status, &parts.headers) {
        node.pool.drain(body, connection).await;
        if parts.status == StatusCode::MISDIRECTED_REQUEST {
            node.fault(address, Fault::WrongTarget, "refused");
        } else {
            node.pause(address, true);
        }
        return Tried::NotRun("refused");
    }
    let Some(body) = read(body, MOST_ANSWER_BYTES).await else {
        node.fault(address, Fault::Failed, "answer cut, or too long");
        return Tried::Unknown("answer cut, or too long");
    };
    node.pool.give_back(connection);
    node.table.borrow_mut().request_accepted(node.now(), target);
    Tried::Answered { status: parts.status, headers: parts.headers, body }
}
