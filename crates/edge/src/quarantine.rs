//! Requests that crash their targets: what this node sees of them, hears and tells.
//!
//! The decisions are those of `suspect`. An attempt that ends without its answer counts against
//! its request once one of its targets turns out to be lost. Fresh evidence and condemnations
//! are told to the other nodes at once; condemnations are kept in the store for nodes that start
//! later.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::time::Duration;

use fleet::{DomainName, Event, TargetName};
use hyper::{Response, StatusCode};
use path::Entry;
use site::{State, Target, TargetKey};
use suspect::{
    Answered, Fingerprint, Interruption, Interruptions, Judgement, Loss, Place, Settings, Standing,
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

/// Why a request is not offered to a target any more.
pub(crate) const QUARANTINED: &str = "crashed its targets";

/// How long a condemnation waits: a target that was only out of reach answers its first probe by
/// then.
const CONFIRM_DELAY: Duration = Duration::from_millis(400);
/// How long losses and condemnations count: callers repeat such a request for minutes. The
/// longest time to live of the store's leases.
pub(crate) const TTL: Duration = Duration::from_secs(600);
/// Events of an answer on one path after which its request is no suspect any more.
pub(crate) const CLEARING_EVENTS: u64 = 8;
/// Time in which the end of an attempt shows whether a target has ended: engines give their
/// reports within it.
const LOSS_DETECTION_TIME: Duration = Duration::from_millis(40);
/// What this node knows of such requests.
pub(crate) struct Quarantine {
    settings: Settings,
    suspects: RefCell<Suspects>,
    interruptions: RefCell<Interruptions>,
    answered: RefCell<Answered>,
    /// Domains by their dense numbers.
    domains: RefCell<Vec<DomainName>>,
    /// What is to be told to the other nodes.
    pub(crate) outbox: RefCell<Outbox>,
    /// Condemned here, and not yet seen in the store.
    pub(crate) unsaved: RefCell<BTreeSet<Fingerprint>>,
    /// Told when one is added.
    pub(crate) save_needed: Notify,
}

impl Default for Quarantine {
    fn default() -> Self {
        let settings =
            Settings::builder().confirm(CONFIRM_DELAY).suspect_ttl(TTL).quarantine_ttl(TTL).build();
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
    /// Forgets what is over.
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

/// Name of one start of a target: its id may start again.
fn instance_name(target: &Target) -> TargetName {
    format!("{}/{}", target.id, target.born).into()
}

/// What is held against a request.
enum Source<'a> {
    /// This node saw the target go.
    Observed(&'a Target),
    /// Another node tells.
    Reported(Option<DomainName>, TargetName),
}

impl Node {
    /// Notes that an attempt, sent at `begun`, ended without its answer; `fresh` if nothing of
    /// one had come.
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
            let went = |id: &&TargetKey| {
                let down = table.entry(id).and_then(|entry| entry.health.down_for(now));
                down.is_some_and(|down| now.saturating_sub(down) >= begun)
            };
            let lost = targets.iter().find(went).and_then(|id| table.entry(id));
            lost.map(|entry| entry.target.clone())
        };
        let fingerprint = call.fingerprint;
        match lost {
            Some(target) => self.record_loss(fingerprint, Source::Observed(&target), fresh),
            None => {
                let interruption = Interruption { fingerprint, targets, begun, ended: now, fresh };
                self.quarantine.interruptions.borrow_mut().push(interruption);
            }
        }
    }

    /// Notes that a target is lost, or has started anew.
    pub(crate) fn record_target_loss(&self, target: &Target) {
        let mut interruptions = self.quarantine.interruptions.borrow_mut();
        let ended = interruptions.take(self.now(), &target.id);
        drop(interruptions);
        for one in ended {
            self.record_loss(one.fingerprint, Source::Observed(target), one.fresh);
        }
    }

    /// Notes that a target which was left out answers, and has not started anew meanwhile.
    pub(crate) fn record_target_survival(&self, target: &Target) {
        self.quarantine.suspects.borrow_mut().survived(&instance_name(target));
    }

    /// Whether a target is leaving, by its entry or its own word.
    fn is_draining(&self, target: &Target) -> bool {
        let table = self.table.borrow();
        let said = table.entry(&target.id).is_some_and(Entry::is_draining);
        said || target.state == State::Draining
    }

    /// Holds the loss of a target against a request.
    fn record_loss(&self, fingerprint: Fingerprint, held: Source<'_>, fresh: bool) {
        if self.quarantine.answered.borrow().contains(fingerprint) {
            if matches!(held, Source::Reported(..)) {
                self.queue_evidence(Evidence { fingerprint, finding: Finding::Answered });
            }
            return;
        }
        let (target, place, own) = match held {
            // One that leaves ends by itself.
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
        let loss = suspects.lose(loss, settings);
        if !suspects.suspect(fingerprint, loss, fresh, settings) {
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
        // That an answer had begun before says little, and is not told.
        if own && fresh {
            self.queue_evidence(Evidence { fingerprint, finding: Finding::Suspected(target) });
            self.alarm.notify_one();
        }
    }

    fn queue_evidence(&self, evidence: Evidence) {
        self.quarantine.outbox.borrow_mut().push(evidence);
    }

    /// Notes that a request was answered whole. What many callers send is not condemned for what
    /// happens to targets while they do.
    pub(crate) fn record_completed(&self, fingerprint: Fingerprint) {
        self.quarantine.answered.borrow_mut().note(fingerprint);
        self.clear(fingerprint, Finding::Answered, true);
    }

    /// Notes that a request has run beyond what crashes targets.
    pub(crate) fn record_cleared(&self, fingerprint: Fingerprint) {
        self.clear(fingerprint, Finding::Cleared, true);
    }

    fn clear(&self, fingerprint: Fingerprint, finding: Finding, own: bool) {
        let mut suspects = self.quarantine.suspects.borrow_mut();
        let fresh = suspects.is_fresh(fingerprint);
        let had = match finding {
            Finding::Answered => suspects.acquit(fingerprint),
            _ => suspects.clear(fingerprint),
        };
        drop(suspects);
        if own && fresh {
            self.queue_evidence(Evidence { fingerprint, finding });
        }
        if had {
            let event =
                Event::new(REQUEST_CLEARED).with("fingerprint", hex(fingerprint)).with("own", own);
            log::info!("{event}");
        }
    }

    /// Waits until a request may be sent to a target: one that is to be judged waits for that,
    /// one that is to run apart from other suspects for its turn.
    ///
    /// # Errors
    ///
    /// For how long a condemned request is not to be run.
    pub(crate) async fn admit(&self, call: &Call) -> Result<(), Duration> {
        let mut held = false;
        loop {
            let now = self.now();
            let until = match self.standing(call.fingerprint, now) {
                Standing::Clear => return Ok(()),
                Standing::Condemned(until) => return Err(until.saturating_sub(now)),
                Standing::Pending(at) if now >= at => {
                    self.judge(call.fingerprint, now);
                    continue;
                }
                Standing::Pending(at) => at,
                Standing::Suspect => match self.earliest_start(call.fingerprint, now) {
                    Some(at) => at,
                    None => return Ok(()),
                },
            };
            if now >= call.deadline {
                return Ok(());
            }
            if !std::mem::replace(&mut held, true) {
                let wait = until.saturating_sub(now);
                log::info!("{}", call.event(REQUEST_HELD).with("wait_ms", wait.as_millis()));
            }
            tokio::select! {
                () = sleep(until.min(call.deadline).saturating_sub(now)) => {}
                () = self.targets_changed.notified() => {}
            }
        }
    }

    /// The answer to a request that is not to be run for the time `left`.
    pub(crate) fn refuse_quarantined(&self, call: &Call, left: Duration) -> Response<Answer> {
        let event = call.event(REFUSED).with("reason", QUARANTINED);
        log::info!("{}", event.with("retry_after_ms", left.as_millis()));
        metrics::counter!("magnolia_refusals", "reason" => QUARANTINED).increment(1);
        retry_later(StatusCode::SERVICE_UNAVAILABLE, QUARANTINED, left)
    }

    /// For how long a request is not to be run.
    pub(crate) fn quarantined_for(&self, fingerprint: Fingerprint) -> Duration {
        let now = self.now();
        match self.standing(fingerprint, now) {
            Standing::Condemned(until) => until.saturating_sub(now),
            _ => Duration::ZERO,
        }
    }

    fn standing(&self, fingerprint: Fingerprint, now: Duration) -> Standing {
        let suspects = self.quarantine.suspects.borrow();
        suspects.standing(fingerprint, now, &self.quarantine.settings)
    }

    /// Until when a suspect waits; `None` once it may run. It waits while its last attempt may
    /// yet turn out to have ended a target, and for its turn if it runs apart from others.
    fn earliest_start(&self, fingerprint: Fingerprint, now: Duration) -> Option<Duration> {
        let ended = self.quarantine.interruptions.borrow().last_ended(fingerprint);
        let known = ended.map(|ended| ended + LOSS_DETECTION_TIME).filter(|known| *known > now);
        let suspects = self.quarantine.suspects.borrow();
        let apart = suspects.is_apart(fingerprint, now);
        let turn = suspects.turn(fingerprint, &self.quarantine.settings);
        known.max(turn.filter(|turn| apart && *turn > now))
    }

    /// Judges the requests that are due: nodes that start later must know of them too.
    pub(crate) fn judge_due(&self) {
        let now = self.now();
        let settings = &self.quarantine.settings;
        let due = self.quarantine.suspects.borrow_mut().take_due(now, settings);
        due.into_iter().for_each(|fingerprint| self.judge(fingerprint, now));
    }

    fn judge(&self, fingerprint: Fingerprint, now: Duration) {
        let settings = &self.quarantine.settings;
        let judgement = self.quarantine.suspects.borrow_mut().judge(fingerprint, now, settings);
        let Judgement::Condemned(targets) = judgement else {
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

    /// Takes another node's word.
    pub(crate) fn apply_evidence(&self, evidence: Evidence) {
        let Evidence { fingerprint, finding } = evidence;
        let target = match finding {
            Finding::Suspected(target) => target,
            Finding::Cleared | Finding::Answered => {
                return self.clear(fingerprint, finding, false);
            }
            Finding::Quarantined(target) => {
                self.quarantine.suspects.borrow_mut().settle(&target);
                return self.quarantine_request(fingerprint, &[target], "told");
            }
        };
        let id = target.rsplit_once('/').map_or(target.as_str(), |(id, _)| id);
        let domain = self.table.borrow().entry(id).map(|entry| entry.target.domain.clone());
        self.record_loss(fingerprint, Source::Reported(domain, target), true);
    }

    /// Takes the store's word that a request is condemned.
    pub(crate) fn load_quarantined(&self, fingerprint: &str) {
        // A key that is no fingerprint is not this system's.
        let Ok(fingerprint) = Fingerprint::from_str_radix(fingerprint, 16) else { return };
        self.quarantine.unsaved.borrow_mut().remove(&fingerprint);
        self.quarantine_request(fingerprint, &[], "store");
    }

    /// Takes it from elsewhere that a request is not to be run, unless it was answered here.
    fn quarantine_request(&self, fingerprint: Fingerprint, targets: &[TargetName], source: &str) {
        if self.quarantine.answered.borrow().contains(fingerprint) {
            return self.queue_evidence(Evidence { fingerprint, finding: Finding::Answered });
        }
        let now = self.now();
        let known = matches!(self.standing(fingerprint, now), Standing::Condemned(_));
        self.quarantine.suspects.borrow_mut().condemn(fingerprint, now + TTL);
        if !known {
            self.log_quarantined(fingerprint, targets, source);
        }
    }
}
