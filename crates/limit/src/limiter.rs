//! The limiter: a state machine without clock, thread or socket.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use fleet::{Event, OrganisationName, Request, RequestId};
use rand::rngs::SmallRng;
use smol_str::SmolStr;

use crate::organisation::OrganisationId;
use crate::pool::{Pool, Running};
use crate::queue::Entry;
use crate::{Action, Class, Message, Reason, Settings, event, retry};

/// Maximum time between wakes while requests are queued.
const BUSY_WAKE_PERIOD: Duration = Duration::from_millis(50);
/// Maximum time between wakes while no request is queued.
const IDLE_WAKE_PERIOD: Duration = Duration::from_millis(500);
/// Time between reports of this node's demand.
const DEMAND_PERIOD: Duration = Duration::from_secs(1);
/// Number of priority levels of the engines.
const PRIORITIES: f64 = 10.0;

/// Decides when each request runs and which requests are refused.
pub struct Limiter {
    pub(crate) settings: Settings,
    pub(crate) live_nodes: u32,
    pub(crate) organisation_names: Vec<OrganisationName>,
    organisation_ids: HashMap<OrganisationName, OrganisationId>,
    pub(crate) weights: Vec<f64>,
    pub(crate) configured_weights: HashMap<OrganisationName, f64>,
    pub(crate) pools: BTreeMap<SmolStr, Pool>,
    /// Service whose pool holds each queued or running request.
    pub(crate) pools_by_request: HashMap<RequestId, SmolStr>,
    /// First request with each fingerprint that is still queued or running, and its arrival.
    pub(crate) fingerprints: HashMap<u64, (RequestId, Duration)>,
    sequence: u64,
    next_wake: Option<Duration>,
    next_demand: Duration,
}

impl Limiter {
    /// Creates a limiter without capacity.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            live_nodes: 1,
            organisation_names: Vec::new(),
            organisation_ids: HashMap::new(),
            weights: Vec::new(),
            configured_weights: HashMap::new(),
            pools: BTreeMap::new(),
            pools_by_request: HashMap::new(),
            fingerprints: HashMap::new(),
            sequence: 0,
            next_wake: None,
            next_demand: Duration::ZERO,
        }
    }

    /// Number of queued requests over all services.
    pub fn waiting(&self) -> usize {
        self.pools.values().map(Pool::waiting).sum()
    }

    /// Number of running requests over all services.
    pub fn running(&self) -> usize {
        self.pools.values().map(|pool| pool.running.len()).sum()
    }

    /// Handles one message at `now` and appends the resulting actions.
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
            Message::Capacity(capacity) => self.set_capacity(now, capacity, actions),
            Message::Peers { live, demand } => self.set_peers(now, live, &demand, actions),
            Message::Bounds(bounds) => self.set_bounds(bounds),
            Message::Wake => self.wake(now, rng, actions),
        }
        self.schedule_wake(now, actions);
    }

    fn arrive(
        &mut self,
        now: Duration,
        request: Request,
        rng: &mut SmallRng,
        actions: &mut Vec<Action>,
    ) {
        debug_assert!(
            !self.pools_by_request.contains_key(&request.id),
            "the request has already arrived"
        );
        let organisation = self.organisation_id(&request.organisation);
        self.record_duplicate(now, &request);
        let service = request.service.clone();
        let entry = self.make_entry(now, organisation, request);
        let Some(pool) = self.pools.get_mut(&service) else { return };
        pool.organisations.entry(entry.class.organisation).or_default().record_arrival(
            now,
            entry.cost,
            entry.tolerance,
        );
        if pool.slots == 0 {
            self.refuse(now, entry, Reason::NoCapacity, rng, actions);
            return;
        }
        if pool.has_free_slot() && pool.waiting() == 0 {
            pool.charge(entry.class.organisation, entry.cost, &self.weights);
            self.admit(now, entry, actions);
            return;
        }
        // The last division may predate this organisation's demand.
        pool.divide_slots(now, self.live_nodes, &self.weights);
        let wait = pool.predicted_wait(&entry, now, &self.settings);
        if self.settings.early_refusal && wait + entry.response > entry.tolerance {
            let reason = self.refusal_reason(now, &entry);
            self.refuse(now, entry, reason, rng, actions);
            return;
        }
        self.enqueue(now, entry, wait, rng, actions);
    }

    /// Queues a request. If the queue exceeds its bound, refuses the last request of the
    /// organisation with the largest backlog.
    fn enqueue(
        &mut self,
        now: Duration,
        entry: Entry,
        wait: Duration,
        rng: &mut SmallRng,
        actions: &mut Vec<Action>,
    ) {
        let service = entry.request.service.clone();
        let Some(pool) = self.pools.get_mut(&service) else { return };
        actions.push(Action::Log(
            Event::new(&event::QUEUED)
                .with("request", format_args!("{:032x}", entry.request.id))
                .with("organisation", &entry.request.organisation)
                .with("service", &service)
                .with("patience_ms", entry.tolerance.as_millis())
                .with("wait_ms", wait.as_millis()),
        ));
        self.pools_by_request.insert(entry.request.id, service.clone());
        self.fingerprints.entry(entry.request.fingerprint).or_insert((entry.request.id, now));
        let organisation = entry.class.organisation;
        pool.organisations.entry(organisation).or_default().queue.push(entry);
        if pool.waiting() > self.settings.queue {
            let largest = pool.largest_backlog(&self.weights);
            let last = largest
                .and_then(|id| pool.organisations.get_mut(&id))
                .and_then(|organisation| organisation.queue.pop_last());
            if let Some(last) = last {
                self.refuse(now, last, Reason::QueueFull, rng, actions);
            }
        }
        self.dispatch(now, &service, actions);
    }

    /// Builds the queue entry of a request, with its predictions and its rank.
    fn make_entry(
        &mut self,
        now: Duration,
        organisation: OrganisationId,
        request: Request,
    ) -> Entry {
        let class = Class::of(organisation, &request);
        let settings = &self.settings;
        let stream = request.shape.stream;
        let service = &request.service;
        let pool = self.pools.entry(service.clone()).or_insert_with(|| Pool::new(service.clone()));
        let estimate = pool.estimate(class, now);
        let cost = estimate.hold_seconds(settings);
        let is_assumed = estimate.is_assumed();
        let tolerance = estimate.tolerance(stream, settings);
        let response = Duration::from_secs_f64(estimate.response_seconds(stream));
        let tolerance = tolerance.min(settings.wait);
        let slack = tolerance.saturating_sub(response).as_micros() as f64;
        let arrived = now.as_micros() as f64;
        let rank = if settings.urgency { slack + settings.ageing * arrived } else { arrived };
        let mut class = class;
        if !settings.fair {
            // All organisations share the queue of the first one.
            class.organisation = 0;
        }
        self.sequence += 1;
        Entry {
            request,
            class,
            sequence: self.sequence,
            arrived: now,
            cost,
            is_assumed,
            tolerance,
            response,
            rank: rank as i64,
        }
    }

    fn refusal_reason(&self, now: Duration, entry: &Entry) -> Reason {
        let organisation = self
            .pools
            .get(&entry.request.service)
            .and_then(|pool| pool.organisations.get(&entry.class.organisation));
        match organisation {
            Some(organisation) if organisation.offered.get(now) > organisation.slots => {
                Reason::OverShare
            }
            _ => Reason::TooLate,
        }
    }

    fn admit(&mut self, now: Duration, entry: Entry, actions: &mut Vec<Action>) {
        let request = entry.request.id;
        let service = entry.request.service.clone();
        let priority = priority(entry.tolerance, self.settings.wait);
        actions.push(Action::Log(
            Event::new(&event::ADMITTED)
                .with("request", format_args!("{request:032x}"))
                .with("organisation", &entry.request.organisation)
                .with("service", &service)
                .with("priority", priority)
                .with("waited_ms", now.saturating_sub(entry.arrived).as_millis()),
        ));
        actions.push(Action::Admit { request, priority });
        self.pools_by_request.insert(request, service.clone());
        self.fingerprints.entry(entry.request.fingerprint).or_insert((request, entry.arrived));
        if let Some(pool) = self.pools.get_mut(&service) {
            pool.running.insert(request, Running { entry, admitted: now, started: false });
            debug_assert!(
                pool.running.len() <= pool.slots as usize,
                "more requests run than there are slots"
            );
        }
    }

    fn refuse(
        &mut self,
        now: Duration,
        entry: Entry,
        reason: Reason,
        rng: &mut SmallRng,
        actions: &mut Vec<Action>,
    ) {
        self.remove_request(&entry);
        let mut retry_after = Duration::from_secs(1);
        if let Some(pool) = self.pools.get_mut(&entry.request.service) {
            let waited = now.saturating_sub(entry.arrived);
            if waited > Duration::ZERO {
                pool.estimate(entry.class, now).tolerance.record_served(waited);
            }
            if let Some(organisation) = pool.organisations.get_mut(&entry.class.organisation) {
                retry_after = retry::retry_after(organisation, now, entry.cost, rng);
            }
        }
        let request = entry.request.id;
        actions.push(Action::Log(
            Event::new(&event::REFUSED)
                .with("request", format_args!("{request:032x}"))
                .with("organisation", &entry.request.organisation)
                .with("service", &entry.request.service)
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
        self.divide_all_slots(now, actions);
        if now >= self.next_demand {
            self.next_demand = now + DEMAND_PERIOD;
            let demand = self.local_demand(now);
            actions.push(Action::Demand(demand));
        }
    }

    /// Refuses queued requests that can no longer be answered in time.
    fn refuse_late(&mut self, now: Duration, rng: &mut SmallRng, actions: &mut Vec<Action>) {
        let mut late = Vec::new();
        for pool in self.pools.values_mut() {
            for organisation in pool.organisations.values_mut() {
                late.extend(organisation.queue.remove_late(now));
            }
        }
        for entry in late {
            let reason = self.refusal_reason(now, &entry);
            self.refuse(now, entry, reason, rng, actions);
        }
    }

    /// Admits queued requests while there are free slots.
    pub(crate) fn dispatch(&mut self, now: Duration, service: &SmolStr, actions: &mut Vec<Action>) {
        loop {
            let Some(pool) = self.pools.get_mut(service) else { return };
            if !pool.has_free_slot() {
                return;
            }
            let Some(entry) = pool.pop_next(now, &self.settings, &self.weights) else { return };
            self.admit(now, entry, actions);
        }
    }

    pub(crate) fn remove_request(&mut self, entry: &Entry) {
        self.pools_by_request.remove(&entry.request.id);
        let first = self.fingerprints.get(&entry.request.fingerprint);
        if first.is_some_and(|(request, _)| *request == entry.request.id) {
            self.fingerprints.remove(&entry.request.fingerprint);
        }
    }

    pub(crate) fn organisation_id(&mut self, name: &OrganisationName) -> OrganisationId {
        if let Some(&id) = self.organisation_ids.get(name) {
            return id;
        }
        let id = self.organisation_names.len() as OrganisationId;
        self.organisation_names.push(name.clone());
        self.organisation_ids.insert(name.clone(), id);
        self.weights.push(self.configured_weights.get(name).copied().unwrap_or(1.0));
        id
    }

    /// Requests a wake unless an earlier one is pending.
    fn schedule_wake(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let after = if self.waiting() > 0 { BUSY_WAKE_PERIOD } else { IDLE_WAKE_PERIOD };
        if self.next_wake.is_none_or(|at| at > now + after) {
            self.next_wake = Some(now + after);
            actions.push(Action::Wake(after));
        }
    }
}

/// Returns the priority for engines, on a logarithmic scale of wait tolerance from 0.25 s to
/// `longest`.
fn priority(tolerance: Duration, longest: Duration) -> u8 {
    let shortest = 0.25;
    let ratio = (tolerance.as_secs_f64() / shortest).max(1.0).ln();
    let span = (longest.as_secs_f64() / shortest).max(2.0).ln();
    (ratio / span * PRIORITIES).min(PRIORITIES - 1.0) as u8
}
