//! Tracks each request from its arrival to the end that is reported to its caller.
//!
//! A call that must not be repeated goes to the ledger before any other service can refuse it:
//! otherwise a repeat of a call that ran could be answered as not run. After the verdict `Run`
//! the claim is settled before the caller is answered, however the request ends.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use fleet::RequestId;
use kernel::{Context, Name, Service};
use smol_str::SmolStr;

use crate::services::{LEDGER, LIMIT, REQUESTS, ROUTE};
use crate::{Action, Answer, Arrival, End, Message, Reason, Request};

/// Retry delay for requests that the node itself refuses.
const RETRY_AFTER: Duration = Duration::from_secs(1);

type Ctx<'a> = Context<'a, Message, Action>;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Waits for the verdict of the ledger on the claim.
    Claiming,
    /// Waits for admission.
    Admission,
    /// Runs under the control of routing.
    Running,
    /// Waits until the ledger has recorded the outcome.
    Settling,
}

struct Entry {
    arrival: Arrival,
    phase: Phase,
    /// Whether the caller has disconnected.
    disconnected: bool,
    /// Latest time at which the first byte of a claimed call may be sent to a target.
    until: Option<Duration>,
    /// Answer of the latest attempt of a plain call.
    answer: Option<Answer>,
    /// End to report to the caller once the outcome is recorded.
    end: Option<End>,
}

/// Service that tracks the requests of this node's callers.
#[derive(Default)]
pub(crate) struct Requests {
    entries: HashMap<RequestId, Entry>,
    /// Models and plain services that the fleet offers.
    services: BTreeSet<SmolStr>,
    /// Whether the node can prove that its preset is in force.
    fresh: bool,
    /// Whether the node takes no new requests because it stops.
    closed: bool,
}

impl Service<Message, Action> for Requests {
    fn name(&self) -> Name {
        REQUESTS
    }

    fn handle(&mut self, message: Message, ctx: &mut Ctx<'_>) {
        let Message::Request(message) = message else { return };
        match message {
            Request::Arrive(arrival) => self.handle_arrival(arrival, ctx),
            Request::Verdict { request, verdict } => self.handle_verdict(request, verdict, ctx),
            Request::Settled(request) => self.handle_settled(request, ctx),
            Request::Admit { request, priority } => self.handle_admission(request, priority, ctx),
            Request::Refuse { request, reason, retry_after } => {
                self.refuse(request, Reason::Limit(reason), retry_after, ctx);
            }
            Request::Dispatch(dispatch) => self.handle_dispatch(dispatch, ctx),
            Request::Started(request) => self.handle_start(request, ctx),
            Request::Ended { request, attempt, next, ending, answer } => {
                let Some(entry) = self.entries.get_mut(&request) else { return };
                if answer.is_some() {
                    entry.answer = answer;
                }
                let ended = route::Message::Ended { request, attempt, next, ending };
                ctx.send(ROUTE, Message::Route(ended));
            }
            Request::Finish { request, outcome } => self.handle_finish(request, outcome, ctx),
            Request::CallerDisconnected(request) => self.handle_disconnect(request, ctx),
            Request::Fresh(fresh) => self.fresh = fresh,
            Request::Services(services) => self.services = services.into_iter().collect(),
            Request::Close => self.closed = true,
        }
    }
}

impl Requests {
    fn handle_arrival(&mut self, arrival: Arrival, ctx: &mut Ctx<'_>) {
        let request = arrival.request.id;
        let claim = arrival.claim.clone();
        let phase = if claim.is_some() { Phase::Claiming } else { Phase::Admission };
        let entry =
            Entry { arrival, phase, disconnected: false, until: None, answer: None, end: None };
        self.entries.insert(request, entry);
        match claim {
            Some((key, digest)) => {
                let claim = ledger::Message::Claim { request, key, digest };
                ctx.send(LEDGER, Message::Ledger(claim));
            }
            None => self.submit(request, ctx),
        }
    }

    /// Submits a request to admission, or refuses it if the node stops, cannot prove its
    /// preset or knows no target for the service.
    fn submit(&mut self, request: RequestId, ctx: &mut Ctx<'_>) {
        let Some(entry) = self.entries.get_mut(&request) else { return };
        let reason = if self.closed {
            Some(Reason::Closing)
        } else if !self.fresh {
            Some(Reason::Stale)
        } else if !self.services.contains(&entry.arrival.request.service) {
            Some(Reason::Route(route::Reason::UnknownService))
        } else {
            None
        };
        if let Some(reason) = reason {
            self.refuse(request, reason, RETRY_AFTER, ctx);
            return;
        }
        entry.phase = Phase::Admission;
        let arrive = limit::Message::Arrive(entry.arrival.request.clone());
        ctx.send(LIMIT, Message::Limit(arrive));
    }

    fn handle_verdict(&mut self, request: RequestId, verdict: ledger::Verdict, ctx: &mut Ctx<'_>) {
        let Some(entry) = self.entries.get_mut(&request) else { return };
        let end = match verdict {
            ledger::Verdict::Run { .. } if entry.disconnected => {
                self.settle_claim(request, ledger::Outcome::NotRun, End::Abandoned, ctx);
                return;
            }
            ledger::Verdict::Run { until } => {
                entry.until = Some(until);
                self.submit(request, ctx);
                return;
            }
            ledger::Verdict::Replay(outcome) => end_from_record(outcome),
            ledger::Verdict::Unknown => End::Unknown,
            ledger::Verdict::Mismatch => End::Mismatch,
            ledger::Verdict::Down { never_ran: true, retry_after } => {
                End::NotRun { reason: Reason::StoreDown, retry_after }
            }
            ledger::Verdict::Down { never_ran: false, retry_after } => {
                End::AttemptNotRun { retry_after }
            }
            // A full shard may already have evicted the record of an earlier sending.
            ledger::Verdict::Full { retry_after } => End::AttemptNotRun { retry_after },
        };
        self.report_end(request, end, ctx);
    }

    fn handle_admission(&mut self, request: RequestId, priority: u8, ctx: &mut Ctx<'_>) {
        let Some(entry) = self.entries.get_mut(&request) else { return };
        if entry.phase != Phase::Admission {
            return;
        }
        entry.phase = Phase::Running;
        let start = route::Message::Start {
            request: entry.arrival.request.clone(),
            priority,
            prefixes: entry.arrival.prefixes.clone(),
        };
        ctx.send(ROUTE, Message::Route(start));
    }

    /// Dispatches an attempt, or refuses the request if its claim has expired.
    fn handle_dispatch(&mut self, dispatch: route::Dispatch, ctx: &mut Ctx<'_>) {
        let request = dispatch.request;
        let Some(entry) = self.entries.get(&request) else { return };
        if entry.phase != Phase::Running {
            return;
        }
        let until = entry.until;
        if until.is_none_or(|until| ctx.now() <= until) {
            ctx.act(Action::Dispatch { dispatch, until });
            return;
        }
        // Routing repeats a claimed call only if no target has run it, so this call never ran.
        ctx.send(ROUTE, Message::Route(route::Message::CallerDisconnected(request)));
        let ending = limit::Ending::Failed;
        ctx.send(LIMIT, Message::Limit(limit::Message::Finished { request, ending }));
        self.refuse(request, Reason::ClaimExpired, RETRY_AFTER, ctx);
    }

    fn refuse(
        &mut self,
        request: RequestId,
        reason: Reason,
        retry_after: Duration,
        ctx: &mut Ctx<'_>,
    ) {
        self.end(request, End::NotRun { reason, retry_after }, ledger::Outcome::NotRun, ctx);
    }

    fn handle_start(&mut self, request: RequestId, ctx: &mut Ctx<'_>) {
        if self.entries.contains_key(&request) {
            ctx.send(LIMIT, Message::Limit(limit::Message::Started(request)));
        }
    }

    fn handle_finish(&mut self, request: RequestId, outcome: route::Outcome, ctx: &mut Ctx<'_>) {
        let Some(entry) = self.entries.get_mut(&request) else { return };
        if entry.phase != Phase::Running {
            return;
        }
        let complete = outcome == route::Outcome::Complete;
        let ending = if complete { limit::Ending::Complete } else { limit::Ending::Failed };
        ctx.send(LIMIT, Message::Limit(limit::Message::Finished { request, ending }));
        let answer = entry.answer.take();
        let (end, record) = end_and_record(outcome, answer);
        self.end(request, end, record, ctx);
    }

    fn handle_disconnect(&mut self, request: RequestId, ctx: &mut Ctx<'_>) {
        let Some(entry) = self.entries.get_mut(&request) else { return };
        entry.disconnected = true;
        let claimed = entry.arrival.claim.is_some();
        match entry.phase {
            Phase::Admission => {
                ctx.send(LIMIT, Message::Limit(limit::Message::HungUp(request)));
                self.end(request, End::Abandoned, ledger::Outcome::NotRun, ctx);
            }
            Phase::Running if !claimed => {
                ctx.send(LIMIT, Message::Limit(limit::Message::HungUp(request)));
                ctx.send(ROUTE, Message::Route(route::Message::CallerDisconnected(request)));
                self.report_end(request, End::Abandoned, ctx);
            }
            // A call that must not be repeated runs to its end, so that its outcome is recorded.
            Phase::Claiming | Phase::Running | Phase::Settling => {}
        }
    }

    /// Ends a request. A claimed request is reported to its caller only after the ledger has
    /// answered for its outcome.
    fn end(&mut self, request: RequestId, end: End, outcome: ledger::Outcome, ctx: &mut Ctx<'_>) {
        let Some(entry) = self.entries.get(&request) else { return };
        if entry.arrival.claim.is_some() {
            self.settle_claim(request, outcome, end, ctx);
        } else {
            self.report_end(request, end, ctx);
        }
    }

    fn settle_claim(
        &mut self,
        request: RequestId,
        outcome: ledger::Outcome,
        end: End,
        ctx: &mut Ctx<'_>,
    ) {
        let Some(entry) = self.entries.get_mut(&request) else { return };
        let Some((key, _)) = entry.arrival.claim.clone() else { return };
        entry.phase = Phase::Settling;
        entry.end = Some(end);
        ctx.send(LEDGER, Message::Ledger(ledger::Message::Settle { key, request, outcome }));
    }

    fn handle_settled(&mut self, request: RequestId, ctx: &mut Ctx<'_>) {
        let end = self.entries.get_mut(&request).and_then(|entry| entry.end.take());
        if let Some(end) = end {
            self.report_end(request, end, ctx);
        }
    }

    fn report_end(&mut self, request: RequestId, end: End, ctx: &mut Ctx<'_>) {
        if self.entries.remove(&request).is_some() {
            ctx.act(Action::Finish { request, end });
        }
    }
}

/// Returns the end of a repeated call from the outcome that the ledger recorded.
fn end_from_record(outcome: ledger::Outcome) -> End {
    match outcome {
        ledger::Outcome::Answer { status, content_type, body } => {
            End::Stored(Answer { status, content_type, body })
        }
        ledger::Outcome::Oversize { status, bytes } => {
            let message =
                format!("the call ran once; its answer of {bytes} bytes was too large to be kept");
            let body = crate::api::error("answer_not_kept", &message, None).to_string();
            let content_type = "application/json".into();
            End::Stored(Answer { status, content_type, body: body.into_bytes() })
        }
        ledger::Outcome::NotRun => {
            debug_assert!(false, "the ledger replayed a call that was not run");
            End::Unknown
        }
        ledger::Outcome::Unknown => End::Unknown,
    }
}

/// Returns the end for the caller and the outcome for the ledger once routing has finished.
fn end_and_record(outcome: route::Outcome, answer: Option<Answer>) -> (End, ledger::Outcome) {
    match outcome {
        route::Outcome::Complete => {
            let outcome = answer.map_or(ledger::Outcome::Unknown, |answer| {
                let Answer { status, content_type, body } = answer;
                ledger::Outcome::Answer { status, content_type, body }
            });
            (End::Complete, outcome)
        }
        route::Outcome::NotRun { retry_after, reason } => {
            let reason = Reason::Route(reason);
            (End::NotRun { reason, retry_after }, ledger::Outcome::NotRun)
        }
        route::Outcome::Incomplete { retry_after, reason } => {
            let reason = Reason::Route(reason);
            (End::Incomplete { reason, retry_after }, ledger::Outcome::Unknown)
        }
        route::Outcome::Unknown => (End::Unknown, ledger::Outcome::Unknown),
        route::Outcome::Quarantined { retry_after } => {
            (End::Quarantined { retry_after }, ledger::Outcome::Unknown)
        }
    }
}
