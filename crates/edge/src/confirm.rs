//! Confirmation of losses before a quarantine decision: a target that seems to be lost may be silent
//! for a while and go on.
//!
//! A target that has ended refuses connections, or starts again. Until either is seen, or the target
//! has been silent for longer than a sound one is, decisions that rest on its loss wait, and it is
//! probed more often. Once it answers as the same start, its loss no longer counts.

use std::time::Duration;

use fleet::Event;
use site::TargetKey;
use suspect::Fingerprint;

use crate::call::hex;
use crate::event::DECISION_WAITS;
use crate::node::Node;
use crate::quarantine::instance_name;

/// Interval at which waiting decisions are considered again.
pub(crate) const CONFIRM_INTERVAL: Duration = Duration::from_millis(100);

impl Node {
    /// Returns whether a decision on a fingerprint has to wait, because a target that was lost under
    /// it may only be silent. Such targets are probed soon.
    pub(crate) fn awaits_confirmation(&self, fingerprint: Fingerprint) -> bool {
        let silent = self.silent_targets(fingerprint);
        let mut table = self.table.borrow_mut();
        for id in &silent {
            table.probe_within(self.now(), id, CONFIRM_INTERVAL);
        }
        !silent.is_empty()
    }

    /// Returns the targets that were lost under a fingerprint and may only be silent.
    fn silent_targets(&self, fingerprint: Fingerprint) -> Vec<TargetKey> {
        let now = self.now();
        let lost = self.quarantine.lost_targets(fingerprint, now);
        let table = self.table.borrow();
        let lost = table.entries().filter(|entry| lost.contains(&instance_name(&entry.target)));
        let silent = lost.filter(|entry| entry.health.may_be_silent(now));
        silent.map(|entry| entry.target.id.clone()).collect()
    }

    /// Takes the decision on a fingerprint that is due, or postpones it until its losses are
    /// confirmed.
    pub(crate) fn decide_or_wait(&self, fingerprint: Fingerprint) {
        if !self.awaits_confirmation(fingerprint) {
            return self.decide(fingerprint, self.now());
        }
        let targets = self.silent_targets(fingerprint).join(",");
        let event = Event::new(DECISION_WAITS).with("fingerprint", hex(fingerprint));
        log::info!("{}", event.with("targets", targets));
        self.quarantine.postpone_decision(fingerprint);
    }
}
