//! Rounds of heartbeats, pushes between them, and healing.

use std::time::Duration;

use fleet::{Event, NodeName};
use rand::RngExt;
use rand::rngs::SmallRng;
use rand::seq::{IndexedRandom, SliceRandom};

use super::Membership;
use crate::fact::Key;
use crate::peer::Peer;
use crate::{Action, Heartbeat, State, event};

/// Time between two totals of demand.
const DEMAND_PERIOD: Duration = Duration::from_secs(1);

/// Time without a change to the facts before a difference counts.
const QUIET: Duration = Duration::from_secs(3);

/// Shortest time between two requests for all facts.
const HEALING_PERIOD: Duration = Duration::from_millis(500);

/// Time after the start in which each heartbeat tells this node's address.
const YOUTH: Duration = Duration::from_secs(60);

/// A heartbeat without an outcome for this long is taken as lost.
const OUTCOME_TIMEOUT: Duration = Duration::from_secs(10);

impl Membership {
    pub(super) fn run_due(&mut self, now: Duration, rng: &mut SmallRng, actions: &mut Vec<Action>) {
        if now >= self.next_round {
            self.round(now, rng, actions);
        }
        if self.push_at.is_some_and(|at| now >= at) {
            self.push_at = None;
            self.pushed = Some(now);
            for name in self.push_receivers(rng) {
                self.send(now, &name, false, actions);
            }
        }
        if now >= self.next_demand {
            self.next_demand = now + DEMAND_PERIOD;
            let live = self.live();
            let totals = self.demand.totals(now, live);
            actions.push(Action::Demand { live, totals });
        }
    }

    pub(super) fn round(&mut self, now: Duration, rng: &mut SmallRng, actions: &mut Vec<Action>) {
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
            self.send(now, &name, false, actions);
        }
    }

    /// Suspects that have not refuted in time are dead, for a node that trusts its view.
    pub(super) fn end_suspicions(&mut self, now: Duration, actions: &mut Vec<Action>) {
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

    pub(super) fn meshed(&self) -> bool {
        self.peers.len() <= self.settings.mesh
    }

    pub(super) fn round_receivers(&mut self, rng: &mut SmallRng) -> Vec<NodeName> {
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

    pub(super) fn push_receivers(&self, rng: &mut SmallRng) -> Vec<NodeName> {
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

    pub(super) fn send(
        &mut self,
        now: Duration,
        name: &NodeName,
        wants_facts: bool,
        actions: &mut Vec<Action>,
    ) {
        let heartbeat = Heartbeat { wants_facts, ..self.heartbeat(now) };
        let Some(peer) = self.peers.get_mut(name) else { return };
        // With two heartbeats out, the reply is dated by the older one.
        let outstanding = peer.asked.filter(|asked| now < *asked + OUTCOME_TIMEOUT);
        peer.asked = Some(outstanding.unwrap_or(now));
        actions.push(Action::Send { to: name.clone(), address: peer.address, heartbeat });
    }

    pub(super) fn heartbeat(&mut self, now: Duration) -> Heartbeat {
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
            demand: Vec::new(),
        }
    }

    /// Asks a node whose facts differ for all of them, unless news is still spreading.
    pub(super) fn heal(
        &mut self,
        now: Duration,
        node: &NodeName,
        digest: u64,
        actions: &mut Vec<Action>,
    ) {
        let spreading = !self.facts.is_empty() && now < self.facts.changed() + QUIET;
        let differs = digest != self.facts.digest();
        if !differs || spreading || now < self.next_healing || !self.peers.contains_key(node) {
            return;
        }
        self.next_healing = now + HEALING_PERIOD;
        actions.push(Action::Log(Event::new(&event::HEALING).with("node", node)));
        self.send(now, node, true, actions);
    }
}

fn jitter(rng: &mut SmallRng) -> f64 {
    rng.random_range(0.9..1.1)
}
