//! Requests and parts of prompts that are suspected of crashing targets, and those that are
//! quarantined for it.
//!
//! A record is kept for each fingerprint that ran on a target when the target was lost. Evidence is
//! a lost target. It has full weight if no part of the answer had arrived, and half weight if the
//! target had already passed tokens of the request. Two full weights lead to quarantine, once the
//! confirmation time has passed without a sign that the losses had another cause.
//!
//! A part of prompts needs losses under two different requests: what happens under one request only
//! may be due to the rest of it. Of several parts that explain the same losses, the narrowest is
//! quarantined, so that requests that share only the broader ones are served.

use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use fleet::TargetName;
use smol_str::SmolStr;

use crate::record::{Evidence, HALF_WEIGHT, Record, incidents, moments, targets, weight};
use crate::{Fingerprint, Loss, Settings, Subject};

/// Weight of evidence that leads to quarantine.
const QUARANTINE_WEIGHT: f64 = 2.0;
/// Weight that leads to quarantine although the losses may have had another cause: this many are no
/// coincidence.
const CORRELATED_QUARANTINE_WEIGHT: f64 = 3.0;
/// Weight that leads to quarantine if another fingerprint has the same losses.
const SHARED_QUARANTINE_WEIGHT: f64 = 4.0;
/// Additional incidents that lead to the quarantine of a part if another part that is as likely to
/// be the cause explains as many of them.
const SHARED_PART_INCIDENTS: usize = 2;
/// Maximum turns that a suspect waits, of half a confirmation time each.
const MAX_TURNS: u32 = 5;
/// Number of other losses in the same rack at the same time that explain a loss.
const MIN_RACK_LOSSES: usize = 1;
/// Number of other losses in the same failure domain at the same time that explain a loss.
const MIN_DOMAIN_LOSSES: usize = 2;
/// Number of failure domains with [`MIN_WIDESPREAD_LOSSES`] each at the same time from which a common
/// cause of them all is likelier than a request that crashes its targets.
const MIN_WIDESPREAD_DOMAINS: usize = 2;
/// Number of losses in each of these domains.
const MIN_WIDESPREAD_LOSSES: usize = 2;
/// Maximum losses kept.
const MAX_LOSSES: usize = 4096;
/// Time after a supposed loss from which progress of an earlier stream disproves it.
const PROGRESS_MARGIN: Duration = Duration::from_millis(50);
/// Maximum records kept, besides those of quarantines.
const MAX_RECORDS: usize = 65_536;
/// Number of records that are dropped together.
const DROPPED_RECORDS: usize = MAX_RECORDS / 4;

/// Status of a fingerprint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Status {
    /// No evidence.
    Clear,
    /// Evidence that is not enough for a decision.
    Suspect,
    /// Enough evidence for a decision, which is due at this time.
    Pending(Duration),
    /// Quarantined until this time.
    Quarantined(Duration),
}

/// Why losses do not show that a request or a part is their cause.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Doubt {
    /// Other targets were lost at the same time.
    Correlated,
    /// Another suspect explains the same losses.
    Shared,
    /// There is no evidence any more.
    Cleared,
}

/// What was quarantined for a loss.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// A request.
    Request,
    /// A part of prompts.
    Part,
}

/// Outcome of a decision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The request is not quarantined, for this reason.
    Dropped(Doubt),
    /// The request is quarantined for the loss of these targets.
    Quarantined(Vec<TargetName>),
}

/// Records of fingerprints, and losses of targets.
#[derive(Debug, Default)]
pub struct Suspects {
    records: BTreeMap<Fingerprint, Record>,
    /// Fingerprints that may have a pending decision.
    pending: BTreeSet<Fingerprint>,
    losses: VecDeque<Loss>,
    /// Targets whose loss is explained by membership, with the time until which this is remembered.
    explained: Vec<(TargetName, Duration)>,
}

impl Suspects {
    /// Returns the status of a fingerprint.
    pub fn status(&self, fingerprint: Fingerprint, now: Duration, settings: &Settings) -> Status {
        let Some(record) = self.records.get(&fingerprint) else { return Status::Clear };
        if let Some(until) = record.quarantined_until.filter(|until| *until > now) {
            return Status::Quarantined(until);
        }
        let Some(last) = record.unexpired(now).map(|evidence| evidence.loss.at).max() else {
            return Status::Clear;
        };
        let is_sufficient = if record.is_part() {
            record.is_enough(record.unexpired(now))
        } else {
            weight(record.counted(now)) >= QUARANTINE_WEIGHT
                || weight(record.unexpired(now)) >= CORRELATED_QUARANTINE_WEIGHT
        };
        if is_sufficient && record.undecided {
            Status::Pending(last + settings.confirmation_time)
        } else {
            Status::Suspect
        }
    }

    /// Returns the time until which a suspect must wait for its turn. Suspects with full-weight
    /// evidence for the loss of the same target take turns across all nodes, the lowest fingerprint
    /// first, so that no two of them run on one target and the next loss identifies one.
    pub fn turn_at(&self, fingerprint: Fingerprint, settings: &Settings) -> Option<Duration> {
        let record = self.records.get(&fingerprint)?;
        let full = record.evidence.iter().filter(|e| !e.set_aside && e.weight > HALF_WEIGHT);
        let last = full.max_by_key(|evidence| evidence.loss.at)?;
        let same = |record: &Record| {
            let mut full =
                record.evidence.iter().filter(|e| !e.set_aside && e.weight > HALF_WEIGHT);
            full.any(|evidence| evidence.loss.target == last.loss.target)
        };
        let before = self.records.range(..fingerprint).filter(|(_, record)| same(record)).count();
        let turns = u32::try_from(before).unwrap_or(MAX_TURNS).min(MAX_TURNS);
        Some(last.loss.at + settings.confirmation_time + settings.confirmation_time * turns / 2)
    }

    /// Returns the locations of the targets lost under a fingerprint.
    pub fn lost_places(&self, fingerprint: Fingerprint, now: Duration) -> Vec<(u16, SmolStr)> {
        let record = self.records.get(&fingerprint);
        let counted = record.into_iter().flat_map(|record| record.counted(now));
        counted.map(|e| (e.loss.place.domain, e.loss.place.rack.clone())).collect()
    }

    /// Returns the names of the targets lost under a fingerprint.
    pub fn lost_targets(&self, fingerprint: Fingerprint, now: Duration) -> Vec<TargetName> {
        let record = self.records.get(&fingerprint);
        let counted = record.into_iter().flat_map(|record| record.counted(now));
        counted.map(|evidence| evidence.loss.target.clone()).collect()
    }

    /// Returns the time of the latest loss under a fingerprint.
    pub fn last_loss(&self, fingerprint: Fingerprint, now: Duration) -> Option<Duration> {
        self.records.get(&fingerprint)?.counted(now).map(|evidence| evidence.loss.at).max()
    }

    /// Records the loss of a target. Losses of one target within the correlation window are one.
    /// Returns the recorded loss.
    pub fn record_loss(&mut self, loss: Loss, settings: &Settings) -> Loss {
        let same = self.losses.iter().rev().find(|known| {
            known.target == loss.target
                && loss.at.saturating_sub(known.at) < settings.correlation_window
        });
        if let Some(known) = same {
            return known.clone();
        }
        if self.losses.len() == MAX_LOSSES {
            self.losses.pop_front();
        }
        self.losses.push_back(loss.clone());
        loss
    }

    /// Adds a loss as evidence against a request or a part, at full weight if it happened
    /// `before_output` of the request. Returns whether the evidence is new.
    pub fn add_evidence(
        &mut self,
        subject: Subject,
        loss: Loss,
        before_output: bool,
        settings: &Settings,
    ) -> bool {
        if self.explained.iter().any(|(name, until)| *name == loss.target && *until > loss.at) {
            return false;
        }
        let Subject { fingerprint, request, breadth, has_run } = subject;
        if self.records.len() >= MAX_RECORDS && !self.records.contains_key(&fingerprint) {
            self.drop_oldest();
        }
        let until = loss.at + settings.suspect_ttl;
        let record = self.records.entry(fingerprint).or_default();
        record.breadth = record.breadth.max(breadth);
        record.has_run |= has_run;
        let known = record.holds(&loss, request);
        if !known {
            let weight = if before_output { 1.0 } else { HALF_WEIGHT };
            record.evidence.push(Evidence { loss, request, until, weight, set_aside: false });
            record.undecided = true;
            self.pending.insert(fingerprint);
        }
        !known
    }

    /// Drops a share of the records, those whose last loss is the oldest, to make room for others.
    /// Quarantines stay in force.
    fn drop_oldest(&mut self) {
        let last_loss = |record: &Record| record.evidence.iter().map(|one| one.loss.at).max();
        let suspects = self.records.iter().filter(|(_, record)| record.quarantined_until.is_none());
        let mut ages: Vec<(Option<Duration>, Fingerprint)> =
            suspects.map(|(&fingerprint, record)| (last_loss(record), fingerprint)).collect();
        ages.sort_unstable();
        for (_, fingerprint) in &ages[..ages.len().min(DROPPED_RECORDS)] {
            self.records.remove(fingerprint);
        }
    }

    /// Drops the evidence against a fingerprint. Returns whether there was any.
    pub fn clear_evidence(&mut self, fingerprint: Fingerprint) -> bool {
        let Some(record) = self.records.get_mut(&fingerprint) else { return false };
        let had_evidence = !record.evidence.is_empty();
        record.evidence.clear();
        if record.quarantined_until.is_none() {
            self.records.remove(&fingerprint);
        }
        had_evidence
    }

    /// Drops the evidence against a fingerprint and its quarantine. Returns whether there was
    /// either.
    pub fn release(&mut self, fingerprint: Fingerprint) -> bool {
        self.records.remove(&fingerprint).is_some()
    }

    /// Drops evidence for the loss of targets that membership explains, and ignores such evidence
    /// until `until`.
    pub fn explain_losses(&mut self, targets: &[TargetName], until: Duration) {
        self.explained.extend(targets.iter().map(|target| (target.clone(), until)));
        self.retain_evidence(|evidence| !targets.contains(&evidence.loss.target));
    }

    /// Returns whether a decision has set aside evidence against a fingerprint, which must then run
    /// apart from other suspects.
    pub fn needs_isolation(&self, fingerprint: Fingerprint, now: Duration) -> bool {
        let record = self.records.get(&fingerprint);
        record.is_some_and(|record| record.unexpired(now).any(|evidence| evidence.set_aside))
    }

    /// Records that a target that was considered lost answers, and drops its losses.
    pub fn record_survival(&mut self, target: &str) {
        if self.losses.iter().any(|loss| loss.target == target) {
            self.losses.retain(|loss| loss.target != target);
            self.retain_evidence(|evidence| evidence.loss.target != target);
        }
    }

    /// Records that a stream sent to a target at `sent` still makes progress, and drops the losses
    /// of the target that this disproves.
    pub fn record_progress(&mut self, target: &TargetName, sent: Duration, now: Duration) {
        let Some(last) = self.losses.back() else { return };
        if now > last.at + Duration::from_secs(60) {
            return;
        }
        let is_disproved = |loss: &Loss| {
            loss.target == *target && sent < loss.at && now > loss.at + PROGRESS_MARGIN
        };
        if !self.losses.iter().any(is_disproved) {
            return;
        }
        self.losses.retain(|loss| !is_disproved(loss));
        self.retain_evidence(|evidence| !is_disproved(&evidence.loss));
    }

    /// Decides on a fingerprint whose confirmation time is over.
    pub fn decide(
        &mut self,
        fingerprint: Fingerprint,
        now: Duration,
        settings: &Settings,
    ) -> Decision {
        let Some(record) = self.records.get(&fingerprint) else {
            return Decision::Dropped(Doubt::Cleared);
        };
        if record.is_part() {
            return self.decide_part(fingerprint, now, settings);
        }
        let total = record.weight_of_causes(now, settings.correlation_window);
        let mut evidence: Vec<Evidence> = record.counted(now).cloned().collect();
        if settings.correlate_losses {
            let all = evidence.clone();
            evidence.retain(|one| !self.is_correlated(one, &all, settings));
            self.merge_widespread(&mut evidence, settings);
        }
        let targets: Vec<TargetName> =
            evidence.iter().map(|evidence| evidence.loss.target.clone()).collect();
        let is_shared = self.is_shared(fingerprint, &targets, now);
        let is_cause = match is_shared {
            true => total >= SHARED_QUARANTINE_WEIGHT,
            false => {
                weight(evidence.iter()) >= QUARANTINE_WEIGHT
                    || total >= CORRELATED_QUARANTINE_WEIGHT
            }
        };
        if !is_cause {
            // Only the oldest loss still counts: the request runs again apart from all other
            // suspects.
            let oldest = targets.first();
            if let Some(record) = self.records.get_mut(&fingerprint) {
                record.undecided = false;
                for evidence in &mut record.evidence {
                    evidence.set_aside |= Some(&evidence.loss.target) != oldest;
                }
            }
            return Decision::Dropped(if is_shared { Doubt::Shared } else { Doubt::Correlated });
        }
        self.quarantine_for_losses(fingerprint, now, settings)
    }

    /// Decides on a part of prompts. Its evidence stays if it is dropped, for the next decision.
    fn decide_part(
        &mut self,
        fingerprint: Fingerprint,
        now: Duration,
        settings: &Settings,
    ) -> Decision {
        if let Some(record) = self.records.get_mut(&fingerprint) {
            record.undecided = false;
        }
        let Some(record) = self.records.get(&fingerprint) else {
            return Decision::Dropped(Doubt::Cleared);
        };
        let all: Vec<Evidence> = record.unexpired(now).cloned().collect();
        let certain = all
            .iter()
            .filter(|one| !settings.correlate_losses || !self.is_correlated(one, &all, settings));
        let certain: Vec<Evidence> = certain.cloned().collect();
        let moments = moments(all.iter(), settings.correlation_window);
        let is_cause = record.is_enough(certain.iter()) || moments > record.needed_incidents();
        let is_beyond_doubt =
            incidents(all.iter()) >= record.needed_incidents() + SHARED_PART_INCIDENTS;
        let is_identified = match self.likeliest_rival(fingerprint, record, now) {
            Some(Ordering::Less) => false,
            Some(Ordering::Equal) => is_beyond_doubt,
            Some(Ordering::Greater) | None => true,
        };
        if !is_cause {
            return Decision::Dropped(Doubt::Correlated);
        }
        if !is_identified || self.is_explained_by_request(&all, now) {
            return Decision::Dropped(Doubt::Shared);
        }
        self.quarantine_for_losses(fingerprint, now, settings)
    }

    /// Records that requests with a part have run before, so that more losses are needed to show
    /// that it crashes targets.
    pub fn record_earlier_run(&mut self, part: Fingerprint) {
        if let Some(record) = self.records.get_mut(&part) {
            record.has_run = true;
        }
    }

    /// Compares a part with the likeliest of the others that explain as many of its incidents:
    /// `Less` if that one is likelier to be the cause. A part with which no request has run before
    /// is likelier, and then a narrower one, because it leaves more requests to be served.
    fn likeliest_rival(
        &self,
        fingerprint: Fingerprint,
        record: &Record,
        now: Duration,
    ) -> Option<Ordering> {
        let explained = targets(record.unexpired(now));
        let total = incidents(record.unexpired(now));
        let explains_as_much = |other: &Record| {
            let same = other.unexpired(now).filter(|one| explained.contains(&one.loss.target));
            other.is_part() && incidents(same) >= total
        };
        let others = self.records.iter().filter(|(other, _)| **other != fingerprint);
        let rivals = others.map(|(_, other)| other).filter(|other| explains_as_much(other));
        let rank = |record: &Record| (record.has_run, record.breadth);
        rivals.map(|rival| rank(rival).cmp(&rank(record))).min()
    }

    /// Returns whether one request ran on all these targets when they were lost, before any part of
    /// its answer. It may then be their cause, whatever the others had in common.
    fn is_explained_by_request(&self, losses: &[Evidence], now: Duration) -> bool {
        let lost = targets(losses.iter());
        let explains = |record: &Record| {
            let fresh = || record.unexpired(now).filter(|one| one.weight > HALF_WEIGHT);
            record.evidence.len() >= lost.len()
                && lost.iter().all(|target| fresh().any(|one| one.loss.target == *target))
        };
        self.records.values().any(|record| !record.is_part() && explains(record))
    }

    /// Quarantines a fingerprint for its losses, which then count against no other.
    fn quarantine_for_losses(
        &mut self,
        fingerprint: Fingerprint,
        now: Duration,
        settings: &Settings,
    ) -> Decision {
        let record = self.records.get(&fingerprint);
        let is_part = record.is_some_and(Record::is_part);
        let cause = (fingerprint, if is_part { Scope::Part } else { Scope::Request });
        let targets = targets(record.into_iter().flat_map(|record| record.unexpired(now)));
        self.quarantine(fingerprint, now + settings.quarantine_ttl);
        targets.iter().for_each(|target| self.drop_evidence_for(target, cause));
        Decision::Quarantined(targets)
    }

    /// Quarantines a fingerprint, by a decision of this node or of another one.
    pub fn quarantine(&mut self, fingerprint: Fingerprint, until: Duration) {
        let record = self.records.entry(fingerprint).or_default();
        record.evidence.clear();
        record.quarantined_until =
            Some(record.quarantined_until.map_or(until, |known| known.max(until)));
    }

    /// Drops the evidence for the loss of a target, because a fingerprint was quarantined for it. If
    /// that is a request, evidence against the parts of its own prompt stays, as it may be one of
    /// them that makes the request crash its targets.
    pub fn drop_evidence_for(&mut self, target: &TargetName, (cause, scope): (Fingerprint, Scope)) {
        for record in self.records.values_mut() {
            let may_be_its_part = scope == Scope::Request && record.is_part();
            if !(may_be_its_part && record.has_lost(target, cause)) {
                record.evidence.retain(|evidence| evidence.loss.target != *target);
            }
        }
        self.drop_empty_records();
    }

    /// Drops what has expired.
    pub fn expire(&mut self, now: Duration, settings: &Settings) {
        self.records.retain(|_, record| {
            record.evidence.retain(|evidence| evidence.until > now);
            record.quarantined_until = record.quarantined_until.filter(|until| *until > now);
            record.quarantined_until.is_some() || !record.evidence.is_empty()
        });
        self.losses.retain(|loss| loss.at + settings.suspect_ttl > now);
        self.explained.retain(|(_, until)| *until > now);
    }

    /// Removes and returns the fingerprints whose decision is due, whether or not the request is
    /// sent again.
    pub fn take_due_decisions(&mut self, now: Duration, settings: &Settings) -> Vec<Fingerprint> {
        let (mut due, mut later) = (Vec::new(), BTreeSet::new());
        for fingerprint in std::mem::take(&mut self.pending) {
            match self.status(fingerprint, now, settings) {
                Status::Pending(at) if at <= now => due.push(fingerprint),
                Status::Pending(_) => drop(later.insert(fingerprint)),
                Status::Clear | Status::Suspect | Status::Quarantined(_) => {}
            }
        }
        self.pending = later;
        due
    }

    /// Makes a decision that was due be returned again by [`Suspects::take_due_decisions`].
    pub fn postpone_decision(&mut self, fingerprint: Fingerprint) {
        self.pending.insert(fingerprint);
    }

    /// Returns whether there is full-weight evidence against a fingerprint, or it is quarantined.
    pub fn has_full_evidence(&self, fingerprint: Fingerprint) -> bool {
        let record = self.records.get(&fingerprint);
        record.is_some_and(|record| {
            record.quarantined_until.is_some()
                || record.evidence.iter().any(|one| one.weight > HALF_WEIGHT)
        })
    }

    /// Returns whether a fingerprint is known to be that of a part of prompts.
    pub fn is_part(&self, fingerprint: Fingerprint) -> bool {
        self.records.get(&fingerprint).is_some_and(Record::is_part)
    }

    /// Returns whether there is no record of any fingerprint.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns whether a loss coincides with other losses in which the request had no part.
    fn is_correlated(&self, one: &Evidence, all: &[Evidence], settings: &Settings) -> bool {
        let window = settings.correlation_window;
        let near = |loss: &&Loss| loss.at.abs_diff(one.loss.at) < window;
        let unrelated =
            |loss: &&Loss| !all.iter().any(|evidence| evidence.loss.target == loss.target);
        let others: Vec<&Loss> = self.losses.iter().filter(near).filter(unrelated).collect();
        let place = &one.loss.place;
        let in_rack = |loss: &&&Loss| !place.rack.is_empty() && loss.place == *place;
        let in_domain = |loss: &&&Loss| loss.place.domain == place.domain;
        let earlier = all.iter().any(|other| {
            !place.rack.is_empty()
                && other.loss.place == *place
                && other.loss.at < one.loss.at
                && other.loss.at + settings.confirmation_time > one.loss.at
        });
        earlier
            || others.iter().filter(in_rack).count() >= MIN_RACK_LOSSES
            || others.iter().filter(in_domain).count() >= MIN_DOMAIN_LOSSES
    }

    /// Keeps only the first evidence of each widespread loss. The request may run at each target of
    /// the site, and so have a part in all of its losses.
    fn merge_widespread(&self, evidence: &mut Vec<Evidence>, settings: &Settings) {
        let window = settings.correlation_window;
        evidence.sort_by_key(|one| one.loss.at);
        let mut merged_until = None;
        evidence.retain(|one| {
            let at = one.loss.at;
            if merged_until.is_some_and(|until| at < until) {
                return false;
            }
            merged_until = self.is_widespread(at, window).then_some(at + window);
            true
        });
    }

    /// Returns whether several targets in each of several failure domains were lost within `window`
    /// of a time.
    fn is_widespread(&self, at: Duration, window: Duration) -> bool {
        let mut domains: BTreeMap<u16, BTreeSet<&TargetName>> = BTreeMap::new();
        for loss in self.losses.iter().filter(|loss| loss.at.abs_diff(at) < window) {
            domains.entry(loss.place.domain).or_default().insert(&loss.target);
        }
        let lost = domains.values().filter(|targets| targets.len() >= MIN_WIDESPREAD_LOSSES);
        lost.count() >= MIN_WIDESPREAD_DOMAINS
    }

    /// Returns whether another request has the same losses, so that their cause cannot be
    /// identified.
    fn is_shared(&self, fingerprint: Fingerprint, targets: &[TargetName], now: Duration) -> bool {
        let holds = |record: &Record| {
            if record.is_part() {
                return false;
            }
            let same =
                record.unexpired(now).filter(|evidence| targets.contains(&evidence.loss.target));
            weight(same) >= QUARANTINE_WEIGHT
        };
        self.records.iter().any(|(other, record)| *other != fingerprint && holds(record))
    }

    fn retain_evidence(&mut self, keep: impl Fn(&Evidence) -> bool) {
        for record in self.records.values_mut() {
            let mut evidence = std::mem::take(&mut record.evidence);
            evidence.retain(&keep);
            record.evidence = evidence;
        }
        self.drop_empty_records();
    }

    fn drop_empty_records(&mut self) {
        self.records
            .retain(|_, record| record.quarantined_until.is_some() || !record.evidence.is_empty());
    }
}
