//! The order service, a state machine without clock, threads or sockets.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use fleet::{Event, TargetName};
use rand::RngExt;
use rand::rngs::SmallRng;

use crate::event::{FOREIGN, LEASE_HELD, LEASE_LOST, REFUSED, SENT};
use crate::{
    Action, Answer, CallId, Desired, Fence, Lease, Message, Mutation, Report, Settings, Standing,
    Tenure, next_order,
};

/// Brings engines to their desired states while this node holds the lease.
#[derive(Clone, Debug)]
pub struct Orders {
    settings: Settings,
    held: Option<HeldLease>,
    /// Time at which the lease is next acquired or renewed.
    lease_at: Duration,
    lease_call: Option<LeaseCall>,
    targets: BTreeMap<TargetName, Target>,
    calls: HashMap<CallId, TargetName>,
    next_call_id: CallId,
    wake_at: Option<Duration>,
}

/// The lease while this node holds it.
#[derive(Clone, Copy, Debug)]
struct HeldLease {
    tenure: Tenure,
    /// Time at which the lease expires.
    until: Duration,
    /// Number of orders sent under the lease.
    orders_sent: u64,
}

/// A pending call to acquire or renew the lease.
#[derive(Clone, Copy, Debug)]
struct LeaseCall {
    call_id: CallId,
    /// Time of the call. The lease is counted from here rather than from the answer.
    sent_at: Duration,
}

/// State of one engine.
#[derive(Clone, Debug)]
struct Target {
    desired: Desired,
    /// Time of the next comparison.
    compare_at: Duration,
    busy: bool,
    /// Whether the desired state has changed during a call.
    changed: bool,
    /// Fencing number of the last order that this holder sent.
    fence: Option<Fence>,
}

/// Number of low bits of a fencing number that count the orders of one tenure. The tenure takes the
/// other bits.
const ORDER_BITS: u32 = 20;
/// Resolution of timers: a wake-up that arrives early by this much counts as due.
const TIMER_RESOLUTION: Duration = Duration::from_millis(1);

impl Orders {
    /// Creates the service.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            held: None,
            lease_at: Duration::ZERO,
            lease_call: None,
            targets: BTreeMap::new(),
            calls: HashMap::new(),
            next_call_id: 1,
            wake_at: None,
        }
    }

    /// Handles one message at `now` and appends the resulting actions.
    pub fn step(
        &mut self,
        now: Duration,
        message: Message,
        rng: &mut SmallRng,
        actions: &mut Vec<Action>,
    ) {
        self.expire_lease(now, actions);
        match message {
            Message::Desired(all) => self.set_desired(now, all),
            Message::Lease { call_id, lease } => self.on_lease(now, call_id, lease, rng, actions),
            Message::Reported { call_id, report } => self.on_report(now, call_id, report, actions),
            Message::Answered { call_id, answer } => self.on_answer(now, call_id, answer, actions),
            Message::Wake => self.wake_at = self.wake_at.filter(|at| *at > now + TIMER_RESOLUTION),
        }
        self.request_lease(now, actions);
        self.read_due_targets(now, actions);
        self.schedule_wake(now, actions);
    }

    /// Returns whether this node holds the lease at `now` as far as it knows.
    pub fn is_holder(&self, now: Duration) -> bool {
        self.held.is_some_and(|held| now < held.until)
    }

    fn set_desired(&mut self, now: Duration, all: Vec<(TargetName, Desired)>) {
        let mut previous = std::mem::take(&mut self.targets);
        for (name, desired) in all {
            let target = match previous.remove(&name) {
                Some(target) if target.desired == desired => target,
                Some(target) => Target { desired, compare_at: now, changed: true, ..target },
                None => {
                    Target { desired, compare_at: now, busy: false, changed: false, fence: None }
                }
            };
            self.targets.insert(name, target);
        }
        self.calls.retain(|_, target| self.targets.contains_key(target));
    }

    fn expire_lease(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let is_expired = self.held.is_some_and(|held| now >= held.until);
        if is_expired && self.settings.mutation != Mutation::NoLeaseCheck {
            self.step_down(now, "lapsed", actions);
        }
    }

    fn step_down(&mut self, now: Duration, reason: &str, actions: &mut Vec<Action>) {
        if let Some(held) = self.held.take() {
            let event = Event::new(&LEASE_LOST).with("tenure", held.tenure).with("reason", reason);
            actions.push(Action::Log(event));
            self.lease_at = now;
        }
    }

    fn on_lease(
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
            Lease::Held { tenure, ttl } => self.set_held(now, tenure, call.sent_at + ttl, actions),
            Lease::NotHeld => self.step_down(now, "other", actions),
            Lease::Unavailable => {}
        }
        self.expire_lease(now, actions);
    }

    fn set_held(
        &mut self,
        now: Duration,
        tenure: Tenure,
        until: Duration,
        actions: &mut Vec<Action>,
    ) {
        match &mut self.held {
            Some(held) if held.tenure == tenure => held.until = until,
            _ => {
                actions.push(Action::Log(Event::new(&LEASE_HELD).with("tenure", tenure)));
                self.held = Some(HeldLease { tenure, until, orders_sent: 0 });
                for target in self.targets.values_mut() {
                    target.fence = None;
                    target.compare_at = now;
                }
            }
        }
    }

    fn request_lease(&mut self, now: Duration, actions: &mut Vec<Action>) {
        if self.lease_call.is_some() || now < self.lease_at {
            return;
        }
        let call_id = self.allocate_call_id();
        self.lease_call = Some(LeaseCall { call_id, sent_at: now });
        actions.push(match self.held {
            Some(_) => Action::Renew { call_id },
            None => Action::Acquire { call_id, ttl: self.settings.ttl },
        });
    }

    /// Reads the states of the engines that are due for a comparison.
    fn read_due_targets(&mut self, now: Duration, actions: &mut Vec<Action>) {
        if self.held.is_none() {
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
            let call_id = self.start_call(&name);
            actions.push(Action::Read { call_id, target: name });
        }
    }

    fn on_report(
        &mut self,
        now: Duration,
        call_id: CallId,
        report: Option<Report>,
        actions: &mut Vec<Action>,
    ) {
        let Some(name) = self.end_call(now, call_id) else { return };
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
        if target.fence.is_some_and(|last| last != report.fence) {
            let event = Event::new(&FOREIGN).with("target", &name).with("fence", report.fence);
            actions.push(Action::Log(event));
        }
        let Some((fence, until)) = self.next_fence(now) else { return };
        self.targets.entry(name.clone()).and_modify(|target| target.fence = Some(fence));
        let call_id = self.start_call(&name);
        let event = Event::new(&SENT).with("target", &name).with("fence", fence);
        actions.push(Action::Log(event.with("order", format_args!("{order:?}"))));
        actions.push(Action::Send { call_id, target: name, fence, order, until });
    }

    /// Returns the fencing number of the next order and the end of its window, if the lease still
    /// allows one.
    fn next_fence(&mut self, now: Duration) -> Option<(Fence, Duration)> {
        let check = self.settings.mutation != Mutation::NoLeaseCheck;
        let held = self.held.as_mut()?;
        let until = (now + self.settings.send_window).min(held.until - self.settings.lease_margin);
        if check && now >= until {
            return None;
        }
        if held.orders_sent + 1 >= 1 << ORDER_BITS {
            // The numbers of this tenure are used up. The next tenure starts after the lease
            // has expired.
            self.held = None;
            return None;
        }
        if self.settings.mutation != Mutation::SameFence {
            held.orders_sent += 1;
        }
        let until = if check { until } else { Duration::MAX };
        Some(((held.tenure << ORDER_BITS) + held.orders_sent, until))
    }

    fn on_answer(
        &mut self,
        now: Duration,
        call_id: CallId,
        answer: Answer,
        actions: &mut Vec<Action>,
    ) {
        let Some(name) = self.end_call(now, call_id) else { return };
        if answer != Answer::Taken {
            let event = Event::new(&REFUSED).with("target", &name);
            actions.push(Action::Log(event.with("reason", format_args!("{answer:?}"))));
        }
        match answer {
            // The effect of an order is read back from the engine instead of trusting its answer.
            Answer::Taken => {
                self.targets.entry(name).and_modify(|target| target.compare_at = now);
            }
            Answer::Old => self.step_down(now, "old-fence", actions),
            Answer::Late | Answer::Failed => {}
        }
    }

    fn start_call(&mut self, name: &TargetName) -> CallId {
        let call_id = self.allocate_call_id();
        self.calls.insert(call_id, name.clone());
        if let Some(target) = self.targets.get_mut(name) {
            target.busy = true;
        }
        call_id
    }

    /// Ends a call. The engine is compared again after the interval, or at once if its desired
    /// state has changed during the call.
    fn end_call(&mut self, now: Duration, call_id: CallId) -> Option<TargetName> {
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

    /// Requests a wake-up at the next due time.
    fn schedule_wake(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let lease = self.lease_call.is_none().then_some(self.lease_at);
        let waiting = self.targets.values().filter(|target| !target.busy);
        let compares = waiting.map(|target| target.compare_at).filter(|_| self.held.is_some());
        let lapse = self.held.map(|held| held.until);
        let due = lease.into_iter().chain(compares).chain(lapse).filter(|at| *at > now).min();
        let Some(due) = due.filter(|due| *due != Duration::MAX) else { return };
        if self.wake_at.is_some_and(|at| at <= due) {
            return;
        }
        self.wake_at = Some(due);
        actions.push(Action::Wake(due - now));
    }
}
