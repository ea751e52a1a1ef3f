//! The limiter: a state machine without clock, thread or socket.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use fleet::{Event, OrganisationName, Request, RequestId};
use rand::rngs::SmallRng;
use smol_str::SmolStr;

use crate::lane::{Lane, Running};
use crate::organisation::OrganisationId;
use crate::waiting::Waiting;
use crate::{Action, Class, Message, Reason, Settings, event, refusal};

/// Time between looks at the queues while something waits.
const BUSY_WAKE: Duration = Duration::from_millis(50);
/// Time between looks while nothing waits.
const IDLE_WAKE: Duration = Duration::from_millis(500);
/// Time between reports of this node's demand.
const DEMAND_PERIOD: Duration = Duration::from_secs(1);
/// Priorities that engines know.
const PRIORITIES: f64 = 10.0;

/// Decides which request runs when, and which is refused.
pub struct Limiter {
    pub(crate) settings: Settings,
    pub(crate) live: u32,
    pub(crate) names: Vec<OrganisationName>,
    ids: HashMap<OrganisationName, OrganisationId>,
    pub(crate) weights: Vec<f64>,
    pub(crate) named_weights: HashMap<OrganisationName, f64>,
    pub(crate) lanes: BTreeMap<SmolStr, Lane>,
    /// Lane of each request that waits or runs.
    pub(crate) places: HashMap<RequestId, SmolStr>,
    /// When a body that is still in this node first came in.
    pub(crate) bodies: HashMap<u64, (RequestId, Duration)>,
    sequence: u64,
    next_wake: Option<Duration>,
    next_demand: Duration,
}

impl Limiter {
    /// Makes the service.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            live: 1,
            names: Vec::new(),
            ids: HashMap::new(),
            weights: Vec::new(),
            named_weights: HashMap::new(),
            lanes: BTreeMap::new(),
            places: HashMap::new(),
            bodies: HashMap::new(),
            sequence: 0,
            next_wake: None,
            next_demand: Duration::ZERO,
        }
    }

    /// Requests that wait, over all services.
    pub fn waiting(&self) -> usize {
        self.lanes.values().map(Lane::waiting).sum()
    }

    /// Requests that run, over all services.
    pub fn running(&self) -> usize {
        self.lanes.values().map(|lane| lane.running.len()).sum()
    }

    /// Handles one message at `now` and appends the actions that it asks for.
    pub fn step(
        &mut self,
        now: Duration,
        message: Message,
        rng: &mut SmallRng,
        actions: &mut Vec<Action>,
    ) {
        match message {
            Message::Arrive(request) => self.arrive(now, request, rng, actions),
            Message::Started(request) => self.started(now, request),
            Message::Finished { request, ending } => self.finished(now, request, ending, actions),
            Message::HungUp(request) => self.hung_up(now, request, actions),
            Message::Capacity(capacity) => self.capacity(now, capacity, actions),
            Message::Peers { live, demand } => self.peers(now, live, &demand, actions),
            Message::Bounds(bounds) => self.bounds(bounds),
            Message::Wake => self.wake(now, rng, actions),
        }
        self.arm(now, actions);
    }

    fn arrive(
        &mut self,
        now: Duration,
        request: Request,
        rng: &mut SmallRng,
        actions: &mut Vec<Action>,
    ) {
        debug_assert!(!self.places.contains_key(&request.id), "a request arrives once");
        let organisation = self.organisation(&request.organisation);
        self.note_repeat(now, &request);
        let service = request.service.clone();
        let waiting = self.measure(now, organisation, request);
        let Some(lane) = self.lanes.get_mut(&service) else { return };
        lane.organisations.entry(waiting.class.organisation).or_default().offer(
            now,
            waiting.cost,
            waiting.patience,
        );
        if lane.slots == 0 {
            self.refuse(now, waiting, Reason::NoCapacity, rng, actions);
            return;
        }
        if lane.has_free_slot() && lane.waiting() == 0 {
            lane.charge(waiting.class.organisation, waiting.cost, &self.weights);
            self.admit(now, waiting, actions);
            return;
        }
        // The last division may not know of this organisation's demand yet.
        lane.divide(now, self.live, &self.weights);
        let wait = lane.predicted_wait(&waiting, now, &self.settings);
        if self.settings.early_refusal && wait + waiting.answer > waiting.patience {
            let reason = self.reason(now, &waiting);
            self.refuse(now, waiting, reason, rng, actions);
            return;
        }
        self.enqueue(now, waiting, wait, rng, actions);
    }

    /// Puts a request into the queue; a full queue loses the last request of the
    /// organisation with the largest backlog.
    fn enqueue(
        &mut self,
        now: Duration,
        waiting: Waiting,
        wait: Duration,
        rng: &mut SmallRng,
        actions: &mut Vec<Action>,
    ) {
        let service = waiting.request.service.clone();
        let Some(lane) = self.lanes.get_mut(&service) else { return };
        actions.push(Action::Log(
            Event::new(&event::QUEUED)
                .with("request", format_args!("{:032x}", waiting.request.id))
                .with("organisation", &waiting.request.organisation)
                .with("service", &service)
                .with("patience_ms", waiting.patience.as_millis())
                .with("wait_ms", wait.as_millis()),
        ));
        self.places.insert(waiting.request.id, service.clone());
        self.bodies.entry(waiting.request.fingerprint).or_insert((waiting.request.id, now));
        let organisation = waiting.class.organisation;
        lane.organisations.entry(organisation).or_default().queue.push(waiting);
        if lane.waiting() > self.settings.queue {
            let largest = lane.largest_backlog(&self.weights);
            let last = largest
                .and_then(|id| lane.organisations.get_mut(&id))
                .and_then(|organisation| organisation.queue.pop_last());
            if let Some(last) = last {
                self.refuse(now, last, Reason::QueueFull, rng, actions);
            }
        }
        self.dispatch(now, &service, actions);
    }

    /// Works out what is known of a request before it is decided on.
    fn measure(
        &mut self,
        now: Duration,
        organisation: OrganisationId,
        request: Request,
    ) -> Waiting {
        let class = Class::of(organisation, &request);
        let settings = &self.settings;
        let stream = request.shape.stream;
        let service = &request.service;
        let lane = self.lanes.entry(service.clone()).or_insert_with(|| Lane::new(service.clone()));
        let estimate = lane.estimate(class, now);
        let cost = estimate.hold_seconds(settings);
        let is_guess = estimate.is_guess();
        let patience = estimate.patience(stream, settings);
        let answer = Duration::from_secs_f64(estimate.answer_seconds(stream));
        let patience = patience.min(settings.wait);
        let slack = patience.saturating_sub(answer).as_micros() as f64;
        let arrived = now.as_micros() as f64;
        let rank = if settings.urgency { slack + settings.ageing * arrived } else { arrived };
        let mut class = class;
        if !settings.fair {
            // One queue for all: every request counts as the first organisation's.
            class.organisation = 0;
        }
        self.sequence += 1;
        Waiting {
            request,
            class,
            sequence: self.sequence,
            arrived: now,
            cost,
            is_guess,
            patience,
            answer,
            rank: rank as i64,
        }
    }

    fn reason(&self, now: Duration, waiting: &Waiting) -> Reason {
        let organisation = self
            .lanes
            .get(&waiting.request.service)
            .and_then(|lane| lane.organisations.get(&waiting.class.organisation));
        match organisation {
            Some(organisation) if organisation.offered.get(now) > organisation.slots => {
                Reason::OverShare
            }
            _ => Reason::TooLate,
        }
    }

    fn admit(&mut self, now: Duration, waiting: Waiting, actions: &mut Vec<Action>) {
        let request = waiting.request.id;
        let service = waiting.request.service.clone();
        let priority = priority(waiting.patience, self.settings.wait);
        actions.push(Action::Log(
            Event::new(&event::ADMITTED)
                .with("request", format_args!("{request:032x}"))
                .with("organisation", &waiting.request.organisation)
                .with("service", &service)
                .with("priority", priority)
                .with("waited_ms", now.saturating_sub(waiting.arrived).as_millis()),
        ));
        actions.push(Action::Admit { request, priority });
        self.places.insert(request, service.clone());
        self.bodies.entry(waiting.request.fingerprint).or_insert((request, waiting.arrived));
        if let Some(lane) = self.lanes.get_mut(&service) {
            lane.running.insert(request, Running { waiting, admitted: now, started: false });
            debug_assert!(lane.running.len() <= lane.slots as usize, "slots bound what runs");
        }
    }

    fn refuse(
        &mut self,
        now: Duration,
        waiting: Waiting,
        reason: Reason,
        rng: &mut SmallRng,
        actions: &mut Vec<Action>,
    ) {
        self.forget(&waiting);
        let mut retry_after = Duration::from_secs(1);
        if let Some(lane) = self.lanes.get_mut(&waiting.request.service) {
            let waited = now.saturating_sub(waiting.arrived);
            if waited > Duration::ZERO {
                lane.estimate(waiting.class, now).patience.served(waited);
            }
            if let Some(organisation) = lane.organisations.get_mut(&waiting.class.organisation) {
                retry_after = refusal::next_return(organisation, now, waiting.cost, rng);
            }
        }
        let request = waiting.request.id;
        actions.push(Action::Log(
            Event::new(&event::REFUSED)
                .with("request", format_args!("{request:032x}"))
                .with("organisation", &waiting.request.organisation)
                .with("service", &waiting.request.service)
                .with("reason", format_args!("{reason:?}"))
                .with("retry_after_ms", retry_after.as_millis()),
        ));
        actions.push(Action::Refuse { request, reason, retry_after });
    }

    fn wake(&mut self, now: Duration, rng: &mut SmallRng, actions: &mut Vec<Action>) {
        if self.next_wake.is_some_and(|at| at <= now) {
            self.next_wake = None;
        }
        if self.settings.early_refusal {
            self.refuse_late(now, rng, actions);
        }
        self.divide_all(now, actions);
        if now >= self.next_demand {
            self.next_demand = now + DEMAND_PERIOD;
            let demand = self.demand(now);
            actions.push(Action::Demand(demand));
        }
    }

    /// Refuses what cannot be answered in time any more.
    fn refuse_late(&mut self, now: Duration, rng: &mut SmallRng, actions: &mut Vec<Action>) {
        let mut late = Vec::new();
        for lane in self.lanes.values_mut() {
            for organisation in lane.organisations.values_mut() {
                late.extend(organisation.queue.take_late(now));
            }
        }
        for waiting in late {
            let reason = self.reason(now, &waiting);
            self.refuse(now, waiting, reason, rng, actions);
        }
    }

    /// Admits as many waiting requests as there are free slots.
    pub(crate) fn dispatch(&mut self, now: Duration, service: &SmolStr, actions: &mut Vec<Action>) {
        loop {
            let Some(lane) = self.lanes.get_mut(service) else { return };
            if !lane.has_free_slot() {
                return;
            }
            let Some(waiting) = lane.next(now, &self.settings, &self.weights) else { return };
            self.admit(now, waiting, actions);
        }
    }

    pub(crate) fn forget(&mut self, waiting: &Waiting) {
        self.places.remove(&waiting.request.id);
        let first = self.bodies.get(&waiting.request.fingerprint);
        if first.is_some_and(|(request, _)| *request == waiting.request.id) {
            self.bodies.remove(&waiting.request.fingerprint);
        }
    }

    pub(crate) fn organisation(&mut self, name: &OrganisationName) -> OrganisationId {
        if let Some(&id) = self.ids.get(name) {
            return id;
        }
        let id = self.names.len() as OrganisationId;
        self.names.push(name.clone());
        self.ids.insert(name.clone(), id);
        self.weights.push(self.named_weights.get(name).copied().unwrap_or(1.0));
        id
    }

    /// Keeps one wake-up ahead: soon while something waits.
    fn arm(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let after = if self.waiting() > 0 { BUSY_WAKE } else { IDLE_WAKE };
        if self.next_wake.is_none_or(|at| at > now + after) {
            self.next_wake = Some(now + after);
            actions.push(Action::Wake(after));
        }
    }
}

/// Urgency for engines on a logarithmic scale, from 0.25 s of patience to `longest`.
fn priority(patience: Duration, longest: Duration) -> u8 {
    let least = 0.25;
    let ratio = (patience.as_secs_f64() / least).max(1.0).ln();
    let whole = (longest.as_secs_f64() / least).max(2.0).ln();
    (ratio / whole * PRIORITIES).min(PRIORITIES - 1.0) as u8
}
