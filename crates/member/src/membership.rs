//! Membership: a state machine without clock, thread or socket.

mod exchange;
mod publish;
mod round;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use fleet::{Event, NodeName, Role, Timer, Version, Vm};
use rand::rngs::SmallRng;

use crate::demand::Demand;
use crate::fact::Facts;
use crate::peer::Peer;
use crate::quorum::{self, Agreement, Outcomes};
use crate::target::Targets;
use crate::{Action, Incarnation, Message, Settings, State, event};

/// Rounds for which a reply counts towards this node's confidence in its view.
const REPLY_WINDOW_ROUNDS: u32 = 4;
/// Rounds after a pause in which this node suspects no other node.
const PAUSE_RECOVERY_ROUNDS: u32 = 2;
/// Number of heartbeats that carry a fact, per doubling of the number of nodes.
const SENDS_PER_DOUBLING: u32 = 3;

/// Decides which nodes and targets are alive or leaving.
#[derive(Clone, Debug)]
pub struct Membership {
    settings: Settings,
    incarnation: Incarnation,
    sequence: u64,
    preset: Version,
    /// Last proof that this node's version is current: `None` before the first one, and
    /// `Some(None)` if the version was learned from a majority.
    proof: Option<Option<Duration>>,
    agreed: Option<Agreement>,
    peers: BTreeMap<NodeName, Peer>,
    facts: Facts,
    targets: Targets,
    demand: Demand,
    outcomes: Outcomes,
    /// Nodes that have not received a heartbeat in the current pass over all nodes.
    pending_receivers: Vec<NodeName>,
    started: Option<Duration>,
    last_step: Duration,
    pause_recovery_until: Duration,
    next_round: Duration,
    next_push: Option<Duration>,
    last_push: Option<Duration>,
    next_demand: Duration,
    next_sync: Duration,
    confident: Option<bool>,
    list_unavailable: bool,
    leaving: bool,
    nodes_changed: bool,
    presets_changed: bool,
    targets_changed: bool,
    alarm: Timer,
}

impl Membership {
    /// Creates a membership without peers.
    pub fn new(settings: Settings) -> Self {
        let incarnation = settings.incarnation;
        let facts = Facts::new(settings.max_stored_facts);
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
            pending_receivers: Vec::new(),
            started: None,
            last_step: Duration::ZERO,
            pause_recovery_until: Duration::ZERO,
            next_round: Duration::ZERO,
            next_push: None,
            last_push: None,
            next_demand: Duration::ZERO,
            next_sync: Duration::ZERO,
            confident: None,
            list_unavailable: false,
            leaving: false,
            nodes_changed: false,
            presets_changed: false,
            targets_changed: false,
            alarm: Timer::default(),
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
        self.start_step(now, actions);
        self.handle(now, message, rng, actions);
        self.run_due(now, rng, actions);
        self.update_confidence(now, actions);
        self.report_changes(now, actions);
    }

    fn start_step(&mut self, now: Duration, actions: &mut Vec<Action>) {
        if self.started.is_none() {
            self.started = Some(now);
            self.next_round = now;
            self.last_step = now;
            self.publish_own(now, State::Alive, 0);
        }
        let gap = now.saturating_sub(self.last_step);
        self.last_step = now;
        if self.settings.pause_detection && gap > self.settings.max_step_gap {
            self.recover_from_pause(now, gap, actions);
        }
    }

    /// Discards outstanding heartbeats and missed replies after a pause: replies missed during
    /// a pause carry no information about other nodes, and messages queued meanwhile are old.
    fn recover_from_pause(&mut self, now: Duration, gap: Duration, actions: &mut Vec<Action>) {
        let event = Event::new(&event::PAUSED).with("gap_ms", gap.as_millis());
        actions.push(Action::Log(event));
        self.pause_recovery_until = now + self.settings.period * PAUSE_RECOVERY_ROUNDS;
        self.outcomes.clear();
        self.next_round = now;
        for peer in self.peers.values_mut() {
            peer.requested = None;
            peer.missed = 0;
            peer.state_since = if peer.state == State::Suspect { now } else { peer.state_since };
        }
        self.update_confidence(now, actions);
    }

    fn handle(
        &mut self,
        now: Duration,
        message: Message,
        rng: &mut SmallRng,
        actions: &mut Vec<Action>,
    ) {
        match message {
            Message::Listed(vms) => self.apply_list(now, vms, actions),
            Message::ListUnavailable => self.set_list_unavailable(true, actions),
            Message::Received(heartbeat) => self.received(now, heartbeat, rng, actions),
            Message::Replied(heartbeat) => self.replied(now, heartbeat, actions),
            Message::NoReply(node) => self.no_reply(now, &node, actions),
            Message::Publish(update) => self.publish(now, update, actions),
            Message::Preset(version) => self.set_preset(now, version),
            Message::Proof(at) => self.proof = Some(at.max(self.proof.flatten())),
            Message::Demand(own) => self.demand.set(own),
            Message::Leaving(target) => self.mark_leaving(now, &target, "here", actions),
            Message::Leave => self.leave(now),
            Message::Wake => self.alarm.fired(now),
        }
    }

    fn apply_list(&mut self, now: Duration, vms: Vec<Vm>, actions: &mut Vec<Action>) {
        self.set_list_unavailable(false, actions);
        let mut targets = Vec::new();
        for peer in self.peers.values_mut() {
            peer.listed = false;
        }
        for vm in vms {
            match vm.role {
                Role::Target(mut target) => {
                    // The standing of the VM and of its target may differ; leaving wins.
                    target.standing = target.standing.max(vm.standing);
                    targets.push(target);
                }
                Role::Entry { peer } if vm.name != self.settings.name => {
                    self.add_listed_node(now, vm.name, peer);
                }
                Role::Entry { .. } => {}
            }
        }
        let change = self.targets.set_list(now, targets, self.settings.loss_window);
        self.targets_changed |= change.changed;
        for target in change.leaving {
            self.mark_leaving(now, &target, "list", actions);
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

    fn add_listed_node(&mut self, now: Duration, name: NodeName, address: SocketAddr) {
        let peer = self.peers.entry(name).or_insert_with(|| {
            self.nodes_changed = true;
            Peer::new(now, address, true)
        });
        peer.listed = true;
        // The list lags, so it does not override the address of a node that sends heartbeats.
        if peer.last_received.is_none() && peer.address != address {
            peer.address = address;
            self.nodes_changed = true;
        }
    }

    fn set_list_unavailable(&mut self, down: bool, actions: &mut Vec<Action>) {
        if self.list_unavailable != down {
            self.list_unavailable = down;
            actions.push(Action::Log(Event::new(&event::LIST).with("answers", !down)));
        }
    }

    /// Reports the majority's agreement on a version if it has changed and this node is
    /// confident.
    fn report_agreement(&mut self, now: Duration, actions: &mut Vec<Action>) {
        if self.confident != Some(true) {
            return;
        }
        let agreement = if self.is_full_mesh() {
            let unlisted_timeout = self.settings.unlisted_timeout;
            let known = self.peers.values().filter(|peer| peer.is_known(now, unlisted_timeout));
            let mut replies = Vec::new();
            let mut count = 1;
            for peer in known {
                count += 1;
                replies.extend(peer.reply.filter(|reply| reply.voter));
            }
            quorum::majority(count, self.proof.is_some(), &mut replies)
        } else {
            self.outcomes.agreement()
        };
        if agreement.is_some() && agreement != self.agreed {
            self.agreed = agreement;
            actions
                .extend(agreement.map(|Agreement { version, at }| Action::Agreed { version, at }));
        }
    }

    fn update_confidence(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let confident = now >= self.pause_recovery_until && self.majority_answers(now);
        if self.confident == Some(confident) {
            return;
        }
        self.confident = Some(confident);
        actions.push(Action::Log(Event::new(&event::CONFIDENT).with("confident", confident)));
        actions.push(Action::Confident(confident));
    }

    fn majority_answers(&self, now: Duration) -> bool {
        let since = now.saturating_sub(self.settings.period * REPLY_WINDOW_ROUNDS);
        if !self.is_full_mesh() {
            return self.outcomes.majority_answered(since);
        }
        let known =
            self.peers.values().filter(|peer| peer.is_known(now, self.settings.unlisted_timeout));
        let (mut total, mut answered) = (1, 1);
        for peer in known {
            total += 1;
            answered += usize::from(peer.reply.is_some_and(|reply| reply.requested >= since));
        }
        answered * 2 > total
    }

    fn report_changes(&mut self, now: Duration, actions: &mut Vec<Action>) {
        if std::mem::take(&mut self.nodes_changed) {
            let nodes = self.peers.iter().map(|(name, peer)| peer.node(name)).collect();
            actions.push(Action::Nodes(nodes));
        }
        if std::mem::take(&mut self.targets_changed) {
            actions.push(Action::Targets(self.targets.merged()));
        }
        let due = [Some(self.next_round), self.next_push, Some(self.next_demand)];
        let due = due.into_iter().flatten().min();
        let wait = due.and_then(|due| self.alarm.arm(now, due));
        actions.extend(wait.map(Action::Wake));
    }

    /// Returns the number of live nodes, this one included.
    fn live_nodes(&self) -> u32 {
        let alive = |peer: &&Peer| matches!(peer.state, State::Alive | State::Suspect);
        1 + self.peers.values().filter(alive).count() as u32
    }

    /// Returns the number of heartbeats that carry a new fact.
    fn sends_per_fact(&self) -> u32 {
        SENDS_PER_DOUBLING * (self.peers.len() + 2).ilog2().max(1)
    }
}
