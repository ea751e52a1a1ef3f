//! Permits for requests to targets that name a limit: the messages between this node and the nodes
//! that issue them. What is decided is in [`limit::permit`].

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use fleet::Event;
use hyper::header::HeaderMap;
use limit::permit::{Answer, Change, Class, Decision, Limit, Outgoing, Request};
use site::Rate;
use tokio::net::UdpSocket;
use tokio::sync::{Notify, oneshot};
use tokio::time::{sleep, timeout};

use crate::call::Call;
use crate::event::{REQUEST_LIMITED, TARGET_LIMITED};
use crate::message::Message;
use crate::node::Node;
use crate::peers::send;
use crate::store::log_undecodable;

/// Time after which an unanswered request to an issuer is sent again: other nodes answer within a
/// few milliseconds.
const RESEND_AFTER: Duration = Duration::from_millis(12);
/// Number of times that a request to an issuer is sent.
const ATTEMPTS: usize = 2;
/// Minimum retry delay of a caller whose request the limits do not allow.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Maximum share of the time left that a request waits for a permit.
const MAX_WAIT_SHARE: u32 = 4;
/// Minimum validity of a node's word that it issues permits.
const MIN_VALIDITY: Duration = Duration::from_millis(1000);

/// Returns the time for which a request can wait for a permit, up to `max`.
pub(crate) fn patience(max: Duration, time_left: Duration) -> Duration {
    max.min(time_left / MAX_WAIT_SHARE)
}

/// What is to be done with a request whose target has used up its limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Remedy {
    /// Another target is sought.
    Elsewhere,
    /// The request waits for a permit.
    Held,
    /// The request is refused.
    Refused,
}

impl Remedy {
    fn name(self) -> &'static str {
        match self {
            Self::Elsewhere => "elsewhere",
            Self::Held => "held",
            Self::Refused => "refused",
        }
    }
}

/// Requests for permits that wait for answers, and messages to be sent.
#[derive(Default)]
pub(crate) struct Answers {
    waiting: RefCell<HashMap<u64, (SocketAddr, oneshot::Sender<Answer>)>>,
    outbox: RefCell<Vec<(SocketAddr, Message)>>,
    /// Notified when there is a message to be sent.
    posted: Notify,
    /// Whether a limit that cannot be read has been logged.
    has_logged_invalid: Cell<bool>,
}

impl Answers {
    /// Passes an answer to the request that waits for it. One that comes from another node or too
    /// late is ignored: its permit is lost.
    fn deliver(&self, from: SocketAddr, answer: Answer) {
        let mut waiting = self.waiting.borrow_mut();
        if waiting.get(&answer.number).is_none_or(|(issuer, _)| *issuer != from) {
            return;
        }
        if let Some((_, sender)) = waiting.remove(&answer.number) {
            // The request may have been given up.
            sender.send(answer).ok();
        }
    }

    fn post(&self, to: SocketAddr, message: Message) {
        self.outbox.borrow_mut().push((to, message));
        self.posted.notify_one();
    }
}

/// Removes a request that no longer waits.
struct Waiting<'a> {
    answers: &'a Answers,
    number: u64,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.answers.waiting.borrow_mut().remove(&self.number);
    }
}

impl Node {
    /// Returns whether this node issues permits, and applies it: it knows the other nodes, and goes
    /// on.
    pub(crate) fn issues_permits(&self) -> bool {
        let issues = self.synced.get().is_some() && !self.is_stopping();
        self.permits.borrow_mut().set_issuing(issues);
        issues
    }

    /// Records whether another node issues permits.
    pub(crate) fn record_issuing(&self, node: SocketAddr, issues: bool, until: Duration) {
        let until = until.max(self.now() + MIN_VALIDITY);
        self.permits.borrow_mut().record_issuing(node, issues, until);
    }

    /// Applies what the answer to a call that was sent at `sent_at` says of the target's limit.
    pub(crate) fn apply_limit(&self, address: SocketAddr, sent_at: Duration, headers: &HeaderMap) {
        let limit = match platform::limit(headers) {
            Ok(limit) => limit,
            Err(error) => {
                metrics::counter!("magnolia_limits_invalid").increment(1);
                if !self.permit_answers.has_logged_invalid.replace(true) {
                    log_undecodable(&address.to_string(), &error);
                }
                return;
            }
        };
        self.permits.borrow_mut().record_statement(self.now(), address, sent_at, limit);
        self.publish_limits(None);
    }

    /// Records an answer to a request for a permit, and passes it to the call that waits for it.
    pub(crate) fn record_permit_answer(&self, issuer: SocketAddr, answer: Answer) {
        self.permits.borrow_mut().record_answer(issuer, &answer);
        self.permit_answers.deliver(issuer, answer);
    }

    /// Applies what the issuer of a target's permits tells of its limit.
    pub(crate) fn record_limit(&self, issuer: SocketAddr, limit: &Limit) {
        self.permits.borrow_mut().record_limit(self.now(), issuer, limit);
        self.publish_limits(Some(issuer));
    }

    /// Posts what the permits have to tell other nodes, and logs the limits that have changed;
    /// `source` is the node that told of them, if it was not the target itself.
    pub(crate) fn publish_limits(&self, source: Option<SocketAddr>) {
        self.post_permit_messages();
        let changes = self.permits.borrow_mut().take_changes();
        for change in changes {
            metrics::gauge!("magnolia_limited_targets").set(self.permits.borrow().limited() as f64);
            log_change(change, source);
        }
    }

    /// Posts what the permits have to tell other nodes.
    fn post_permit_messages(&self) {
        for (to, outgoing) in self.permits.borrow_mut().take_outbox() {
            let message = match outgoing {
                Outgoing::Notice(request) => Message::PermitRequest(request),
                Outgoing::Limit(limit) => Message::Limit(limit),
            };
            self.permit_answers.post(to, message);
        }
    }

    /// Takes a permit for a call to a target, and waits until it may be sent, up to `patience`.
    ///
    /// # Errors
    ///
    /// Returns the time for which the limit of the target is used up.
    pub(crate) async fn permit(
        &self,
        address: SocketAddr,
        class: Class,
        patience: Duration,
    ) -> Result<(), Duration> {
        let decision = self.permits.borrow_mut().decide(self.now(), address, class, patience);
        self.post_permit_messages();
        let decision = match decision {
            Decision::Ask(issuer, request) => self.ask_issuer(issuer, request).await,
            decision => decision,
        };
        match decision {
            Decision::Free => Ok(()),
            Decision::Granted(wait) => {
                metrics::counter!("magnolia_permits", "verdict" => "granted").increment(1);
                if !wait.is_zero() {
                    sleep(wait).await;
                }
                Ok(())
            }
            Decision::Denied(wait) => {
                metrics::counter!("magnolia_permits", "verdict" => "denied").increment(1);
                Err(wait)
            }
            // Only the state of the permits asks.
            Decision::Ask(..) => Err(Duration::ZERO),
        }
    }

    /// Takes a permit for a request of a caller, which waits up to `patience` if the limit is used up
    /// already. Returns whether there is one.
    pub(crate) async fn take_permit(
        &self,
        call: &Call,
        address: SocketAddr,
        class: Class,
        patience: Duration,
    ) -> bool {
        let closed_for = self.permits.borrow().opens_in(self.now(), class, address);
        let patience = if closed_for.is_zero() { Duration::ZERO } else { patience };
        let taken = self.permit(address, class, patience).await;
        match taken {
            Ok(()) if closed_for.is_zero() => {}
            Ok(()) => self.log_limited(call, Some(address), closed_for, Remedy::Held),
            Err(wait) => self.log_limited(call, Some(address), wait, Remedy::Elsewhere),
        }
        taken.is_ok()
    }

    /// Returns whether a call of this node's own may be sent to a target.
    pub(crate) async fn may_call(&self, address: SocketAddr) -> bool {
        self.permit(address, Class::Call, Duration::ZERO).await.is_ok()
    }

    /// Asks the issuer of a target's permits.
    async fn ask_issuer(&self, issuer: SocketAddr, request: Request) -> Decision {
        let (sender, mut receiver) = oneshot::channel();
        let number = request.number;
        self.permit_answers.waiting.borrow_mut().insert(number, (issuer, sender));
        let _waiting = Waiting { answers: &self.permit_answers, number };
        for _ in 0..ATTEMPTS {
            self.permit_answers.post(issuer, Message::PermitRequest(request.clone()));
            if let Ok(Ok(answer)) = timeout(RESEND_AFTER, &mut receiver).await {
                let now = self.now();
                let decision = self.permits.borrow_mut().accept(now, issuer, &request, &answer);
                self.publish_limits(Some(issuer));
                return decision;
            }
        }
        metrics::counter!("magnolia_permits", "verdict" => "unanswered").increment(1);
        self.permits.borrow_mut().record_silence(self.now(), &request)
    }

    /// Returns the retry delay for a caller whose request all targets of its service refuse, because
    /// their limits are used up.
    pub(crate) fn after_limits(&self, call: &Call) -> Duration {
        let now = self.now();
        let (table, permits) = (self.table.borrow(), self.permits.borrow());
        let targets = table.entries().filter(|entry| entry.target.service == call.service);
        let waits =
            targets.map(|entry| permits.opens_in(now, Class::Request, entry.target.address));
        let soonest = waits.filter(|wait| !wait.is_zero()).min().unwrap_or_default();
        self.retry_after(call, soonest.max(MIN_RETRY_AFTER))
    }

    /// Returns whether a target of a service has used up its limit.
    pub(crate) fn is_limited(&self, service: &str) -> bool {
        let closed = self.permits.borrow().closed(self.now(), Class::Request, Duration::ZERO);
        let table = self.table.borrow();
        let mut entries = table.entries();
        entries
            .any(|entry| entry.target.service == service && closed.contains(&entry.target.address))
    }

    /// Logs that the limit of a target is used up for a request, and what is done with it.
    pub(crate) fn log_limited(
        &self,
        call: &Call,
        address: Option<SocketAddr>,
        wait: Duration,
        remedy: Remedy,
    ) {
        metrics::counter!("magnolia_requests_limited", "remedy" => remedy.name()).increment(1);
        let event = call
            .event(REQUEST_LIMITED)
            .with("address", address.map_or("all".to_owned(), |address| address.to_string()))
            .with("remedy", remedy.name())
            .with("wait_ms", wait.as_millis());
        log::info!("{event}");
    }
}

fn log_change(change: Change, source: Option<SocketAddr>) {
    let show = |limit: Option<Rate>| limit.map_or("none".to_owned(), |limit| limit.to_string());
    let event = Event::new(TARGET_LIMITED)
        .with("address", change.target)
        .with("per_second", show(change.rate))
        .with("before", show(change.before))
        .with("issuer", source.map_or("none".to_owned(), |source| source.to_string()));
    log::info!("{event}");
}

/// Answers a request for a permit.
pub(crate) fn answer(node: &Node, socket: &UdpSocket, from: SocketAddr, request: &Request) {
    let answer = node.permits.borrow_mut().answer(node.now(), request);
    node.publish_limits(Some(from));
    metrics::counter!("magnolia_permit_requests").increment(1);
    send(socket, &Message::PermitAnswer(answer), from);
}

/// Sends the messages on permits until the process ends.
pub(crate) async fn send_messages(node: Rc<Node>, socket: Rc<UdpSocket>) {
    loop {
        let messages = std::mem::take(&mut *node.permit_answers.outbox.borrow_mut());
        for (to, message) in &messages {
            send(&socket, message, *to);
        }
        if messages.is_empty() {
            node.permit_answers.posted.notified().await;
        }
    }
}
