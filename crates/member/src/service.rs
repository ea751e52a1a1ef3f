//! The service: a state machine without clock, thread or socket.

mod exchange;
mod news;
mod round;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use fleet::{Event, NodeName, Role, Timer, Version, Vm};
use rand::rngs::SmallRng;

use crate::demand::Demand;
use crate::evidence::{self, Agreement, Outcomes};
use crate::fact::Facts;
use crate::peer::Peer;
use crate::target::Targets;
use crate::{Action, Incarnation, Message, Settings, State, event};

/// Rounds after which an unanswered node no longer speaks for this node's view.
const WINDOW_ROUNDS: u32 = 4;
/// Rounds for which a node judges no other after a pause.
const DOUBT_ROUNDS: u32 = 2;
/// Heartbeats that carry a fact, for each doubling of the number of nodes.
const SENDS: u32 = 3;

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
    alarm: Timer,
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
            alarm: Timer::default(),
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
            Message::Replied(heartbeat) => self.replied(now, heartbeat, actions),
            Message::Silent(node) => self.silent(now, &node, actions),
            Message::Publish(news) => self.publish(now, news, actions),
            Message::Preset(version) => self.preset_is(now, version),
            Message::Proof(at) => self.proof = Some(at.max(self.proof.flatten())),
            Message::Demand(own) => self.demand.set(own),
            Message::Leaving(target) => self.target_leaves(now, &target, "here", actions),
            Message::Leave => self.leave(now),
            Message::Wake => self.alarm.fired(now),
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

    fn list_node(&mut self, now: Duration, name: NodeName, address: SocketAddr) {
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
