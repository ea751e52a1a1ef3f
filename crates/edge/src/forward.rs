//! Forwarding of callers' requests to other nodes, while this node does not reach the targets.
//!
//! The other node handles a forwarded request like one of its own callers: it checks the key, finds
//! the route and the targets, and takes retries from its own share of the budget. It never forwards
//! the request again.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::header::{AUTHORIZATION, HeaderMap, HeaderName, HeaderValue};
use hyper::{Request, Response, StatusCode};
use path::Stage;
use tokio::time::{sleep_until, timeout};

use crate::answer::Answer;
use crate::body::{self, Room};
use crate::call::Call;
use crate::dispatch::Dispatch;
use crate::event::{FORWARDED, FORWARDED_ANSWERED};
use crate::execution::{Execution, promises_not_run};
use crate::intake::Intake;
use crate::node::Node;
use crate::pool::{Exchange, MAX_ANSWER_BYTES, Unanswered};
use crate::queue::Sender;
use crate::reply::{Reply, passthrough};
use crate::segment::{Ended, Progress};

/// Number of offers without a connection after which a request is forwarded to another node.
pub(crate) const MAX_UNSENT: u32 = 2;
/// Maximum number of nodes to which one request is forwarded in turn.
const MAX_NODES: usize = 3;
/// Number of targets at which a forwarded request may still run; on the answer, the number at which it
/// will have run at the most.
const ATTEMPTS: HeaderName = HeaderName::from_static("magnolia-attempts");
/// Present if the forwarding node has counted the request for the retry budget.
const COUNTED: HeaderName = HeaderName::from_static("magnolia-counted");
/// Address of the target that gave an answer to a forwarded request.
const TARGET: HeaderName = HeaderName::from_static("magnolia-target");

/// Start of the names of all headers between nodes, also of those that other builds send.
const INTERNAL_PREFIX: &str = "magnolia-";

/// Who sent a request to this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// A caller.
    Caller,
    /// Another node forwards a request of its caller.
    Node,
}

/// What the forwarding node states about a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Statement {
    /// Number of targets at which the request may still run; `None` if the request is not
    /// forwarded.
    pub attempts: Option<u32>,
    /// Whether the request is counted for the retry budget already.
    pub counted: bool,
}

impl Statement {
    /// Reads the statement from the head of a request.
    pub fn read(origin: Origin, headers: &HeaderMap) -> Self {
        if origin == Origin::Caller {
            return Self::default();
        }
        let attempts = headers.get(ATTEMPTS).and_then(|value| value.to_str().ok()?.parse().ok());
        Self { attempts, counted: headers.contains_key(COUNTED) }
    }

    /// Adds the statement to the head of a request.
    pub fn write(&self, headers: &mut HeaderMap) {
        if let Some(attempts) = self.attempts {
            headers.insert(ATTEMPTS, attempts.into());
        }
        if self.counted {
            headers.insert(COUNTED, HeaderValue::from_static("1"));
        }
    }
}

/// Why a request could not be forwarded.
pub(crate) enum Failure {
    /// No other node reaches the targets, or none could be connected to.
    NoNode,
    /// The other nodes refused the request, which has not run there.
    Refused(Box<Reply>),
    /// The request may have run.
    Unknown,
}

/// A request to be forwarded.
pub(crate) struct Forward<'a> {
    pub(crate) call: &'a Call,
    /// Number of targets at which the request may still run.
    pub(crate) attempts: u32,
    /// Number of the event after which a stream resumes.
    pub(crate) last_event: Option<u64>,
}

impl Forward<'_> {
    fn request(&self, now: Duration) -> Request<Full<Bytes>> {
        let mut request = self.call.resent(now, self.last_event);
        let headers = request.headers_mut();
        let counted = self.call.counted.get();
        Statement { attempts: Some(self.attempts), counted }.write(headers);
        if let Some(key) = &self.call.authorization {
            headers.insert(AUTHORIZATION, key.clone());
        }
        request
    }

    /// Sends the request to other nodes in turn until one answers other than with a refusal. A
    /// request that another node has forwarded is not sent on.
    pub(crate) async fn send(&self, node: &Node) -> Result<Exchange, Failure> {
        if !node.may_forward(self.call) {
            return Err(Failure::NoNode);
        }
        let mut refused = None;
        for peer in node.reaching_peers(MAX_NODES) {
            let left = self.call.deadline.saturating_sub(node.now());
            self.log_sent(peer, left);
            let sending = node.pool.send(peer, self.request(node.now()), &self.call.used);
            match timeout(left, sending).await {
                Ok(Ok(exchange)) => match self.evaluate(node, peer, exchange).await {
                    Err(Failure::Refused(reply)) => refused = Some(reply),
                    result => return result,
                },
                Ok(Err(Unanswered::Refused | Unanswered::NotSent)) => {
                    node.reachability.borrow_mut().forget(peer);
                }
                Ok(Err(Unanswered::Unknown | Unanswered::Malformed(_))) | Err(_) => {
                    return Err(Failure::Unknown);
                }
            }
        }
        Err(refused.map_or(Failure::NoNode, Failure::Refused))
    }

    /// Returns the answer of another node, unless its status promises that the request has not run:
    /// then it is a refusal if the node states the same, and shows nothing if it does not.
    async fn evaluate(
        &self,
        node: &Node,
        peer: SocketAddr,
        exchange: Exchange,
    ) -> Result<Exchange, Failure> {
        apply_notice(node, &exchange);
        let (status, execution) = (exchange.response.status(), shown_execution(&exchange));
        self.log_answered(peer, status, execution);
        if !promises_not_run(status) {
            return Ok(exchange);
        }
        if execution == Execution::NotRun {
            let reply = whole_answer(node, self.call, exchange).await;
            return Err(Failure::Refused(Box::new(reply)));
        }
        let (response, connection) = exchange.split();
        node.pool.drain(response.into_body(), connection).await;
        Err(Failure::Unknown)
    }

    /// Logs that the request is sent to another node with this time left.
    fn log_sent(&self, peer: SocketAddr, left: Duration) {
        let event = self
            .call
            .event(FORWARDED)
            .with("node", peer)
            .with("after_event", format_args!("{:?}", self.last_event))
            .with("attempts", self.attempts)
            .with("left_ms", left.as_millis());
        log::info!("{event}");
        metrics::counter!("magnolia_forwarded").increment(1);
    }

    /// Logs the answer of another node.
    fn log_answered(&self, peer: SocketAddr, status: StatusCode, execution: Execution) {
        let event = self
            .call
            .event(FORWARDED_ANSWERED)
            .with("node", peer)
            .with("status", status.as_u16())
            .with("ran", execution);
        log::info!("{event}");
    }
}

/// Returns what the answer of another node shows about the execution of a request.
pub(crate) fn shown_execution(exchange: &Exchange) -> Execution {
    Execution::of_node(exchange.response.status(), exchange.response.headers())
}

/// Returns at how many targets another node will have run a request at the most, as it states in the
/// head of its answer.
pub(crate) fn used_attempts(exchange: &Exchange) -> u32 {
    let value = exchange.response.headers().get(ATTEMPTS);
    // Builds up to 8bd7f1a state nothing, and may use all.
    value.and_then(|value| value.to_str().ok()?.parse().ok()).unwrap_or(u32::MAX)
}

/// States at how many targets this node will have run a stream at the most, if the caller is another
/// node.
pub(crate) fn state_attempts(dispatch: &mut Dispatch, first: &Stage, headers: &mut HeaderMap) {
    if dispatch.call.origin == Origin::Node {
        dispatch.spare_attempt(first);
        headers.insert(ATTEMPTS, dispatch.max_attempts.into());
    }
}

/// Applies what the target that gave an answer states about itself.
fn apply_notice(node: &Node, exchange: &Exchange) {
    let headers = exchange.response.headers();
    let target = headers.get(TARGET).and_then(|value| value.to_str().ok()?.parse().ok());
    if let Some(target) = target {
        node.apply_notice(target, exchange.response.status(), headers);
    }
}

/// Names the target of an answer if the caller is another node, which then knows whose notices the
/// answer carries.
pub(crate) fn name_target(call: &Call, target: SocketAddr, response: &mut Response<Answer>) {
    if call.origin == Origin::Node {
        // An address is always a valid header value.
        if let Ok(value) = HeaderValue::from_str(&target.to_string()) {
            response.headers_mut().insert(TARGET, value);
        }
    }
}

/// Removes the headers between nodes: those of callers do not count, and callers and targets get
/// none.
pub fn remove_internal(headers: &mut HeaderMap) {
    let is_internal = |name: &&HeaderName| name.as_str().starts_with(INTERNAL_PREFIX);
    let internal: Vec<HeaderName> = headers.keys().filter(is_internal).cloned().collect();
    for name in internal {
        headers.remove(name);
    }
}

/// Reads an answer of another node to its end.
pub(crate) async fn whole_answer(node: &Node, call: &Call, exchange: Exchange) -> Reply {
    let execution = shown_execution(&exchange);
    let (response, connection) = exchange.split();
    let (parts, body) = response.into_parts();
    let left = call.deadline.saturating_sub(node.now());
    let holding = node.answers.begin(connection.address());
    match timeout(left, body::read(body, MAX_ANSWER_BYTES, holding, Room::Awaited)).await {
        Ok(Ok(body)) => {
            node.pool.release(connection);
            Reply { response: passthrough(parts.status, &parts.headers, body), execution }
        }
        Ok(Err(_)) | Err(_) => Reply::unknown(node, call),
    }
}

/// Forwards a request with a single answer. Returns `None` if no other node can be reached that
/// reaches the targets.
pub(crate) async fn forward_unary(node: &Node, call: &Call, attempts: u32) -> Option<Reply> {
    let forward = Forward { call, attempts, last_event: None };
    match forward.send(node).await {
        Ok(exchange) => Some(whole_answer(node, call, exchange).await),
        Err(Failure::Refused(reply)) => Some(*reply),
        Err(Failure::Unknown) => Some(Reply::unknown(node, call)),
        Err(Failure::NoNode) => None,
    }
}

/// Forwards the events of a stream that another node sends.
pub(crate) async fn relay_events(
    dispatch: &Dispatch,
    exchange: Exchange,
    sender: &Sender,
    progress: &mut Progress,
) -> Ended {
    let node = &dispatch.node;
    let deadline = dispatch.deadline();
    let (response, connection) = exchange.split();
    let mut body = response.into_body();
    let mut intake = Intake::new(node.answers.begin(connection.address()));
    loop {
        let frame = tokio::select! {
            frame = body.frame() => frame,
            () = sender.closed() => return Ended::CallerGone,
            () = sleep_until(deadline) => return Ended::TimedOut,
            () = intake.evicted() => return Ended::NoRoom,
        };
        let bytes = match frame {
            None if intake.is_partial() => return Ended::Cut,
            None => {
                node.pool.release(connection);
                return Ended::Complete;
            }
            Some(Err(_)) => return Ended::Cut,
            Some(Ok(frame)) => match frame.into_data() {
                Ok(bytes) => bytes,
                Err(_) => continue,
            },
        };
        let pushed = tokio::select! {
            pushed = intake.push(&bytes) => pushed,
            () = sender.closed() => return Ended::CallerGone,
            () = sleep_until(deadline) => return Ended::TimedOut,
        };
        if pushed.is_err() {
            return Ended::NoRoom;
        }
        while let Some(event) = intake.pop() {
            let ended = tokio::select! {
                ended = progress.deliver(event, node.now(), sender, deadline) => ended,
                () = intake.evicted() => Some(Ended::NoRoom),
            };
            if let Some(ended) = ended {
                return ended;
            }
        }
        if intake.is_oversized() {
            return Ended::Cut;
        }
    }
}
