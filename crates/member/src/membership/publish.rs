//! Updates published by this node: standings, leaving targets, quarantines and new versions.

use std::net::SocketAddr;
use std::time::Duration;

use fleet::{Event, NodeName, TargetName, Version};

use super::Membership;
use crate::fact::{Key, standing_version};
use crate::{Action, Fact, Incarnation, Settings, State, Update, event};

/// Delay of a push, in which further changes are batched.
const PUSH_DELAY: Duration = Duration::from_millis(10);

/// Minimum time between two pushes.
const MIN_PUSH_PERIOD: Duration = Duration::from_millis(100);

/// Time to live of a standing other than alive.
const STANDING_TTL: Duration = Duration::from_secs(600);

/// Time to live of an alive standing.
const ALIVE_TTL: Duration = Duration::from_secs(60);

impl Membership {
    /// Publishes this node's standing. With `sends` of 0, only this node's own heartbeats carry
    /// it, for a while after its start.
    pub(super) fn publish_own(&mut self, now: Duration, state: State, sends: u32) {
        let Settings { name, address, .. } = &self.settings;
        let (name, address) = (name.clone(), *address);
        self.publish_standing(now, name, (self.incarnation, state), address, sends);
    }

    pub(super) fn publish_standing(
        &mut self,
        now: Duration,
        node: NodeName,
        (incarnation, state): (Incarnation, State),
        address: SocketAddr,
        sends: u32,
    ) {
        let ttl = if state == State::Alive { ALIVE_TTL } else { STANDING_TTL };
        let version = standing_version(incarnation, state);
        let update = Update::Standing { node, incarnation, address, state };
        let fact = Fact { version, ttl: Some(ttl), update };
        self.facts.merge(now, &fact, sends);
    }

    pub(super) fn publish(&mut self, now: Duration, update: Update, actions: &mut Vec<Action>) {
        match update {
            Update::Leaving { target } => self.mark_leaving(now, &target, "here", actions),
            Update::Demand { node, organisation, cost } if node == self.settings.name => {
                self.demand.set_one(organisation, cost);
            }
            Update::Quarantine { .. } => self.publish_quarantine(now, update),
            Update::Demand { .. } | Update::Standing { .. } => {}
        }
    }

    pub(super) fn publish_quarantine(&mut self, now: Duration, update: Update) {
        let Some(key) = Key::of(&update) else { return };
        let ttl = self.settings.quarantine_ttl;
        let held = self.facts.get(now, &key);
        let lasts = held
            .is_some_and(|old| old.update == update && old.ttl.is_none_or(|left| left > ttl / 2));
        if lasts {
            return;
        }
        let urgent = matches!(update, Update::Quarantine { confirmed: true, .. });
        let fact = Fact { version: self.facts.next_version(&key), ttl: Some(ttl), update };
        let sends = self.sends_per_fact();
        self.facts.merge(now, &fact, sends);
        if urgent {
            self.schedule_push(now);
        }
    }

    pub(super) fn mark_leaving(
        &mut self,
        now: Duration,
        target: &TargetName,
        reason: &str,
        actions: &mut Vec<Action>,
    ) {
        let hold = self.settings.leaving_ttl;
        let new = self.targets.mark(target, now + hold);
        let update = Update::Leaving { target: target.clone() };
        let key = Key::Leaving(target.clone());
        if !new && (reason != "list" || self.facts.get(now, &key).is_some()) {
            return;
        }
        self.targets_changed = true;
        let fact = Fact { version: self.facts.next_version(&key), ttl: Some(hold), update };
        let sends = self.sends_per_fact();
        self.facts.merge(now, &fact, sends);
        self.schedule_push(now);
        let event = Event::new(&event::LEAVING).with("target", target).with("reason", reason);
        actions.push(Action::Log(event));
    }

    pub(super) fn set_preset(&mut self, now: Duration, version: Version) {
        if version > self.preset {
            self.preset = version;
            self.schedule_push(now);
        }
    }

    pub(super) fn leave(&mut self, now: Duration) {
        self.leaving = true;
        self.publish_own(now, State::Left, self.sends_per_fact());
        self.schedule_push(now);
    }

    pub(super) fn schedule_push(&mut self, now: Duration) {
        if !self.settings.push {
            return;
        }
        let earliest = self.last_push.map_or(now, |last_push| last_push + MIN_PUSH_PERIOD);
        let at = earliest.max(now + PUSH_DELAY);
        self.next_push = Some(self.next_push.map_or(at, |set| set.min(at)));
    }
}
