//! Explores all interleavings of two nodes, a lease, one engine and a bounded number of faults, up
//! to a given number of steps. A node that is not chosen for a step is paused.

use std::collections::HashMap;
use std::fmt::Write as _;
use std::hash::Hasher;
use std::time::Duration;

use fleet::{Layers, ModelName};
use order::{
    Action, Answer, Desired, Lease, Message, Mutation, Order, Orders, Report, Settings, Tenure,
    next_order,
};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use siphasher::sip::SipHasher13;
use yare::parameterized;

const TARGET: &str = "e1";
const TTL: Duration = Duration::from_secs(10);
/// Longer than the lease.
const PAUSE: Duration = Duration::from_secs(15);
/// Time for which the world runs without faults before the desired state must hold.
const FAULT_FREE_TIME: Duration = Duration::from_secs(60);
/// Maximum number of steps until the desired state must hold.
const DRAIN_STEPS: usize = 2000;
/// Number of low bits of a fencing number that count the orders of one tenure.
const ORDER_BITS: u32 = 20;

#[derive(Clone, Copy)]
struct Case {
    /// Whether the engine refuses old fencing numbers.
    checks: bool,
    steps: usize,
    faults: usize,
    ticks: usize,
    mutation: Mutation,
    /// Prefix of the properties to check; all properties if empty.
    property: &'static str,
}

#[derive(Clone, Debug)]
struct Node {
    orders: Orders,
    calls: Vec<Action>,
    wakes: Vec<Duration>,
    is_updated: bool,
}

#[derive(Clone, Debug)]
struct World {
    now: Duration,
    nodes: Vec<Node>,
    /// Node, tenure and end of the lease.
    holder: Option<(usize, Tenure, Duration)>,
    revision: Tenure,
    engine: Report,
    delayed: Vec<(u64, Order)>,
    faults: usize,
    ticks: usize,
    trace: Vec<Choice>,
}

#[derive(Clone, Copy, Debug)]
enum Choice {
    /// A node receives the changed desired state.
    UpdateDesired(usize),
    Call(usize),
    /// A call takes effect, but its answer is lost.
    LoseAnswer(usize),
    /// An order whose sender gives up on it, but which may arrive at any later time.
    DelayOrder(usize),
    DeliverDelayed,
    Wake(usize),
    Tick,
    Pause,
}

fn desired(model: &str) -> Desired {
    let layers = Some(Layers::new(0, 8));
    Desired { model: Some(model.into()), layers, ..Desired::default() }
}

impl World {
    fn new(case: &Case) -> Self {
        let settings = Settings::builder().ttl(TTL).mutation(case.mutation).build();
        let orders = Orders::new(settings);
        let node = Node { orders, calls: vec![], wakes: vec![], is_updated: false };
        let mut world = Self {
            now: Duration::ZERO,
            nodes: vec![node.clone(), node],
            holder: None,
            revision: 0,
            engine: Report::default(),
            delayed: vec![],
            faults: 0,
            ticks: 0,
            trace: vec![],
        };
        for index in 0..world.nodes.len() {
            world.step(index, Message::Desired(vec![(TARGET.into(), desired("v1"))]));
        }
        world
    }

    fn check_property(&self, case: &Case, holds: bool, property: &str) {
        if property.starts_with(case.property) {
            assert!(holds, "{property}; after {:?}; {:?}", self.trace, self.engine);
        }
    }

    fn choices(&self, case: &Case) -> Vec<Choice> {
        let mut choices = Vec::new();
        let faulty = self.faults < case.faults;
        for (index, node) in self.nodes.iter().enumerate() {
            if let Some(call) = node.calls.first() {
                choices.push(Choice::Call(index));
                if faulty {
                    choices.push(Choice::LoseAnswer(index));
                }
                if faulty && matches!(call, Action::Send { .. }) {
                    choices.push(Choice::DelayOrder(index));
                }
            }
            if node.wakes.iter().any(|at| *at <= self.now) {
                choices.push(Choice::Wake(index));
            }
            if !node.is_updated {
                choices.push(Choice::UpdateDesired(index));
            }
        }
        if !self.delayed.is_empty() {
            choices.push(Choice::DeliverDelayed);
        }
        if self.ticks < case.ticks {
            choices.push(Choice::Pause);
            if self.next_wake().is_some() {
                choices.push(Choice::Tick);
            }
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
            Choice::UpdateDesired(index) => {
                self.nodes[index].is_updated = true;
                self.step(index, Message::Desired(vec![(TARGET.into(), desired("v2"))]));
            }
            Choice::Call(index) => {
                let call = self.nodes[index].calls.remove(0);
                let answer = self.perform(index, call, case);
                self.step(index, answer);
            }
            Choice::LoseAnswer(index) => {
                self.faults += 1;
                let call = self.nodes[index].calls.remove(0);
                let answer = lose_answer(self.perform(index, call, case));
                self.step(index, answer);
            }
            Choice::DelayOrder(index) => {
                self.faults += 1;
                let Action::Send { call_id, fence, order, until, .. } =
                    self.nodes[index].calls.remove(0)
                else {
                    unreachable!("only orders are delayed")
                };
                if self.now <= until {
                    self.delayed.push((fence, order));
                }
                self.step(index, Message::Answered { call_id, answer: Answer::Failed });
            }
            Choice::DeliverDelayed => {
                let (fence, order) = self.delayed.remove(0);
                self.execute(fence, order, case);
            }
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
                self.now += PAUSE;
            }
        }
    }

    fn perform(&mut self, index: usize, call: Action, case: &Case) -> Message {
        let now = self.now;
        let current = self.holder.filter(|(_, _, until)| now < *until);
        match call {
            Action::Acquire { call_id, ttl } if current.is_none() => {
                self.revision += 1;
                self.holder = Some((index, self.revision, now + ttl));
                let lease = Lease::Held { tenure: self.revision, ttl };
                Message::Lease { call_id, lease }
            }
            Action::Acquire { call_id, .. } => Message::Lease { call_id, lease: Lease::NotHeld },
            Action::Renew { call_id } => match current {
                Some((holder, tenure, _)) if holder == index => {
                    self.holder = Some((index, tenure, now + TTL));
                    let lease = Lease::Held { tenure, ttl: TTL };
                    Message::Lease { call_id, lease }
                }
                _ => Message::Lease { call_id, lease: Lease::NotHeld },
            },
            Action::Read { call_id, .. } => {
                Message::Reported { call_id, report: Some(self.engine.clone()) }
            }
            Action::Send { call_id, fence, order, until, .. } => {
                if now > until {
                    return Message::Answered { call_id, answer: Answer::Late };
                }
                let own = current.is_some_and(|(_, tenure, _)| tenure == fence >> ORDER_BITS);
                self.check_property(case, own, "no order is sent after its lease has lapsed");
                let answer = match self.execute(fence, order, case) {
                    true => Answer::Taken,
                    false => Answer::Old,
                };
                Message::Answered { call_id, answer }
            }
            Action::Wake(_) | Action::Log(_) => unreachable!("not a call"),
        }
    }

    /// Executes an order at the engine. Returns whether the engine accepts it.
    fn execute(&mut self, fence: u64, order: Order, case: &Case) -> bool {
        if case.checks && fence < self.engine.fence {
            return false;
        }
        let increases = !case.checks || fence > self.engine.fence;
        self.check_property(case, increases, "fencing numbers grow at an engine that checks them");
        self.engine.fence = fence;
        let Order::Load { model, layers } = order else { unreachable!("only loads are desired") };
        self.engine.model = Some(model);
        self.engine.layers = Some(layers);
        true
    }

    fn step(&mut self, index: usize, message: Message) {
        let mut actions = Vec::new();
        let mut rng = SmallRng::seed_from_u64(0);
        let node = &mut self.nodes[index];
        node.orders.step(self.now, message, &mut rng, &mut actions);
        for action in actions {
            match action {
                Action::Wake(after) => node.wakes.push(self.now + after),
                Action::Log(_) => {}
                call => node.calls.push(call),
            }
        }
    }

    /// Completes all calls in flight and updates all nodes. The desired state must then hold.
    fn drain(mut self, case: &Case) {
        let fault_free = Case { faults: 0, ticks: 0, ..*case };
        let end = self.now + PAUSE + FAULT_FREE_TIME;
        for _ in 0..DRAIN_STEPS {
            if let Some(choice) = self.choices(&fault_free).first().copied() {
                self.apply(choice, case);
                continue;
            }
            match self.next_wake() {
                Some(at) if at < end => self.now = at,
                _ => break,
            }
        }
        let model = self.engine.model.as_ref().map(ModelName::as_str);
        self.check_property(case, model == Some("v2"), "the desired state comes to hold and lasts");
    }

    fn fingerprint(&self) -> u64 {
        let mut sink = Sink(SipHasher13::new());
        let state = (self.now, &self.nodes, self.holder, self.revision, &self.engine);
        write!(sink, "{state:?}").expect("no limit");
        write!(sink, "{:?}", (&self.delayed, self.faults, self.ticks)).expect("no limit");
        sink.0.finish()
    }
}

fn lose_answer(answer: Message) -> Message {
    match answer {
        Message::Lease { call_id, .. } => Message::Lease { call_id, lease: Lease::Unavailable },
        Message::Reported { call_id, .. } => Message::Reported { call_id, report: None },
        Message::Answered { call_id, .. } => Message::Answered { call_id, answer: Answer::Failed },
        other => other,
    }
}

struct Sink(SipHasher13);

impl std::fmt::Write for Sink {
    fn write_str(&mut self, text: &str) -> std::fmt::Result {
        self.0.write(text.as_bytes());
        Ok(())
    }
}

fn explore(case: &Case) -> usize {
    let mut seen: HashMap<u64, usize> = HashMap::new();
    let mut stack = vec![(World::new(case), case.steps)];
    while let Some((world, left)) = stack.pop() {
        let best = seen.entry(world.fingerprint()).or_insert(0);
        if *best > left {
            continue;
        }
        *best = left + 1;
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

const BASE: Case =
    Case { checks: true, steps: 8, faults: 1, ticks: 2, mutation: Mutation::None, property: "" };

#[parameterized(
    engine_that_checks = { BASE },
    engine_that_ignores = { Case { checks: false, ..BASE } },
    two_faults = { Case { faults: 2, steps: 7, ..BASE } },
    two_faults_ignored = { Case { faults: 2, steps: 7, checks: false, ..BASE } },
)]
fn properties_hold_in_every_order(case: Case) {
    let states = explore(&case);
    println!("{states} states");
    assert!(states > 1000);
}

#[parameterized(
    no_lease_check = { Mutation::NoLeaseCheck, true, "no order is sent" },
    no_repeat = { Mutation::NoRepeat, false, "the desired state comes" },
    same_fence = { Mutation::SameFence, true, "fencing numbers grow" },
)]
fn disabled_mechanism_is_detected(mutation: Mutation, checks: bool, property: &'static str) {
    let case = Case { mutation, checks, property, steps: 11, faults: 2, ..BASE };
    let panic = std::panic::catch_unwind(|| explore(&case)).expect_err("it is noticed");
    let violation = panic.downcast_ref::<String>().cloned().unwrap_or_default();
    assert!(violation.starts_with(property), "{violation}");
}

#[parameterized(
    nothing = { r#"{"standing": "live"}"#, Some(Order::Load { model: "v1".into(), layers: Layers::new(0, 8) }) },
    other_layers = {
        r#"{"model": "v1", "layers": [0, 4], "standing": "live"}"#,
        Some(Order::Load { model: "v1".into(), layers: Layers::new(0, 8) })
    },
    no_adapter = {
        r#"{"model": "v1", "layers": [0, 8], "adapters": ["b"]}"#,
        Some(Order::Adapter { name: "a".into() })
    },
    other_role = {
        r#"{"model": "v1", "layers": [0, 8], "adapters": ["a"], "role": "decode"}"#,
        Some(Order::Role { name: "prefill".into() })
    },
    all = { r#"{"model": "v1", "layers": [0, 8], "adapters": ["a", "b"], "role": "prefill"}"#, None },
)]
fn one_order_at_a_time(report: &str, order: Option<Order>) {
    let desired = br#"{"model": "v1", "layers": [0, 8], "adapters": ["a"], "role": "prefill"}"#;
    let desired = Desired::parse(desired).expect("well formed");
    let report: Report = serde_json::from_str(report).expect("well formed");
    assert_eq!(next_order(&desired, &report), order);
}
