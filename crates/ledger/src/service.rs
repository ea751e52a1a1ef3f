//! The service: a state machine without clock, thread or socket.

use std::collections::HashMap;
use std::fmt;
use std::time::Duration;

use fleet::{Event, RequestId};
use rand::rngs::SmallRng;
use smol_str::SmolStr;

use crate::entry::{Entry, Held, Work};
use crate::event::{KEPT, LATE, ORPHAN, RELEASED, VERDICT};
use crate::lane::{Lane, deadline};
use crate::plan::{Decision, final_verdict, own_verdict};
use crate::{
    Action, Key, KeyId, Message, Outcome, SHARDS, Settings, ShardId, Ticket, Verdict, key_id,
    preferred, shard_of,
};

/// Decides whether a non-idempotent request may run.
#[derive(Clone)]
pub struct Ledger {
    pub(crate) settings: Settings,
    pub(crate) lanes: Vec<Lane>,
    pub(crate) held: HashMap<KeyId, Held>,
    /// Store operations in flight.
    pub(crate) tickets: HashMap<Ticket, ShardId>,
    pub(crate) next_ticket: Ticket,
    /// Shard at which the next round of operations begins.
    pub(crate) cursor: usize,
    pub(crate) outage: Outage,
    /// Operations that may be in flight: falls to one when the rate is spent, and grows again
    /// with each write that takes effect.
    pub(crate) window: usize,
    /// Time before which no operation is begun, since the rate is spent.
    pub(crate) limited_until: Duration,
    /// Number of the present step. Unlike time it tells apart what happens at one moment.
    pub(crate) steps: u64,
    nodes: Vec<SmolStr>,
    wake_at: Option<Duration>,
}

/// What one step works with.
pub(crate) struct Scope<'a> {
    pub(crate) now: Duration,
    pub(crate) rng: &'a mut SmallRng,
    pub(crate) actions: &'a mut Vec<Action>,
}

/// Failures of the store in a row, over all shards.
#[derive(Clone, Debug, Default)]
pub(crate) struct Outage {
    pub(crate) failures: u32,
    pub(crate) retry_at: Duration,
}

/// Failures in a row after which claims are refused at once.
const REFUSING_FAILURES: u32 = 2;
/// Resolution of timers: a wake that comes this much early counts as due.
const TIMER_SLACK: Duration = Duration::from_millis(1);

impl Ledger {
    /// Makes the service.
    pub fn new(settings: Settings) -> Self {
        Self {
            window: settings.concurrency,
            limited_until: Duration::ZERO,
            settings,
            lanes: (0..SHARDS).map(|_| Lane::default()).collect(),
            held: HashMap::new(),
            tickets: HashMap::new(),
            next_ticket: 1,
            cursor: 0,
            outage: Outage::default(),
            steps: 0,
            nodes: Vec::new(),
            wake_at: None,
        }
    }

    /// Handles one message at `now` and appends the actions that it asks for.
    pub fn step(
        &mut self,
        now: Duration,
        message: Message,
        rng: &mut SmallRng,
        actions: &mut Vec<Action>,
    ) {
        self.steps += 1;
        let scope = &mut Scope { now, rng, actions };
        match message {
            Message::Claim { request, key, digest } => self.claim(request, &key, digest, scope),
            Message::Settle { key, request, outcome } => {
                self.settle(&key, request, outcome, scope);
            }
            Message::Store(reply) => self.reply(reply, scope),
            Message::Nodes(nodes) => self.nodes = nodes,
            Message::Wake => self.wake_at = self.wake_at.filter(|at| *at > now + TIMER_SLACK),
        }
        self.expire(scope);
        self.pump(scope);
        self.schedule(scope);
    }

    /// Node to which a claim under `key` is best forwarded, if it is another than this one. It
    /// only saves writes: any node may commit any claim.
    pub fn preferred(&self, key: &Key) -> Option<&SmolStr> {
        let node = preferred(shard_of(&key_id(key)), &self.nodes)?;
        (*node != self.settings.node).then_some(node)
    }

    /// Whether the store has failed so often that claims are refused at once.
    pub fn is_refusing(&self) -> bool {
        self.outage.failures >= REFUSING_FAILURES
    }

    /// Claims that this process holds and whose outcome is not in the store.
    pub fn unsettled_claims(&self) -> usize {
        self.held.len()
    }

    fn claim(&mut self, request: RequestId, key: &Key, digest: u64, scope: &mut Scope<'_>) {
        let id = key_id(key);
        if let Some(verdict) = self.known_verdict(&id, digest) {
            tell(request, verdict, scope);
            return;
        }
        if self.is_refusing() && scope.now < self.outage.retry_at {
            tell(request, self.down(), scope);
            return;
        }
        let entry = Entry::new(id, scope.now, self.steps, Work::Claim { request, digest });
        self.lane(&id).entries.push(entry);
    }

    /// Verdict that needs no store, because nothing can change it any more.
    fn known_verdict(&self, id: &KeyId, digest: u64) -> Option<Verdict> {
        if let Some(held) = self.held.get(id) {
            return own_verdict(held, digest);
        }
        let known = self.lanes[shard_of(id) as usize].known.as_ref()?;
        final_verdict(known.shard.get(id)?, digest)
    }

    fn settle(&mut self, key: &Key, request: RequestId, outcome: Outcome, scope: &mut Scope<'_>) {
        let id = key_id(key);
        let held = self.held.get_mut(&id).filter(|held| held.request == request);
        let digest = held.as_ref().map(|held| held.digest);
        if outcome == Outcome::Unknown {
            // A claim without an outcome says the same: there is nothing to write.
            if digest.is_some() {
                self.held.remove(&id);
            }
            scope.actions.push(Action::Settled { request, kept: true });
            return;
        }
        if let Some(held) = held {
            held.pending = Some(outcome.clone());
        }
        let work = Work::Settle { request, digest, outcome, told: false };
        let entry = Entry::new(id, scope.now, self.steps, work);
        self.lane(&id).entries.push(entry);
    }

    fn lane(&mut self, id: &KeyId) -> &mut Lane {
        &mut self.lanes[shard_of(id) as usize]
    }

    fn down(&self) -> Verdict {
        Verdict::Down { never_ran: false, retry_after: self.settings.retry_after }
    }

    /// Lets go of all callers that wait for a shard.
    pub(crate) fn refuse(&mut self, shard: ShardId, scope: &mut Scope<'_>) {
        let down = self.down();
        self.lanes[shard as usize].entries.retain_mut(|entry| let_go(entry, &down, scope));
    }

    /// Lets go of callers that have waited long enough.
    fn expire(&mut self, scope: &mut Scope<'_>) {
        let down = self.down();
        let settings = &self.settings;
        for lane in &mut self.lanes {
            lane.entries.retain_mut(|entry| {
                let over = deadline(entry, settings).is_some_and(|at| scope.now >= at);
                !over || let_go(entry, &down, scope)
            });
        }
    }

    /// Carries out what has been decided about a piece of work.
    pub(crate) fn decide(&mut self, entry: Entry, decision: Decision, scope: &mut Scope<'_>) {
        match (decision, entry.work.clone()) {
            (Decision::Claimed, Work::Claim { request, digest }) => {
                self.claimed(entry, request, digest, scope);
            }
            (Decision::Verdict(verdict), Work::Claim { request, .. }) => {
                tell(request, verdict, scope);
            }
            (Decision::Kept(kept), Work::Settle { request, told, .. }) => {
                let kind = if kept { &KEPT } else { &ORPHAN };
                scope.actions.push(Action::Log(Event::new(kind).with("request", hex(request))));
                if self.held.get(&entry.id).is_some_and(|held| held.request == request) {
                    self.held.remove(&entry.id);
                }
                if !told {
                    scope.actions.push(Action::Settled { request, kept });
                }
            }
            (Decision::Released, Work::Release { request }) => {
                let event = Event::new(&RELEASED).with("request", hex(request));
                scope.actions.push(Action::Log(event));
            }
            (decision, work) => debug_assert!(false, "{decision:?} does not answer {work:?}"),
        }
    }

    fn claimed(
        &mut self,
        mut entry: Entry,
        request: RequestId,
        digest: u64,
        scope: &mut Scope<'_>,
    ) {
        let until = entry.attempted.unwrap_or(entry.arrived) + self.settings.run_within;
        if scope.now > until {
            // This process was paused: the claim is too old to act on, and is taken back.
            tell(request, self.down(), scope);
            entry.release();
            let id = entry.id;
            self.lane(&id).entries.push(entry);
            return;
        }
        self.held.insert(entry.id, Held { request, digest, pending: None });
        tell(request, Verdict::Run { until }, scope);
    }

    /// Asks to be woken when the next wait ends.
    fn schedule(&mut self, scope: &mut Scope<'_>) {
        let now = scope.now;
        // A lane that is due already waits for an operation to end and needs no timer.
        let waits = self.lanes.iter().filter_map(|lane| lane.due(now, &self.settings));
        let limited = self.lanes.iter().any(|lane| lane.is_ready(now)) && self.limited_until > now;
        let Some(due) = waits.chain(limited.then_some(self.limited_until)).min() else { return };
        if self.wake_at.is_some_and(|at| at <= due) {
            return;
        }
        self.wake_at = Some(due);
        scope.actions.push(Action::Wake(due - now));
    }
}

impl fmt::Debug for Ledger {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let busy = |lane: &&Lane| lane.known.is_some() || !lane.entries.is_empty();
        let lanes: Vec<&Lane> = self.lanes.iter().filter(busy).collect();
        f.debug_struct("Ledger")
            .field("lanes", &lanes)
            .field("held", &self.held)
            .field("tickets", &self.tickets)
            .field("outage", &self.outage)
            .field("wake_at", &self.wake_at)
            .finish_non_exhaustive()
    }
}

/// Lets go of the caller of a piece of work; says whether the work itself goes on.
fn let_go(entry: &mut Entry, down: &Verdict, scope: &mut Scope<'_>) -> bool {
    match &mut entry.work {
        Work::Claim { request, .. } => {
            tell(*request, down.clone(), scope);
            entry.release()
        }
        Work::Settle { told: true, .. } | Work::Release { .. } => true,
        Work::Settle { request, told, .. } => {
            *told = true;
            scope.actions.push(Action::Log(Event::new(&LATE).with("request", hex(*request))));
            scope.actions.push(Action::Settled { request: *request, kept: false });
            true
        }
    }
}

fn tell(request: RequestId, verdict: Verdict, scope: &mut Scope<'_>) {
    let event = Event::new(&VERDICT).with("request", hex(request)).with("verdict", verdict.name());
    scope.actions.push(Action::Log(event));
    scope.actions.push(Action::Verdict { request, verdict });
}

fn hex(request: RequestId) -> SmolStr {
    smol_str::format_smolstr!("{request:032x}")
}
