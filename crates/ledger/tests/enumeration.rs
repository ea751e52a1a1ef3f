//! Enumerates the interleavings of two nodes, one store, up to three attempts at one request and a
//! bounded number of faults, up to a bounded number of steps, and checks the guarantees of the
//! ledger in each.
//!
//! A pause of a node needs no fault: a node that no step selects for a while is paused, and time
//! may pass meanwhile. From each state at the last step the simulation continues without faults
//! until it is idle, and must then have left no claim that nobody can use.

use std::collections::HashMap;
use std::fmt::Write as _;
use std::hash::Hasher;
use std::time::Duration;

use fleet::RequestId;
use ledger::{
    Action, Key, Ledger, Message, Outcome, Reply, Settings, Shard, StoreResult, Ticket, Verdict,
    Weakness, key_id,
};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use siphasher::sip::SipHasher13;
use yare::parameterized;

const NODE_COUNT: usize = 2;
/// Maximum number of steps until the simulation is idle; more count as never reaching it.
const MAX_DRAIN_STEPS: usize = 400;
/// Longer than every timeout of the ledger, and shorter than its retention.
const LONG_PAUSE: Duration = Duration::from_secs(60);

/// Bounds of one enumeration, and the mechanism disabled in the ledger or the store.
#[derive(Clone, Copy)]
struct Case {
    attempts: RequestId,
    steps: usize,
    faults: usize,
    ticks: usize,
    weakness: Weakness,
    /// Whether the store ignores revisions, as if only a lease guarded writes.
    lease_only: bool,
    /// Prefix of the names of the invariants to check; empty for all.
    invariant: &'static str,
}

#[derive(Clone, Debug)]
enum Call {
    Read,
    Write { revision: u64, value: Vec<u8> },
}

#[derive(Clone, Debug)]
struct Node {
    incarnation: u64,
    ledger: Ledger,
    /// Store operations without a result, oldest first.
    calls: Vec<(Ticket, Call)>,
    /// Attempts that may run and have not been sent, with their deadlines.
    runs: Vec<(RequestId, Duration)>,
    /// Attempts running at a target.
    sent: Vec<RequestId>,
    wakes: Vec<Duration>,
}

#[derive(Clone, Debug)]
struct World {
    now: Duration,
    nodes: Vec<Node>,
    incarnations: u64,
    /// Revision and value of the shard in the store.
    cell: (u64, Vec<u8>),
    /// Writes that may still take effect after their nodes stopped waiting for them.
    delayed_writes: Vec<Call>,
    /// Attempts sent to a target, in order.
    executions: Vec<RequestId>,
    arrived: RequestId,
    /// Names of verdicts by attempt. An attempt whose node crashed may have none.
    verdicts: HashMap<RequestId, &'static str>,
    kept: Option<RequestId>,
    /// Number of attempts that had arrived when the outcome was recorded.
    arrived_before_kept: RequestId,
    faults: usize,
    ticks: usize,
    /// Prefix of the names of the invariants to check; empty for all.
    invariant: &'static str,
    /// Steps taken so far, for the messages of failed checks.
    trace: Vec<Choice>,
}

#[derive(Clone, Copy, Debug)]
enum Choice {
    Arrive(usize),
    Answer(usize),
    /// The call takes effect and its answer is lost.
    LoseAnswer(usize),
    /// The call is lost before the store; the node cannot tell this from a lost answer.
    LoseCall(usize),
    /// The write is reported as lost and may take effect at any later time.
    Delay(usize),
    Refuse(usize),
    DeliverDelayed,
    Send(usize),
    /// The target refuses the call without running it.
    Decline(usize),
    Finish(usize),
    /// The target starts the call and its answer is lost.
    LoseTargetAnswer(usize),
    Crash(usize),
    Wake(usize),
    Tick,
    Pause,
}

fn key() -> Key {
    Key { organisation: "fair".into(), service: "book".into(), text: "k1".into() }
}

fn answer(request: RequestId) -> Outcome {
    let body = request.to_le_bytes().to_vec();
    Outcome::Answer { status: 200, content_type: "text/plain".into(), body }
}

fn node(incarnation: u64, case: &Case) -> Node {
    let settings = Settings::builder("n", incarnation).weakness(case.weakness).build();
    let ledger = Ledger::new(settings);
    Node { incarnation, ledger, calls: vec![], runs: vec![], sent: vec![], wakes: vec![] }
}

impl World {
    fn new(case: &Case) -> Self {
        Self {
            now: Duration::ZERO,
            nodes: (0..NODE_COUNT).map(|index| node(index as u64 + 1, case)).collect(),
            incarnations: NODE_COUNT as u64,
            cell: (0, Vec::new()),
            delayed_writes: vec![],
            executions: vec![],
            arrived: 0,
            verdicts: HashMap::new(),
            kept: None,
            arrived_before_kept: 0,
            faults: 0,
            ticks: 0,
            invariant: case.invariant,
            trace: vec![],
        }
    }

    fn check(&self, holds: bool, invariant: &str) {
        if invariant.starts_with(self.invariant) {
            assert!(holds, "{invariant}; after {:?}; verdicts {:?}", self.trace, self.verdicts);
        }
    }

    fn choices(&self, case: &Case) -> Vec<Choice> {
        let mut choices = Vec::new();
        let may_fail = self.faults < case.faults;
        for (index, node) in self.nodes.iter().enumerate() {
            if self.arrived < case.attempts {
                choices.push(Choice::Arrive(index));
            }
            if let Some((_, call)) = node.calls.first() {
                choices.push(Choice::Answer(index));
                if may_fail {
                    choices.extend([Choice::LoseCall(index), Choice::Refuse(index)]);
                }
                if may_fail && matches!(call, Call::Write { .. }) {
                    choices.extend([Choice::LoseAnswer(index), Choice::Delay(index)]);
                }
            }
            if !node.runs.is_empty() {
                choices.push(Choice::Send(index));
                if may_fail {
                    choices.push(Choice::Decline(index));
                }
            }
            if !node.sent.is_empty() {
                choices.push(Choice::Finish(index));
                if may_fail {
                    choices.push(Choice::LoseTargetAnswer(index));
                }
            }
            if node.wakes.iter().any(|at| *at <= self.now) {
                choices.push(Choice::Wake(index));
            }
            if may_fail && self.arrived > 0 {
                choices.push(Choice::Crash(index));
            }
        }
        if !self.delayed_writes.is_empty() {
            choices.push(Choice::DeliverDelayed);
        }
        if self.ticks < case.ticks && self.next_wake().is_some() {
            choices.extend([Choice::Tick, Choice::Pause]);
        }
        choices
    }

    fn next_wake(&self) -> Option<Duration> {
        let wakes = self.nodes.iter().flat_map(|node| &node.wakes);
        wakes.copied().filter(|at| *at > self.now).min()
    }

    fn apply(&mut self, choice: Choice, case: &Case) {
        self.trace.push(choice);
        match choice {
            Choice::Arrive(index) => {
                self.arrived += 1;
                let request = self.arrived;
                self.step(index, Message::Claim { request, key: key(), digest: 7 });
            }
            Choice::Answer(index) => {
                let (ticket, call) = self.nodes[index].calls.remove(0);
                let result = self.perform(&call, case);
                self.step(index, Message::Store(Reply { ticket, result }));
            }
            Choice::LoseAnswer(index) => {
                let (ticket, call) = self.fail(index);
                self.perform(&call, case);
                self.step(index, Message::Store(Reply { ticket, result: StoreResult::Lost }));
            }
            Choice::LoseCall(index) => {
                let (ticket, _) = self.fail(index);
                self.step(index, Message::Store(Reply { ticket, result: StoreResult::Lost }));
            }
            Choice::Delay(index) => {
                let (ticket, call) = self.fail(index);
                self.delayed_writes.push(call);
                self.step(index, Message::Store(Reply { ticket, result: StoreResult::Lost }));
            }
            Choice::Refuse(index) => {
                let (ticket, _) = self.fail(index);
                self.step(index, Message::Store(Reply { ticket, result: StoreResult::Down }));
            }
            Choice::DeliverDelayed => {
                let call = self.delayed_writes.remove(0);
                self.perform(&call, case);
            }
            Choice::Send(index) => self.send(index),
            Choice::Decline(index) => {
                self.faults += 1;
                let (request, _) = self.nodes[index].runs.remove(0);
                self.settle(index, request, Outcome::NotRun);
            }
            Choice::Finish(index) => {
                let request = self.nodes[index].sent.remove(0);
                self.settle(index, request, answer(request));
            }
            Choice::LoseTargetAnswer(index) => {
                self.faults += 1;
                let request = self.nodes[index].sent.remove(0);
                self.settle(index, request, Outcome::Unknown);
            }
            Choice::Crash(index) => self.crash(index, case),
            Choice::Wake(index) => {
                let now = self.now;
                self.nodes[index].wakes.retain(|at| *at > now);
                self.step(index, Message::Wake);
            }
            Choice::Tick => {
                self.ticks += 1;
                self.now = self.next_wake().expect("a pending wake");
            }
            Choice::Pause => {
                self.ticks += 1;
                self.now += LONG_PAUSE;
            }
        }
        self.check_kept();
    }

    fn fail(&mut self, index: usize) -> (Ticket, Call) {
        self.faults += 1;
        self.nodes[index].calls.remove(0)
    }

    /// Sends an attempt to a target as the node would, unless its deadline has passed.
    fn send(&mut self, index: usize) {
        let (request, until) = self.nodes[index].runs.remove(0);
        if self.now > until {
            return self.settle(index, request, Outcome::NotRun);
        }
        self.executions.push(request);
        self.nodes[index].sent.push(request);
        self.check(self.executions.len() <= 1, "no double run");
        self.check(self.verdicts.get(&request) == Some(&"run"), "no run without a verdict");
    }

    fn settle(&mut self, index: usize, request: RequestId, outcome: Outcome) {
        self.step(index, Message::Settle { key: key(), request, outcome });
    }

    /// Crashes a node, which restarts with empty state and a new incarnation. Its writes in flight
    /// may still take effect.
    fn crash(&mut self, index: usize, case: &Case) {
        self.faults += 1;
        self.incarnations += 1;
        let crashed = std::mem::replace(&mut self.nodes[index], node(self.incarnations, case));
        let writes = crashed.calls.into_iter().map(|(_, call)| call);
        self.delayed_writes.extend(writes.filter(|call| matches!(call, Call::Write { .. })));
    }

    fn perform(&mut self, call: &Call, case: &Case) -> StoreResult {
        match call {
            Call::Read => StoreResult::Value { revision: self.cell.0, value: self.cell.1.clone() },
            Call::Write { revision, .. } if *revision != self.cell.0 && !case.lease_only => {
                StoreResult::Conflict
            }
            Call::Write { value, .. } => {
                self.cell = (self.cell.0 + 1, value.clone());
                StoreResult::Written { revision: self.cell.0 }
            }
        }
    }

    fn step(&mut self, index: usize, message: Message) {
        let mut actions = Vec::new();
        let mut rng = SmallRng::seed_from_u64(0);
        let node = &mut self.nodes[index];
        node.ledger.step(self.now, message, &mut rng, &mut actions);
        for action in actions {
            let node = &mut self.nodes[index];
            match action {
                Action::Read { ticket, .. } => node.calls.push((ticket, Call::Read)),
                Action::Write { ticket, revision, value, .. } => {
                    node.calls.push((ticket, Call::Write { revision, value }));
                }
                Action::Wake(after) => node.wakes.push(self.now + after),
                Action::Verdict { request, verdict } => self.on_verdict(index, request, verdict),
                Action::Settled { request, kept: true } if self.executions.contains(&request) => {
                    // An unknown outcome is represented by the claim without an outcome.
                    if self.record_outcome().is_some() && self.kept.is_none() {
                        self.kept = Some(request);
                        self.arrived_before_kept = self.arrived;
                    }
                }
                Action::Settled { .. } | Action::Log(_) => {}
            }
        }
    }

    fn on_verdict(&mut self, index: usize, request: RequestId, verdict: Verdict) {
        let earlier = self.verdicts.insert(request, verdict.name());
        self.check(earlier.is_none(), "one verdict on each attempt");
        let after_kept = self.kept.is_some() && request > self.arrived_before_kept;
        match verdict {
            Verdict::Run { until } => {
                self.check(!after_kept, "no run after a kept outcome");
                self.nodes[index].runs.push((request, until));
            }
            Verdict::Replay(outcome) => {
                let is_own_answer =
                    self.executions.first().is_some_and(|first| outcome == answer(*first));
                self.check(is_own_answer, "only the answer that was given");
            }
            Verdict::Unknown => self.check(!after_kept, "a kept outcome stays"),
            Verdict::Down { never_ran, .. } => {
                self.check(
                    !never_ran || self.executions.is_empty(),
                    "no verdict of never run after a run",
                );
                self.check(
                    !self.executions.contains(&request),
                    "no verdict of not run on an attempt that ran",
                );
            }
            other => panic!("unexpected {other:?}"),
        }
    }

    fn record_outcome(&self) -> Option<Outcome> {
        let shard = Shard::decode(&self.cell.1).expect("readable");
        shard.get(&key_id(&key())).and_then(|record| record.outcome.clone())
    }

    fn check_kept(&self) {
        if let Some(request) = self.kept {
            let is_recorded = self.record_outcome() == Some(answer(request));
            self.check(is_recorded, "a kept outcome stays");
        }
    }

    /// Continues without faults until idle, then delivers the delayed writes and repeats.
    fn drain(mut self, case: &Case) {
        self.run_until_idle(case);
        self.check_idle();
        while !self.delayed_writes.is_empty() {
            self.apply(Choice::DeliverDelayed, case);
        }
        self.run_until_idle(case);
        self.check_idle();
    }

    fn run_until_idle(&mut self, case: &Case) {
        let fault_free = Case { faults: 0, ticks: 0, attempts: 0, ..*case };
        for _ in 0..MAX_DRAIN_STEPS {
            let mut choices = self.choices(&fault_free);
            choices.retain(|choice| !matches!(choice, Choice::DeliverDelayed));
            if let Some(choice) = choices.first() {
                self.apply(*choice, case);
            } else if let Some(at) = self.next_wake() {
                self.now = at;
            } else {
                return;
            }
        }
        self.check(false, "the simulation becomes idle");
    }

    /// Checks that no claim of a running incarnation is left whose attempt was never sent.
    fn check_idle(&self) {
        let shard = Shard::decode(&self.cell.1).expect("readable");
        let Some(record) = shard.get(&key_id(&key())) else { return };
        let is_running = self.nodes.iter().any(|node| node.incarnation == record.incarnation);
        let ran = self.executions.contains(&record.request);
        self.check(ran || !is_running, "no claim is left that nobody can use");
    }

    fn fingerprint(&self) -> u64 {
        let mut writer = HashWriter(SipHasher13::new());
        write!(writer, "{:?}", (&self.nodes, &self.cell, &self.delayed_writes, &self.executions))
            .expect("no limit");
        let mut verdicts: Vec<_> = self.verdicts.iter().collect();
        verdicts.sort_unstable();
        let rest =
            (self.now, verdicts, self.kept, self.arrived_before_kept, self.faults, self.ticks);
        write!(writer, "{rest:?}{}", self.arrived).expect("no limit");
        writer.0.finish()
    }
}

struct HashWriter(SipHasher13);

impl std::fmt::Write for HashWriter {
    fn write_str(&mut self, text: &str) -> std::fmt::Result {
        self.0.write(text.as_bytes());
        Ok(())
    }
}

/// Visits all states reachable within the bounds and returns their number.
fn explore(case: &Case) -> usize {
    let mut seen: HashMap<u64, usize> = HashMap::new();
    let mut stack = vec![(World::new(case), case.steps)];
    while let Some((world, left)) = stack.pop() {
        let most_steps_left = seen.entry(world.fingerprint()).or_insert(usize::MAX);
        if *most_steps_left != usize::MAX && *most_steps_left >= left {
            continue;
        }
        *most_steps_left = left;
        if left == 0 {
            world.drain(case);
            continue;
        }
        for choice in world.choices(case) {
            let mut next = world.clone();
            next.apply(choice, case);
            stack.push((next, left - 1));
        }
    }
    seen.len()
}

const BASELINE: Case = Case {
    attempts: 3,
    steps: 8,
    faults: 1,
    ticks: 2,
    weakness: Weakness::None,
    lease_only: false,
    invariant: "",
};

#[parameterized(
    one_fault = { BASELINE },
    two_faults = { Case { faults: 2, attempts: 2, steps: 8, ticks: 1, ..BASELINE } },
)]
fn invariants_hold_in_every_interleaving(case: Case) {
    let states = explore(&case);
    println!("{states} states");
    assert!(states > 1000);
}

/// Returns the message of the invariant that an enumeration violates, if it violates one.
fn violated_invariant(case: &Case) -> Option<String> {
    let panic = std::panic::catch_unwind(|| explore(case)).err()?;
    Some(panic.downcast_ref::<String>().cloned().unwrap_or_default())
}

#[test]
#[ignore = "takes minutes: cargo test -p ledger --test enumeration -- --ignored"]
fn invariants_hold_in_every_interleaving_of_twelve_steps() {
    println!("{} states", explore(&Case { steps: 12, ..BASELINE }));
}

const DOUBLE_RUN: Case = Case { invariant: "no double run", steps: 10, ..BASELINE };
const UNUSABLE_CLAIM: Case =
    Case { invariant: "no claim is left that nobody can use", steps: 10, ..BASELINE };

#[parameterized(
    lost_is_written = { Case { weakness: Weakness::LostIsWritten, ..DOUBLE_RUN } },
    any_holder = { Case { weakness: Weakness::AnyHolder, ..DOUBLE_RUN } },
    lease_only = { Case { lease_only: true, faults: 0, ..DOUBLE_RUN } },
    lost_is_failed = { Case { weakness: Weakness::LostIsFailed, ..UNUSABLE_CLAIM } },
    no_bump = { Case { weakness: Weakness::NoBump, ..UNUSABLE_CLAIM } },
)]
fn a_disabled_mechanism_is_detected(case: Case) {
    let violated_invariant = violated_invariant(&case).expect("the enumeration detects it");
    assert!(violated_invariant.starts_with(case.invariant), "{violated_invariant}");
}
