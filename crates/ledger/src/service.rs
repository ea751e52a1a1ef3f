//! State machine of the ledger, without clock, threads or I/O.

use std::collections::HashMap;
use std::fmt;
use std::time::Duration;

use fleet::{Event, RequestId};
use rand::rngs::SmallRng;
use smol_str::SmolStr;

use crate::entry::{Entry, HeldClaim, Work};
use crate::event::{KEPT, LATE, ORPHAN, RELEASED, VERDICT};
use crate::plan::{Decision, final_verdict, own_verdict};
use crate::queue::{Queue, deadline};
use crate::{
    Action, Key, KeyId, Message, Outcome, SHARD_COUNT, Settings, ShardId, Ticket, Verdict, key_id,
    preferred_node, shard_of,
};

/// Decides whether a non-idempotent request may run.
#[derive(Clone)]
pub struct Ledger {
    pub(crate) settings: Settings,
    pub(crate) queues: Vec<Queue>,
    pub(crate) held_claims: HashMap<KeyId, HeldClaim>,
    /// Store operations in flight, with their shards.
    pub(crate) tickets: HashMap<Ticket, ShardId>,
    pub(crate) next_ticket: Ticket,
    /// Shard at which the next round-robin pass starts.
    pub(crate) cursor: usize,
    pub(crate) outage: Outage,
    /// Maximum number of operations in flight. Falls to one when the rate limit is reached and
    /// grows by one, up to the setting, with each write that takes effect.
    pub(crate) window: usize,
    /// Time before which no operation is started, after the rate limit was reached.
    pub(crate) limited_until: Duration,
    /// Number of the current step. Unlike the clock, it orders events that have the same time.
    pub(crate) steps: u64,
    nodes: Vec<SmolStr>,
    wake_at: Option<Duration>,
}

/// Inputs and outputs of one step.
pub(crate) struct StepContext<'a> {
    pub(crate) now: Duration,
    pub(crate) rng: &'a mut SmallRng,
    pub(crate) actions: &'a mut Vec<Action>,
}

/// Consecutive failures of the store across all shards.
#[derive(Clone, Debug, Default)]
pub(crate) struct Outage {
    pub(crate) failures: u32,
    pub(crate) retry_at: Duration,
}

/// Consecutive failures from which claims are refused at once.
const MIN_REFUSING_FAILURES: u32 = 2;
/// Resolution of timers: a wake this much before its time counts as due.
const TIMER_SLACK: Duration = Duration::from_millis(1);

impl Ledger {
    /// Creates a ledger without claims.
    pub fn new(settings: Settings) -> Self {
        Self {
            window: settings.concurrency,
            limited_until: Duration::ZERO,
            settings,
            queues: (0..SHARD_COUNT).map(|_| Queue::default()).collect(),
            held_claims: HashMap::new(),
            tickets: HashMap::new(),
            next_ticket: 1,
            cursor: 0,
            outage: Outage::default(),
            steps: 0,
            nodes: Vec::new(),
            wake_at: None,
        }
    }

    /// Handles one message at `now` and appends the requested actions to `actions`.
    pub fn step(
        &mut self,
        now: Duration,
        message: Message,
        rng: &mut SmallRng,
        actions: &mut Vec<Action>,
    ) {
        self.steps += 1;
        let ctx = &mut StepContext { now, rng, actions };
        match message {
            Message::Claim { request, key, digest } => self.on_claim(request, &key, digest, ctx),
            Message::Settle { key, request, outcome } => {
                self.on_settle(&key, request, outcome, ctx);
            }
            Message::Store(reply) => self.on_reply(reply, ctx),
            Message::Nodes(nodes) => self.nodes = nodes,
            Message::Wake => self.wake_at = self.wake_at.filter(|at| *at > now + TIMER_SLACK),
        }
        self.expire(ctx);
        self.start_operations(ctx);
        self.schedule_wake(ctx);
    }

    /// Returns the node to which a claim on `key` is best forwarded, or `None` if that is this node
    /// or no node is known. Forwarding only reduces writes; any node may record any claim.
    pub fn preferred_node(&self, key: &Key) -> Option<&SmolStr> {
        let node = preferred_node(shard_of(&key_id(key)), &self.nodes)?;
        (*node != self.settings.node).then_some(node)
    }

    /// Whether claims are refused at once because of consecutive store failures.
    pub fn is_refusing(&self) -> bool {
        self.outage.failures >= MIN_REFUSING_FAILURES
    }

    /// Returns the number of claims held by this process whose outcome is not recorded in the
    /// store.
    pub fn unsettled_claims(&self) -> usize {
        self.held_claims.len()
    }

    fn on_claim(&mut self, request: RequestId, key: &Key, digest: u64, ctx: &mut StepContext<'_>) {
        let id = key_id(key);
        if let Some(verdict) = self.known_verdict(&id, digest) {
            send_verdict(request, verdict, ctx);
            return;
        }
        if self.is_refusing() && ctx.now < self.outage.retry_at {
            send_verdict(request, self.down_verdict(), ctx);
            return;
        }
        let entry = Entry::new(id, ctx.now, self.steps, Work::Claim { request, digest });
        self.queue(&id).entries.push(entry);
    }

    /// Returns a verdict that does not depend on the store because it can no longer change.
    fn known_verdict(&self, id: &KeyId, digest: u64) -> Option<Verdict> {
        if let Some(held) = self.held_claims.get(id) {
            return own_verdict(held, digest);
        }
        let snapshot = self.queues[shard_of(id) as usize].snapshot.as_ref()?;
        final_verdict(snapshot.shard.get(id)?, digest)
    }

    fn on_settle(
        &mut self,
        key: &Key,
        request: RequestId,
        outcome: Outcome,
        ctx: &mut StepContext<'_>,
    ) {
        let id = key_id(key);
        let held = self.held_claims.get_mut(&id).filter(|held| held.request == request);
        let digest = held.as_ref().map(|held| held.digest);
        if outcome == Outcome::Unknown {
            // A claim without an outcome has the same meaning, so nothing is written.
            if digest.is_some() {
                self.held_claims.remove(&id);
            }
            ctx.actions.push(Action::Settled { request, kept: true });
            return;
        }
        if let Some(held) = held {
            held.pending = Some(outcome.clone());
        }
        let work = Work::Settle { request, digest, outcome, answered: false };
        let entry = Entry::new(id, ctx.now, self.steps, work);
        self.queue(&id).entries.push(entry);
    }

    fn queue(&mut self, id: &KeyId) -> &mut Queue {
        &mut self.queues[shard_of(id) as usize]
    }

    fn down_verdict(&self) -> Verdict {
        Verdict::Down { never_ran: false, retry_after: self.settings.retry_after }
    }

    /// Answers all callers that wait for a shard.
    pub(crate) fn answer_all_callers(&mut self, shard: ShardId, ctx: &mut StepContext<'_>) {
        let down = self.down_verdict();
        self.queues[shard as usize].entries.retain_mut(|entry| answer_caller(entry, &down, ctx));
    }

    /// Answers the callers whose timeout has passed.
    fn expire(&mut self, ctx: &mut StepContext<'_>) {
        let down = self.down_verdict();
        let settings = &self.settings;
        for queue in &mut self.queues {
            queue.entries.retain_mut(|entry| {
                let over = deadline(entry, settings).is_some_and(|at| ctx.now >= at);
                !over || answer_caller(entry, &down, ctx)
            });
        }
    }

    /// Completes an entry: logs the decision and answers the caller.
    pub(crate) fn apply_decision(
        &mut self,
        entry: Entry,
        decision: Decision,
        ctx: &mut StepContext<'_>,
    ) {
        match (decision, entry.work.clone()) {
            (Decision::Claimed, Work::Claim { request, digest }) => {
                self.on_claimed(entry, request, digest, ctx);
            }
            (Decision::Verdict(verdict), Work::Claim { request, .. }) => {
                send_verdict(request, verdict, ctx);
            }
            (Decision::Kept(kept), Work::Settle { request, answered, .. }) => {
                let kind = if kept { &KEPT } else { &ORPHAN };
                ctx.actions.push(Action::Log(Event::new(kind).with("request", hex(request))));
                if self.held_claims.get(&entry.id).is_some_and(|held| held.request == request) {
                    self.held_claims.remove(&entry.id);
                }
                if !answered {
                    ctx.actions.push(Action::Settled { request, kept });
                }
            }
            (Decision::Released, Work::Release { request }) => {
                let event = Event::new(&RELEASED).with("request", hex(request));
                ctx.actions.push(Action::Log(event));
            }
            (decision, work) => debug_assert!(false, "{decision:?} does not answer {work:?}"),
        }
    }

    fn on_claimed(
        &mut self,
        mut entry: Entry,
        request: RequestId,
        digest: u64,
        ctx: &mut StepContext<'_>,
    ) {
        let until = entry.first_write_at.unwrap_or(entry.arrived_at) + self.settings.send_window;
        if ctx.now > until {
            // The deadline for sending has passed, for example because this process was paused. The
            // claim is released.
            send_verdict(request, self.down_verdict(), ctx);
            entry.release();
            let id = entry.id;
            self.queue(&id).entries.push(entry);
            return;
        }
        self.held_claims.insert(entry.id, HeldClaim { request, digest, pending: None });
        send_verdict(request, Verdict::Run { until }, ctx);
    }

    /// Requests a wake at the next timeout or retry.
    fn schedule_wake(&mut self, ctx: &mut StepContext<'_>) {
        let now = ctx.now;
        // A queue that is already due waits for an operation to end and needs no timer.
        let waits = self.queues.iter().filter_map(|queue| queue.due(now, &self.settings));
        let limited =
            self.queues.iter().any(|queue| queue.is_ready(now)) && self.limited_until > now;
        let Some(due) = waits.chain(limited.then_some(self.limited_until)).min() else { return };
        if self.wake_at.is_some_and(|at| at <= due) {
            return;
        }
        self.wake_at = Some(due);
        ctx.actions.push(Action::Wake(due - now));
    }
}

impl fmt::Debug for Ledger {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let busy = |queue: &&Queue| queue.snapshot.is_some() || !queue.entries.is_empty();
        let queues: Vec<&Queue> = self.queues.iter().filter(busy).collect();
        f.debug_struct("Ledger")
            .field("queues", &queues)
            .field("held_claims", &self.held_claims)
            .field("tickets", &self.tickets)
            .field("outage", &self.outage)
            .field("wake_at", &self.wake_at)
            .finish_non_exhaustive()
    }
}

/// Answers the caller of an entry whose work is not complete: refuses a claim, or gives the outcome
/// before it is recorded. Returns whether the entry stays queued.
fn answer_caller(entry: &mut Entry, down: &Verdict, ctx: &mut StepContext<'_>) -> bool {
    match &mut entry.work {
        Work::Claim { request, .. } => {
            send_verdict(*request, down.clone(), ctx);
            entry.release()
        }
        Work::Settle { answered: true, .. } | Work::Release { .. } => true,
        Work::Settle { request, answered, .. } => {
            *answered = true;
            ctx.actions.push(Action::Log(Event::new(&LATE).with("request", hex(*request))));
            ctx.actions.push(Action::Settled { request: *request, kept: false });
            true
        }
    }
}

fn send_verdict(request: RequestId, verdict: Verdict, ctx: &mut StepContext<'_>) {
    let event = Event::new(&VERDICT).with("request", hex(request)).with("verdict", verdict.name());
    ctx.actions.push(Action::Log(event));
    ctx.actions.push(Action::Verdict { request, verdict });
}

fn hex(request: RequestId) -> SmolStr {
    smol_str::format_smolstr!("{request:032x}")
}
