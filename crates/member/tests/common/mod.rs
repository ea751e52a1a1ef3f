//! Real membership on a simulated network in virtual time, with delay, loss, timeouts,
//! partitions, paused nodes and killed nodes.

#![allow(dead_code)]

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use fleet::{Role, Standing, Target, TargetName, Vm};
use member::{Action, Heartbeat, Membership, Message, Node, Settings, State, Update};
use preset::Follower;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

pub(crate) const CALL_TIMEOUT: Duration = Duration::from_millis(400);

pub(crate) fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

pub(crate) fn name(index: usize) -> String {
    format!("n{index:03}")
}

pub(crate) fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (index >> 8) as u8, index as u8], 7000))
}

pub(crate) fn entry(index: usize) -> Vm {
    Vm {
        name: name(index).into(),
        domain: "a".into(),
        standing: Standing::Live,
        role: Role::Entry { peer: address(index) },
    }
}

pub(crate) fn target(name: &str, rack: &str, standing: Standing) -> Vm {
    let service = fleet::Service { name: "book".into(), idempotent: false, slots: 1 };
    let target = Target {
        name: name.into(),
        address: SocketAddr::from(([10, 1, 0, 1], 9000)),
        domain: "a".into(),
        rack: rack.into(),
        standing,
        kind: fleet::Kind::Service(service),
    };
    Vm { name: name.into(), domain: "a".into(), standing, role: Role::Target(target) }
}

/// State that a node has reported by its actions.
#[derive(Default)]
pub(crate) struct View {
    pub(crate) nodes: BTreeMap<String, (State, Duration)>,
    pub(crate) targets: Vec<Target>,
    pub(crate) leaving: BTreeMap<TargetName, Duration>,
    pub(crate) quarantined: BTreeMap<u64, Duration>,
    pub(crate) lost: Vec<Vec<TargetName>>,
    pub(crate) confident: Vec<(Duration, bool)>,
    pub(crate) agreed: Option<(u64, Duration)>,
    pub(crate) proved: Option<Duration>,
    pub(crate) demand: BTreeMap<String, f64>,
    /// Number of times that this node has turned each other node suspect or dead.
    pub(crate) suspected: BTreeMap<String, usize>,
    pub(crate) died: BTreeMap<String, Duration>,
    pub(crate) preset: u64,
    pub(crate) preset_at: Duration,
    pub(crate) events: BTreeSet<u16>,
}

pub(crate) struct Host {
    pub(crate) member: Membership,
    rng: SmallRng,
    pub(crate) view: View,
    pub(crate) up: bool,
    pub(crate) paused_until: Duration,
    pub(crate) partition: usize,
    /// The preset follower, in tests of presets.
    pub(crate) follower: Option<Follower>,
    /// Whether the store answers this node.
    pub(crate) store: bool,
    pub(crate) sent_bytes: u64,
    pub(crate) received_bytes: u64,
    pub(crate) messages: u64,
}

enum Event {
    Wake(usize),
    Call { from: usize, to: usize, heartbeat: Heartbeat, call: u64 },
    Reply { from: usize, to: usize, heartbeat: Heartbeat, call: u64 },
    Timeout { node: usize, to: String, call: u64 },
    Learn { node: usize, version: u64 },
    Follow { node: usize, message: preset::Message },
}

pub(crate) struct Network {
    pub(crate) now: Duration,
    pub(crate) hosts: Vec<Host>,
    pub(crate) loss: f64,
    pub(crate) delay: Duration,
    pub(crate) size: Option<fn(&Heartbeat) -> u64>,
    /// Preset in the store.
    pub(crate) stored: Option<Vec<u8>>,
    rng: SmallRng,
    queue: BinaryHeap<Reverse<(Duration, u64)>>,
    events: HashMap<u64, Event>,
    /// Calls without an outcome, and their callers.
    open_calls: HashMap<u64, usize>,
    by_address: HashMap<SocketAddr, usize>,
    next_id: u64,
    pub(crate) steps: u64,
    /// Wall time spent in all steps; reported by measurements only.
    pub(crate) step_time: Duration,
}

impl Network {
    /// Starts `count` nodes that all have the complete list.
    pub(crate) fn new(count: usize, seed: u64, settings: impl Fn(Settings) -> Settings) -> Self {
        let mut network = Self {
            now: Duration::ZERO,
            hosts: vec![],
            loss: 0.0,
            delay: ms(1),
            size: None,
            stored: None,
            rng: SmallRng::seed_from_u64(seed),
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            open_calls: HashMap::new(),
            by_address: HashMap::new(),
            next_id: 0,
            steps: 0,
            step_time: Duration::ZERO,
        };
        let list: Vec<Vm> = (0..count).map(entry).collect();
        for index in 0..count {
            network.start(index, 1, &settings);
        }
        for index in 0..count {
            // Nodes start at different times.
            network.now = ms(network.rng.random_range(0..500));
            network.step(index, Message::Listed(list.clone()));
        }
        network.now = ms(500);
        network
    }

    /// Starts a node on a new host, or in place of the node on an existing one.
    pub(crate) fn start(
        &mut self,
        index: usize,
        incarnation: u64,
        settings: &impl Fn(Settings) -> Settings,
    ) {
        let defaults = Settings::builder(name(index).into(), address(index), incarnation).build();
        let settings = settings(defaults);
        self.by_address.insert(settings.address, index);
        let rng = SmallRng::seed_from_u64(self.rng.random());
        let host = Host {
            member: Membership::new(settings),
            rng,
            view: View::default(),
            up: true,
            paused_until: Duration::ZERO,
            partition: 0,
            follower: None,
            store: true,
            sent_bytes: 0,
            received_bytes: 0,
            messages: 0,
        };
        if index < self.hosts.len() { self.hosts[index] = host } else { self.hosts.push(host) }
    }

    pub(crate) fn pause(&mut self, index: usize, duration: Duration) {
        self.hosts[index].paused_until = self.now + duration;
    }

    /// Steps a node with a message now and carries out the resulting actions.
    pub(crate) fn step(&mut self, index: usize, message: Message) {
        self.step_call(index, message, None);
    }

    fn step_call(&mut self, index: usize, message: Message, reply_to: Option<(usize, u64)>) {
        self.steps += 1;
        let mut actions = Vec::new();
        let host = &mut self.hosts[index];
        let started = std::time::Instant::now();
        host.member.step(self.now, message, &mut host.rng, &mut actions);
        self.step_time += started.elapsed();
        for action in actions {
            self.act(index, action, reply_to);
        }
    }

    fn act(&mut self, index: usize, action: Action, reply_to: Option<(usize, u64)>) {
        let now = self.now;
        if self.hosts[index].follower.is_some() && self.notify_follower(index, &action) {
            return;
        }
        match action {
            Action::Send { to, address, heartbeat } => self.send(index, &to, address, heartbeat),
            Action::Reply(heartbeat) => {
                let Some((to, call)) = reply_to else { return };
                self.count(index, &heartbeat);
                let at = now + self.transit();
                self.push(at, Event::Reply { from: index, to, heartbeat, call });
            }
            Action::Wake(duration) => self.push(now + duration, Event::Wake(index)),
            Action::NewerPreset { version, .. } => {
                // The preset is fetched from the other node in one round trip.
                let at = now + self.transit() + self.transit();
                self.push(at, Event::Learn { node: index, version });
            }
            Action::Proved { at, .. } => {
                let proved = &mut self.hosts[index].view.proved;
                if *proved < Some(at) {
                    *proved = Some(at);
                    self.step(index, Message::Proof(Some(at)));
                }
            }
            action => self.hosts[index].view.record(now, action),
        }
    }

    fn send(&mut self, from: usize, to: &str, address: SocketAddr, heartbeat: Heartbeat) {
        self.next_id += 1;
        let call = self.next_id;
        self.open_calls.insert(call, from);
        self.count(from, &heartbeat);
        let timeout = Event::Timeout { node: from, to: to.into(), call };
        self.push(self.now + CALL_TIMEOUT, timeout);
        let Some(&to) = self.by_address.get(&address) else { return };
        if self.rng.random_bool(self.loss) {
            return;
        }
        let at = self.now + self.transit();
        self.push(at, Event::Call { from, to, heartbeat, call });
    }

    fn count(&mut self, from: usize, heartbeat: &Heartbeat) {
        if let Some(size) = self.size {
            self.hosts[from].sent_bytes += size(heartbeat);
            self.hosts[from].messages += 1;
        }
    }

    fn transit(&mut self) -> Duration {
        self.delay.mul_f64(self.rng.random_range(0.5..1.5))
    }

    fn push(&mut self, at: Duration, event: Event) {
        self.next_id += 1;
        self.queue.push(Reverse((at, self.next_id)));
        self.events.insert(self.next_id, event);
    }

    /// Runs until `until`.
    pub(crate) fn run(&mut self, until: Duration) {
        while let Some(Reverse((at, id))) = self.queue.peek().copied() {
            if at > until {
                break;
            }
            self.queue.pop();
            self.now = self.now.max(at);
            if let Some(event) = self.events.remove(&id) {
                self.handle(event);
            }
        }
        self.now = self.now.max(until);
    }

    /// Runs until a node has an outstanding call.
    pub(crate) fn run_to_call(&mut self, node: usize) {
        while !self.open_calls.values().any(|caller| *caller == node) {
            self.run(self.now + Duration::from_micros(100));
        }
    }

    fn handle(&mut self, event: Event) {
        let index = match &event {
            Event::Wake(index) => *index,
            Event::Call { to, .. } | Event::Reply { to, .. } => *to,
            Event::Timeout { node, .. }
            | Event::Learn { node, .. }
            | Event::Follow { node, .. } => *node,
        };
        if !self.hosts[index].up {
            return;
        }
        if self.hosts[index].paused_until > self.now {
            // After a pause, due timers fire before sockets are read.
            let timer = matches!(event, Event::Wake(_) | Event::Timeout { .. });
            let at = self.hosts[index].paused_until + if timer { ms(0) } else { ms(1) };
            return self.push(at, event);
        }
        match event {
            Event::Wake(index) => self.step(index, Message::Wake),
            Event::Call { from, to, heartbeat, call } => {
                if self.connected(from, to) {
                    self.receive(to, &heartbeat);
                    self.step_call(to, Message::Received(heartbeat), Some((from, call)));
                }
            }
            Event::Reply { from, to, heartbeat, call } => {
                if self.connected(from, to) && self.open_calls.remove(&call).is_some() {
                    self.receive(to, &heartbeat);
                    self.step(to, Message::Replied(heartbeat));
                }
            }
            Event::Timeout { node, to, call } => {
                if self.open_calls.remove(&call).is_some() {
                    self.step(node, Message::NoReply(to.into()));
                }
            }
            Event::Learn { node, version } => self.set_preset(node, version),
            Event::Follow { node, message } => self.step_follower(node, message),
        }
    }

    /// Sets the configuration version in force at a node, if it is higher.
    pub(crate) fn set_preset(&mut self, node: usize, version: u64) {
        if self.hosts[node].view.preset < version {
            self.hosts[node].view.preset = version;
            self.hosts[node].view.preset_at = self.now;
            self.step(node, Message::Preset(version));
        }
    }

    /// Passes an action of membership to the follower; returns whether it needs no other
    /// handling.
    fn notify_follower(&mut self, index: usize, action: &Action) -> bool {
        let (message, done) = match action.clone() {
            Action::NewerPreset { node, version, .. } => {
                (preset::Message::PeerVersion { node, version }, true)
            }
            Action::Proved { version, at } => (preset::Message::Proved { version, at }, true),
            Action::Agreed { version, at } => (preset::Message::Agreed { version, at }, false),
            Action::Confident(confident) => (preset::Message::Confident(confident), false),
            _ => return false,
        };
        self.step_follower(index, message);
        done
    }

    /// Steps a node's follower and carries out the resulting actions.
    pub(crate) fn step_follower(&mut self, index: usize, message: preset::Message) {
        let now = self.now;
        let mut actions = Vec::new();
        let host = &mut self.hosts[index];
        let Some(follower) = &mut host.follower else { return };
        follower.step(now, message, &mut host.rng, &mut actions);
        for action in actions {
            self.act_follower(index, action);
        }
    }

    fn act_follower(&mut self, index: usize, action: preset::Action) {
        let now = self.now;
        match action {
            preset::Action::InForce { preset, .. } => self.set_preset(index, preset.version),
            preset::Action::Proof(at) => self.step(index, Message::Proof(at)),
            preset::Action::Wake(duration) => {
                let message = preset::Message::Wake;
                self.push(now + duration, Event::Follow { node: index, message });
            }
            preset::Action::Poll => {
                let (after, message) = if self.hosts[index].store {
                    (ms(2), preset::Message::Stored(self.stored.clone()))
                } else {
                    (ms(500), preset::Message::StoreDown)
                };
                self.push(now + after, Event::Follow { node: index, message });
            }
            preset::Action::Fetch(node) => {
                let from = (0..self.hosts.len()).find(|other| name(*other) == node);
                let Some(from) = from.filter(|from| self.connected(*from, index)) else { return };
                let follower = self.hosts[from].follower.as_ref();
                let value = follower.and_then(|follower| follower.in_force());
                let Some(value) = value.map(|(_, value)| value.to_vec()) else { return };
                let message = preset::Message::PeerValue { node, value };
                self.push(now + ms(2), Event::Follow { node: index, message });
            }
            _ => {}
        }
    }

    /// Whether a node's preset is proved fresh, so that it accepts new work.
    pub(crate) fn fresh(&self, index: usize) -> bool {
        let follower = self.hosts[index].follower.as_ref();
        follower.is_some_and(|follower| follower.fresh(self.now))
    }

    fn receive(&mut self, to: usize, heartbeat: &Heartbeat) {
        if let Some(size) = self.size {
            self.hosts[to].received_bytes += size(heartbeat);
        }
    }

    fn connected(&self, one: usize, two: usize) -> bool {
        self.hosts[one].partition == self.hosts[two].partition
    }

    pub(crate) fn state(&self, of: usize, at: usize) -> Option<State> {
        self.hosts[at].view.nodes.get(&name(of)).map(|(state, _)| *state)
    }
}

impl View {
    fn record(&mut self, now: Duration, action: Action) {
        match action {
            Action::Nodes(nodes) => self.record_nodes(now, nodes),
            Action::Targets(targets) => {
                for target in &targets {
                    if target.standing == Standing::Leaving {
                        self.leaving.entry(target.name.clone()).or_insert(now);
                    }
                }
                self.targets = targets;
            }
            Action::Lost(targets) => self.lost.push(targets),
            Action::Learned { update: Update::Quarantine { fingerprint, .. }, .. } => {
                self.quarantined.entry(fingerprint).or_insert(now);
            }
            Action::Learned { update: Update::Leaving { target }, .. } => {
                self.leaving.entry(target).or_insert(now);
            }
            Action::Confident(confident) => self.confident.push((now, confident)),
            Action::Agreed { version, at } => self.agreed = Some((version, at)),
            Action::Demand { totals, .. } => {
                self.demand =
                    totals.into_iter().map(|(name, cost)| (name.to_string(), cost)).collect();
            }
            Action::Log(event) => {
                self.events.insert(event.kind.number);
            }
            _ => {}
        }
    }

    fn record_nodes(&mut self, now: Duration, nodes: Vec<Node>) {
        for node in &nodes {
            let name = node.name.to_string();
            let state = node.state;
            let before = self.nodes.get(&name).map(|(state, _)| *state);
            if before != Some(state) && matches!(state, State::Suspect | State::Dead) {
                *self.suspected.entry(name.clone()).or_default() += 1;
            }
            if state == State::Dead {
                self.died.entry(name).or_insert(now);
            }
        }
        self.nodes =
            nodes.into_iter().map(|node| (node.name.to_string(), (node.state, now))).collect();
    }
}
