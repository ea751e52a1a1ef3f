//! VMs that send requests to one target with a limit, in virtual time.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::mem;
use std::net::SocketAddr;
use std::time::Duration;

use limit::permit::{Answer, Class, Decision, Limit, Outgoing, Permits, Request};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use site::Rate;

/// Time that VMs have to learn of a limit.
pub(crate) const CONTACT: Duration = Duration::from_secs(3);
/// Length of a run.
const LENGTH: Duration = Duration::from_secs(30);
/// Time at which the target names its limit.
const NAMED_AT: Duration = Duration::from_secs(8);
/// Span over which the calls are counted.
const SPAN: Duration = Duration::from_secs(4);
/// Time after which a VM that has heard the limit counts as told.
const TOLD_AFTER: Duration = Duration::from_millis(500);
const STEP: Duration = Duration::from_millis(5);
/// Interval at which VMs look at the store's list.
const LIST_INTERVAL: Duration = Duration::from_millis(50);
/// Time from a request to the head of its answer.
const ANSWER_TIME: Duration = Duration::from_millis(50);
/// Interval at which VMs tell whether they issue permits.
const VIEW_INTERVAL: Duration = Duration::from_millis(150);
/// Time for which such a word counts.
const VIEW_VALIDITY: Duration = Duration::from_millis(1000);
/// Time until all VMs see that another one has started.
const REGISTRATION_TIME: Duration = Duration::from_millis(300);
/// Time until they see that one has ended or is cut off.
const LAPSE_TIME: Duration = Duration::from_millis(4800);
/// Time for which a VM waits for the answer of an issuer.
const ASK_TIMEOUT: Duration = Duration::from_millis(24);

/// What happens in a run.
#[derive(Clone, Debug)]
pub(crate) struct Plan {
    pub(crate) vms: u16,
    /// Limit of the target.
    pub(crate) per_second: f64,
    /// Requests per second of all callers.
    pub(crate) demand: f64,
    /// Share of the messages that are lost.
    pub(crate) loss: f64,
    pub(crate) joins: bool,
    pub(crate) ends: bool,
    pub(crate) freezes: bool,
    pub(crate) cuts: bool,
}

#[derive(Clone, Debug)]
enum Content {
    View(bool),
    Ask(Request),
    Answer(Answer),
    Limit(Limit),
    /// Answer of the target to a call sent at this time.
    Target(Duration, Option<Rate>),
}

#[derive(Clone, Debug)]
struct Message {
    from: SocketAddr,
    to: SocketAddr,
    content: Content,
}

struct Vm {
    permits: Permits,
    started: Duration,
    frozen_until: Duration,
    cut_until: Duration,
    /// Time from which a restart, a freeze or a cut no longer excuses the VM.
    excused_until: Duration,
    told_at: Option<Duration>,
    next_view: Duration,
    asked: Option<(Request, Duration)>,
    waiting: usize,
    /// Messages that arrived while the VM was frozen.
    inbox: VecDeque<Message>,
}

/// The VMs, the target and the messages on the way.
pub(crate) struct Network {
    plan: Plan,
    rng: SmallRng,
    now: Duration,
    vms: BTreeMap<SocketAddr, Vm>,
    /// VMs in the store's list, with the time from which they are seen, or no longer seen.
    registered: BTreeMap<SocketAddr, (Duration, Duration)>,
    /// Messages on the way, by their arrival and a number.
    messages: BTreeMap<(Duration, u64), Message>,
    sent: u64,
    next_list: Duration,
    /// Calls that reached the target: time, VM, and whether the VM was excused.
    arrivals: Vec<(Duration, SocketAddr, bool)>,
    newest: u16,
    target: SocketAddr,
}

impl Network {
    pub(crate) fn new(plan: Plan, seed: u64) -> Self {
        let rng = SmallRng::seed_from_u64(seed);
        let target = SocketAddr::from(([10, 1, 0, 1], 80));
        let mut network = Self {
            rng,
            now: Duration::ZERO,
            vms: BTreeMap::new(),
            registered: BTreeMap::new(),
            messages: BTreeMap::new(),
            sent: 0,
            next_list: Duration::ZERO,
            arrivals: Vec::new(),
            newest: 0,
            target,
            plan,
        };
        for _ in 0..network.plan.vms {
            network.join();
        }
        network
    }

    pub(crate) fn run(&mut self) {
        while self.now < LENGTH {
            self.now += STEP;
            self.disturb();
            if self.now >= self.next_list {
                self.next_list = self.now + LIST_INTERVAL;
                self.update_lists();
            }
            self.send_views();
            self.deliver();
            self.send_requests();
        }
    }

    /// Returns the most calls in a span that exceed what the rule allows, with the time.
    pub(crate) fn excess(&self) -> Option<(usize, Duration)> {
        let allowed = 1.5 * self.plan.per_second * SPAN.as_secs_f64() + 5.0;
        let ends = self.arrivals.iter().filter(|(at, ..)| *at >= NAMED_AT + CONTACT);
        let counted = ends.map(|&(end, ..)| {
            let is_counted = |&&(_, vm, excused): &&(Duration, SocketAddr, bool)| {
                let told = self.vms.get(&vm).and_then(|vm| vm.told_at);
                !excused && told.is_some_and(|told| told + TOLD_AFTER <= end)
            };
            let from = self.arrivals.partition_point(|(at, ..)| *at + SPAN <= end);
            let to = self.arrivals.partition_point(|(at, ..)| *at <= end);
            (self.arrivals[from..to].iter().filter(is_counted).count(), end)
        });
        counted.filter(|(calls, _)| *calls as f64 > allowed).max_by_key(|(calls, _)| *calls)
    }

    /// Returns the share of the limit that is used once the VMs have had time to learn of it.
    pub(crate) fn used(&self) -> f64 {
        let from = NAMED_AT + CONTACT;
        let calls = self.arrivals.iter().filter(|(at, ..)| *at >= from).count();
        calls as f64 / (self.plan.per_second * (LENGTH - from).as_secs_f64())
    }

    fn join(&mut self) {
        let address = SocketAddr::from(([10, 0, 0, 1], 1000 + self.newest));
        self.newest += 1;
        let mut permits = Permits::new(address, CONTACT);
        permits.set_issuing(true);
        let vm = Vm {
            permits,
            started: self.now,
            frozen_until: Duration::ZERO,
            cut_until: Duration::ZERO,
            excused_until: if self.now.is_zero() { Duration::ZERO } else { self.now + CONTACT },
            told_at: None,
            next_view: self.now,
            asked: None,
            waiting: 0,
            inbox: VecDeque::new(),
        };
        self.vms.insert(address, vm);
        self.registered.insert(address, (self.now + REGISTRATION_TIME, Duration::MAX));
    }

    /// Lets VMs join, end, freeze and be cut off at random.
    fn disturb(&mut self) {
        // One in three seconds of each kind.
        let probability = STEP.as_secs_f64() / 3.0;
        let plan = self.plan.clone();
        if plan.joins && self.rng.random_bool(probability) {
            self.join();
        }
        let index = self.rng.random_range(0..self.vms.len());
        let address = *self.vms.keys().nth(index).expect("a VM");
        if plan.ends && self.vms.len() > 2 && self.rng.random_bool(probability) {
            self.vms.remove(&address);
            // Half of them end as planned, and remove their entries.
            let lapse = if self.rng.random_bool(0.5) { REGISTRATION_TIME } else { LAPSE_TIME };
            if let Some(seen) = self.registered.get_mut(&address) {
                seen.1 = self.now + lapse;
            }
            return;
        }
        let period = Duration::from_millis(self.rng.random_range(200..4000));
        let until = self.now + period;
        let Some(vm) = self.vms.get_mut(&address) else { return };
        if plan.freezes && self.rng.random_bool(probability) {
            vm.frozen_until = until;
            vm.excused_until = until + CONTACT;
        }
        if plan.cuts && self.rng.random_bool(probability) {
            vm.cut_until = until;
            vm.excused_until = until + CONTACT;
        }
    }

    /// Gives each VM that reaches the store its list.
    fn update_lists(&mut self) {
        let now = self.now;
        let seen = self.registered.iter().filter(|(_, (from, to))| *from <= now && now < *to);
        let seen: BTreeSet<SocketAddr> = seen.map(|(vm, _)| *vm).collect();
        for (address, vm) in &mut self.vms {
            if vm.frozen_until <= now && vm.cut_until <= now {
                let others = seen.iter().copied().filter(|other| other != address).collect();
                vm.permits.set_registered(others);
            }
        }
    }

    fn send(&mut self, from: SocketAddr, to: SocketAddr, content: Content) {
        let is_cut = |vm: &SocketAddr| self.vms.get(vm).is_some_and(|vm| vm.cut_until > self.now);
        if is_cut(&from) || is_cut(&to) || self.rng.random_bool(self.plan.loss) {
            return;
        }
        let delay = Duration::from_micros(self.rng.random_range(200..3000));
        self.post(self.now + delay, Message { from, to, content });
    }

    fn post(&mut self, at: Duration, message: Message) {
        self.sent += 1;
        self.messages.insert((at, self.sent), message);
    }

    /// Sends what a VM wants to tell others.
    fn flush(&mut self, address: SocketAddr) {
        let Some(vm) = self.vms.get_mut(&address) else { return };
        for (to, outgoing) in vm.permits.take_outbox() {
            let content = match outgoing {
                Outgoing::Notice(request) => Content::Ask(request),
                Outgoing::Limit(limit) => Content::Limit(limit),
            };
            self.send(address, to, content);
        }
    }

    fn send_views(&mut self) {
        let now = self.now;
        let due =
            self.vms.iter_mut().filter(|(_, vm)| vm.next_view <= now && vm.frozen_until <= now);
        let due = due.map(|(address, vm)| {
            vm.next_view = now + VIEW_INTERVAL;
            *address
        });
        let due: Vec<SocketAddr> = due.collect();
        let all: Vec<SocketAddr> = self.vms.keys().copied().collect();
        for from in due {
            for &to in all.iter().filter(|to| **to != from) {
                self.send(from, to, Content::View(true));
            }
        }
    }

    /// Delivers the messages that are due, those of frozen VMs once they go on.
    fn deliver(&mut self) {
        let now = self.now;
        let later = self.messages.split_off(&(now, u64::MAX));
        let mut due: VecDeque<Message> = VecDeque::new();
        for vm in self.vms.values_mut().filter(|vm| vm.frozen_until <= now) {
            due.extend(mem::take(&mut vm.inbox));
        }
        due.extend(mem::replace(&mut self.messages, later).into_values());
        for message in due {
            let to = message.to;
            match self.vms.get_mut(&to).filter(|vm| vm.frozen_until > now) {
                Some(vm) => vm.inbox.push_back(message),
                None => self.receive(message),
            }
            self.flush(to);
        }
    }

    fn receive(&mut self, message: Message) {
        let (now, target) = (self.now, self.target);
        let Message { from, to, content, .. } = message;
        let Some(vm) = self.vms.get_mut(&to) else { return };
        match content {
            Content::View(issues) => vm.permits.record_issuing(from, issues, now + VIEW_VALIDITY),
            Content::Ask(request) => {
                let answer = vm.permits.answer(now, &request);
                self.send(to, from, Content::Answer(answer));
            }
            Content::Limit(limit) => {
                vm.permits.record_limit(now, from, &limit);
            }
            Content::Answer(answer) => {
                vm.permits.record_answer(from, &answer);
                let Some((request, asked_at)) = vm.asked.take() else { return };
                if answer.number != request.number {
                    vm.asked = Some((request, asked_at));
                    return;
                }
                let decision = vm.permits.accept(now, from, &request, &answer);
                self.act(to, decision);
            }
            Content::Target(sent_at, rate) => {
                vm.permits.record_statement(now, target, sent_at, rate);
                if rate.is_some() {
                    vm.told_at.get_or_insert(now);
                }
            }
        }
    }

    /// Sends the requests of callers.
    fn send_requests(&mut self) {
        let share = self.plan.demand * STEP.as_secs_f64() / self.vms.len() as f64;
        let addresses: Vec<SocketAddr> = self.vms.keys().copied().collect();
        for address in addresses {
            let is_due = self.rng.random_bool(share.min(1.0));
            let now = self.now;
            let Some(vm) = self.vms.get_mut(&address) else { continue };
            if vm.frozen_until > now {
                continue;
            }
            vm.waiting += usize::from(is_due && now >= vm.started + REGISTRATION_TIME);
            if let Some((request, _)) = vm.asked.take_if(|(_, at)| *at + ASK_TIMEOUT <= now) {
                vm.permits.record_silence(now, &request);
            }
            if vm.waiting == 0 || vm.asked.is_some() {
                continue;
            }
            vm.waiting -= 1;
            let decision = vm.permits.decide(now, self.target, Class::Request, Duration::ZERO);
            self.act(address, decision);
            self.flush(address);
        }
    }

    fn act(&mut self, address: SocketAddr, decision: Decision) {
        let now = self.now;
        match decision {
            Decision::Free | Decision::Granted(_) => {
                let Some(vm) = self.vms.get_mut(&address) else { return };
                vm.permits.record_sent(now, self.target);
                let excused = vm.excused_until > now;
                self.arrivals.push((now, address, excused));
                let limit = Rate::new(self.plan.per_second).filter(|_| now >= NAMED_AT);
                let content = Content::Target(now, limit);
                let message = Message { from: self.target, to: address, content };
                self.post(now + ANSWER_TIME, message);
            }
            Decision::Denied(_) => {}
            Decision::Ask(issuer, request) => {
                if let Some(vm) = self.vms.get_mut(&address) {
                    vm.asked = Some((request.clone(), now));
                }
                self.send(address, issuer, Content::Ask(request));
            }
        }
    }
}
