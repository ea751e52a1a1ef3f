//! The service: a state machine without clock, thread or socket.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use fleet::{Event, TargetName};
use rand::RngExt;
use rand::rngs::SmallRng;

use crate::event::{DEPOSED, FOREIGN, HOLDER, REFUSED, SENT};
use crate::{
    Action, Answer, CallId, Desired, Fence, Lease, Message, Mutation, Report, Settings, Standing,
    Tenure, next_order,
};

/// Brings engines to their desired states while this node holds the lease.
#[derive(Clone, Debug)]
pub struct Orders {
    settings: Settings,
    hold: Option<Hold>,
    /// Time of the next call about the lease.
    lease_at: Duration,
    lease_call: Option<LeaseCall>,
    targets: BTreeMap<TargetName, Target>,
    calls: HashMap<CallId, TargetName>,
    next_call_id: CallId,
    wake_at: Option<Duration>,
}

/// The lease while this node holds it.
#[derive(Clone, Copy, Debug)]
struct Hold {
    tenure: Tenure,
    /// Moment at which it lapses.
    until: Duration,
    /// Orders sent under it.
    sent: u64,
}

/// A call about the lease.
#[derive(Clone, Copy, Debug)]
struct LeaseCall {
    call_id: CallId,
    /// When it was made: a lease counts from here, not from its answer.
    made: Duration,
}

/// One engine.
#[derive(Clone, Debug)]
struct Target {
    desired: Desired,
    /// Time of the next comparison.
    compare_at: Duration,
    busy: bool,
    /// Whether its desired state has changed during a call.
    changed: bool,
    /// Fencing number of the last order that this holder sent.
    last: Option<Fence>,
}

/// Low bits of a fencing number: the order's number under its holder. The rest is the tenure.
const ORDER_BITS: u32 = 20;
/// Resolution of timers: a wake that comes this much early counts as due.
const TIMER_SLACK: Duration = Duration::from_millis(1);

impl Orders {
    /// Makes the service.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            hold: None,
            lease_at: Duration::ZERO,
            lease_call: None,
            targets: BTreeMap::new(),
            calls: HashMap::new(),
            next_call_id: 1,
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
        self.lapse(now, actions);
        match message {
            Message::Desired(all) => self.desire(now, all),
            Message::Lease { call_id, lease } => self.leased(now, call_id, lease, rng, actions),
            Message::Reported { call_id, report } => self.reported(now, call_id, report, actions),
            Message::Answered { call_id, answer } => self.answered(now, call_id, answer, actions),
            Message::Wake => self.wake_at = self.wake_at.filter(|at| *at > now + TIMER_SLACK),
        }
        self.call_lease(now, actions);
        self.compare(now, actions);
        self.schedule(now, actions);
    }

    /// Whether this node holds the lease at `now`, as far as it knows.
    pub fn is_holder(&self, now: Duration) -> bool {
        self.hold.is_some_and(|hold| now < hold.until)
    }

    fn desire(&mut self, now: Duration, all: Vec<(TargetName, Desired)>) {
        let mut before = std::mem::take(&mut self.targets);
        for (name, desired) in all {
            let target = match before.remove(&name) {
                Some(target) if target.desired == desired => target,
                Some(target) => Target { desired, compare_at: now, changed: true, ..target },
                None => {
                    Target { desired, compare_at: now, busy: false, changed: false, last: None }
                }
            };
            self.targets.insert(name, target);
        }
        self.calls.retain(|_, target| self.targets.contains_key(target));
    }

    fn lapse(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let over = self.hold.is_some_and(|hold| now >= hold.until);
        if over && self.settings.mutation != Mutation::NoLeaseCheck {
            self.depose(now, "lapsed", actions);
        }
    }

    fn depose(&mut self, now: Duration, reason: &str, actions: &mut Vec<Action>) {
        if let Some(hold) = self.hold.take() {
            let event = Event::new(&DEPOSED).with("tenure", hold.tenure).with("reason", reason);
            actions.push(Action::Log(event));
            self.lease_at = now;
        }
    }

    fn leased(
        &mut self,
        now: Duration,
        call_id: CallId,
        lease: Lease,
        rng: &mut SmallRng,
        actions: &mut Vec<Action>,
    ) {
        let Some(call) = self.lease_call.filter(|call| call.call_id == call_id) else { return };
        self.lease_call = None;
        self.lease_at = now + self.settings.renew_interval.mul_f64(rng.random_range(0.8..=1.0));
        match lease {
            Lease::Held { tenure, ttl } => self.hold(now, tenure, call.made + ttl, actions),
            Lease::NotHeld => self.depose(now, "other", actions),
            Lease::Unavailable => {}
        }
        self.lapse(now, actions);
    }

    fn hold(&mut self, now: Duration, tenure: Tenure, until: Duration, actions: &mut Vec<Action>) {
        match &mut self.hold {
            Some(hold) if hold.tenure == tenure => hold.until = until,
            _ => {
                actions.push(Action::Log(Event::new(&HOLDER).with("tenure", tenure)));
                self.hold = Some(Hold { tenure, until, sent: 0 });
                for target in self.targets.values_mut() {
                    target.last = None;
                    target.compare_at = now;
                }
            }
        }
    }

    fn call_lease(&mut self, now: Duration, actions: &mut Vec<Action>) {
        if self.lease_call.is_some() || now < self.lease_at {
            return;
        }
        let call_id = self.allocate_call_id();
        self.lease_call = Some(LeaseCall { call_id, made: now });
        actions.push(match self.hold {
            Some(_) => Action::Renew { call_id },
            None => Action::Acquire { call_id, ttl: self.settings.ttl },
        });
    }

    /// Reads the engines whose turn it is.
    fn compare(&mut self, now: Duration, actions: &mut Vec<Action>) {
        if self.hold.is_none() {
            return;
        }
        let due: Vec<TargetName> = self
            .targets
            .iter()
            .filter(|(_, target)| !target.busy && target.compare_at <= now)
            .map(|(name, _)| name.clone())
            .collect();
        for name in due {
            if self.calls.len() >= self.settings.concurrency {
                return;
            }
            let call_id = self.call(&name);
            actions.push(Action::Read { call_id, target: name });
        }
    }

    fn reported(
        &mut self,
        now: Duration,
        call_id: CallId,
        report: Option<Report>,
        actions: &mut Vec<Action>,
    ) {
        let Some(name) = self.end(now, call_id) else { return };
        let (Some(report), Some(target)) = (report, self.targets.get(&name)) else { return };
        if report.standing == Standing::Loading && report.model == target.desired.model {
            return;
        }
        let Some(order) = next_order(&target.desired, &report) else {
            if self.settings.mutation == Mutation::NoRepeat {
                self.targets.entry(name).and_modify(|target| target.compare_at = Duration::MAX);
            }
            return;
        };
        if target.last.is_some_and(|last| last != report.fence) {
            let event = Event::new(&FOREIGN).with("target", &name).with("fence", report.fence);
            actions.push(Action::Log(event));
        }
        let Some((fence, until)) = self.next_fence(now) else { return };
        self.targets.entry(name.clone()).and_modify(|target| target.last = Some(fence));
        let call_id = self.call(&name);
        let event = Event::new(&SENT).with("target", &name).with("fence", fence);
        actions.push(Action::Log(event.with("order", format_args!("{order:?}"))));
        actions.push(Action::Send { call_id, target: name, fence, order, until });
    }

    /// Fencing number of the next order and the end of its window, if the lease still allows one.
    fn next_fence(&mut self, now: Duration) -> Option<(Fence, Duration)> {
        let check = self.settings.mutation != Mutation::NoLeaseCheck;
        let hold = self.hold.as_mut()?;
        let until = (now + self.settings.send_window).min(hold.until - self.settings.lease_margin);
        if check && now >= until {
            return None;
        }
        if hold.sent + 1 >= 1 << ORDER_BITS {
            // The numbers of this tenure are spent: the next one begins when the lease lapses.
            self.hold = None;
            return None;
        }
        if self.settings.mutation != Mutation::SameFence {
            hold.sent += 1;
        }
        let until = if check { until } else { Duration::MAX };
        Some(((hold.tenure << ORDER_BITS) + hold.sent, until))
    }

    fn answered(
        &mut self,
        now: Duration,
        call_id: CallId,
        answer: Answer,
        actions: &mut Vec<Action>,
    ) {
        let Some(name) = self.end(now, call_id) else { return };
        if answer != Answer::Taken {
            let event = Event::new(&REFUSED).with("target", &name);
            actions.push(Action::Log(event.with("reason", format_args!("{answer:?}"))));
        }
        match answer {
            // What an order has done is seen by reading back, not by its answer.
            Answer::Taken => {
                self.targets.entry(name).and_modify(|target| target.compare_at = now);
            }
            Answer::Old => self.depose(now, "old-fence", actions),
            Answer::Late | Answer::Failed => {}
        }
    }

    fn call(&mut self, name: &TargetName) -> CallId {
        let call_id = self.allocate_call_id();
        self.calls.insert(call_id, name.clone());
        if let Some(target) = self.targets.get_mut(name) {
            target.busy = true;
        }
        call_id
    }

    /// Ends a call; the engine is compared again after the interval.
    fn end(&mut self, now: Duration, call_id: CallId) -> Option<TargetName> {
        let name = self.calls.remove(&call_id)?;
        let target = self.targets.get_mut(&name)?;
        target.busy = false;
        let changed = std::mem::take(&mut target.changed);
        target.compare_at = if changed { now } else { now + self.settings.compare_interval };
        Some(name)
    }

    fn allocate_call_id(&mut self) -> CallId {
        let call_id = self.next_call_id;
        self.next_call_id += 1;
        call_id
    }

    /// Asks to be woken when the next wait ends.
    fn schedule(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let lease = self.lease_call.is_none().then_some(self.lease_at);
        let waiting = self.targets.values().filter(|target| !target.busy);
        let compares = waiting.map(|target| target.compare_at).filter(|_| self.hold.is_some());
        let lapse = self.hold.map(|hold| hold.until);
        let due = lease.into_iter().chain(compares).chain(lapse).filter(|at| *at > now).min();
        let Some(due) = due.filter(|due| *due != Duration::MAX) else { return };
        if self.wake_at.is_some_and(|at| at <= due) {
            return;
        }
        self.wake_at = Some(due);
        actions.push(Action::Wake(due - now));
    }
}
