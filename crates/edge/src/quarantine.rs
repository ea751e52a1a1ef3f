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
    Answered, Decision, Fingerprint, Interruption, Interruptions, Loss, Place, Settings, Status,
    Suspects,
};
use tokio::sync::Notify;
use tokio::time::sleep;

use crate::answer::{Answer, later};
use crate::call::{Call, hex};
use crate::event::{CLEARED, CONDEMNED, HELD, REFUSED, SET_ASIDE, SUSPECTED};
use crate::node::Node;
use crate::word::{Finding, Word, Words};

/// Why a request is not offered to a target any more.
pub(crate) const QUARANTINED: &str = "crashed its targets";

/// How long a condemnation waits: a target that was only out of reach answers its first probe by
/// then.
const CONFIRM: Duration = Duration::from_millis(400);
/// How long losses and condemnations count: callers repeat such a request for minutes. The
/// longest time to live of the store's leases.
pub(crate) const TTL: Duration = Duration::from_secs(600);
/// Events of an answer on one path after which its request is no suspect any more.
pub(crate) const CLEAR_EVENTS: u64 = 8;
/// Time in which the end of an attempt shows whether a target has ended: engines give their
/// reports within it.
const CHECK_TIME: Duration = Duration::from_millis(40);
/// What this node knows of such requests.
pub(crate) struct Quarantine {
    settings: Settings,
    suspects: RefCell<Suspects>,
    interruptions: RefCell<Interruptions>,
    answered: RefCell<Answered>,
    /// Domains by their dense numbers.
    domains: RefCell<Vec<DomainName>>,
    /// What is to be told to the other nodes.
    pub(crate) words: RefCell<Words>,
    /// Condemned here, and not yet seen in the store.
    pub(crate) unsaved: RefCell<BTreeSet<Fingerprint>>,
    /// Told when one is added.
    pub(crate) to_save: Notify,
}

impl Default for Quarantine {
    fn default() -> Self {
        let settings = Settings::builder()
            .confirmation_time(CONFIRM)
            .suspect_ttl(TTL)
            .quarantine_ttl(TTL)
            .build();
        Self {
            settings,
            suspects: RefCell::default(),
            interruptions: RefCell::default(),
            answered: RefCell::default(),
            domains: RefCell::default(),
            words: RefCell::default(),
            unsaved: RefCell::default(),
            to_save: Notify::new(),
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
fn name(target: &Target) -> TargetName {
    format!("{}/{}", target.id, target.started_unix_ms).into()
}

/// What is held against a request.
enum Held<'a> {
    /// This node saw the target go.
    Here(&'a Target),
    /// Another node tells.
    Told(Option<DomainName>, TargetName),
}

impl Node {
    /// Notes that an attempt, sent at `begun`, ended without its answer; `fresh` if nothing of
    /// one had come.
    pub(crate) fn interrupted<'a>(
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
                let down = table.entry(id).and_then(|entry| entry.health.time_down(now));
                down.is_some_and(|down| now.saturating_sub(down) >= begun)
            };
            let lost = targets.iter().find(went).and_then(|id| table.entry(id));
            lost.map(|entry| entry.target.clone())
        };
        let fingerprint = call.fingerprint;
        match lost {
            Some(target) => self.hold(fingerprint, Held::Here(&target), fresh),
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

    /// Notes that a target is lost, or has started anew.
    pub(crate) fn target_lost(&self, target: &Target) {
        let mut interruptions = self.quarantine.interruptions.borrow_mut();
        let ended = interruptions.take_lost_with(self.now(), &target.id);
        drop(interruptions);
        for one in ended {
            self.hold(one.fingerprint, Held::Here(target), one.before_output);
        }
    }

    /// Notes that a target which was left out answers, and has not started anew meanwhile.
    pub(crate) fn target_survived(&self, target: &Target) {
        self.quarantine.suspects.borrow_mut().record_survival(&name(target));
    }

    /// Whether a target is leaving, by its entry or its own word.
    fn is_draining(&self, target: &Target) -> bool {
        let table = self.table.borrow();
        let said = table.entry(&target.id).is_some_and(Entry::is_draining);
        said || target.state == State::Draining
    }

    /// Holds the loss of a target against a request.
    fn hold(&self, fingerprint: Fingerprint, held: Held<'_>, fresh: bool) {
        if self.quarantine.answered.borrow().contains(fingerprint) {
            if matches!(held, Held::Told(..)) {
                self.tell(Word { fingerprint, finding: Finding::Answered });
            }
            return;
        }
        let (target, place, own) = match held {
            // One that leaves ends by itself.
            Held::Here(target) if self.is_draining(target) => return,
            Held::Here(target) => (name(target), self.quarantine.place(Some(&target.domain)), true),
            Held::Told(domain, target) => (target, self.quarantine.place(domain.as_ref()), false),
        };
        let settings = &self.quarantine.settings;
        let mut suspects = self.quarantine.suspects.borrow_mut();
        let loss = Loss { target: target.clone(), place, at: self.now() };
        let loss = suspects.record_loss(loss, settings);
        if !suspects.add_evidence(fingerprint, loss, fresh, settings) {
            return;
        }
        drop(suspects);
        let event = Event::new(SUSPECTED)
            .with("fingerprint", hex(fingerprint))
            .with("target", &target)
            .with("fresh", fresh)
            .with("own", own);
        log::warn!("{event}");
        metrics::counter!("magnolia_requests_suspected").increment(1);
        // That an answer had begun before says little, and is not told.
        if own && fresh {
            self.tell(Word { fingerprint, finding: Finding::Suspected(target) });
            self.alarm.notify_one();
        }
    }

    fn tell(&self, word: Word) {
        self.quarantine.words.borrow_mut().tell(word);
    }

    /// Notes that a request was answered whole. What many callers send is not condemned for what
    /// happens to targets while they do.
    pub(crate) fn answered(&self, fingerprint: Fingerprint) {
        self.quarantine.answered.borrow_mut().record(fingerprint);
        self.clear(fingerprint, Finding::Answered, true);
    }

    /// Notes that a request has run beyond what crashes targets.
    pub(crate) fn cleared(&self, fingerprint: Fingerprint) {
        self.clear(fingerprint, Finding::Cleared, true);
    }

    fn clear(&self, fingerprint: Fingerprint, finding: Finding, own: bool) {
        let mut suspects = self.quarantine.suspects.borrow_mut();
        let fresh = suspects.has_full_evidence(fingerprint);
        let had = match finding {
            Finding::Answered => suspects.release(fingerprint),
            _ => suspects.clear_evidence(fingerprint),
        };
        drop(suspects);
        if own && fresh {
            self.tell(Word { fingerprint, finding });
        }
        if had {
            let event = Event::new(CLEARED).with("fingerprint", hex(fingerprint)).with("own", own);
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
                Status::Clear => return Ok(()),
                Status::Quarantined(until) => return Err(until.saturating_sub(now)),
                Status::Pending(at) if now >= at => {
                    self.judge(call.fingerprint, now);
                    continue;
                }
                Status::Pending(at) => at,
                Status::Suspect => match self.not_before(call.fingerprint, now) {
                    Some(at) => at,
                    None => return Ok(()),
                },
            };
            if now >= call.ends {
                return Ok(());
            }
            if !std::mem::replace(&mut held, true) {
                let wait = until.saturating_sub(now);
                log::info!("{}", call.event(HELD).with("wait_ms", wait.as_millis()));
            }
            tokio::select! {
                () = sleep(until.min(call.ends).saturating_sub(now)) => {}
                () = self.changed.notified() => {}
            }
        }
    }

    /// The answer to a request that is not to be run for the time `left`.
    pub(crate) fn refuse_quarantined(&self, call: &Call, left: Duration) -> Response<Answer> {
        let event = call.event(REFUSED).with("reason", QUARANTINED);
        log::info!("{}", event.with("retry_after_ms", left.as_millis()));
        metrics::counter!("magnolia_refusals", "reason" => QUARANTINED).increment(1);
        later(StatusCode::SERVICE_UNAVAILABLE, QUARANTINED, left)
    }

    /// For how long a request is not to be run.
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

    /// Until when a suspect waits; `None` once it may run. It waits while its last attempt may
    /// yet turn out to have ended a target, and for its turn if it runs apart from others.
    fn not_before(&self, fingerprint: Fingerprint, now: Duration) -> Option<Duration> {
        let ended = self.quarantine.interruptions.borrow().last_ended(fingerprint);
        let known = ended.map(|ended| ended + CHECK_TIME).filter(|known| *known > now);
        let suspects = self.quarantine.suspects.borrow();
        let apart = suspects.needs_isolation(fingerprint, now);
        let turn = suspects.turn_at(fingerprint, &self.quarantine.settings);
        known.max(turn.filter(|turn| apart && *turn > now))
    }

    /// Judges the requests that are due: nodes that start later must know of them too.
    pub(crate) fn judge_due(&self) {
        let now = self.now();
        let settings = &self.quarantine.settings;
        let due = self.quarantine.suspects.borrow_mut().take_due_decisions(now, settings);
        due.into_iter().for_each(|fingerprint| self.judge(fingerprint, now));
    }

    fn judge(&self, fingerprint: Fingerprint, now: Duration) {
        let settings = &self.quarantine.settings;
        let judgement = self.quarantine.suspects.borrow_mut().decide(fingerprint, now, settings);
        let Decision::Quarantined(targets) = judgement else {
            let event = Event::new(SET_ASIDE);
            return log::info!("{}", event.with("fingerprint", hex(fingerprint)));
        };
        self.log_condemned(fingerprint, &targets, "judged");
        self.quarantine.unsaved.borrow_mut().insert(fingerprint);
        self.quarantine.to_save.notify_one();
        for target in targets {
            self.tell(Word { fingerprint, finding: Finding::Condemned(target) });
        }
        self.alarm.notify_one();
    }

    fn log_condemned(&self, fingerprint: Fingerprint, targets: &[TargetName], source: &str) {
        let event = Event::new(CONDEMNED)
            .with("fingerprint", hex(fingerprint))
            .with("targets", targets.join(","))
            .with("source", source);
        log::warn!("{event}");
        metrics::counter!("magnolia_requests_condemned").increment(1);
    }

    /// Takes another node's word.
    pub(crate) fn heard_word(&self, word: Word) {
        let Word { fingerprint, finding } = word;
        let target = match finding {
            Finding::Suspected(target) => target,
            Finding::Cleared | Finding::Answered => {
                return self.clear(fingerprint, finding, false);
            }
            Finding::Condemned(target) => {
                self.quarantine.suspects.borrow_mut().drop_evidence_for(&target);
                return self.condemned(fingerprint, &[target], "told");
            }
        };
        let id = target.rsplit_once('/').map_or(target.as_str(), |(id, _)| id);
        let domain = self.table.borrow().entry(id).map(|entry| entry.target.domain.clone());
        self.hold(fingerprint, Held::Told(domain, target), true);
    }

    /// Takes the store's word that a request is condemned.
    pub(crate) fn condemned_in_store(&self, fingerprint: &str) {
        // A key that is no fingerprint is not this system's.
        let Ok(fingerprint) = Fingerprint::from_str_radix(fingerprint, 16) else { return };
        self.quarantine.unsaved.borrow_mut().remove(&fingerprint);
        self.condemned(fingerprint, &[], "store");
    }

    /// Takes it from elsewhere that a request is not to be run, unless it was answered here.
    fn condemned(&self, fingerprint: Fingerprint, targets: &[TargetName], source: &str) {
        if self.quarantine.answered.borrow().contains(fingerprint) {
            return self.tell(Word { fingerprint, finding: Finding::Answered });
        }
        let now = self.now();
        let known = matches!(self.standing(fingerprint, now), Status::Quarantined(_));
        self.quarantine.suspects.borrow_mut().quarantine(fingerprint, now + TTL);
        if !known {
            self.log_condemned(fingerprint, targets, source);
        }
    }
}
