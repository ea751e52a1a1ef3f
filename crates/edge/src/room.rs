//! Waits of streaming requests for engines whose memory is full.

use std::rc::Rc;
use std::time::Duration;

use limit::admission::{Decision, Demanded, Place, Rank, Ticket, Verdict};
use path::Path;
use tokio::time::sleep;

use crate::call::Call;
use crate::dispatch::Dispatch;
use crate::event::{REQUEST_ADMITTED, REQUEST_QUEUED};
use crate::forward::Origin;
use crate::node::Node;
use crate::search::{FULL, MAX_PRESSURE};

/// Reason of a queued request at a node that stops.
pub(crate) const STOPPING: &str = "stopping";
/// Shortest interval at which the first queued request looks for a path without other cause. Other
/// nodes tell their loads every 150 ms or later.
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(30);
/// Range of the interval beyond that, at random: nodes that see the same memory become free do not
/// all use it at once.
const POLL_SPREAD: Duration = Duration::from_millis(30);
/// Shortest time between two searches of the first queued request, however often routing changes:
/// many nodes have a tenth of a core.
const MIN_SEARCH_INTERVAL: Duration = Duration::from_millis(15);
/// Largest part of the latency goal that is kept for reading the prompt.
const MAX_PREFILL_PART: u32 = 2;

/// A place in the queue. Dropping it leaves the queue.
struct Queued {
    node: Rc<Node>,
    ticket: Ticket,
}

impl Drop for Queued {
    fn drop(&mut self) {
        let now = self.node.now();
        self.node.room.borrow_mut().leave(now, self.ticket);
        // Another request may be the first now.
        self.node.room_changed.notify_waiters();
    }
}

/// Admission of one request to the memory of engines.
#[derive(Default)]
pub(crate) struct Admission {
    queued: Option<Queued>,
    queued_at: Duration,
    is_admitted: bool,
}

impl Admission {
    fn is_queued(&self) -> bool {
        self.queued.is_some()
    }

    /// Waits until the request may look for a path: at once unless others are before it in the
    /// queue.
    ///
    /// # Errors
    ///
    /// Returns why the request is refused.
    pub(crate) async fn turn(&mut self) -> Result<(), &'static str> {
        let Some(Queued { node, ticket }) = &self.queued else { return Ok(()) };
        let is_over = |node: &Node| {
            let room = node.room.borrow();
            room.place(*ticket) != Place::Behind || node.now() >= room.until(*ticket)
        };
        while !is_over(node) {
            refuse_if_stopping(node)?;
            let left = node.room.borrow().until(*ticket).saturating_sub(node.now());
            pause(node, left).await;
        }
        refuse_if_stopping(node)
    }
}

fn refuse_if_stopping(node: &Node) -> Result<(), &'static str> {
    if node.is_stopping() { Err(STOPPING) } else { Ok(()) }
}

/// Waits for this time, or until memory may have become free or the node stops.
async fn pause(node: &Node, time: Duration) {
    tokio::select! {
        () = sleep(time) => {}
        () = node.room_changed.notified() => {}
        () = node.routing_changed.notified() => {}
        () = node.stop_requested.notified() => {}
    }
}

impl Dispatch {
    /// Returns whether a new request may be sent to this path. Where the operators give streaming
    /// routes one priority, no order of requests serves them better than refusing those that find the
    /// memory full.
    ///
    /// # Errors
    ///
    /// Returns why the request is refused.
    pub(crate) async fn is_admitted_to(
        &mut self,
        path: &Path,
        admission: &mut Admission,
    ) -> Result<bool, &'static str> {
        let config = self.node.config();
        if config.is_some_and(|config| config.has_ranked_streams()) || admission.is_queued() {
            return self.admit_to(path, admission).await;
        }
        if path.pressure <= MAX_PRESSURE { Ok(true) } else { Err(FULL) }
    }

    /// Decides whether a new request may be sent to this path. Returns whether it may; if not, the
    /// request is queued, and the wait for another search is over.
    ///
    /// # Errors
    ///
    /// Returns why the request is refused.
    async fn admit_to(
        &mut self,
        path: &Path,
        admission: &mut Admission,
    ) -> Result<bool, &'static str> {
        let node = self.node.clone();
        let now = node.now();
        let rank = self.call.rank();
        if admission.is_admitted {
            // It waits for the link, and is held to what it was admitted with.
            return if path.pressure <= self.threshold { Ok(true) } else { Err(FULL) };
        }
        let verdict = match &admission.queued {
            Some(queued) if node.room.borrow().place(queued.ticket) == Place::Gone => {
                let retry_after = node.room.borrow().retry_after(now, &self.call.service, rank);
                Verdict { decision: Decision::Refuse(retry_after), threshold: self.threshold }
            }
            Some(queued) => node.room.borrow_mut().poll(now, queued.ticket, path.pressure),
            None => self.enter(now, path),
        };
        let Verdict { decision, threshold } = verdict;
        self.threshold = threshold;
        let was_queued = admission.queued.is_some();
        match decision {
            Decision::Admit => {
                admission.is_admitted = true;
                let waited = now.saturating_sub(admission.queued_at);
                if was_queued {
                    self.log_admitted(waited);
                    metrics::histogram!("magnolia_queued_seconds", "rank" => rank.to_string())
                        .record(waited);
                }
                admission.queued = None;
                count(rank, if was_queued { "admitted" } else { "direct" });
                Ok(true)
            }
            Decision::Refuse(retry_after) => {
                self.retry_after = Some(retry_after);
                admission.queued = None;
                count(rank, if was_queued { "expired" } else { "refused" });
                Err(FULL)
            }
            Decision::Queue(ticket) => {
                let until = node.room.borrow().until(ticket);
                if !was_queued {
                    admission.queued = Some(Queued { node: node.clone(), ticket });
                    admission.queued_at = now;
                    self.log_queued(until.saturating_sub(now));
                    count(rank, "queued");
                    // The first may find a path now, or another one has been displaced.
                    node.room_changed.notify_waiters();
                }
                if node.room.borrow().place(ticket) != Place::Behind {
                    let spread = POLL_SPREAD.mul_f64(node.random_fraction());
                    let left = until.saturating_sub(now);
                    pause(&node, left.min(MIN_POLL_INTERVAL + spread)).await;
                    let passed = node.now().saturating_sub(now);
                    sleep(MIN_SEARCH_INTERVAL.min(left).saturating_sub(passed)).await;
                }
                Ok(false)
            }
        }
    }

    fn enter(&mut self, now: Duration, path: &Path) -> Verdict {
        let organisation = self.call.organisation.clone().unwrap_or_default();
        let request = Demanded {
            service: &self.call.service,
            rank: self.call.rank(),
            organisation: &organisation,
            tokens: self.call.tokens,
            bytes: self.call.body.len(),
            share: path.share,
            until: self.may_queue().then(|| self.queued_until()),
            is_new: !std::mem::replace(&mut self.is_counted, true),
        };
        self.node.room.borrow_mut().enter(now, &request, path.pressure)
    }

    /// Returns whether the request may wait: its route states a latency goal, no attempt at it is in
    /// progress, and the node does not stop. How long a request from another node has waited there
    /// is not known.
    fn may_queue(&self) -> bool {
        let has_goal = self.call.latency_goal.is_some() && self.call.origin == Origin::Caller;
        has_goal && self.waiting.is_empty() && !self.node.is_stopping()
    }

    /// Returns the time until which the request can be admitted and have its prompt read within its
    /// latency goal.
    fn queued_until(&self) -> Duration {
        let goal = self.call.latency_goal.unwrap_or_default();
        let prefill_s = self.call.prompt_tokens / self.model.prefill_tokens_per_s.max(1.0);
        let prefill = Duration::try_from_secs_f64(prefill_s).unwrap_or(goal);
        let left = goal - prefill.min(goal / MAX_PREFILL_PART);
        (self.call.received_at + left).min(self.call.deadline)
    }

    fn log_queued(&self, left: Duration) {
        let room = self.node.room.borrow();
        let event = ranked(&self.call, self.call.event(REQUEST_QUEUED))
            .with("left_ms", left.as_millis())
            .with("pressure", format_args!("{:.2}", self.pressure))
            .with("threshold", format_args!("{:.2}", self.threshold))
            .with("queued", room.len());
        log::info!("{event}");
    }

    fn log_admitted(&self, waited: Duration) {
        let event = ranked(&self.call, self.call.event(REQUEST_ADMITTED))
            .with("waited_ms", waited.as_millis())
            .with("pressure", format_args!("{:.2}", self.pressure))
            .with("threshold", format_args!("{:.2}", self.threshold));
        log::info!("{event}");
    }
}

/// Adds the rank and the organisation of a request to an event about it.
pub(crate) fn ranked(call: &Call, event: fleet::Event) -> fleet::Event {
    let organisation = call.organisation.as_deref().unwrap_or_default();
    event.with("rank", call.rank()).with("organisation", organisation)
}

/// Counts a decision.
fn count(rank: Rank, outcome: &'static str) {
    metrics::counter!("magnolia_admissions", "rank" => rank.to_string(), "outcome" => outcome)
        .increment(1);
}
