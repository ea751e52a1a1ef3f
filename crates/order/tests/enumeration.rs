//! Every order in which two nodes, a lease, one engine and a bounded number of faults can meet,
//! up to a stated number of steps. A node that is not chosen is a paused node.

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
const LONG_PAUSE: Duration = Duration::from_secs(15);
/// Time for which the world runs on without faults before it must be as desired.
const CALM: Duration = Duration::from_secs(60);
/// Steps on the way to the desired state; more mean that it never comes.
const DRAIN_STEPS: usize = 2000;
/// Low bits of a fencing number that do not name the tenure.
const ORDER_BITS: u32 = 20;

#[derive(Clone, Copy)]
struct Case {
    /// Whether the engine refuses old fencing numbers.
    checks: bool,
    steps: usize,
    faults: usize,
    ticks: usize,
    mutation: Mutation,
    /// The only promise that is looked at; all when empty.
    promise: &'static str,
}

#[derive(Clone, Debug)]
struct Node {
    orders: Orders,
    calls: Vec<Action>,
    wakes: Vec<Duration>,
    learned: bool,
}

#[derive(Clone, Debug)]
struct World {
    now: Duration,
    nodes: Vec<Node>,
    /// Node, tenure and end of the lease.
    holder: Option<(usize, Tenure, Duration)>,
    revision: Tenure,
    engine: Report,
    late: Vec<(u64, Order)>,
    faults: usize,
    ticks: usize,
    trace: Vec<Choice>,
}

#[derive(Clone, Copy, Debug)]
enum Choice {
    /// A node sees the desired state change.
    Learn(usize),
    Call(usize),
    /// The call takes effect, its answer is lost.
    Lose(usize),
    /// An order that is given up on and arrives at any later time.
    Delay(usize),
    Land,
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
        let node = Node { orders, calls: vec![], wakes: vec![], learned: false };
        let mut world = Self {
            now: Duration::ZERO,
            nodes: vec![node.clone(), node],
            holder: None,
            revision: 0,
            engine: Report::default(),
            late: vec![],
            faults: 0,
            ticks: 0,
            trace: vec![],
        };
        for index in 0..world.nodes.len() {
            world.step(index, Message::Desired(vec![(TARGET.into(), desired("v1"))]));
        }
        world
    }

    fn promise(&self, case: &Case, holds: bool, promise: &str) {
        if promise.starts_with(case.promise) {
            assert!(holds, "{promise}; after {:?}; {:?}", self.trace, self.engine);
        }
    }

    fn choices(&self, case: &Case) -> Vec<Choice> {
        let mut choices = Vec::new();
        let faulty = self.faults < case.faults;
        for (index, node) in self.nodes.iter().enumerate() {
            if let Some(call) = node.calls.first() {
                choices.push(Choice::Call(index));
                if faulty {
                    choices.push(Choice::Lose(index));
                }
                if faulty && matches!(call, Action::Send { .. }) {
                    choices.push(Choice::Delay(index));
                }
            }
            if node.wakes.iter().any(|at| *at <= self.now) {
                choices.push(Choice::Wake(index));
            }
            if !node.learned {
                choices.push(Choice::Learn(index));
            }
        }
        if !self.late.is_empty() {
            choices.push(Choice::Land);
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
            Choice::Learn(index) => {
                self.nodes[index].learned = true;
                self.step(index, Message::Desired(vec![(TARGET.into(), desired("v2"))]));
            }
            Choice::Call(index) => {
                let call = self.nodes[index].calls.remove(0);
                let answer = self.perform(index, call, case);
                self.step(index, answer);
            }
            Choice::Lose(index) => {
                self.faults += 1;
                let call = self.nodes[index].calls.remove(0);
                let answer = lost(self.perform(index, call, case));
                self.step(index, answer);
            }
            Choice::Delay(index) => {
                self.faults += 1;
                let Action::Send { call_id, fence, order, until, .. } =
                    self.nodes[index].calls.remove(0)
                else {
                    unreachable!("only orders are delayed")
                };
                if self.now <= until {
                    self.late.push((fence, order));
                }
                self.step(index, Message::Answered { call_id, answer: Answer::Failed });
            }
            Choice::Land => {
                let (fence, order) = self.late.remove(0);
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
                self.now += LONG_PAUSE;
            }
        }
    }

    fn perform(&mut self, index: usize, call: Action, case: &Case) -> Message {
        let now = self.now;
        let alive = self.holder.filter(|(_, _, until)| now < *until);
        match call {
            Action::Acquire { call_id, ttl } if alive.is_none() => {
                self.revision += 1;
                self.holder = Some((index, self.revision, now + ttl));
                let lease = Lease::Held { tenure: self.revision, ttl };
                Message::Lease { call_id, lease }
            }
            Action::Acquire { call_id, .. } => Message::Lease { call_id, lease: Lease::NotHeld },
            Action::Renew { call_id } => match alive {
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
                let own = alive.is_some_and(|(_, tenure, _)| tenure == fence >> ORDER_BITS);
                self.promise(case, own, "no order is sent after its lease has lapsed");
                let answer = match self.execute(fence, order, case) {
                    true => Answer::Taken,
                    false => Answer::Old,
                };
                Message::Answered { call_id, answer }
            }
            Action::Wake(_) | Action::Log(_) => unreachable!("not a call"),
        }
    }

    /// The engine gets an order; says whether it takes it.
    fn execute(&mut self, fence: u64, order: Order, case: &Case) -> bool {
        if case.checks && fence < self.engine.fence {
            return false;
        }
        let grows = !case.checks || fence > self.engine.fence;
        self.promise(case, grows, "fencing numbers grow at an engine that checks them");
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

    /// Everything in flight ends and all learn of the change; then it must come to hold.
    fn drain(mut self, case: &Case) {
        let calm = Case { faults: 0, ticks: 0, ..*case };
        let end = self.now + LONG_PAUSE + CALM;
        for _ in 0..DRAIN_STEPS {
            if let Some(choice) = self.choices(&calm).first().copied() {
                self.apply(choice, case);
                continue;
            }
            match self.next_wake() {
                Some(at) if at < end => self.now = at,
                _ => break,
            }
        }
        let model = self.engine.model.as_ref().map(ModelName::as_str);
        self.promise(case, model == Some("v2"), "the desired state comes to hold and lasts");
    }

    fn fingerprint(&self) -> u64 {
        let mut sink = Sink(SipHasher13::new());
        let state = (self.now, &self.nodes, self.holder, self.revision, &self.engine);
        write!(sink, "{state:?}").expect("no limit");
        write!(sink, "{:?}", (&self.late, self.faults, self.ticks)).expect("no limit");
        sink.0.finish()
    }
}

fn lost(answer: Message) -> Message {
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

const SOUND: Case =
    Case { checks: true, steps: 8, faults: 1, ticks: 2, mutation: Mutation::None, promise: "" };

#[parameterized(
    engine_that_checks = { SOUND },
    engine_that_ignores = { Case { checks: false, ..SOUND } },
    two_faults = { Case { faults: 2, steps: 7, ..SOUND } },
    two_faults_ignored = { Case { faults: 2, steps: 7, checks: false, ..SOUND } },
)]
fn promises_hold_in_every_order(case: Case) {
    let states = explore(&case);
    println!("{states} states");
    assert!(states > 1000);
}

#[parameterized(
    no_lease_check = { Mutation::NoLeaseCheck, true, "no order is sent" },
    no_repeat = { Mutation::NoRepeat, false, "the desired state comes" },
    same_fence = { Mutation::SameFence, true, "fencing numbers grow" },
)]
fn a_mechanism_left_out_is_noticed(mutation: Mutation, checks: bool, promise: &'static str) {
    let case = Case { mutation, checks, promise, steps: 11, faults: 2, ..SOUND };
    let panic = std::panic::catch_unwind(|| explore(&case)).expect_err("it is noticed");
    let broken = panic.downcast_ref::<String>().cloned().unwrap_or_default();
    assert!(broken.starts_with(promise), "{broken}");
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
