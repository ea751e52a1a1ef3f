//! A fake fleet and fake callers around real limiters, in virtual time.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::time::Duration;

use fleet::{Request, RequestId, Shape};
use limit::{Action, Bounds, Capacity, Demand, Ending, Limiter, Message, Settings};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

/// Callers of one organisation who are alike.
#[derive(Clone, Debug)]
pub(crate) struct Callers {
    pub(crate) organisation: &'static str,
    /// Requests per second.
    pub(crate) rate: f64,
    /// Mean time for which a request holds a slot.
    pub(crate) hold: Duration,
    /// Time after which a caller hangs up unless its answer has come.
    pub(crate) patience: Duration,
    pub(crate) prompt_tokens: u32,
    pub(crate) stream: bool,
    /// Whether a refused caller comes back once, when it was told to.
    pub(crate) comes_back: bool,
}

/// What came of the requests of one kind of callers.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Tally {
    pub(crate) offered: u32,
    pub(crate) in_time: u32,
    pub(crate) refused: u32,
    pub(crate) hung_up: u32,
    pub(crate) came_back: u32,
    pub(crate) came_back_served: u32,
}

/// A run of one fake fleet.
pub(crate) struct World {
    pub(crate) nodes: usize,
    pub(crate) slots: u32,
    /// Node that gets half of all requests, if any; the others share the rest.
    pub(crate) favourite: Option<usize>,
    /// Time at which the last node is lost with all that it holds, if any.
    pub(crate) node_lost: Option<Duration>,
    /// Requests that arrive before this time are not counted.
    pub(crate) warm_up: Duration,
    pub(crate) length: Duration,
    pub(crate) seed: u64,
    pub(crate) weights: Vec<(&'static str, f64)>,
}

impl World {
    pub(crate) fn new(slots: u32, seed: u64) -> Self {
        Self {
            nodes: 1,
            slots,
            favourite: None,
            node_lost: None,
            warm_up: Duration::from_secs(60),
            length: Duration::from_secs(180),
            seed,
            weights: Vec::new(),
        }
    }

    /// Runs the callers against limiters with these settings.
    pub(crate) fn run(&self, settings: &Settings, callers: &[Callers]) -> Vec<Tally> {
        Run::new(self, settings, callers).run()
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Happening {
    Arrive(usize),
    ComeBack(RequestId),
    Patience(RequestId),
    Start(RequestId),
    End(RequestId),
    Wake(usize),
    Gossip,
    Lose,
}

struct Call {
    callers: usize,
    node: usize,
    counted: bool,
    hold: Duration,
    /// Set once it no longer matters to the caller.
    over: bool,
    second: bool,
    in_service: bool,
}

struct Run<'a> {
    world: &'a World,
    callers: &'a [Callers],
    limiters: Vec<Limiter>,
    live: usize,
    rng: SmallRng,
    events: BinaryHeap<Reverse<(Duration, u64, Happening)>>,
    order: u64,
    calls: BTreeMap<RequestId, Call>,
    demand: BTreeMap<usize, Vec<Demand>>,
    engine_queue: VecDeque<RequestId>,
    busy: u32,
    tallies: Vec<Tally>,
}

impl<'a> Run<'a> {
    fn new(world: &'a World, settings: &Settings, callers: &'a [Callers]) -> Self {
        let limiters = (0..world.nodes)
            .map(|node| {
                let node = format!("n{node}").into();
                Limiter::new(Settings { node, ..settings.clone() })
            })
            .collect();
        Self {
            world,
            callers,
            limiters,
            live: world.nodes,
            rng: SmallRng::seed_from_u64(world.seed),
            events: BinaryHeap::new(),
            order: 0,
            calls: BTreeMap::new(),
            demand: BTreeMap::new(),
            engine_queue: VecDeque::new(),
            busy: 0,
            tallies: vec![Tally::default(); callers.len()],
        }
    }

    fn at(&mut self, when: Duration, happening: Happening) {
        self.order += 1;
        self.events.push(Reverse((when, self.order, happening)));
    }

    fn run(mut self) -> Vec<Tally> {
        self.set_up();
        while let Some(Reverse((now, _, happening))) = self.events.pop() {
            if now > self.world.length {
                break;
            }
            self.happen(now, happening);
        }
        self.tallies
    }

    fn set_up(&mut self) {
        let weights = self.world.weights.iter().map(|&(name, weight)| (name.into(), weight));
        let bounds =
            Bounds { weights: weights.collect(), queue: 2_000, wait: Duration::from_secs(60) };
        let capacity =
            Capacity { service: "m".into(), tokens_per_second: 0.0, slots: self.world.slots };
        for node in 0..self.world.nodes {
            self.tell(Duration::ZERO, node, Message::Bounds(bounds.clone()));
            let peers = Message::Peers { live: self.world.nodes as u32, demand: Vec::new() };
            self.tell(Duration::ZERO, node, peers);
            self.tell(Duration::ZERO, node, Message::Capacity(capacity.clone()));
        }
        for index in 0..self.callers.len() {
            self.next_arrival(Duration::ZERO, index);
        }
        self.at(Duration::from_secs(1), Happening::Gossip);
        if let Some(when) = self.world.node_lost {
            self.at(when, Happening::Lose);
        }
    }

    fn next_arrival(&mut self, now: Duration, index: usize) {
        let uniform: f64 = self.rng.random_range(1e-9..1.0);
        let gap = -uniform.ln() / self.callers[index].rate;
        self.at(now + Duration::from_secs_f64(gap), Happening::Arrive(index));
    }

    fn happen(&mut self, now: Duration, happening: Happening) {
        match happening {
            Happening::Arrive(index) => {
                self.next_arrival(now, index);
                self.arrive(now, index, false);
            }
            Happening::ComeBack(first) => {
                let (callers, counted) = {
                    let call = &self.calls[&first];
                    (call.callers, call.counted)
                };
                self.tallies[callers].came_back += u32::from(counted);
                self.arrive(now, callers, true);
            }
            Happening::Patience(request) => self.run_out(now, request),
            Happening::Start(request) => self.start(now, request),
            Happening::End(request) => self.end(now, request),
            Happening::Wake(node) => self.tell(now, node, Message::Wake),
            Happening::Gossip => self.gossip(now),
            Happening::Lose => self.lose(now),
        }
    }

    fn pick_node(&mut self) -> usize {
        match self.world.favourite {
            Some(node) if node < self.live && self.rng.random_bool(0.5) => node,
            _ => self.rng.random_range(0..self.live),
        }
    }

    fn arrive(&mut self, now: Duration, index: usize, second: bool) {
        let callers = &self.callers[index];
        let id = RequestId::from(self.order + 1);
        let spread: f64 = self.rng.random_range(0.5..1.5);
        let hold = callers.hold.mul_f64(spread);
        let node = self.pick_node();
        let counted = now >= self.world.warm_up && now + callers.patience < self.world.length;
        let call =
            Call { callers: index, node, counted, hold, over: false, second, in_service: false };
        self.calls.insert(id, call);
        self.tallies[index].offered += u32::from(counted && !second);
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
        self.at(now + callers.patience, Happening::Patience(id));
        self.tell(now, node, Message::Arrive(request));
    }

    fn run_out(&mut self, now: Duration, request: RequestId) {
        let Some(call) = self.calls.get_mut(&request) else { return };
        if call.over {
            return;
        }
        call.over = true;
        let (callers, node, counted) = (call.callers, call.node, call.counted);
        self.tallies[callers].hung_up += u32::from(counted);
        self.leave_engine(now, request);
        self.tell(now, node, Message::HungUp(request));
    }

    fn enter_engine(&mut self, now: Duration, request: RequestId) {
        if self.busy >= self.world.slots {
            self.engine_queue.push_back(request);
            return;
        }
        self.busy += 1;
        let Some(call) = self.calls.get_mut(&request) else { return };
        call.in_service = true;
        let hold = call.hold;
        self.at(now + hold.mul_f64(0.1), Happening::Start(request));
        self.at(now + hold, Happening::End(request));
    }

    /// Frees the request's slot or its place in the engines' queue, once.
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
        let (callers, node, over) = (call.callers, call.node, call.over);
        if !call.in_service {
            return;
        }
        if self.callers[callers].stream && !over {
            self.served(request);
        }
        self.tell(now, node, Message::Started(request));
    }

    fn end(&mut self, now: Duration, request: RequestId) {
        let call = &self.calls[&request];
        let (node, over) = (call.node, call.over);
        if !call.in_service {
            return;
        }
        if !over {
            self.served(request);
        }
        self.leave_engine(now, request);
        self.tell(now, node, Message::Finished { request, ending: Ending::Complete });
    }

    fn served(&mut self, request: RequestId) {
        let Some(call) = self.calls.get_mut(&request) else { return };
        call.over = true;
        let tally = &mut self.tallies[call.callers];
        if call.second {
            tally.came_back_served += u32::from(call.counted);
        } else {
            tally.in_time += u32::from(call.counted);
        }
    }

    fn gossip(&mut self, now: Duration) {
        let demand: Vec<Demand> = self.demand.values().flatten().cloned().collect();
        for node in 0..self.live {
            let peers = Message::Peers { live: self.live as u32, demand: demand.clone() };
            self.tell(now, node, peers);
        }
        self.at(now + Duration::from_secs(1), Happening::Gossip);
    }

    fn lose(&mut self, now: Duration) {
        self.live -= 1;
        let lost = self.live;
        self.demand.remove(&lost);
        let gone: Vec<RequestId> = self
            .calls
            .iter()
            .filter(|(_, call)| call.node == lost && !call.over)
            .map(|(&id, _)| id)
            .collect();
        for request in gone {
            let Some(call) = self.calls.get_mut(&request) else { continue };
            call.over = true;
            self.leave_engine(now, request);
        }
    }

    fn tell(&mut self, now: Duration, node: usize, message: Message) {
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
            Action::Wake(after) => self.at(now + after, Happening::Wake(node)),
            Action::Log(_) => {}
        }
    }

    fn refused(&mut self, now: Duration, request: RequestId, retry_after: Duration) {
        let Some(call) = self.calls.get_mut(&request) else { return };
        assert!(!call.in_service, "a refused request has not run");
        assert!(!call.over, "a request is answered once");
        assert!(retry_after >= Duration::from_secs(1), "every refusal says when to come back");
        call.over = true;
        let (callers, counted, second) = (call.callers, call.counted, call.second);
        self.tallies[callers].refused += u32::from(counted && !second);
        if self.callers[callers].comes_back && !second {
            self.at(now + retry_after, Happening::ComeBack(request));
        }
    }
}
