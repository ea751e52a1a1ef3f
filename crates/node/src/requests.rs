//! Follows each request from its arrival to what its caller is told.
//!
//! A call that may not be repeated goes to the ledger before anything may refuse
//! it: a repeat of a call that ran must never hear that it did not run. From the
//! verdict `Run` on, every way out settles the claim first.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use fleet::RequestId;
use kernel::{Context, Name, Service};
use smol_str::SmolStr;

use crate::services::{LEDGER, LIMIT, REQUESTS, ROUTE};
use crate::{Action, Answer, Arrival, End, Message, Reason, Request};

/// When a caller refused by the node itself may come back.
const RETRY_AFTER: Duration = Duration::from_secs(1);

type Ctx<'a> = Context<'a, Message, Action>;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// The ledger decides.
    Claiming,
    /// Admission decides.
    Waiting,
    /// Routing has it.
    Running,
    /// The ledger keeps the outcome.
    Settling,
}

struct Entry {
    arrival: Arrival,
    phase: Phase,
    /// The caller has gone.
    gone: bool,
    /// Last moment at which the first byte of a claimed call may go to a target.
    until: Option<Duration>,
    /// The answer to a plain call.
    answer: Option<Answer>,
    /// What the caller will be told once the outcome is kept.
    end: Option<End>,
}

/// The service that follows requests.
#[derive(Default)]
pub(crate) struct Requests {
    entries: HashMap<RequestId, Entry>,
    services: BTreeSet<SmolStr>,
    fresh: bool,
    closed: bool,
}

impl Service<Message, Action> for Requests {
    fn name(&self) -> Name {
        REQUESTS
    }

    fn handle(&mut self, message: Message, ctx: &mut Ctx<'_>) {
        let Message::Request(message) = message else { return };
        match message {
            Request::Arrive(arrival) => self.arrive(arrival, ctx),
            Request::Verdict { request, verdict } => self.verdict(request, verdict, ctx),
            Request::Settled(request) => self.settled(request, ctx),
            Request::Admit { request, priority } => self.admit(request, priority, ctx),
            Request::Refuse { request, reason, retry_after } => {
                self.refuse(request, Reason::Limit(reason), retry_after, ctx);
            }
            Request::Dispatch(dispatch) => self.dispatch(dispatch, ctx),
            Request::Started(request) => self.started(request, ctx),
            Request::Ended { request, attempt, next, ending, answer } => {
                let Some(entry) = self.entries.get_mut(&request) else { return };
                if answer.is_some() {
                    entry.answer = answer;
                }
                let ended = route::Message::Ended { request, attempt, next, ending };
                ctx.send(ROUTE, Message::Route(ended));
            }
            Request::Finish { request, outcome } => self.finish(request, outcome, ctx),
            Request::CallerDisconnected(request) => self.hung_up(request, ctx),
            Request::Fresh(fresh) => self.fresh = fresh,
            Request::Services(services) => self.services = services.into_iter().collect(),
            Request::Close => self.closed = true,
        }
    }
}

impl Requests {
    fn arrive(&mut self, arrival: Arrival, ctx: &mut Ctx<'_>) {
        let request = arrival.request.id;
        let claim = arrival.claim.clone();
        let phase = if claim.is_some() { Phase::Claiming } else { Phase::Waiting };
        let entry = Entry { arrival, phase, gone: false, until: None, answer: None, end: None };
        self.entries.insert(request, entry);
        match claim {
            Some((key, digest)) => {
                let claim = ledger::Message::Claim { request, key, digest };
                ctx.send(LEDGER, Message::Ledger(claim));
            }
            None => self.offer(request, ctx),
        }
    }

    /// Hands a request to admission, unless the node itself must refuse it.
    fn offer(&mut self, request: RequestId, ctx: &mut Ctx<'_>) {
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
        entry.phase = Phase::Waiting;
        let arrive = limit::Message::Arrive(entry.arrival.request.clone());
        ctx.send(LIMIT, Message::Limit(arrive));
    }

    fn verdict(&mut self, request: RequestId, verdict: ledger::Verdict, ctx: &mut Ctx<'_>) {
        let Some(entry) = self.entries.get_mut(&request) else { return };
        let end = match verdict {
            ledger::Verdict::Run { .. } if entry.gone => {
                self.settle(request, ledger::Outcome::NotRun, End::Abandoned, ctx);
                return;
            }
            ledger::Verdict::Run { until } => {
                entry.until = Some(until);
                self.offer(request, ctx);
                return;
            }
            ledger::Verdict::Replay(outcome) => replay(outcome),
            ledger::Verdict::Unknown => End::Unknown,
            ledger::Verdict::Mismatch => End::Mismatch,
            ledger::Verdict::Down { never_ran: true, retry_after } => {
                End::NotRun { reason: Reason::StoreDown, retry_after }
            }
            ledger::Verdict::Down { never_ran: false, retry_after } => {
                End::AttemptNotRun { retry_after }
            }
            // A full shard may already have dropped what it knew of the key.
            ledger::Verdict::Full { retry_after } => End::AttemptNotRun { retry_after },
        };
        self.tell(request, end, ctx);
    }

    fn admit(&mut self, request: RequestId, priority: u8, ctx: &mut Ctx<'_>) {
        let Some(entry) = self.entries.get_mut(&request) else { return };
        if entry.phase != Phase::Waiting {
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

    /// Lets an attempt go out, unless the claim of its request has expired.
    fn dispatch(&mut self, dispatch: route::Dispatch, ctx: &mut Ctx<'_>) {
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
        // Routing sends a claimed call again only when no target ran it, so this one never ran.
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
        self.close(request, End::NotRun { reason, retry_after }, ledger::Outcome::NotRun, ctx);
    }

    fn started(&mut self, request: RequestId, ctx: &mut Ctx<'_>) {
        if self.entries.contains_key(&request) {
            ctx.send(LIMIT, Message::Limit(limit::Message::Started(request)));
        }
    }

    fn finish(&mut self, request: RequestId, verdict: route::Outcome, ctx: &mut Ctx<'_>) {
        let Some(entry) = self.entries.get_mut(&request) else { return };
        if entry.phase != Phase::Running {
            return;
        }
        let complete = verdict == route::Outcome::Complete;
        let ending = if complete { limit::Ending::Complete } else { limit::Ending::Failed };
        ctx.send(LIMIT, Message::Limit(limit::Message::Finished { request, ending }));
        let answer = entry.answer.take();
        let (end, outcome) = conclude(verdict, answer);
        self.close(request, end, outcome, ctx);
    }

    fn hung_up(&mut self, request: RequestId, ctx: &mut Ctx<'_>) {
        let Some(entry) = self.entries.get_mut(&request) else { return };
        entry.gone = true;
        let claimed = entry.arrival.claim.is_some();
        match entry.phase {
            Phase::Waiting => {
                ctx.send(LIMIT, Message::Limit(limit::Message::HungUp(request)));
                self.close(request, End::Abandoned, ledger::Outcome::NotRun, ctx);
            }
            Phase::Running if !claimed => {
                ctx.send(LIMIT, Message::Limit(limit::Message::HungUp(request)));
                ctx.send(ROUTE, Message::Route(route::Message::CallerDisconnected(request)));
                self.tell(request, End::Abandoned, ctx);
            }
            // A call that may not be repeated runs to its end, so that its outcome is kept.
            Phase::Claiming | Phase::Running | Phase::Settling => {}
        }
    }

    /// Tells the caller, after the ledger has kept the outcome when there is a claim.
    fn close(&mut self, request: RequestId, end: End, outcome: ledger::Outcome, ctx: &mut Ctx<'_>) {
        let Some(entry) = self.entries.get(&request) else { return };
        if entry.arrival.claim.is_some() {
            self.settle(request, outcome, end, ctx);
        } else {
            self.tell(request, end, ctx);
        }
    }

    fn settle(
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

    fn settled(&mut self, request: RequestId, ctx: &mut Ctx<'_>) {
        let end = self.entries.get_mut(&request).and_then(|entry| entry.end.take());
        if let Some(end) = end {
            self.tell(request, end, ctx);
        }
    }

    fn tell(&mut self, request: RequestId, end: End, ctx: &mut Ctx<'_>) {
        if self.entries.remove(&request).is_some() {
            ctx.act(Action::Finish { request, end });
        }
    }
}

fn replay(outcome: ledger::Outcome) -> End {
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
            debug_assert!(false, "a call that was not run is claimed anew");
            End::Unknown
        }
        ledger::Outcome::Unknown => End::Unknown,
    }
}

/// What the caller is told and the ledger keeps when routing is done.
fn conclude(verdict: route::Outcome, answer: Option<Answer>) -> (End, ledger::Outcome) {
    match verdict {
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
