//! Quarantine of requests that crash their targets: what this node observes of them, and what it
//! exchanges with other nodes.
//!
//! The decisions are made by `suspect`. An attempt that ends without its answer counts against its
//! request once one of its targets turns out to be lost. Evidence from attempts without any part of
//! an answer and quarantine decisions are sent to the other nodes at once. Decisions are also
//! written to the store for nodes that start later.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::time::Duration;

use fleet::{DomainName, Event, TargetName};
use hyper::{Response, StatusCode};
use path::Entry;
use site::{State, Target, TargetKey};
use suspect::{
    Answered, Decision, Fingerprint, Interruption, Interruptions, Loss, Place, Settings, Status,
    Suspects,
};
use tokio::sync::Notify;
use tokio::time::sleep;

use crate::answer::{Answer, retry_later};
use crate::call::{Call, hex};
use crate::event::{
    REFUSED, REQUEST_CLEARED, REQUEST_HELD, REQUEST_ISOLATED, REQUEST_QUARANTINED,
    REQUEST_SUSPECTED,
};
use crate::evidence::{Evidence, Finding, Outbox};
use crate::node::Node;

/// Reason of a request that is not sent to any target because it is in quarantine.
pub(crate) const QUARANTINED: &str = "crashed its targets";

/// Delay before a quarantine decision. A target that was only unreachable answers its first probe
/// within it.
const CONFIRM_DELAY: Duration = Duration::from_millis(400);
/// Time for which losses and quarantine decisions count: callers repeat such a request for minutes.
/// Equals the longest time to live of the store's leases.
pub(crate) const TTL: Duration = Duration::from_secs(600);
/// Number of events of an answer on one path after which its request is no longer a suspect.
pub(crate) const CLEARING_EVENTS: u64 = 8;
/// Time after the end of an attempt within which the loss of a target becomes known: engines give
/// their reports within it.
const LOSS_DETECTION_TIME: Duration = Duration::from_millis(40);

/// State of the quarantine on this node.
pub(crate) struct Quarantine {
    settings: Settings,
    suspects: RefCell<Suspects>,
    interruptions: RefCell<Interruptions>,
    answered: RefCell<Answered>,
    /// Failure domains, indexed by the numbers that `suspect` uses.
    domains: RefCell<Vec<DomainName>>,
    /// Evidence to be sent to the other nodes.
    pub(crate) outbox: RefCell<Outbox>,
    /// Requests quarantined by this node that are not yet known to be in the store.
    pub(crate) unsaved: RefCell<BTreeSet<Fingerprint>>,
    /// Notified when a request is added to `unsaved`.
    pub(crate) save_needed: Notify,
}

impl Default for Quarantine {
    fn default() -> Self {
        let settings = Settings::builder()
            .confirmation_time(CONFIRM_DELAY)
            .suspect_ttl(TTL)
            .quarantine_ttl(TTL)
            .build();
        Self {
            settings,
            suspects: RefCell::default(),
            interruptions: RefCell::default(),
            answered: RefCell::default(),
            domains: RefCell::default(),
            outbox: RefCell::default(),
            unsaved: RefCell::default(),
            save_needed: Notify::new(),
        }
    }
}

impl Quarantine {
    /// Removes expired suspects and interruptions.
    pub(crate) fn expire(&self, now: Duration) {
        self.suspects.borrow_mut().expire(now, &self.settings);
        self.interruptions.borrow_mut().expire(now);
    }

    fn place(&self, domain: Option<&DomainName>) -> Place {
        let rack = Default::default();
        let Some(domain) = domain else { return Place { domain: u16::MAX, rack } };
        let mut domains = self.domains.borrow_mut();
        let number = domains.iter().position(|known| known == domain).unwrap_or_else(|| {
            domains.push(domain.clone());
            domains.len() - 1
        });
        Place { domain: u16::try_from(number).unwrap_or(u16::MAX), rack }
    }
}

/// Returns a name for one start of a target, because a restarted target keeps its id.
fn instance_name(target: &Target) -> TargetName {
    format!("{}/{}", target.id, target.started_unix_ms).into()
}

/// Source of the information that a target was lost.
enum Source<'a> {
    /// This node observed the loss.
    Observed(&'a Target),
    /// Another node reported the loss, with the target's failure domain if it is known.
    Reported(Option<DomainName>, TargetName),
}

impl Node {
    /// Records that an attempt sent at `begun` ended without its answer; `fresh` if no part of an
    /// answer had arrived.
    pub(crate) fn record_interruption<'a>(
        &self,
        call: &Call,
        targets: impl Iterator<Item = &'a TargetKey>,
        begun: Duration,
        fresh: bool,
    ) {
        let now = self.now();
        let targets: Vec<TargetKey> = targets.cloned().collect();
        let lost = {
            let table = self.table.borrow();
            let was_lost = |id: &&TargetKey| {
                let down = table.entry(id).and_then(|entry| entry.health.time_down(now));
                down.is_some_and(|down| now.saturating_sub(down) >= begun)
            };
            let lost = targets.iter().find(was_lost).and_then(|id| table.entry(id));
            lost.map(|entry| entry.target.clone())
        };
        let fingerprint = call.fingerprint;
        match lost {
            Some(target) => self.record_loss(fingerprint, Source::Observed(&target), fresh),
            None => {
                let interruption = Interruption {
                    fingerprint,
                    targets,
                    sent_at: begun,
                    ended_at: now,
                    before_output: fresh,
                };
                self.quarantine.interruptions.borrow_mut().push(interruption);
            }
        }
    }

    /// Records that a target is lost or has restarted.
    pub(crate) fn record_target_loss(&self, target: &Target) {
        let mut interruptions = self.quarantine.interruptions.borrow_mut();
        let affected = interruptions.take_lost_with(self.now(), &target.id);
        drop(interruptions);
        for interruption in affected {
            self.record_loss(
                interruption.fingerprint,
                Source::Observed(target),
                interruption.before_output,
            );
        }
    }

    /// Records that a target which was down responds and has not restarted in the meantime.
    pub(crate) fn record_target_survival(&self, target: &Target) {
        self.quarantine.suspects.borrow_mut().record_survival(&instance_name(target));
    }

    /// Returns whether a target is draining, according to its entry in the table or its own state.
    fn is_draining(&self, target: &Target) -> bool {
        let table = self.table.borrow();
        let is_marked = table.entry(&target.id).is_some_and(Entry::is_draining);
        is_marked || target.state == State::Draining
    }

    /// Counts the loss of a target against a request.
    fn record_loss(&self, fingerprint: Fingerprint, source: Source<'_>, fresh: bool) {
        if self.quarantine.answered.borrow().contains(fingerprint) {
            if matches!(source, Source::Reported(..)) {
                self.queue_evidence(Evidence { fingerprint, finding: Finding::Answered });
            }
            return;
        }
        let (target, place, own) = match source {
            // A draining target ends on its own.
            Source::Observed(target) if self.is_draining(target) => return,
            Source::Observed(target) => {
                (instance_name(target), self.quarantine.place(Some(&target.domain)), true)
            }
            Source::Reported(domain, target) => {
                (target, self.quarantine.place(domain.as_ref()), false)
            }
        };
        let settings = &self.quarantine.settings;
        let mut suspects = self.quarantine.suspects.borrow_mut();
        let loss = Loss { target: target.clone(), place, at: self.now() };
        let loss = suspects.record_loss(loss, settings);
        if !suspects.add_evidence(fingerprint, loss, fresh, settings) {
            return;
        }
        drop(suspects);
        let event = Event::new(REQUEST_SUSPECTED)
            .with("fingerprint", hex(fingerprint))
            .with("target", &target)
            .with("fresh", fresh)
            .with("own", own);
        log::warn!("{event}");
        metrics::counter!("magnolia_requests_suspected").increment(1);
        // A loss after part of an answer is weak evidence and is not sent to other nodes.
        if own && fresh {
            self.queue_evidence(Evidence { fingerprint, finding: Finding::Suspected(target) });
            self.alarm.notify_one();
        }
    }

    fn queue_evidence(&self, evidence: Evidence) {
        self.quarantine.outbox.borrow_mut().push(evidence);
    }

    /// Records that a request was answered completely. A request that many callers send is then not
    /// quarantined for losses of targets that coincide with it.
    pub(crate) fn record_completed(&self, fingerprint: Fingerprint) {
        self.quarantine.answered.borrow_mut().record(fingerprint);
        self.clear(fingerprint, Finding::Answered, true);
    }

    /// Records that a request has run past the point at which requests crash targets.
    pub(crate) fn record_cleared(&self, fingerprint: Fingerprint) {
        self.clear(fingerprint, Finding::Cleared, true);
    }

    fn clear(&self, fingerprint: Fingerprint, finding: Finding, own: bool) {
        let mut suspects = self.quarantine.suspects.borrow_mut();
        let fresh = suspects.has_full_evidence(fingerprint);
        let was_suspect = match finding {
            Finding::Answered => suspects.release(fingerprint),
            _ => suspects.clear_evidence(fingerprint),
        };
        drop(suspects);
        if own && fresh {
            self.queue_evidence(Evidence { fingerprint, finding });
        }
        if was_suspect {
            let event =
                Event::new(REQUEST_CLEARED).with("fingerprint", hex(fingerprint)).with("own", own);
            log::info!("{event}");
        }
    }

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
            let until = match self.standing(call.fingerprint, now) {
                Status::Clear => return Ok(()),
                Status::Quarantined(until) => return Err(until.saturating_sub(now)),
                Status::Pending(at) if now >= at => {
                    self.decide(call.fingerprint, now);
                    continue;
                }
                Status::Pending(at) => at,
                Status::Suspect => match self.earliest_start(call.fingerprint, now) {
                    Some(at) => at,
                    None => return Ok(()),
                },
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

    /// Returns the refusal of a request that stays in quarantine for the time `left`.
    pub(crate) fn refuse_quarantined(&self, call: &Call, left: Duration) -> Response<Answer> {
        let event = call.event(REFUSED).with("reason", QUARANTINED);
        log::info!("{}", event.with("retry_after_ms", left.as_millis()));
        metrics::counter!("magnolia_refusals", "reason" => QUARANTINED).increment(1);
        retry_later(StatusCode::SERVICE_UNAVAILABLE, QUARANTINED, left)
    }

    /// Returns how long a request stays in quarantine, or zero if it is not quarantined.
    pub(crate) fn quarantined_for(&self, fingerprint: Fingerprint) -> Duration {
        let now = self.now();
        match self.standing(fingerprint, now) {
            Status::Quarantined(until) => until.saturating_sub(now),
            _ => Duration::ZERO,
        }
    }

    fn standing(&self, fingerprint: Fingerprint, now: Duration) -> Status {
        let suspects = self.quarantine.suspects.borrow();
        suspects.status(fingerprint, now, &self.quarantine.settings)
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

    /// Decides on all requests whose delay is over, also without a new attempt at them, so that the
    /// decisions reach the store for nodes that start later.
    pub(crate) fn decide_due(&self) {
        let now = self.now();
        let settings = &self.quarantine.settings;
        let due = self.quarantine.suspects.borrow_mut().take_due_decisions(now, settings);
        due.into_iter().for_each(|fingerprint| self.decide(fingerprint, now));
    }

    fn decide(&self, fingerprint: Fingerprint, now: Duration) {
        let settings = &self.quarantine.settings;
        let decision = self.quarantine.suspects.borrow_mut().decide(fingerprint, now, settings);
        let Decision::Quarantined(targets) = decision else {
            let event = Event::new(REQUEST_ISOLATED);
            return log::info!("{}", event.with("fingerprint", hex(fingerprint)));
        };
        self.log_quarantined(fingerprint, &targets, "judged");
        self.quarantine.unsaved.borrow_mut().insert(fingerprint);
        self.quarantine.save_needed.notify_one();
        for target in targets {
            self.queue_evidence(Evidence { fingerprint, finding: Finding::Quarantined(target) });
        }
        self.alarm.notify_one();
    }

    fn log_quarantined(&self, fingerprint: Fingerprint, targets: &[TargetName], source: &str) {
        let event = Event::new(REQUEST_QUARANTINED)
            .with("fingerprint", hex(fingerprint))
            .with("targets", targets.join(","))
            .with("source", source);
        log::warn!("{event}");
        metrics::counter!("magnolia_requests_condemned").increment(1);
    }

    /// Applies evidence that another node sent.
    pub(crate) fn apply_evidence(&self, evidence: Evidence) {
        let Evidence { fingerprint, finding } = evidence;
        let target = match finding {
            Finding::Suspected(target) => target,
            Finding::Cleared | Finding::Answered => {
                return self.clear(fingerprint, finding, false);
            }
            Finding::Quarantined(target) => {
                self.quarantine.suspects.borrow_mut().drop_evidence_for(&target);
                return self.quarantine_request(fingerprint, &[target], "told");
            }
        };
        let id = target.rsplit_once('/').map_or(target.as_str(), |(id, _)| id);
        let domain = self.table.borrow().entry(id).map(|entry| entry.target.domain.clone());
        self.record_loss(fingerprint, Source::Reported(domain, target), true);
    }

    /// Applies a quarantine entry of the store.
    pub(crate) fn load_quarantined(&self, fingerprint: &str) {
        // Keys that are not fingerprints were not written by this system.
        let Ok(fingerprint) = Fingerprint::from_str_radix(fingerprint, 16) else { return };
        self.quarantine.unsaved.borrow_mut().remove(&fingerprint);
        self.quarantine_request(fingerprint, &[], "store");
    }

    /// Quarantines a request by the decision of another node or the store, unless it was answered
    /// here.
    fn quarantine_request(&self, fingerprint: Fingerprint, targets: &[TargetName], source: &str) {
        if self.quarantine.answered.borrow().contains(fingerprint) {
            return self.queue_evidence(Evidence { fingerprint, finding: Finding::Answered });
        }
        let now = self.now();
        let known = matches!(self.standing(fingerprint, now), Status::Quarantined(_));
        self.quarantine.suspects.borrow_mut().quarantine(fingerprint, now + TTL);
        if !known {
            self.log_quarantined(fingerprint, targets, source);
        }
    }
}
