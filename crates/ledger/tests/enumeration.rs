//! Every order in which two nodes, one store, three sendings of one request and a bounded number
//! of faults can meet, up to a stated number of steps.
//!
//! Pauses need no fault: a node that is not chosen for a while is a paused node, and time may
//! pass meanwhile. From each state at the last step the world runs on without faults until it is
//! quiet, and must then have left nothing behind.

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

const NODES: usize = 2;
/// Steps on the way to quiet; more mean that it never comes.
const DRAIN_STEPS: usize = 400;
/// A pause far beyond every wait of the ledger but its retention.
const LONG_PAUSE: Duration = Duration::from_secs(60);

/// Bounds of one enumeration, and what is left out of the ledger or of the store.
#[derive(Clone, Copy)]
struct Case {
    sendings: RequestId,
    steps: usize,
    faults: usize,
    ticks: usize,
    weakness: Weakness,
    /// The store does not compare revisions, as if writes were guarded by a lease alone.
    lease_only: bool,
    /// The only promise that is looked at; all when empty.
    promise: &'static str,
}

#[derive(Clone, Debug)]
enum Call {
    Read,
    Write { revision: u64, value: Vec<u8> },
}

#[derive(Clone, Debug)]
struct Node {
    life: u64,
    ledger: Ledger,
    /// Store operations that have not been answered.
    calls: Vec<(Ticket, Call)>,
    /// Requests with a claim that have not been sent, with their last moment.
    runs: Vec<(RequestId, Duration)>,
    /// Requests that a target runs.
    sent: Vec<RequestId>,
    wakes: Vec<Duration>,
}

#[derive(Clone, Debug)]
struct World {
    now: Duration,
    nodes: Vec<Node>,
    lives: u64,
    /// Revision and value of the shard.
    stored: (u64, Vec<u8>),
    /// Writes whose nodes wait for them no longer, and which may still take effect.
    late: Vec<Call>,
    /// Requests that a target has run, in order.
    log: Vec<RequestId>,
    arrived: RequestId,
    /// Verdicts by request; a request whose node crashed may have none.
    told: HashMap<RequestId, &'static str>,
    kept: Option<RequestId>,
    /// Sendings that arrived before the outcome was kept.
    before_kept: RequestId,
    faults: usize,
    ticks: usize,
    /// The only promise that is looked at; all when empty.
    promise: &'static str,
    /// How it came to this.
    trace: Vec<Choice>,
}

#[derive(Clone, Copy, Debug)]
enum Choice {
    Arrive(usize),
    Answer(usize),
    /// Takes effect, answer lost.
    LoseAnswer(usize),
    /// Never arrives, which its node cannot tell.
    LoseCall(usize),
    /// Reported as lost, may take effect at any later time.
    Delay(usize),
    Refuse(usize),
    Land,
    Send(usize),
    /// The target refuses the call without running it.
    Decline(usize),
    Finish(usize),
    /// The target breaks off: the answer is lost.
    Break(usize),
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

fn node(life: u64, case: &Case) -> Node {
    let settings = Settings::builder("n", life).weakness(case.weakness).build();
    let ledger = Ledger::new(settings);
    Node { life, ledger, calls: vec![], runs: vec![], sent: vec![], wakes: vec![] }
}

impl World {
    fn new(case: &Case) -> Self {
        Self {
            now: Duration::ZERO,
            nodes: (0..NODES).map(|index| node(index as u64 + 1, case)).collect(),
            lives: NODES as u64,
            stored: (0, Vec::new()),
            late: vec![],
            log: vec![],
            arrived: 0,
            told: HashMap::new(),
            kept: None,
            before_kept: 0,
            faults: 0,
            ticks: 0,
            promise: case.promise,
            trace: vec![],
        }
    }

    fn promise(&self, holds: bool, promise: &str) {
        if promise.starts_with(self.promise) {
            assert!(holds, "{promise}; after {:?}; told {:?}", self.trace, self.told);
        }
    }

    fn choices(&self, case: &Case) -> Vec<Choice> {
        let mut choices = Vec::new();
        let faulty = self.faults < case.faults;
        for (index, node) in self.nodes.iter().enumerate() {
            if self.arrived < case.sendings {
                choices.push(Choice::Arrive(index));
            }
            if let Some((_, call)) = node.calls.first() {
                choices.push(Choice::Answer(index));
                if faulty {
                    choices.extend([Choice::LoseCall(index), Choice::Refuse(index)]);
                }
                if faulty && matches!(call, Call::Write { .. }) {
                    choices.extend([Choice::LoseAnswer(index), Choice::Delay(index)]);
                }
            }
            if !node.runs.is_empty() {
                choices.push(Choice::Send(index));
                if faulty {
                    choices.push(Choice::Decline(index));
                }
            }
            if !node.sent.is_empty() {
                choices.push(Choice::Finish(index));
                if faulty {
                    choices.push(Choice::Break(index));
                }
            }
            if node.wakes.iter().any(|at| *at <= self.now) {
                choices.push(Choice::Wake(index));
            }
            if faulty && self.arrived > 0 {
                choices.push(Choice::Crash(index));
            }
        }
        if !self.late.is_empty() {
            choices.push(Choice::Land);
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
                self.late.push(call);
                self.step(index, Message::Store(Reply { ticket, result: StoreResult::Lost }));
            }
            Choice::Refuse(index) => {
                let (ticket, _) = self.fail(index);
                self.step(index, Message::Store(Reply { ticket, result: StoreResult::Down }));
            }
            Choice::Land => {
                let call = self.late.remove(0);
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
            Choice::Break(index) => {
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
                self.now = self.next_wake().expect("a wake to come");
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

    /// The node's shell: sends what it may still send.
    fn send(&mut self, index: usize) {
        let (request, until) = self.nodes[index].runs.remove(0);
        if self.now > until {
            return self.settle(index, request, Outcome::NotRun);
        }
        self.log.push(request);
        self.nodes[index].sent.push(request);
        self.promise(self.log.len() <= 1, "no double run");
        self.promise(self.told.get(&request) == Some(&"run"), "no run without a verdict");
    }

    fn settle(&mut self, index: usize, request: RequestId, outcome: Outcome) {
        self.step(index, Message::Settle { key: key(), request, outcome });
    }

    /// The process dies with all that it knows and begins a new life; its calls may still land.
    fn crash(&mut self, index: usize, case: &Case) {
        self.faults += 1;
        self.lives += 1;
        let dead = std::mem::replace(&mut self.nodes[index], node(self.lives, case));
        let writes = dead.calls.into_iter().map(|(_, call)| call);
        self.late.extend(writes.filter(|call| matches!(call, Call::Write { .. })));
    }

    fn perform(&mut self, call: &Call, case: &Case) -> StoreResult {
        match call {
            Call::Read => {
                StoreResult::Value { revision: self.stored.0, value: self.stored.1.clone() }
            }
            Call::Write { revision, .. } if *revision != self.stored.0 && !case.lease_only => {
                StoreResult::Conflict
            }
            Call::Write { value, .. } => {
                self.stored = (self.stored.0 + 1, value.clone());
                StoreResult::Written { revision: self.stored.0 }
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
                Action::Verdict { request, verdict } => self.hear(index, request, verdict),
                Action::Settled { request, kept: true } if self.log.contains(&request) => {
                    // An outcome that is not known is kept as the claim itself.
                    if self.record_outcome().is_some() && self.kept.is_none() {
                        self.kept = Some(request);
                        self.before_kept = self.arrived;
                    }
                }
                Action::Settled { .. } | Action::Log(_) => {}
            }
        }
    }

    fn hear(&mut self, index: usize, request: RequestId, verdict: Verdict) {
        let earlier = self.told.insert(request, verdict.name());
        self.promise(earlier.is_none(), "one verdict on each sending");
        let after_kept = self.kept.is_some() && request > self.before_kept;
        match verdict {
            Verdict::Run { until } => {
                self.promise(!after_kept, "no run after a kept outcome");
                self.nodes[index].runs.push((request, until));
            }
            Verdict::Replay(outcome) => {
                let own = self.log.first().is_some_and(|first| outcome == answer(*first));
                self.promise(own, "only the answer that was given");
            }
            Verdict::Unknown => self.promise(!after_kept, "a kept outcome stays"),
            Verdict::Down { never_ran, .. } => {
                self.promise(!never_ran || self.log.is_empty(), "not told never run if it ran");
                self.promise(!self.log.contains(&request), "not told not run if it ran");
            }
            other => panic!("unexpected {other:?}"),
        }
    }

    fn record_outcome(&self) -> Option<Outcome> {
        let shard = Shard::decode(&self.stored.1).expect("readable");
        shard.get(&key_id(&key())).and_then(|record| record.outcome.clone())
    }

    fn check_kept(&self) {
        if let Some(request) = self.kept {
            let there = self.record_outcome() == Some(answer(request));
            self.promise(there, "a kept outcome stays");
        }
    }

    /// Runs on without faults until nothing is left to do, then lets late writes land.
    fn drain(mut self, case: &Case) {
        self.run_until_quiet(case);
        self.check_quiet();
        while !self.late.is_empty() {
            self.apply(Choice::Land, case);
        }
        self.run_until_quiet(case);
        self.check_quiet();
    }

    fn run_until_quiet(&mut self, case: &Case) {
        let calm = Case { faults: 0, ticks: 0, sendings: 0, ..*case };
        for _ in 0..DRAIN_STEPS {
            let mut choices = self.choices(&calm);
            choices.retain(|choice| !matches!(choice, Choice::Land));
            if let Some(choice) = choices.first() {
                self.apply(*choice, case);
            } else if let Some(at) = self.next_wake() {
                self.now = at;
            } else {
                return;
            }
        }
        self.promise(false, "it ends");
    }

    /// Nothing is left behind: no claim of a living process that it does not know of.
    fn check_quiet(&self) {
        let shard = Shard::decode(&self.stored.1).expect("readable");
        let Some(record) = shard.get(&key_id(&key())) else { return };
        let alive = self.nodes.iter().any(|node| node.life == record.life);
        let ran = self.log.contains(&record.request);
        self.promise(ran || !alive, "no claim is left that nobody can use");
    }

    fn fingerprint(&self) -> u64 {
        let mut sink = Sink(SipHasher13::new());
        write!(sink, "{:?}", (&self.nodes, &self.stored, &self.late, &self.log)).expect("no limit");
        let mut told: Vec<_> = self.told.iter().collect();
        told.sort_unstable();
        let rest = (self.now, told, self.kept, self.before_kept, self.faults, self.ticks);
        write!(sink, "{rest:?}{}", self.arrived).expect("no limit");
        sink.0.finish()
    }
}

struct Sink(SipHasher13);

impl std::fmt::Write for Sink {
    fn write_str(&mut self, text: &str) -> std::fmt::Result {
        self.0.write(text.as_bytes());
        Ok(())
    }
}

/// Visits all states; returns how many there are.
fn explore(case: &Case) -> usize {
    let mut seen: HashMap<u64, usize> = HashMap::new();
    let mut stack = vec![(World::new(case), case.steps)];
    while let Some((world, left)) = stack.pop() {
        let best = seen.entry(world.fingerprint()).or_insert(usize::MAX);
        if *best != usize::MAX && *best >= left {
            continue;
        }
        *best = left;
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

const SOUND: Case = Case {
    sendings: 3,
    steps: 8,
    faults: 1,
    ticks: 2,
    weakness: Weakness::None,
    lease_only: false,
    promise: "",
};

#[parameterized(
    one_fault = { SOUND },
    two_faults = { Case { faults: 2, sendings: 2, steps: 8, ticks: 1, ..SOUND } },
)]
fn promises_hold_in_every_order(case: Case) {
    let states = explore(&case);
    println!("{states} states");
    assert!(states > 1000);
}

/// The promise that an enumeration breaks, when it breaks one.
fn broken(case: &Case) -> Option<String> {
    let panic = std::panic::catch_unwind(|| explore(case)).err()?;
    Some(panic.downcast_ref::<String>().cloned().unwrap_or_default())
}

#[test]
#[ignore = "takes minutes: cargo test -p ledger --test enumeration -- --ignored"]
fn promises_hold_in_every_order_of_twelve_steps() {
    println!("{} states", explore(&Case { steps: 12, ..SOUND }));
}

const DOUBLE: Case = Case { promise: "no double run", steps: 10, ..SOUND };
const BEHIND: Case = Case { promise: "no claim is left that nobody can use", steps: 10, ..SOUND };

#[parameterized(
    lost_is_written = { Case { weakness: Weakness::LostIsWritten, ..DOUBLE } },
    any_holder = { Case { weakness: Weakness::AnyHolder, ..DOUBLE } },
    lease_only = { Case { lease_only: true, faults: 0, ..DOUBLE } },
    lost_is_failed = { Case { weakness: Weakness::LostIsFailed, ..BEHIND } },
    no_bump = { Case { weakness: Weakness::NoBump, ..BEHIND } },
)]
fn a_mechanism_left_out_is_noticed(case: Case) {
    let broken = broken(&case).expect("the enumeration notices");
    assert!(broken.starts_with(case.promise), "{broken}");
}
