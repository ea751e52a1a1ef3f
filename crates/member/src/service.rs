//! The service: a state machine without clock, thread or socket.

use std::collections::BTreeMap;
use std::time::Duration;

use fleet::{Alarm, Event, NodeName, Role, TargetName, Version, Vm};
use rand::rngs::SmallRng;
use rand::seq::{IndexedRandom, SliceRandom};

use crate::demand::Demand;
use crate::evidence::{self, Agreement, Outcomes};
use crate::fact::{Facts, Key, standing_version};
use crate::peer::{Peer, Reply};
use crate::target::Targets;
use crate::{Action, Fact, Heartbeat, Incarnation, Message, News, Settings, State, event};

/// Rounds after which an unanswered node no longer speaks for this node's view.
const WINDOW_ROUNDS: u32 = 4;
/// Rounds for which a node judges no other after a pause.
const DOUBT_ROUNDS: u32 = 2;
/// Delay of a push, so that changes that come together go together.
const PUSH_DELAY: Duration = Duration::from_millis(10);
/// Shortest time between two pushes.
const PUSH_PERIOD: Duration = Duration::from_millis(100);
/// Time between two totals of demand.
const DEMAND_PERIOD: Duration = Duration::from_secs(1);
/// Time without a change to the facts before a difference counts.
const QUIET: Duration = Duration::from_secs(3);
/// Shortest time between two requests for all facts.
const HEALING_PERIOD: Duration = Duration::from_millis(500);
/// Time after the start in which each heartbeat tells this node's address.
const YOUTH: Duration = Duration::from_secs(60);
/// How long word of a node's standing holds.
const STANDING_TTL: Duration = Duration::from_secs(600);
/// How long word that a node is alive holds.
const ALIVE_TTL: Duration = Duration::from_secs(60);
/// Heartbeats that carry a fact, for each doubling of the number of nodes.
const SENDS: u32 = 3;
/// A heartbeat without an outcome for this long is taken as lost.
const OUTCOME_TIMEOUT: Duration = Duration::from_secs(10);

/// Decides which nodes and targets are alive or leaving.
#[derive(Clone, Debug)]
pub struct Membership {
    settings: Settings,
    incarnation: Incarnation,
    sequence: u64,
    preset: Version,
    /// Whether this node may vouch for its version, and when that was last proved.
    proof: Option<Option<Duration>>,
    agreed: Option<Agreement>,
    peers: BTreeMap<NodeName, Peer>,
    facts: Facts,
    targets: Targets,
    demand: Demand,
    outcomes: Outcomes,
    /// Nodes still to be sent to before all others have had their turn.
    turn: Vec<NodeName>,
    started: Option<Duration>,
    stepped: Duration,
    doubt_until: Duration,
    next_round: Duration,
    push_at: Option<Duration>,
    pushed: Option<Duration>,
    next_demand: Duration,
    next_healing: Duration,
    confident: Option<bool>,
    list_down: bool,
    leaving: bool,
    nodes_changed: bool,
    presets_changed: bool,
    targets_changed: bool,
    alarm: Alarm,
}

impl Membership {
    /// Makes the service.
    pub fn new(settings: Settings) -> Self {
        let incarnation = settings.incarnation;
        let facts = Facts::new(settings.kept);
        Self {
            settings,
            incarnation,
            sequence: 0,
            preset: 0,
            proof: None,
            agreed: None,
            peers: BTreeMap::new(),
            facts,
            targets: Targets::default(),
            demand: Demand::default(),
            outcomes: Outcomes::default(),
            turn: Vec::new(),
            started: None,
            stepped: Duration::ZERO,
            doubt_until: Duration::ZERO,
            next_round: Duration::ZERO,
            push_at: None,
            pushed: None,
            next_demand: Duration::ZERO,
            next_healing: Duration::ZERO,
            confident: None,
            list_down: false,
            leaving: false,
            nodes_changed: false,
            presets_changed: false,
            targets_changed: false,
            alarm: Alarm::default(),
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
        self.begin(now, actions);
        self.handle(now, message, rng, actions);
        self.run_due(now, rng, actions);
        self.judge_self(now, actions);
        self.flush(now, actions);
    }

    fn begin(&mut self, now: Duration, actions: &mut Vec<Action>) {
        if self.started.is_none() {
            self.started = Some(now);
            self.next_round = now;
            self.stepped = now;
            self.publish_own(now, State::Alive, 0);
        }
        let gap = now.saturating_sub(self.stepped);
        self.stepped = now;
        if self.settings.doubt && gap > self.settings.gap {
            self.wake_from_pause(now, gap, actions);
        }
    }

    /// What was not answered during a pause says nothing about the others, and messages
    /// that waited are old.
    fn wake_from_pause(&mut self, now: Duration, gap: Duration, actions: &mut Vec<Action>) {
        let event = Event::new(&event::PAUSED).with("gap_ms", gap.as_millis());
        actions.push(Action::Log(event));
        self.doubt_until = now + self.settings.period * DOUBT_ROUNDS;
        self.outcomes.clear();
        self.next_round = now;
        for peer in self.peers.values_mut() {
            peer.asked = None;
            peer.silences = 0;
            peer.since = if peer.state == State::Suspect { now } else { peer.since };
        }
        self.judge_self(now, actions);
    }

    fn handle(
        &mut self,
        now: Duration,
        message: Message,
        rng: &mut SmallRng,
        actions: &mut Vec<Action>,
    ) {
        match message {
            Message::Listed(vms) => self.listed(now, vms, actions),
            Message::ListDown => self.list_is(true, actions),
            Message::Heard(heartbeat) => self.heard(now, heartbeat, rng, actions),
            Message::Replied(heartbeat) => self.replied(now, heartbeat, rng, actions),
            Message::Silent(node) => self.silent(now, &node, rng, actions),
            Message::Publish(news) => self.publish(now, news, actions),
            Message::Preset(version) => self.preset_is(now, version),
            Message::Proof(at) => self.proof = Some(at.max(self.proof.flatten())),
            Message::Demand(own) => self.demand.set(own),
            Message::Leaving(target) => self.target_leaves(now, &target, "here", actions),
            Message::Leave => self.leave(now),
            Message::Wake => self.alarm.rang(now),
        }
    }

    fn listed(&mut self, now: Duration, vms: Vec<Vm>, actions: &mut Vec<Action>) {
        self.list_is(false, actions);
        let mut targets = Vec::new();
        for peer in self.peers.values_mut() {
            peer.listed = false;
        }
        for vm in vms {
            match vm.role {
                Role::Target(mut target) => {
                    // The row's standing and the target's own may differ; leaving wins.
                    target.standing = target.standing.max(vm.standing);
                    targets.push(target);
                }
                Role::Entry { peer } if vm.name != self.settings.name => {
                    self.list_node(now, vm.name, peer);
                }
                Role::Entry { .. } => {}
            }
        }
        let change = self.targets.list(now, targets, self.settings.together);
        self.targets_changed |= change.changed;
        for target in change.leaving {
            self.target_leaves(now, &target, "list", actions);
        }
        for target in change.returned {
            actions.push(Action::Log(Event::new(&event::RETURNED).with("target", target)));
        }
        if !change.lost.is_empty() {
            let event = Event::new(&event::LOST).with("targets", change.lost.join(","));
            actions.push(Action::Log(event));
            actions.push(Action::Lost(change.lost));
        }
    }

    fn list_node(&mut self, now: Duration, name: NodeName, address: std::net::SocketAddr) {
        let peer = self.peers.entry(name).or_insert_with(|| {
            self.nodes_changed = true;
            Peer::new(now, address, true)
        });
        peer.listed = true;
        // A node that is heard knows its address better than a list that lags.
        if peer.heard.is_none() && peer.address != address {
            peer.address = address;
            self.nodes_changed = true;
        }
    }

    fn list_is(&mut self, down: bool, actions: &mut Vec<Action>) {
        if self.list_down != down {
            self.list_down = down;
            actions.push(Action::Log(Event::new(&event::LIST).with("answers", !down)));
        }
    }

    fn heard(
        &mut self,
        now: Duration,
        heartbeat: Heartbeat,
        rng: &mut SmallRng,
        actions: &mut Vec<Action>,
    ) {
        let (from, wants, digest) =
            (heartbeat.from.clone(), heartbeat.wants_facts, heartbeat.digest);
        self.take(now, heartbeat, actions);
        let mut reply = self.heartbeat(now, rng);
        if wants {
            reply.facts.extend(self.facts.chunk(now, self.settings.healing));
        }
        // A node learns first-hand what is said of it, so that it can refute.
        if let Some(fact) = self.facts.get(now, &Key::Standing(from.clone()))
            && matches!(fact.news, News::Standing { state: State::Suspect | State::Dead, .. })
        {
            reply.facts.push(fact);
        }
        actions.push(Action::Reply(reply));
        self.heal(now, &from, digest, rng, actions);
    }

    fn replied(
        &mut self,
        now: Duration,
        heartbeat: Heartbeat,
        rng: &mut SmallRng,
        actions: &mut Vec<Action>,
    ) {
        let (from, digest) = (heartbeat.from.clone(), heartbeat.digest);
        let asked = self.peers.get_mut(&from).and_then(|peer| peer.asked.take());
        let age = heartbeat.proof_age;
        let preset = heartbeat.preset;
        self.take(now, heartbeat, actions);
        if let Some(asked) = asked {
            let reply = Reply { asked, preset, voter: age.is_some() };
            self.outcomes.push(asked, Some(reply));
            if let Some(peer) = self.peers.get_mut(&from) {
                peer.reply = Some(reply);
            }
            // The reply was made after `asked`, so the proof is at least this new.
            if let Some(at) = age.and_then(|age| asked.checked_sub(age)) {
                actions.push(Action::Proved { version: preset, at });
            }
            self.agree(now, actions);
        }
        self.heal(now, &from, digest, rng, actions);
    }

    /// Takes what a heartbeat or reply says.
    fn take(&mut self, now: Duration, heartbeat: Heartbeat, actions: &mut Vec<Action>) {
        if heartbeat.from == self.settings.name {
            return;
        }
        let was = self.peers.get(&heartbeat.from).map(|peer| peer.state);
        for fact in &heartbeat.facts {
            self.learn(now, fact, actions);
        }
        let Some(peer) = self.peers.get_mut(&heartbeat.from) else { return };
        let preset = peer.preset;
        let changed = peer.hear(now, &heartbeat);
        let (state, address) = (peer.state, peer.address);
        self.presets_changed |= peer.preset != preset;
        if changed || was != Some(state) {
            self.note_state(&heartbeat.from, state, actions);
        }
        self.take_over(now, &heartbeat.from, actions);
        if heartbeat.preset > self.preset {
            let node = heartbeat.from.clone();
            actions.push(Action::Behind { node, address, version: heartbeat.preset });
        }
        self.demand.hear(now, heartbeat.demand);
    }

    /// A node at the address of another has replaced it.
    fn take_over(&mut self, now: Duration, name: &NodeName, actions: &mut Vec<Action>) {
        let Some(address) = self.peers.get(name).map(|peer| peer.address) else { return };
        let replaced: Vec<NodeName> = self
            .peers
            .iter()
            .filter(|(other, peer)| *other != name && peer.address == address)
            .filter(|(_, peer)| matches!(peer.state, State::Alive | State::Suspect))
            .map(|(other, _)| other.clone())
            .collect();
        for other in replaced {
            self.set_state(now, &other, State::Dead, actions);
        }
    }

    /// Takes one fact from another node.
    fn learn(&mut self, now: Duration, fact: &Fact, actions: &mut Vec<Action>) {
        if let News::Standing { node, incarnation, address, state: State::Alive } = &fact.news
            && self.peers.contains_key(node)
            && self.facts.get(now, &Key::Standing(node.clone())).is_none()
        {
            // Nothing to correct: that a known node is alive needs no spreading.
            let told = (*incarnation, State::Alive);
            return self.told(now, node, told, *address, actions);
        }
        let sends = self.sends();
        if !self.facts.merge(now, fact, sends) {
            return;
        }
        match &fact.news {
            News::Standing { node, incarnation, address, state } => {
                if *node == self.settings.name {
                    self.refute(now, *incarnation, *state, actions);
                } else {
                    let told = (*incarnation, *state);
                    self.told(now, node, told, *address, actions);
                }
                return;
            }
            News::Leaving { target } => {
                let hold = fact.ttl.unwrap_or(self.settings.leaving);
                if self.targets.mark(target, now + hold) {
                    self.targets_changed = true;
                    self.push(now);
                    let event = Event::new(&event::LEAVING).with("target", target);
                    actions.push(Action::Log(event.with("reason", "node")));
                }
            }
            News::Quarantine { condemned, .. } => {
                if *condemned {
                    self.push(now);
                }
            }
            News::Demand { .. } => return,
        }
        actions.push(Action::Learned { news: fact.news.clone(), ttl: fact.ttl });
    }

    /// Takes another's word on how a node stands.
    fn told(
        &mut self,
        now: Duration,
        node: &NodeName,
        (incarnation, state): (Incarnation, State),
        address: std::net::SocketAddr,
        actions: &mut Vec<Action>,
    ) {
        let peer = self.peers.entry(node.clone()).or_insert_with(|| {
            self.nodes_changed = true;
            Peer::new(now, address, false)
        });
        if (incarnation, state) <= (peer.incarnation, peer.state) {
            return;
        }
        // What this node has heard itself goes before what others suspect.
        let lately = peer.heard.is_some_and(|heard| now < heard + self.settings.period * 3);
        let suspected = matches!(state, State::Suspect | State::Dead);
        if lately && suspected && incarnation == peer.incarnation {
            return;
        }
        if incarnation > peer.incarnation && peer.address != address {
            peer.address = address;
            self.nodes_changed = true;
        }
        peer.incarnation = incarnation;
        if peer.become_state(now, state) {
            self.note_state(node, state, actions);
        }
    }

    fn refute(
        &mut self,
        now: Duration,
        incarnation: Incarnation,
        state: State,
        actions: &mut Vec<Action>,
    ) {
        if state == State::Alive || incarnation < self.incarnation || self.leaving {
            return;
        }
        self.incarnation = incarnation + 1;
        self.publish_own(now, State::Alive, self.sends());
        self.push(now);
        let event = Event::new(&event::REFUTED).with("incarnation", self.incarnation);
        actions.push(Action::Log(event));
    }

    fn silent(
        &mut self,
        now: Duration,
        name: &NodeName,
        rng: &mut SmallRng,
        actions: &mut Vec<Action>,
    ) {
        let doubting = now < self.doubt_until;
        let Some(peer) = self.peers.get_mut(name) else { return };
        let Some(asked) = peer.asked.take() else { return };
        self.outcomes.push(asked, None);
        if doubting {
            return;
        }
        peer.silences += 1;
        if peer.state != State::Alive {
            return;
        }
        if peer.silences < self.settings.silences {
            self.send(now, name, false, rng, actions);
        } else if self.confident == Some(true) {
            self.set_state(now, name, State::Suspect, actions);
        }
    }

    /// Puts a node into a state by this node's own judgement, and tells the others.
    fn set_state(
        &mut self,
        now: Duration,
        name: &NodeName,
        state: State,
        actions: &mut Vec<Action>,
    ) {
        let Some(peer) = self.peers.get_mut(name) else { return };
        if !peer.become_state(now, state) {
            return;
        }
        let (incarnation, address) = (peer.incarnation, peer.address);
        self.note_state(name, state, actions);
        let sends = self.sends();
        self.publish_standing(now, name.clone(), (incarnation, state), address, sends);
    }

    fn note_state(&mut self, name: &NodeName, state: State, actions: &mut Vec<Action>) {
        self.nodes_changed = true;
        let event = Event::new(&event::NODE).with("node", name);
        actions.push(Action::Log(event.with("state", format_args!("{state:?}"))));
    }

    /// Tells this node's standing; with no sends it only rides on this node's own first
    /// heartbeats.
    fn publish_own(&mut self, now: Duration, state: State, sends: u32) {
        let Settings { name, address, .. } = &self.settings;
        let (name, address) = (name.clone(), *address);
        self.publish_standing(now, name, (self.incarnation, state), address, sends);
    }

    fn publish_standing(
        &mut self,
        now: Duration,
        node: NodeName,
        (incarnation, state): (Incarnation, State),
        address: std::net::SocketAddr,
        sends: u32,
    ) {
        let ttl = if state == State::Alive { ALIVE_TTL } else { STANDING_TTL };
        let version = standing_version(incarnation, state);
        let news = News::Standing { node, incarnation, address, state };
        let fact = Fact { version, ttl: Some(ttl), news };
        self.facts.merge(now, &fact, sends);
    }

    fn publish(&mut self, now: Duration, news: News, actions: &mut Vec<Action>) {
        match news {
            News::Leaving { target } => self.target_leaves(now, &target, "here", actions),
            News::Demand { node, organisation, cost } if node == self.settings.name => {
                self.demand.set_one(organisation, cost);
            }
            News::Quarantine { .. } => self.publish_quarantine(now, news),
            News::Demand { .. } | News::Standing { .. } => {}
        }
    }

    fn publish_quarantine(&mut self, now: Duration, news: News) {
        let Some(key) = Key::of(&news) else { return };
        let ttl = self.settings.quarantine;
        let held = self.facts.get(now, &key);
        let lasts = held
            .is_some_and(|held| held.news == news && held.ttl.is_none_or(|left| left > ttl / 2));
        if lasts {
            return;
        }
        let urgent = matches!(news, News::Quarantine { condemned: true, .. });
        let fact = Fact { version: self.facts.next(&key), ttl: Some(ttl), news };
        let sends = self.sends();
        self.facts.merge(now, &fact, sends);
        if urgent {
            self.push(now);
        }
    }

    fn target_leaves(
        &mut self,
        now: Duration,
        target: &TargetName,
        reason: &str,
        actions: &mut Vec<Action>,
    ) {
        let hold = self.settings.leaving;
        let new = self.targets.mark(target, now + hold);
        let news = News::Leaving { target: target.clone() };
        let key = Key::Leaving(target.clone());
        if !new && (reason != "list" || self.facts.get(now, &key).is_some()) {
            return;
        }
        self.targets_changed = true;
        let fact = Fact { version: self.facts.next(&key), ttl: Some(hold), news };
        let sends = self.sends();
        self.facts.merge(now, &fact, sends);
        self.push(now);
        let event = Event::new(&event::LEAVING).with("target", target).with("reason", reason);
        actions.push(Action::Log(event));
    }

    fn preset_is(&mut self, now: Duration, version: Version) {
        if version > self.preset {
            self.preset = version;
            self.push(now);
        }
    }

    fn leave(&mut self, now: Duration) {
        self.leaving = true;
        self.publish_own(now, State::Left, self.sends());
        self.push(now);
    }

    fn push(&mut self, now: Duration) {
        if !self.settings.push {
            return;
        }
        let earliest = self.pushed.map_or(now, |pushed| pushed + PUSH_PERIOD);
        let at = earliest.max(now + PUSH_DELAY);
        self.push_at = Some(self.push_at.map_or(at, |set| set.min(at)));
    }

    fn run_due(&mut self, now: Duration, rng: &mut SmallRng, actions: &mut Vec<Action>) {
        if now >= self.next_round {
            self.round(now, rng, actions);
        }
        if self.push_at.is_some_and(|at| now >= at) {
            self.push_at = None;
            self.pushed = Some(now);
            for name in self.push_receivers(rng) {
                self.send(now, &name, false, rng, actions);
            }
        }
        if now >= self.next_demand {
            self.next_demand = now + DEMAND_PERIOD;
            let live = self.live();
            let totals = self.demand.totals(now, live);
            actions.push(Action::Demand { live, totals });
        }
    }

    fn round(&mut self, now: Duration, rng: &mut SmallRng, actions: &mut Vec<Action>) {
        self.next_round = now + self.settings.period.mul_f64(jitter(rng));
        self.facts.expire(now);
        for target in self.targets.expire(now) {
            self.targets_changed = true;
            actions.push(Action::Log(Event::new(&event::RETURNED).with("target", target)));
        }
        self.end_suspicions(now, actions);
        let unlisted = self.settings.unlisted;
        let before = self.peers.len();
        self.peers.retain(|_, peer| !peer.forgotten(now, unlisted));
        self.nodes_changed |= self.peers.len() != before || self.presets_changed;
        self.presets_changed = false;
        for name in self.round_receivers(rng) {
            self.send(now, &name, false, rng, actions);
        }
    }

    /// Suspects that have not refuted in time are dead, for a node that trusts its view.
    fn end_suspicions(&mut self, now: Duration, actions: &mut Vec<Action>) {
        if self.confident != Some(true) {
            return;
        }
        let over: Vec<NodeName> = self
            .peers
            .iter()
            .filter(|(_, peer)| peer.state == State::Suspect)
            .filter(|(_, peer)| now >= peer.since + self.settings.suspicion)
            .map(|(name, _)| name.clone())
            .collect();
        for name in over {
            self.set_state(now, &name, State::Dead, actions);
        }
    }

    fn meshed(&self) -> bool {
        self.peers.len() <= self.settings.mesh
    }

    fn round_receivers(&mut self, rng: &mut SmallRng) -> Vec<NodeName> {
        let reachable = |peer: &Peer| peer.state != State::Left;
        if self.meshed() {
            let all = self.peers.iter().filter(|(_, peer)| reachable(peer));
            return all.map(|(name, _)| name.clone()).collect();
        }
        let mut receivers = Vec::new();
        while receivers.len() < self.settings.fanout {
            if self.turn.is_empty() {
                let all = self.peers.iter().filter(|(_, peer)| reachable(peer));
                self.turn = all.map(|(name, _)| name.clone()).collect();
                self.turn.shuffle(rng);
            }
            let Some(name) = self.turn.pop() else { break };
            if self.peers.get(&name).is_some_and(reachable) && !receivers.contains(&name) {
                receivers.push(name);
            }
        }
        receivers
    }

    fn push_receivers(&self, rng: &mut SmallRng) -> Vec<NodeName> {
        let alive: Vec<&NodeName> = self
            .peers
            .iter()
            .filter(|(_, peer)| peer.state == State::Alive)
            .map(|(name, _)| name)
            .collect();
        if self.meshed() {
            return alive.into_iter().cloned().collect();
        }
        let count = self.settings.fanout + 1;
        alive.sample(rng, count).map(|name| (*name).clone()).collect()
    }

    fn send(
        &mut self,
        now: Duration,
        name: &NodeName,
        wants_facts: bool,
        rng: &mut SmallRng,
        actions: &mut Vec<Action>,
    ) {
        let heartbeat = Heartbeat { wants_facts, ..self.heartbeat(now, rng) };
        let Some(peer) = self.peers.get_mut(name) else { return };
        // With two heartbeats out, the reply is dated by the older one.
        let outstanding = peer.asked.filter(|asked| now < *asked + OUTCOME_TIMEOUT);
        peer.asked = Some(outstanding.unwrap_or(now));
        actions.push(Action::Send { to: name.clone(), address: peer.address, heartbeat });
    }

    fn heartbeat(&mut self, now: Duration, rng: &mut SmallRng) -> Heartbeat {
        self.sequence += 1;
        let mut facts = self.facts.pick(now, self.settings.facts);
        let young = self.started.is_some_and(|started| now < started + YOUTH);
        let key = Key::Standing(self.settings.name.clone());
        if young
            && let Some(own) = self.facts.get(now, &key)
            && !facts.contains(&own)
        {
            facts.push(own);
        }
        let proof_age = self.proof.map(|at| at.map_or(Duration::MAX, |at| now.saturating_sub(at)));
        Heartbeat {
            from: self.settings.name.clone(),
            incarnation: self.incarnation,
            sequence: self.sequence,
            preset: self.preset,
            facts,
            leaving: self.leaving,
            digest: self.facts.digest(),
            wants_facts: false,
            proof_age,
            demand: self.demand.sample(self.settings.shares, rng),
        }
    }

    /// Asks a node whose facts differ for all of them, unless news is still spreading.
    fn heal(
        &mut self,
        now: Duration,
        node: &NodeName,
        digest: u64,
        rng: &mut SmallRng,
        actions: &mut Vec<Action>,
    ) {
        let spreading = !self.facts.is_empty() && now < self.facts.changed() + QUIET;
        let differs = digest != self.facts.digest();
        if !differs || spreading || now < self.next_healing || !self.peers.contains_key(node) {
            return;
        }
        self.next_healing = now + HEALING_PERIOD;
        actions.push(Action::Log(Event::new(&event::HEALING).with("node", node)));
        self.send(now, node, true, rng, actions);
    }

    /// Reports the majority that agrees with this node, when there is a newer one.
    fn agree(&mut self, now: Duration, actions: &mut Vec<Action>) {
        if self.confident != Some(true) {
            return;
        }
        let agreement = if self.meshed() {
            let unlisted = self.settings.unlisted;
            let known = self.peers.values().filter(|peer| peer.known(now, unlisted));
            let mut replies = Vec::new();
            let mut count = 1;
            for peer in known {
                count += 1;
                replies.extend(peer.reply.filter(|reply| reply.voter));
            }
            evidence::majority(count, self.proof.is_some(), &mut replies)
        } else {
            self.outcomes.agreement()
        };
        if agreement.is_some() && agreement != self.agreed {
            self.agreed = agreement;
            actions
                .extend(agreement.map(|Agreement { version, at }| Action::Agreed { version, at }));
        }
    }

    fn judge_self(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let confident = now >= self.doubt_until && self.most_answer(now);
        if self.confident == Some(confident) {
            return;
        }
        self.confident = Some(confident);
        actions.push(Action::Log(Event::new(&event::CONFIDENT).with("confident", confident)));
        actions.push(Action::Confident(confident));
    }

    fn most_answer(&self, now: Duration) -> bool {
        let since = now.saturating_sub(self.settings.period * WINDOW_ROUNDS);
        if !self.meshed() {
            return self.outcomes.most_answered(since);
        }
        let known = self.peers.values().filter(|peer| peer.known(now, self.settings.unlisted));
        let (mut total, mut answered) = (1, 1);
        for peer in known {
            total += 1;
            answered += usize::from(peer.reply.is_some_and(|reply| reply.asked >= since));
        }
        answered * 2 > total
    }

    fn flush(&mut self, now: Duration, actions: &mut Vec<Action>) {
        if std::mem::take(&mut self.nodes_changed) {
            let nodes = self.peers.iter().map(|(name, peer)| peer.node(name)).collect();
            actions.push(Action::Nodes(nodes));
        }
        if std::mem::take(&mut self.targets_changed) {
            actions.push(Action::Targets(self.targets.joined()));
        }
        let due = [Some(self.next_round), self.push_at, Some(self.next_demand)];
        let due = due.into_iter().flatten().min();
        let wait = due.and_then(|due| self.alarm.arm(now, due));
        actions.extend(wait.map(Action::Wake));
    }

    /// Number of live nodes, this one included.
    fn live(&self) -> u32 {
        let alive = |peer: &&Peer| matches!(peer.state, State::Alive | State::Suspect);
        1 + self.peers.values().filter(alive).count() as u32
    }

    /// Number of heartbeats that carry a new fact.
    fn sends(&self) -> u32 {
        SENDS * (self.peers.len() + 2).ilog2().max(1)
    }
}

fn jitter(rng: &mut SmallRng) -> f64 {
    use rand::RngExt;
    rng.random_range(0.9..1.1)
}
