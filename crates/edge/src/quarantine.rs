//! Quarantine of requests that crash their targets, and of parts of prompts with which all requests
//! do: what this node observes of them, and what it exchanges with other nodes.
//!
//! The decisions are made by `suspect`. An attempt that ends without its answer counts against its
//! request, and against the parts of its prompt that other requests share, once one of its targets
//! turns out to be lost. Evidence from attempts without any part of an answer and quarantine
//! decisions are sent to the other nodes at once. Decisions are also written to the store for nodes
//! that start later.

use std::cell::RefCell;
use std::time::Duration;

use fleet::{DomainName, Event, TargetName};
use hyper::{Response, StatusCode};
use path::Entry;
use site::{State, Target, TargetKey};
use suspect::{
    Answered, Decision, Fingerprint, Interruption, Interruptions, Loss, Passes, Place, Scope,
    Settings, Status, Subject, Suspects, Trials,
};

use crate::answer::{Answer, retry_later};
use crate::call::{Call, hex};
use crate::event::{
    REFUSED, REQUEST_CLEARED, REQUEST_ISOLATED, REQUEST_QUARANTINED, REQUEST_SUSPECTED,
};
use crate::evidence::{Evidence, Finding, FurtherParts, Outbox, Suspicion};
use crate::node::Node;
use crate::persistence::{Change, Entries};

/// Reason of a request that is not sent to any target because it is in quarantine.
pub(crate) const QUARANTINED: &str = "crashed its targets";

/// Delay before a quarantine decision. A target that was only unreachable answers its first probe
/// within it.
const CONFIRM_DELAY: Duration = Duration::from_millis(400);
/// Shortest time after which the caller of a quarantined request may return.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Time for which losses and quarantine decisions count: callers repeat such a request for minutes.
pub(crate) const TTL: Duration = Duration::from_secs(600);
/// Number of events of an answer on one path after which its request is no longer a suspect.
pub(crate) const CLEARING_EVENTS: u64 = 8;

/// State of the quarantine on this node.
pub(crate) struct Quarantine {
    pub(crate) settings: Settings,
    pub(crate) suspects: RefCell<Suspects>,
    pub(crate) interruptions: RefCell<Interruptions>,
    answered: RefCell<Answered>,
    passes: RefCell<Passes>,
    /// Trials of quarantined parts of prompts.
    pub(crate) trials: RefCell<Trials>,
    /// Failure domains, indexed by the numbers that `suspect` uses.
    domains: RefCell<Vec<DomainName>>,
    /// Evidence to be sent to the other nodes.
    pub(crate) outbox: RefCell<Outbox>,
    /// Entries of the store.
    pub(crate) entries: Entries,
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
            passes: RefCell::default(),
            trials: RefCell::default(),
            domains: RefCell::default(),
            outbox: RefCell::default(),
            entries: Entries::default(),
        }
    }
}

impl Quarantine {
    /// Removes expired suspects and interruptions.
    pub(crate) fn expire(&self, now: Duration) {
        self.suspects.borrow_mut().expire(now, &self.settings);
        self.interruptions.borrow_mut().expire(now);
    }

    /// Returns the names of the targets that were lost under a fingerprint.
    pub(crate) fn lost_targets(&self, fingerprint: Fingerprint, now: Duration) -> Vec<TargetName> {
        self.suspects.borrow().lost_targets(fingerprint, now)
    }

    /// Makes the decision on a fingerprint due again.
    pub(crate) fn postpone_decision(&self, fingerprint: Fingerprint) {
        self.suspects.borrow_mut().postpone_decision(fingerprint);
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
pub(crate) fn instance_name(target: &Target) -> TargetName {
    format!("{}/{}", target.id, target.started_unix_ms).into()
}

/// What a target ran when it was lost.
struct Load<'a> {
    /// Fingerprint of the request.
    request: Fingerprint,
    /// Fingerprints of the shared parts of its prompt, in the order of the prompt.
    parts: &'a [Fingerprint],
    /// Number of further shared parts that follow them.
    narrower: u32,
    /// Whether no part of an answer had arrived.
    fresh: bool,
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
        let parts = match call.has_run.get() {
            true => Vec::new(),
            false => call.parts.clone(),
        };
        match lost {
            Some(target) => {
                let load = Load { request: call.fingerprint, parts: &parts, narrower: 0, fresh };
                self.record_loss(&load, Source::Observed(&target));
            }
            None => {
                let interruption = Interruption {
                    fingerprint: call.fingerprint,
                    parts,
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
            let load = Load {
                request: interruption.fingerprint,
                parts: &interruption.parts,
                narrower: 0,
                fresh: interruption.before_output,
            };
            self.record_loss(&load, Source::Observed(target));
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

    /// Counts the loss of a target against the request that it ran, and against the parts of its
    /// prompt.
    fn record_loss(&self, load: &Load<'_>, source: Source<'_>) {
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
        let subjects = self.suspected_subjects(load, own);
        if subjects.is_empty() {
            return;
        }
        let settings = &self.quarantine.settings;
        let mut suspects = self.quarantine.suspects.borrow_mut();
        let loss = Loss { target: target.clone(), place, at: self.now() };
        let loss = suspects.record_loss(loss, settings);
        let mut is_new = false;
        for subject in subjects {
            if suspects.add_evidence(subject, loss.clone(), load.fresh, settings) {
                is_new = true;
                log_suspected(&subject, &target, load.fresh, own);
            }
        }
        drop(suspects);
        // A loss after part of an answer is weak evidence against the request itself and is not
        // sent to other nodes for it.
        if is_new && own && (load.fresh || !load.parts.is_empty()) {
            let suspicion = Suspicion { target, parts: load.parts.to_vec(), fresh: load.fresh };
            self.quarantine.outbox.borrow_mut().push_suspicion(load.request, suspicion);
            self.alarm.notify_one();
        }
    }

    /// Returns what a loss counts against: the request and the parts of its prompt, except those
    /// that are known to be harmless. If another node reports the loss, it is informed of these and
    /// of the parts with which requests have run before.
    fn suspected_subjects(&self, load: &Load<'_>, own: bool) -> Vec<Subject> {
        let now = self.now();
        let passes = self.quarantine.passes.borrow();
        let mut suspected = Vec::new();
        let is_answered = self.quarantine.answered.borrow().contains(load.request);
        if is_answered {
            if !own {
                let finding = Finding::Answered;
                self.queue_evidence(Evidence { fingerprint: load.request, finding });
            }
        } else if own || load.fresh {
            suspected.push(Subject::request(load.request));
        }
        let request = (!is_answered).then_some(load.request);
        for subject in Subject::parts(request, load.parts, load.narrower, &passes) {
            let fingerprint = subject.fingerprint;
            if let Some(last) = passes.last(fingerprint).filter(|_| !own) {
                let finding = Finding::Passed(now.saturating_sub(last));
                self.queue_evidence(Evidence { fingerprint, finding });
            }
            if !passes.is_harmless(fingerprint, now) {
                suspected.push(subject);
            }
        }
        suspected
    }

    fn queue_evidence(&self, evidence: Evidence) {
        self.quarantine.outbox.borrow_mut().push(evidence);
    }

    /// Records that a request was answered completely. A request that many callers send is then not
    /// quarantined for losses of targets that coincide with it.
    pub(crate) fn record_completed(&self, call: &Call) {
        self.quarantine.answered.borrow_mut().record(call.fingerprint);
        self.clear(call.fingerprint, Finding::Answered, true);
        self.record_run(call);
    }

    /// Records that a request has run past the point at which requests crash targets.
    pub(crate) fn record_cleared(&self, call: &Call) {
        self.clear(call.fingerprint, Finding::Cleared, true);
        self.record_run(call);
    }

    /// Records, once for a request, that the parts of its prompt crash no targets. The end of a
    /// long answer shows nothing more: its parts may have begun to crash targets since it began.
    fn record_run(&self, call: &Call) {
        if call.has_run.replace(true) {
            return;
        }
        let now = self.now();
        for &part in &call.parts {
            self.quarantine.passes.borrow_mut().record(part, now);
            self.clear(part, Finding::Passed(Duration::ZERO), true);
        }
    }

    /// Applies another node's news that a request with a part has run, `age` ago.
    fn apply_pass(&self, part: Fingerprint, age: Duration) {
        let now = self.now();
        self.quarantine.outbox.borrow_mut().drop_passed(part);
        self.quarantine.passes.borrow_mut().record(part, now.saturating_sub(age));
        if self.quarantine.passes.borrow().is_harmless(part, now) {
            self.clear(part, Finding::Passed(age), false);
        } else {
            self.quarantine.suspects.borrow_mut().record_earlier_run(part);
        }
    }

    fn clear(&self, fingerprint: Fingerprint, finding: Finding, own: bool) {
        let mut suspects = self.quarantine.suspects.borrow_mut();
        let fresh = suspects.has_full_evidence(fingerprint);
        let releases = matches!(finding, Finding::Answered | Finding::Passed(_));
        let was_suspect = match releases {
            true => suspects.release(fingerprint),
            false => suspects.clear_evidence(fingerprint),
        };
        drop(suspects);
        if own && fresh {
            if releases {
                self.quarantine.entries.request(fingerprint, Change::Remove);
            }
            self.queue_evidence(Evidence { fingerprint, finding });
        }
        if releases {
            self.quarantine.trials.borrow_mut().remove(fingerprint);
        }
        if was_suspect {
            let event =
                Event::new(REQUEST_CLEARED).with("fingerprint", hex(fingerprint)).with("own", own);
            log::info!("{event}");
        }
    }

    /// Returns the refusal of a request that stays in quarantine for the time `left`.
    pub(crate) fn refuse_quarantined(&self, call: &Call, left: Duration) -> Response<Answer> {
        let event = call.event(REFUSED).with("reason", QUARANTINED);
        let event = event.with("parts", call.listed_parts());
        log::info!("{}", event.with("retry_after_ms", left.as_millis()));
        metrics::counter!("magnolia_refusals", "reason" => QUARANTINED).increment(1);
        retry_later(StatusCode::SERVICE_UNAVAILABLE, QUARANTINED, left)
    }

    /// Returns how long a request or a part of its prompt stays in quarantine, or zero if none of
    /// them is quarantined.
    pub(crate) fn quarantined_for(&self, call: &Call) -> Duration {
        let now = self.now();
        let left = |fingerprint: Fingerprint| match self.standing(fingerprint, now) {
            Status::Quarantined(until) => {
                let trial = self.quarantine.trials.borrow().time_left(fingerprint, now);
                let left = until.saturating_sub(now);
                trial.map_or(left, |trial| trial.clamp(MIN_RETRY_AFTER, left.max(MIN_RETRY_AFTER)))
            }
            _ => Duration::ZERO,
        };
        call.parts.iter().copied().map(left).fold(left(call.fingerprint), Duration::max)
    }

    pub(crate) fn standing(&self, fingerprint: Fingerprint, now: Duration) -> Status {
        let suspects = self.quarantine.suspects.borrow();
        suspects.status(fingerprint, now, &self.quarantine.settings)
    }

    /// Decides on all requests whose delay is over, also without a new attempt at them, so that the
    /// decisions reach the store for nodes that start later.
    pub(crate) fn decide_due(&self) {
        let now = self.now();
        let settings = &self.quarantine.settings;
        let due = self.quarantine.suspects.borrow_mut().take_due_decisions(now, settings);
        due.into_iter().for_each(|fingerprint| self.decide_or_wait(fingerprint));
    }

    pub(crate) fn decide(&self, fingerprint: Fingerprint, now: Duration) {
        let settings = &self.quarantine.settings;
        let decision = self.quarantine.suspects.borrow_mut().decide(fingerprint, now, settings);
        let targets = match decision {
            Decision::Quarantined(targets) => targets,
            Decision::Dropped(doubt) => {
                let event = Event::new(REQUEST_ISOLATED).with("fingerprint", hex(fingerprint));
                return log::info!("{}", event.with("doubt", format_args!("{doubt:?}")));
            }
        };
        self.log_quarantined(fingerprint, &targets, "judged");
        let is_part = self.quarantine.suspects.borrow().is_part(fingerprint);
        if is_part {
            self.quarantine.trials.borrow_mut().schedule(fingerprint, 0, now);
        }
        self.quarantine.entries.request(fingerprint, Change::Save);
        for target in targets {
            let finding = match is_part {
                true => Finding::PartQuarantined(target),
                false => Finding::Quarantined(target),
            };
            self.queue_evidence(Evidence { fingerprint, finding });
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
        let suspicion = match finding {
            Finding::Suspected(suspicion) => suspicion,
            Finding::Cleared | Finding::Answered => {
                return self.clear(fingerprint, finding, false);
            }
            Finding::Passed(age) => return self.apply_pass(fingerprint, age),
            Finding::Quarantined(target) => {
                return self.apply_quarantine(fingerprint, target, Scope::Request);
            }
            Finding::PartQuarantined(target) => {
                return self.apply_quarantine(fingerprint, target, Scope::Part);
            }
        };
        let Suspicion { target, parts, fresh } = suspicion;
        let load = Load { request: fingerprint, parts: &parts, narrower: 0, fresh };
        self.record_reported_loss(&load, target);
    }

    /// Applies the rest of another node's evidence on a request with many parts.
    pub(crate) fn apply_further_parts(&self, further: FurtherParts) {
        let FurtherParts { request, target, parts, narrower, fresh } = further;
        self.record_reported_loss(&Load { request, parts: &parts, narrower, fresh }, target);
    }

    fn record_reported_loss(&self, load: &Load<'_>, target: TargetName) {
        let id = target.rsplit_once('/').map_or(target.as_str(), |(id, _)| id);
        let domain = self.table.borrow().entry(id).map(|entry| entry.target.domain.clone());
        self.record_loss(load, Source::Reported(domain, target));
    }

    /// Applies another node's decision to quarantine a request or a part for the loss of a target.
    fn apply_quarantine(&self, fingerprint: Fingerprint, target: TargetName, scope: Scope) {
        self.quarantine.suspects.borrow_mut().drop_evidence_for(&target, (fingerprint, scope));
        self.quarantine_subject((fingerprint, scope), &[target], TTL, "told");
    }

    /// Quarantines a request or a part by the decision of another node or the store, for `ttl` and
    /// unless it was answered here.
    pub(crate) fn quarantine_subject(
        &self,
        (fingerprint, scope): (Fingerprint, Scope),
        targets: &[TargetName],
        ttl: Duration,
        source: &str,
    ) {
        let now = self.now();
        if self.quarantine.answered.borrow().contains(fingerprint) {
            return self.queue_evidence(Evidence { fingerprint, finding: Finding::Answered });
        }
        if self.quarantine.passes.borrow().is_harmless(fingerprint, now) {
            let finding = Finding::Passed(Duration::ZERO);
            return self.queue_evidence(Evidence { fingerprint, finding });
        }
        let known = self.is_quarantined(fingerprint);
        self.quarantine.suspects.borrow_mut().quarantine(fingerprint, now + ttl);
        if scope == Scope::Part {
            self.quarantine.trials.borrow_mut().schedule(fingerprint, 0, now);
        }
        if !known {
            self.log_quarantined(fingerprint, targets, source);
        }
    }

    /// Returns whether a request or a part is quarantined.
    pub(crate) fn is_quarantined(&self, fingerprint: Fingerprint) -> bool {
        matches!(self.standing(fingerprint, self.now()), Status::Quarantined(_))
    }

    /// Releases a request or a part, because its entry was removed from the store.
    pub(crate) fn release_quarantined(&self, fingerprint: Fingerprint) {
        self.clear(fingerprint, Finding::Answered, false);
    }
}

fn log_suspected(subject: &Subject, target: &TargetName, fresh: bool, own: bool) {
    let request = subject.request.map(|request| hex(request).to_string());
    let request = request.unwrap_or_else(|| "answered".to_owned());
    let event = Event::new(REQUEST_SUSPECTED)
        .with("fingerprint", hex(subject.fingerprint))
        .with("request_fingerprint", request)
        .with("breadth", subject.breadth)
        .with("target", target)
        .with("fresh", fresh)
        .with("own", own);
    log::warn!("{event}");
    metrics::counter!("magnolia_requests_suspected").increment(1);
}
