//! Handlers for heartbeats, replies and missed replies.

use std::net::SocketAddr;
use std::time::Duration;

use fleet::{Event, NodeName};
use rand::rngs::SmallRng;

use super::Membership;
use crate::fact::Key;
use crate::peer::{Peer, Reply};
use crate::{Action, Fact, Heartbeat, Incarnation, State, Update, event};

impl Membership {
    pub(super) fn received(
        &mut self,
        now: Duration,
        heartbeat: Heartbeat,
        rng: &mut SmallRng,
        actions: &mut Vec<Action>,
    ) {
        let (from, wants, digest) =
            (heartbeat.from.clone(), heartbeat.wants_facts, heartbeat.digest);
        self.apply_heartbeat(now, &heartbeat, actions);
        let mut reply = self.make_heartbeat(now);
        reply.demand = self.demand.sample(self.settings.max_demand_entries, rng);
        if wants {
            reply.facts.extend(self.facts.next_sync_chunk(now, self.settings.max_sync_facts));
        }
        // A suspected node receives the suspicion directly, so that it can refute it.
        if let Some(fact) = self.facts.get(now, &Key::Standing(from.clone()))
            && matches!(fact.update, Update::Standing { state: State::Suspect | State::Dead, .. })
        {
            reply.facts.push(fact);
        }
        actions.push(Action::Reply(reply));
        self.sync_facts(now, &from, digest, actions);
    }

    pub(super) fn replied(
        &mut self,
        now: Duration,
        heartbeat: Heartbeat,
        actions: &mut Vec<Action>,
    ) {
        let (from, digest) = (heartbeat.from.clone(), heartbeat.digest);
        let requested = self.peers.get_mut(&from).and_then(|peer| peer.requested.take());
        let age = heartbeat.proof_age;
        let preset = heartbeat.preset;
        self.apply_heartbeat(now, &heartbeat, actions);
        self.demand.add_sample(now, heartbeat.demand);
        if let Some(requested) = requested {
            let reply = Reply { requested, preset, voter: age.is_some() };
            self.outcomes.push(requested, Some(reply));
            if let Some(peer) = self.peers.get_mut(&from) {
                peer.reply = Some(reply);
            }
            // The reply was made after `requested`, so the proof is at least this recent.
            if let Some(at) = age.and_then(|age| requested.checked_sub(age)) {
                actions.push(Action::Proved { version: preset, at });
            }
            self.report_agreement(now, actions);
        }
        self.sync_facts(now, &from, digest, actions);
    }

    /// Applies the contents of a heartbeat or reply.
    pub(super) fn apply_heartbeat(
        &mut self,
        now: Duration,
        heartbeat: &Heartbeat,
        actions: &mut Vec<Action>,
    ) {
        if heartbeat.from == self.settings.name {
            return;
        }
        let previous = self.peers.get(&heartbeat.from).map(|peer| peer.state);
        for fact in &heartbeat.facts {
            self.apply_fact(now, fact, actions);
        }
        let Some(peer) = self.peers.get_mut(&heartbeat.from) else { return };
        let preset = peer.preset;
        let changed = peer.receive(now, heartbeat);
        let (state, address) = (peer.state, peer.address);
        self.presets_changed |= peer.preset != preset;
        if changed || previous != Some(state) {
            self.report_state(&heartbeat.from, state, actions);
        }
        self.replace_same_address(now, &heartbeat.from, actions);
        if heartbeat.preset > self.preset {
            let node = heartbeat.from.clone();
            actions.push(Action::NewerPreset { node, address, version: heartbeat.preset });
        }
    }

    /// Declares nodes dead that have the address of `name`, because `name` has replaced them.
    pub(super) fn replace_same_address(
        &mut self,
        now: Duration,
        name: &NodeName,
        actions: &mut Vec<Action>,
    ) {
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

    /// Applies one fact from another node.
    pub(super) fn apply_fact(&mut self, now: Duration, fact: &Fact, actions: &mut Vec<Action>) {
        if let Update::Standing { node, incarnation, address, state: State::Alive } = &fact.update
            && self.peers.contains_key(node)
            && self.facts.get(now, &Key::Standing(node.clone())).is_none()
        {
            // The fact is not stored or spread: the node is known, and no standing contradicts it.
            let standing = (*incarnation, State::Alive);
            return self.apply_standing(now, node, standing, *address, actions);
        }
        let sends = self.sends_per_fact();
        if !self.facts.merge(now, fact, sends) {
            return;
        }
        match &fact.update {
            Update::Standing { node, incarnation, address, state } => {
                if *node == self.settings.name {
                    self.refute(now, *incarnation, *state, actions);
                } else {
                    let standing = (*incarnation, *state);
                    self.apply_standing(now, node, standing, *address, actions);
                }
                return;
            }
            Update::Leaving { target } => {
                let hold = fact.ttl.unwrap_or(self.settings.leaving_ttl);
                if self.targets.mark(target, now + hold) {
                    self.targets_changed = true;
                    self.schedule_push(now);
                    let event = Event::new(&event::LEAVING).with("target", target);
                    actions.push(Action::Log(event.with("reason", "node")));
                }
            }
            Update::Quarantine { confirmed, .. } => {
                if *confirmed {
                    self.schedule_push(now);
                }
            }
            Update::Demand { .. } => return,
        }
        actions.push(Action::Learned { update: fact.update.clone(), ttl: fact.ttl });
    }

    /// Applies the state of a node as reported by another node.
    pub(super) fn apply_standing(
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
        // A recent heartbeat received by this node takes precedence over suspicions of others.
        let recent =
            peer.last_received.is_some_and(|received| now < received + self.settings.period * 3);
        let suspected = matches!(state, State::Suspect | State::Dead);
        if recent && suspected && incarnation <= peer.incarnation {
            return;
        }
        if suspected && incarnation == 0 && peer.incarnation > 0 && peer.state < state {
            // The reporting node has never received a heartbeat from the node and knows no
            // incarnation, so the suspicion applies to the incarnation known here.
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
        if peer.set_state(now, state) {
            self.report_state(node, state, actions);
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
        self.publish_own(now, State::Alive, self.sends_per_fact());
        self.schedule_push(now);
        let event = Event::new(&event::REFUTED).with("incarnation", self.incarnation);
        actions.push(Action::Log(event));
    }

    pub(super) fn no_reply(&mut self, now: Duration, name: &NodeName, actions: &mut Vec<Action>) {
        let recovering = now < self.pause_recovery_until;
        let Some(peer) = self.peers.get_mut(name) else { return };
        let Some(requested) = peer.requested.take() else { return };
        self.outcomes.push(requested, None);
        if recovering {
            return;
        }
        peer.missed += 1;
        if peer.state != State::Alive {
            return;
        }
        if peer.missed < self.settings.suspect_after {
            self.send(now, name, false, actions);
        } else if self.confident == Some(true) {
            self.set_state(now, name, State::Suspect, actions);
        }
    }

    /// Sets the state of another node on this node's own evidence, and publishes it.
    pub(super) fn set_state(
        &mut self,
        now: Duration,
        name: &NodeName,
        state: State,
        actions: &mut Vec<Action>,
    ) {
        let Some(peer) = self.peers.get_mut(name) else { return };
        if !peer.set_state(now, state) {
            return;
        }
        let (incarnation, address) = (peer.incarnation, peer.address);
        self.report_state(name, state, actions);
        let sends = self.sends_per_fact();
        self.publish_standing(now, name.clone(), (incarnation, state), address, sends);
    }

    pub(super) fn report_state(
        &mut self,
        name: &NodeName,
        state: State,
        actions: &mut Vec<Action>,
    ) {
        self.nodes_changed = true;
        let event = Event::new(&event::NODE).with("node", name);
        actions.push(Action::Log(event.with("state", format_args!("{state:?}"))));
    }
}
