//! What heartbeats, replies and their absence say of other nodes.

use std::net::SocketAddr;
use std::time::Duration;

use fleet::{Event, NodeName};
use rand::rngs::SmallRng;

use super::Membership;
use crate::fact::Key;
use crate::peer::{Peer, Reply};
use crate::{Action, Fact, Heartbeat, Incarnation, State, Update, event};

impl Membership {
    pub(super) fn heard(
        &mut self,
        now: Duration,
        heartbeat: Heartbeat,
        rng: &mut SmallRng,
        actions: &mut Vec<Action>,
    ) {
        let (from, wants, digest) =
            (heartbeat.from.clone(), heartbeat.wants_facts, heartbeat.digest);
        self.take(now, &heartbeat, actions);
        let mut reply = self.heartbeat(now);
        reply.demand = self.demand.sample(self.settings.shares, rng);
        if wants {
            reply.facts.extend(self.facts.chunk(now, self.settings.healing));
        }
        // A node learns first-hand what is said of it, so that it can refute.
        if let Some(fact) = self.facts.get(now, &Key::Standing(from.clone()))
            && matches!(fact.update, Update::Standing { state: State::Suspect | State::Dead, .. })
        {
            reply.facts.push(fact);
        }
        actions.push(Action::Reply(reply));
        self.heal(now, &from, digest, actions);
    }

    pub(super) fn replied(
        &mut self,
        now: Duration,
        heartbeat: Heartbeat,
        actions: &mut Vec<Action>,
    ) {
        let (from, digest) = (heartbeat.from.clone(), heartbeat.digest);
        let asked = self.peers.get_mut(&from).and_then(|peer| peer.asked.take());
        let age = heartbeat.proof_age;
        let preset = heartbeat.preset;
        self.take(now, &heartbeat, actions);
        self.demand.hear(now, heartbeat.demand);
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
        self.heal(now, &from, digest, actions);
    }

    /// Takes what a heartbeat or reply says.
    pub(super) fn take(&mut self, now: Duration, heartbeat: &Heartbeat, actions: &mut Vec<Action>) {
        if heartbeat.from == self.settings.name {
            return;
        }
        let was = self.peers.get(&heartbeat.from).map(|peer| peer.state);
        for fact in &heartbeat.facts {
            self.learn(now, fact, actions);
        }
        let Some(peer) = self.peers.get_mut(&heartbeat.from) else { return };
        let preset = peer.preset;
        let changed = peer.hear(now, heartbeat);
        let (state, address) = (peer.state, peer.address);
        self.presets_changed |= peer.preset != preset;
        if changed || was != Some(state) {
            self.note_state(&heartbeat.from, state, actions);
        }
        self.take_over(now, &heartbeat.from, actions);
        if heartbeat.preset > self.preset {
            let node = heartbeat.from.clone();
            actions.push(Action::NewerPreset { node, address, version: heartbeat.preset });
        }
    }

    /// A node at the address of another has replaced it.
    pub(super) fn take_over(&mut self, now: Duration, name: &NodeName, actions: &mut Vec<Action>) {
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
    pub(super) fn learn(&mut self, now: Duration, fact: &Fact, actions: &mut Vec<Action>) {
        if let Update::Standing { node, incarnation, address, state: State::Alive } = &fact.update
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
        match &fact.update {
            Update::Standing { node, incarnation, address, state } => {
                if *node == self.settings.name {
                    self.refute(now, *incarnation, *state, actions);
                } else {
                    let told = (*incarnation, *state);
                    self.told(now, node, told, *address, actions);
                }
                return;
            }
            Update::Leaving { target } => {
                let hold = fact.ttl.unwrap_or(self.settings.leaving);
                if self.targets.mark(target, now + hold) {
                    self.targets_changed = true;
                    self.push(now);
                    let event = Event::new(&event::LEAVING).with("target", target);
                    actions.push(Action::Log(event.with("reason", "node")));
                }
            }
            Update::Quarantine { confirmed, .. } => {
                if *confirmed {
                    self.push(now);
                }
            }
            Update::Demand { .. } => return,
        }
        actions.push(Action::Learned { update: fact.update.clone(), ttl: fact.ttl });
    }

    /// Takes another's word on how a node stands.
    pub(super) fn told(
        &mut self,
        now: Duration,
        node: &NodeName,
        (incarnation, state): (Incarnation, State),
        address: SocketAddr,
        actions: &mut Vec<Action>,
    ) {
        let peer = self.peers.entry(node.clone()).or_insert_with(|| {
            self.nodes_changed = true;
            Peer::new(now, address, false)
        });
        // What this node has heard itself goes before what others suspect.
        let lately = peer.heard.is_some_and(|heard| now < heard + self.settings.period * 3);
        let suspected = matches!(state, State::Suspect | State::Dead);
        if lately && suspected && incarnation <= peer.incarnation {
            return;
        }
        if suspected && incarnation == 0 && peer.incarnation > 0 && peer.state < state {
            // The other has never heard the node; this one can name the life that is meant.
            return self.set_state(now, node, state, actions);
        }
        if (incarnation, state) <= (peer.incarnation, peer.state) {
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

    pub(super) fn refute(
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

    pub(super) fn silent(&mut self, now: Duration, name: &NodeName, actions: &mut Vec<Action>) {
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
            self.send(now, name, false, actions);
        } else if self.confident == Some(true) {
            self.set_state(now, name, State::Suspect, actions);
        }
    }

    /// Puts a node into a state by this node's own judgement, and tells the others.
    pub(super) fn set_state(
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

    pub(super) fn note_state(&mut self, name: &NodeName, state: State, actions: &mut Vec<Action>) {
        self.nodes_changed = true;
        let event = Event::new(&event::NODE).with("node", name);
        actions.push(Action::Log(event.with("state", format_args!("{state:?}"))));
    }
}
