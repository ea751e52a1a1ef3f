//! Admission: whether a request may be sent to a target, has to wait, or must not run.

use std::time::Duration;

use suspect::{Fingerprint, Status};
use tokio::time::sleep;

use crate::call::Call;
use crate::confirm::CONFIRM_INTERVAL;
use crate::event::REQUEST_HELD;
use crate::node::Node;
use crate::persistence::Change;

/// Time after the end of an attempt within which the loss of a target becomes known: engines give
/// their reports within it.
const LOSS_DETECTION_TIME: Duration = Duration::from_millis(40);

/// What becomes of a request that is about to be sent.
enum Admission {
    Run,
    /// The request must not run for this time.
    Refuse(Duration),
    /// A decision on this fingerprint is due.
    Decide(Fingerprint),
    /// The request waits until this time.
    Wait(Duration),
}

impl Node {
    /// Waits until a request may be sent to a target. A request whose decision is pending waits for
    /// it; a suspect that runs isolated from other suspects waits for its turn.
    ///
    /// # Errors
    ///
    /// Returns the remaining time in quarantine if the request must not run.
    pub(crate) async fn admit(&self, call: &Call) -> Result<(), Duration> {
        let mut logged = false;
        loop {
            let now = self.now();
            let until = match self.admission(call, now) {
                Admission::Run => return Ok(()),
                Admission::Refuse(left) => return Err(left),
                Admission::Decide(fingerprint) => {
                    self.decide(fingerprint, now);
                    continue;
                }
                Admission::Wait(until) => until,
            };
            if now >= call.deadline {
                return Ok(());
            }
            if !std::mem::replace(&mut logged, true) {
                let wait = until.saturating_sub(now);
                log::info!("{}", call.event(REQUEST_HELD).with("wait_ms", wait.as_millis()));
            }
            tokio::select! {
                () = sleep(until.min(call.deadline).saturating_sub(now)) => {}
                () = self.routing_changed.notified() => {}
            }
        }
    }

    fn admission(&self, call: &Call, now: Duration) -> Admission {
        let (mut quarantined, mut pending) = (Vec::new(), None);
        for &part in &call.parts {
            match self.standing(part, now) {
                Status::Clear | Status::Suspect => {}
                Status::Quarantined(_) => quarantined.push(part),
                Status::Pending(at) => pending = pending.or(Some((part, at))),
            }
        }
        let request = self.standing(call.fingerprint, now);
        // Before any wait: what is quarantined already is refused, whatever is decided.
        if matches!(request, Status::Quarantined(_)) || !self.may_try(&quarantined) {
            return Admission::Refuse(self.quarantined_for(call));
        }
        if let Status::Pending(at) = request {
            pending = pending.or(Some((call.fingerprint, at)));
        }
        if let Some((fingerprint, at)) = pending {
            return self.pending(fingerprint, at, now);
        }
        if request == Status::Suspect
            && let Some(start) = self.earliest_start(call.fingerprint, now)
        {
            return Admission::Wait(start);
        }
        let mut trials = self.quarantine.trials.borrow_mut();
        for part in quarantined {
            trials.take_permission(part);
        }
        Admission::Run
    }

    /// Returns what becomes of a request while a decision that is due at `at` is pending.
    fn pending(&self, fingerprint: Fingerprint, at: Duration, now: Duration) -> Admission {
        if now < at {
            return Admission::Wait(at);
        }
        match self.awaits_confirmation(fingerprint) {
            true => Admission::Wait(now + CONFIRM_INTERVAL),
            false => Admission::Decide(fingerprint),
        }
    }

    /// Returns whether a request with these quarantined parts may run: if there are none, or as
    /// their trial. Requests the permission for a trial that is due.
    fn may_try(&self, quarantined: &[Fingerprint]) -> bool {
        let now = self.now();
        let trials = self.quarantine.trials.borrow();
        if quarantined.iter().all(|part| trials.is_permitted(*part)) {
            return true;
        }
        for &part in quarantined {
            if trials.time_left(part, now).is_some_and(|left| left.is_zero()) {
                self.quarantine.entries.request(part, Change::Try);
            }
        }
        false
    }

    /// Returns when a suspect may start; `None` if it may start now. A suspect waits while its last
    /// attempt may still turn out to have ended a target, and for its turn if it runs isolated.
    fn earliest_start(&self, fingerprint: Fingerprint, now: Duration) -> Option<Duration> {
        let ended = self.quarantine.interruptions.borrow().last_ended(fingerprint);
        let detected =
            ended.map(|ended| ended + LOSS_DETECTION_TIME).filter(|detected| *detected > now);
        let suspects = self.quarantine.suspects.borrow();
        let isolated = suspects.needs_isolation(fingerprint, now);
        let turn = suspects.turn_at(fingerprint, &self.quarantine.settings);
        detected.max(turn.filter(|turn| isolated && *turn > now))
    }
}
