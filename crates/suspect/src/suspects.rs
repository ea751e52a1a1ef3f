//! Which requests are suspected of crashing targets, and which are condemned.
//!
//! A record is kept for each fingerprint that ran on a target when it was lost. Evidence
//! is a lost target. It weighs full where the request had just come there, and half where
//! it had passed tokens there before. Two full weights condemn, once the confirmation time
//! has passed without a sign that the losses had another cause.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use fleet::TargetName;
use smol_str::SmolStr;

use crate::{Fingerprint, Loss, Settings};

/// Weight of lost targets that condemns.
const CONDEMNING: f64 = 2.0;
/// The same, where the losses may have had another cause: so much of it is no chance.
const CONDEMNING_ANYWAY: f64 = 3.0;
/// The same, where another fingerprint holds the same losses.
const CONDEMNING_ALIKE: f64 = 4.0;
/// Weight of a target that was lost after it had passed tokens of the request.
const HALF: f64 = 0.5;
/// Most turns waited for, half a confirmation time each.
const MOST_TURNS: u32 = 5;
/// Other losses in one rack at one time that explain a loss.
const RACK_LOSSES: usize = 1;
/// Other losses in one failure domain at one time that explain a loss.
const DOMAIN_LOSSES: usize = 2;
/// Losses remembered.
const MOST_LOSSES: usize = 4096;
/// Streams still moving this long after a loss show that there was none.
const GRACE: Duration = Duration::from_millis(50);
/// Records kept.
const MOST_RECORDS: usize = 65_536;

#[derive(Clone, Debug, Default)]
struct Record {
    evidence: Vec<Evidence>,
    /// Whether there is evidence since the last judgement.
    unjudged: bool,
    condemned: Option<Duration>,
}

impl Record {
    /// Evidence at `now` that no judgement has set aside.
    fn counted(&self, now: Duration) -> impl Iterator<Item = &Evidence> {
        self.live(now).filter(|evidence| !evidence.set_aside)
    }

    /// Weight of all evidence at `now`, that within `correlation` of other evidence counted once.
    fn weight_of_causes(&self, now: Duration, correlation: Duration) -> f64 {
        let mut live: Vec<&Evidence> = self.live(now).collect();
        live.sort_by_key(|evidence| evidence.loss.at);
        let causes = live.chunk_by(|a, b| b.loss.at - a.loss.at < correlation);
        causes.map(|one| one.iter().map(|evidence| evidence.weight).fold(0.0, f64::max)).sum()
    }

    /// All evidence at `now`.
    fn live(&self, now: Duration) -> impl Iterator<Item = &Evidence> {
        self.evidence.iter().filter(move |evidence| evidence.until > now)
    }
}

#[derive(Clone, Debug)]
struct Evidence {
    loss: Loss,
    until: Duration,
    weight: f64,
    /// Whether a judgement found that it may have had another cause.
    set_aside: bool,
}

fn weight<'a>(evidence: impl Iterator<Item = &'a Evidence>) -> f64 {
    evidence.map(|evidence| evidence.weight).sum()
}

/// What is held against a fingerprint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Status {
    /// Nothing.
    Clear,
    /// Loss of one target.
    Suspect,
    /// Losses of several targets, to be judged at this time.
    Pending(Duration),
    /// Not to be run until this time.
    Quarantined(Duration),
}

/// What came of a judgement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The losses had another cause, or cannot be told apart.
    Dropped,
    /// Condemned for the loss of these targets.
    Quarantined(Vec<TargetName>),
}

/// Records of fingerprints, and losses.
#[derive(Debug, Default)]
pub struct Suspects {
    records: BTreeMap<Fingerprint, Record>,
    /// Those that may wait for a judgement.
    pending: BTreeSet<Fingerprint>,
    losses: VecDeque<Loss>,
    /// Losses that membership explains, with the time until which they are remembered.
    explained: Vec<(TargetName, Duration)>,
}

impl Suspects {
    /// How a fingerprint stands.
    pub fn status(&self, fingerprint: Fingerprint, now: Duration, settings: &Settings) -> Status {
        let Some(record) = self.records.get(&fingerprint) else { return Status::Clear };
        if let Some(until) = record.condemned.filter(|until| *until > now) {
            return Status::Quarantined(until);
        }
        let Some(last) = record.live(now).map(|evidence| evidence.loss.at).max() else {
            return Status::Clear;
        };
        let heavy = weight(record.counted(now)) >= CONDEMNING
            || weight(record.live(now)) >= CONDEMNING_ANYWAY;
        if heavy && record.unjudged {
            Status::Pending(last + settings.confirmation_time)
        } else {
            Status::Suspect
        }
    }

    /// Until when a suspect waits for its turn. Those that had just come to the same lost
    /// target take turns over all nodes, the lowest fingerprint first, so that no two of them
    /// meet at a target and the next loss names one.
    pub fn turn_at(&self, fingerprint: Fingerprint, settings: &Settings) -> Option<Duration> {
        let record = self.records.get(&fingerprint)?;
        let fresh = record.evidence.iter().filter(|e| !e.set_aside && e.weight > HALF);
        let last = fresh.max_by_key(|evidence| evidence.loss.at)?;
        let same = |record: &Record| {
            let mut fresh = record.evidence.iter().filter(|e| !e.set_aside && e.weight > HALF);
            fresh.any(|evidence| evidence.loss.target == last.loss.target)
        };
        let before = self.records.range(..fingerprint).filter(|(_, record)| same(record)).count();
        let turns = u32::try_from(before).unwrap_or(MOST_TURNS).min(MOST_TURNS);
        Some(last.loss.at + settings.confirmation_time + settings.confirmation_time * turns / 2)
    }

    /// Places of the targets lost to a fingerprint.
    pub fn lost_places(&self, fingerprint: Fingerprint, now: Duration) -> Vec<(u16, SmolStr)> {
        let record = self.records.get(&fingerprint);
        let counted = record.into_iter().flat_map(|record| record.counted(now));
        counted.map(|e| (e.loss.place.domain, e.loss.place.rack.clone())).collect()
    }

    /// Names of the targets lost to a fingerprint.
    pub fn lost_targets(&self, fingerprint: Fingerprint, now: Duration) -> Vec<TargetName> {
        let record = self.records.get(&fingerprint);
        let counted = record.into_iter().flat_map(|record| record.counted(now));
        counted.map(|evidence| evidence.loss.target.clone()).collect()
    }

    /// When the last target was lost to a fingerprint.
    pub fn last_loss(&self, fingerprint: Fingerprint, now: Duration) -> Option<Duration> {
        self.records.get(&fingerprint)?.counted(now).map(|evidence| evidence.loss.at).max()
    }

    /// Notes the loss of a target; losses within the correlation time are one.
    pub fn record_loss(&mut self, loss: Loss, settings: &Settings) -> Loss {
        let same = self.losses.iter().rev().find(|known| {
            known.target == loss.target
                && loss.at.saturating_sub(known.at) < settings.correlation_window
        });
        if let Some(known) = same {
            return known.clone();
        }
        if self.losses.len() == MOST_LOSSES {
            self.losses.pop_front();
        }
        self.losses.push_back(loss.clone());
        loss
    }

    /// Holds a loss against a fingerprint, in full where the request was `fresh` there; true
    /// if it is news.
    pub fn add_evidence(
        &mut self,
        fingerprint: Fingerprint,
        loss: Loss,
        fresh: bool,
        settings: &Settings,
    ) -> bool {
        if self.explained.iter().any(|(name, until)| *name == loss.target && *until > loss.at) {
            return false;
        }
        if self.records.len() >= MOST_RECORDS && !self.records.contains_key(&fingerprint) {
            return false;
        }
        let until = loss.at + settings.suspect_ttl;
        let record = self.records.entry(fingerprint).or_default();
        let known = record.evidence.iter().any(|evidence| {
            evidence.loss.target == loss.target
                && (!evidence.set_aside || evidence.loss.at == loss.at)
        });
        if !known {
            let weight = if fresh { 1.0 } else { HALF };
            record.evidence.push(Evidence { loss, until, weight, set_aside: false });
            record.unjudged = true;
            self.pending.insert(fingerprint);
        }
        !known
    }

    /// Drops what is held against a fingerprint; true if anything was.
    pub fn clear_evidence(&mut self, fingerprint: Fingerprint) -> bool {
        let Some(record) = self.records.get_mut(&fingerprint) else { return false };
        let had = !record.evidence.is_empty();
        record.evidence.clear();
        if record.condemned.is_none() {
            self.records.remove(&fingerprint);
        }
        had
    }

    /// Drops everything against a fingerprint, a condemnation too; true if there was anything.
    pub fn release(&mut self, fingerprint: Fingerprint) -> bool {
        self.records.remove(&fingerprint).is_some()
    }

    /// Membership explains the loss of these targets; fingerprints that are cleared by it.
    pub fn explain_losses(&mut self, targets: &[TargetName], until: Duration) {
        self.explained.extend(targets.iter().map(|target| (target.clone(), until)));
        self.drop_evidence(|evidence| !targets.contains(&evidence.loss.target));
    }

    /// Whether a judgement has set evidence against a fingerprint aside, so that it is to run
    /// apart from other suspects.
    pub fn needs_isolation(&self, fingerprint: Fingerprint, now: Duration) -> bool {
        let record = self.records.get(&fingerprint);
        record.is_some_and(|record| record.live(now).any(|evidence| evidence.set_aside))
    }

    /// A target answers that was taken for lost: it was not.
    pub fn record_survival(&mut self, target: &str) {
        if self.losses.iter().any(|loss| loss.target == target) {
            self.losses.retain(|loss| loss.target != target);
            self.drop_evidence(|evidence| evidence.loss.target != target);
        }
    }

    /// A stream sent before a loss still moves: the target was not lost.
    pub fn record_progress(&mut self, target: &TargetName, sent: Duration, now: Duration) {
        let Some(last) = self.losses.back() else { return };
        if now > last.at + Duration::from_secs(60) {
            return;
        }
        let denied =
            |loss: &Loss| loss.target == *target && sent < loss.at && now > loss.at + GRACE;
        if !self.losses.iter().any(denied) {
            return;
        }
        self.losses.retain(|loss| !denied(loss));
        self.drop_evidence(|evidence| !denied(&evidence.loss));
    }

    /// Judges a fingerprint whose confirmation time is over.
    pub fn decide(
        &mut self,
        fingerprint: Fingerprint,
        now: Duration,
        settings: &Settings,
    ) -> Decision {
        let Some(record) = self.records.get(&fingerprint) else { return Decision::Dropped };
        let total = record.weight_of_causes(now, settings.correlation_window);
        let mut evidence: Vec<Evidence> = record.counted(now).cloned().collect();
        if settings.correlate_losses {
            let all = evidence.clone();
            evidence.retain(|one| !self.is_explained(one, &all, settings));
        }
        let targets: Vec<TargetName> =
            evidence.iter().map(|evidence| evidence.loss.target.clone()).collect();
        let guilty = match self.is_shared(fingerprint, &targets, now) {
            true => total >= CONDEMNING_ALIKE,
            false => weight(evidence.iter()) >= CONDEMNING || total >= CONDEMNING_ANYWAY,
        };
        if !guilty {
            // Only the oldest loss counts: the request is run again apart from all others.
            let oldest = targets.first();
            if let Some(record) = self.records.get_mut(&fingerprint) {
                record.unjudged = false;
                for evidence in &mut record.evidence {
                    evidence.set_aside |= Some(&evidence.loss.target) != oldest;
                }
            }
            return Decision::Dropped;
        }
        // Whatever was lost under it is held against nobody else.
        let targets: Vec<TargetName> =
            record.live(now).map(|evidence| evidence.loss.target.clone()).collect();
        self.quarantine(fingerprint, now + settings.quarantine_ttl);
        self.drop_evidence(|evidence| !targets.contains(&evidence.loss.target));
        Decision::Quarantined(targets)
    }

    /// Condemns a fingerprint, on this node's judgement or another's.
    pub fn quarantine(&mut self, fingerprint: Fingerprint, until: Duration) {
        let record = self.records.entry(fingerprint).or_default();
        record.evidence.clear();
        record.condemned = Some(record.condemned.map_or(until, |known| known.max(until)));
    }

    /// Another fingerprint was condemned for the loss of this target.
    pub fn drop_losses_of(&mut self, target: &TargetName) {
        self.drop_evidence(|evidence| evidence.loss.target != *target);
    }

    /// Forgets what is over.
    pub fn expire(&mut self, now: Duration, settings: &Settings) {
        self.records.retain(|_, record| {
            record.evidence.retain(|evidence| evidence.until > now);
            record.condemned = record.condemned.filter(|until| *until > now);
            record.condemned.is_some() || !record.evidence.is_empty()
        });
        self.losses.retain(|loss| loss.at + settings.suspect_ttl > now);
        self.explained.retain(|(_, until)| *until > now);
    }

    /// Takes the fingerprints whose judgement is due, whether or not they come again.
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

    /// Whether a loss is held against a fingerprint in full, or it is condemned.
    pub fn has_full_evidence(&self, fingerprint: Fingerprint) -> bool {
        let record = self.records.get(&fingerprint);
        record.is_some_and(|record| {
            record.condemned.is_some() || record.evidence.iter().any(|one| one.weight > HALF)
        })
    }

    /// Whether nothing is held against any fingerprint.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Whether a loss came together with others that the request had no part in.
    fn is_explained(&self, one: &Evidence, all: &[Evidence], settings: &Settings) -> bool {
        let window = settings.correlation_window;
        let near = |loss: &&Loss| loss.at.abs_diff(one.loss.at) < window;
        let foreign =
            |loss: &&Loss| !all.iter().any(|evidence| evidence.loss.target == loss.target);
        let others: Vec<&Loss> = self.losses.iter().filter(near).filter(foreign).collect();
        let place = &one.loss.place;
        let racked = |loss: &&&Loss| !place.rack.is_empty() && loss.place == *place;
        let in_domain = |loss: &&&Loss| loss.place.domain == place.domain;
        let earlier = all.iter().any(|other| {
            !place.rack.is_empty()
                && other.loss.place == *place
                && other.loss.at < one.loss.at
                && other.loss.at + settings.confirmation_time > one.loss.at
        });
        earlier
            || others.iter().filter(racked).count() >= RACK_LOSSES
            || others.iter().filter(in_domain).count() >= DOMAIN_LOSSES
    }

    /// Whether another record holds the same losses, so that they cannot be told apart.
    fn is_shared(&self, fingerprint: Fingerprint, targets: &[TargetName], now: Duration) -> bool {
        let holds = |record: &Record| {
            let same = record.live(now).filter(|evidence| targets.contains(&evidence.loss.target));
            weight(same) >= CONDEMNING
        };
        self.records.iter().any(|(other, record)| *other != fingerprint && holds(record))
    }

    fn drop_evidence(&mut self, keep: impl Fn(&Evidence) -> bool) {
        for record in self.records.values_mut() {
            record.evidence.retain(&keep);
        }
        self.records.retain(|_, record| record.condemned.is_some() || !record.evidence.is_empty());
    }
}
