//! Rounds of heartbeats, pushes between rounds, and synchronisation of facts.

use std::time::Duration;

use fleet::{Event, NodeName};
use rand::RngExt;
use rand::rngs::SmallRng;
use rand::seq::{IndexedRandom, SliceRandom};

use super::Membership;
use crate::fact::Key;
use crate::peer::Peer;
use crate::{Action, Heartbeat, State, event};

/// Time between two reports of total demand.
const DEMAND_PERIOD: Duration = Duration::from_secs(1);

/// Minimum time since the last change of the facts before a differing digest is acted on.
const SYNC_QUIET_PERIOD: Duration = Duration::from_secs(3);

/// Minimum time between two requests for all facts.
const MIN_SYNC_PERIOD: Duration = Duration::from_millis(500);

/// Time after the start in which each heartbeat carries this node's standing and address.
const ADDRESS_PERIOD: Duration = Duration::from_secs(60);

/// Time after which a heartbeat without an outcome is ignored.
const OUTCOME_TIMEOUT: Duration = Duration::from_secs(10);

impl Membership {
    pub(super) fn run_due(&mut self, now: Duration, rng: &mut SmallRng, actions: &mut Vec<Action>) {
        if now >= self.next_round {
            self.run_round(now, rng, actions);
        }
        if self.next_push.is_some_and(|at| now >= at) {
            self.next_push = None;
            self.last_push = Some(now);
            for name in self.push_receivers(rng) {
                self.send(now, &name, false, actions);
            }
        }
        if now >= self.next_demand {
            self.next_demand = now + DEMAND_PERIOD;
            let live = self.live_nodes();
            let totals = self.demand.totals(now, live);
            actions.push(Action::Demand { live, totals });
        }
    }

    pub(super) fn run_round(
        &mut self,
        now: Duration,
        rng: &mut SmallRng,
        actions: &mut Vec<Action>,
    ) {
        self.next_round = now + self.settings.period.mul_f64(jitter(rng));
        self.facts.expire(now);
        for target in self.targets.expire(now) {
            self.targets_changed = true;
            actions.push(Action::Log(Event::new(&event::RETURNED).with("target", target)));
        }
        self.expire_suspicions(now, actions);
        let unlisted_timeout = self.settings.unlisted_timeout;
        let before = self.peers.len();
        self.peers.retain(|_, peer| !peer.is_expired(now, unlisted_timeout));
        self.nodes_changed |= self.peers.len() != before || self.presets_changed;
        self.presets_changed = false;
        for name in self.round_receivers(rng) {
            self.send(now, &name, false, actions);
        }
    }

    /// Declares suspects dead that have not refuted the suspicion in time, if this node is
    /// confident.
    pub(super) fn expire_suspicions(&mut self, now: Duration, actions: &mut Vec<Action>) {
        if self.confident != Some(true) {
            return;
        }
        let expired: Vec<NodeName> = self
            .peers
            .iter()
            .filter(|(_, peer)| peer.state == State::Suspect)
            .filter(|(_, peer)| now >= peer.state_since + self.settings.suspicion_timeout)
            .map(|(name, _)| name.clone())
            .collect();
        for name in expired {
            self.set_state(now, &name, State::Dead, actions);
        }
    }

    pub(super) fn is_full_mesh(&self) -> bool {
        self.peers.len() <= self.settings.max_mesh_peers
    }

    pub(super) fn round_receivers(&mut self, rng: &mut SmallRng) -> Vec<NodeName> {
        let reachable = |peer: &Peer| peer.state != State::Left;
        if self.is_full_mesh() {
            let all = self.peers.iter().filter(|(_, peer)| reachable(peer));
            return all.map(|(name, _)| name.clone()).collect();
        }
        let mut receivers = Vec::new();
        while receivers.len() < self.settings.fanout {
            if self.pending_receivers.is_empty() {
                let all = self.peers.iter().filter(|(_, peer)| reachable(peer));
                self.pending_receivers = all.map(|(name, _)| name.clone()).collect();
                self.pending_receivers.shuffle(rng);
            }
            let Some(name) = self.pending_receivers.pop() else { break };
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
        if self.is_full_mesh() {
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
        let heartbeat = Heartbeat { wants_facts, ..self.make_heartbeat(now) };
        let Some(peer) = self.peers.get_mut(name) else { return };
        // With two outstanding heartbeats, the reply is attributed to the older one.
        let outstanding = peer.requested.filter(|requested| now < *requested + OUTCOME_TIMEOUT);
        peer.requested = Some(outstanding.unwrap_or(now));
        actions.push(Action::Send { to: name.clone(), address: peer.address, heartbeat });
    }

    pub(super) fn make_heartbeat(&mut self, now: Duration) -> Heartbeat {
        self.sequence += 1;
        let mut facts = self.facts.next_to_send(now, self.settings.max_facts);
        let recently_started = self.started.is_some_and(|started| now < started + ADDRESS_PERIOD);
        let key = Key::Standing(self.settings.name.clone());
        if recently_started
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

    /// Requests all facts of a node whose digest differs, unless recent changes may still be
    /// spreading.
    pub(super) fn sync_facts(
        &mut self,
        now: Duration,
        node: &NodeName,
        digest: u64,
        actions: &mut Vec<Action>,
    ) {
        let spreading =
            !self.facts.is_empty() && now < self.facts.last_change() + SYNC_QUIET_PERIOD;
        let differs = digest != self.facts.digest();
        if !differs || spreading || now < self.next_sync || !self.peers.contains_key(node) {
            return;
        }
        self.next_sync = now + MIN_SYNC_PERIOD;
        actions.push(Action::Log(Event::new(&event::FACTS_DIFFER).with("node", node)));
        self.send(now, node, true, actions);
    }
}

fn jitter(rng: &mut SmallRng) -> f64 {
    rng.random_range(0.9..1.1)
}
