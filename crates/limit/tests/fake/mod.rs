//! Simulated fleet and callers around real limiters, in virtual time.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::time::Duration;

use fleet::{Request, RequestId, Shape};
use limit::{Action, Bounds, Capacity, Demand, Ending, Limiter, Message, Settings};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

/// Callers of one organisation with the same behaviour.
#[derive(Clone, Debug)]
pub(crate) struct Callers {
    pub(crate) organisation: &'static str,
    /// Requests per second.
    pub(crate) rate: f64,
    /// Mean time for which a request holds a slot.
    pub(crate) hold: Duration,
    /// Time after which a caller hangs up unless it has been answered.
    pub(crate) tolerance: Duration,
    pub(crate) prompt_tokens: u32,
    pub(crate) stream: bool,
    /// Whether a refused caller retries once, at the returned time.
    pub(crate) retries: bool,
}

/// Outcomes of the requests of one group of callers.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Counts {
    pub(crate) offered: u32,
    pub(crate) in_time: u32,
    pub(crate) refused: u32,
    pub(crate) hung_up: u32,
    pub(crate) retried: u32,
    pub(crate) retried_served: u32,
}

/// Parameters of one simulation run.
pub(crate) struct Simulation {
    pub(crate) nodes: usize,
    pub(crate) slots: u32,
    /// Node that receives half of all requests and an equal share of the rest, if any.
    pub(crate) preferred_node: Option<usize>,
    /// Time at which the last node is lost with all its requests, if any.
    pub(crate) node_lost: Option<Duration>,
    /// Time before which arriving requests are not counted.
    pub(crate) warm_up: Duration,
    pub(crate) length: Duration,
    pub(crate) seed: u64,
    pub(crate) weights: Vec<(&'static str, f64)>,
}

impl Simulation {
    pub(crate) fn new(slots: u32, seed: u64) -> Self {
        Self {
            nodes: 1,
            slots,
            preferred_node: None,
            node_lost: None,
            warm_up: Duration::from_secs(60),
            length: Duration::from_secs(180),
            seed,
            weights: Vec::new(),
        }
    }

    /// Runs the callers against limiters with `settings` and returns the outcomes per group.
    pub(crate) fn run(&self, settings: &Settings, callers: &[Callers]) -> Vec<Counts> {
        Run::new(self, settings, callers).run()
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive(usize),
    Retry(RequestId),
    Abandon(RequestId),
    Start(RequestId),
    End(RequestId),
    Wake(usize),
    ExchangeDemand,
    LoseNode,
}

struct Call {
    callers: usize,
    node: usize,
    counted: bool,
    hold: Duration,
    /// Whether the caller has been answered or refused, or has hung up.
    settled: bool,
    is_retry: bool,
    in_service: bool,
}

struct Run<'a> {
    simulation: &'a Simulation,
    callers: &'a [Callers],
    limiters: Vec<Limiter>,
    live: usize,
    rng: SmallRng,
    events: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    last_sequence: u64,
    calls: BTreeMap<RequestId, Call>,
    demand: BTreeMap<usize, Vec<Demand>>,
    engine_queue: VecDeque<RequestId>,
    busy: u32,
    counts: Vec<Counts>,
}

impl<'a> Run<'a> {
    fn new(simulation: &'a Simulation, settings: &Settings, callers: &'a [Callers]) -> Self {
        let limiters = (0..simulation.nodes)
            .map(|node| {
                let node = format!("n{node}").into();
                Limiter::new(Settings { node, ..settings.clone() })
            })
            .collect();
        Self {
            simulation,
            callers,
            limiters,
            live: simulation.nodes,
            rng: SmallRng::seed_from_u64(simulation.seed),
            events: BinaryHeap::new(),
            last_sequence: 0,
            calls: BTreeMap::new(),
            demand: BTreeMap::new(),
            engine_queue: VecDeque::new(),
            busy: 0,
            counts: vec![Counts::default(); callers.len()],
        }
    }

    fn schedule(&mut self, when: Duration, event: Event) {
        self.last_sequence += 1;
        self.events.push(Reverse((when, self.last_sequence, event)));
    }

    fn run(mut self) -> Vec<Counts> {
        self.set_up();
        while let Some(Reverse((now, _, event))) = self.events.pop() {
            if now > self.simulation.length {
                break;
            }
            self.handle(now, event);
        }
        self.counts
    }

    fn set_up(&mut self) {
        let weights = self.simulation.weights.iter().map(|&(name, weight)| (name.into(), weight));
        let bounds =
            Bounds { weights: weights.collect(), queue: 2_000, wait: Duration::from_secs(60) };
        let capacity =
            Capacity { service: "m".into(), tokens_per_second: 0.0, slots: self.simulation.slots };
        for node in 0..self.simulation.nodes {
            self.send(Duration::ZERO, node, Message::Bounds(bounds.clone()));
            let peers = Message::Peers { live: self.simulation.nodes as u32, demand: Vec::new() };
            self.send(Duration::ZERO, node, peers);
            self.send(Duration::ZERO, node, Message::Capacity(capacity.clone()));
        }
        for index in 0..self.callers.len() {
            self.next_arrival(Duration::ZERO, index);
        }
        self.schedule(Duration::from_secs(1), Event::ExchangeDemand);
        if let Some(when) = self.simulation.node_lost {
            self.schedule(when, Event::LoseNode);
        }
    }

    fn next_arrival(&mut self, now: Duration, index: usize) {
        let uniform: f64 = self.rng.random_range(1e-9..1.0);
        let gap = -uniform.ln() / self.callers[index].rate;
        self.schedule(now + Duration::from_secs_f64(gap), Event::Arrive(index));
    }

    fn handle(&mut self, now: Duration, event: Event) {
        match event {
            Event::Arrive(index) => {
                self.next_arrival(now, index);
                self.arrive(now, index, false);
            }
            Event::Retry(first) => {
                let (callers, counted) = {
                    let call = &self.calls[&first];
                    (call.callers, call.counted)
                };
                self.counts[callers].retried += u32::from(counted);
                self.arrive(now, callers, true);
            }
            Event::Abandon(request) => self.abandon(now, request),
            Event::Start(request) => self.start(now, request),
            Event::End(request) => self.end(now, request),
            Event::Wake(node) => self.send(now, node, Message::Wake),
            Event::ExchangeDemand => self.exchange_demand(now),
            Event::LoseNode => self.lose_node(now),
        }
    }

    fn pick_node(&mut self) -> usize {
        match self.simulation.preferred_node {
            Some(node) if node < self.live && self.rng.random_bool(0.5) => node,
            _ => self.rng.random_range(0..self.live),
        }
    }

    fn arrive(&mut self, now: Duration, index: usize, is_retry: bool) {
        let callers = &self.callers[index];
        let id = RequestId::from(self.last_sequence + 1);
        let spread: f64 = self.rng.random_range(0.5..1.5);
        let hold = callers.hold.mul_f64(spread);
        let node = self.pick_node();
        let counted =
            now >= self.simulation.warm_up && now + callers.tolerance < self.simulation.length;
        let call = Call {
            callers: index,
            node,
            counted,
            hold,
            settled: false,
            is_retry,
            in_service: false,
        };
        self.calls.insert(id, call);
        self.counts[index].offered += u32::from(counted && !is_retry);
        let callers = &self.callers[index];
        let request = Request {
            id,
            organisation: callers.organisation.into(),
            service: "m".into(),
            shape: Shape {
                prompt_tokens: callers.prompt_tokens,
                max_tokens: 256,
                stream: callers.stream,
            },
            fingerprint: id as u64,
            idempotent: true,
        };
        self.schedule(now + callers.tolerance, Event::Abandon(id));
        self.send(now, node, Message::Arrive(request));
    }

    fn abandon(&mut self, now: Duration, request: RequestId) {
        let Some(call) = self.calls.get_mut(&request) else { return };
        if call.settled {
            return;
        }
        call.settled = true;
        let (callers, node, counted) = (call.callers, call.node, call.counted);
        self.counts[callers].hung_up += u32::from(counted);
        self.leave_engine(now, request);
        self.send(now, node, Message::HungUp(request));
    }

    fn enter_engine(&mut self, now: Duration, request: RequestId) {
        if self.busy >= self.simulation.slots {
            self.engine_queue.push_back(request);
            return;
        }
        self.busy += 1;
        let Some(call) = self.calls.get_mut(&request) else { return };
        call.in_service = true;
        let hold = call.hold;
        self.schedule(now + hold.mul_f64(0.1), Event::Start(request));
        self.schedule(now + hold, Event::End(request));
    }

    /// Frees the request's slot or its entry in the engines' queue, at most once.
    fn leave_engine(&mut self, now: Duration, request: RequestId) {
        self.engine_queue.retain(|&queued| queued != request);
        let Some(call) = self.calls.get_mut(&request) else { return };
        if !call.in_service {
            return;
        }
        call.in_service = false;
        self.busy -= 1;
        if let Some(next) = self.engine_queue.pop_front() {
            self.enter_engine(now, next);
        }
    }

    fn start(&mut self, now: Duration, request: RequestId) {
        let call = &self.calls[&request];
        let (callers, node, settled) = (call.callers, call.node, call.settled);
        if !call.in_service {
            return;
        }
        if self.callers[callers].stream && !settled {
            self.served(request);
        }
        self.send(now, node, Message::Started(request));
    }

    fn end(&mut self, now: Duration, request: RequestId) {
        let call = &self.calls[&request];
        let (node, settled) = (call.node, call.settled);
        if !call.in_service {
            return;
        }
        if !settled {
            self.served(request);
        }
        self.leave_engine(now, request);
        self.send(now, node, Message::Finished { request, ending: Ending::Complete });
    }

    fn served(&mut self, request: RequestId) {
        let Some(call) = self.calls.get_mut(&request) else { return };
        call.settled = true;
        let count = &mut self.counts[call.callers];
        if call.is_retry {
            count.retried_served += u32::from(call.counted);
        } else {
            count.in_time += u32::from(call.counted);
        }
    }

    fn exchange_demand(&mut self, now: Duration) {
        let demand: Vec<Demand> = self.demand.values().flatten().cloned().collect();
        for node in 0..self.live {
            let peers = Message::Peers { live: self.live as u32, demand: demand.clone() };
            self.send(now, node, peers);
        }
        self.schedule(now + Duration::from_secs(1), Event::ExchangeDemand);
    }

    fn lose_node(&mut self, now: Duration) {
        self.live -= 1;
        let lost = self.live;
        self.demand.remove(&lost);
        let interrupted: Vec<RequestId> = self
            .calls
            .iter()
            .filter(|(_, call)| call.node == lost && !call.settled)
            .map(|(&id, _)| id)
            .collect();
        for request in interrupted {
            let Some(call) = self.calls.get_mut(&request) else { continue };
            call.settled = true;
            self.leave_engine(now, request);
        }
    }

    fn send(&mut self, now: Duration, node: usize, message: Message) {
        if node >= self.live {
            return;
        }
        let mut actions = Vec::new();
        self.limiters[node].step(now, message, &mut self.rng, &mut actions);
        for action in actions {
            self.act(now, node, action);
        }
    }

    fn act(&mut self, now: Duration, node: usize, action: Action) {
        match action {
            Action::Admit { request, .. } => self.enter_engine(now, request),
            Action::Refuse { request, retry_after, .. } => self.refused(now, request, retry_after),
            Action::Demand(costs) => {
                let name: fleet::NodeName = format!("n{node}").into();
                let reports = costs.into_iter().map(|(organisation, cost)| Demand {
                    node: name.clone(),
                    organisation,
                    cost,
                });
                self.demand.insert(node, reports.collect());
            }
            Action::Wake(after) => self.schedule(now + after, Event::Wake(node)),
            Action::Log(_) => {}
        }
    }

    fn refused(&mut self, now: Duration, request: RequestId, retry_after: Duration) {
        let Some(call) = self.calls.get_mut(&request) else { return };
        assert!(!call.in_service, "a refused request has not run");
        assert!(!call.settled, "a request is answered once");
        assert!(retry_after >= Duration::from_secs(1), "every refusal returns a retry time");
        call.settled = true;
        let (callers, counted, is_retry) = (call.callers, call.counted, call.is_retry);
        self.counts[callers].refused += u32::from(counted && !is_retry);
        if self.callers[callers].retries && !is_retry {
            self.schedule(now + retry_after, Event::Retry(request));
        }
    }
}
