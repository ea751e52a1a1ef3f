//! Which requests are suspected of crashing targets, and which are condemned.
//!
//! A file is kept for each fingerprint that ran on a target when it was lost. Evidence
//! is a lost target. It weighs full where the request had just come there, and half where
//! it had passed tokens there before. Two full weights condemn, once the confirmation time
//! has passed without a sign that the losses had another cause.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use fleet::TargetName;
use smol_str::SmolStr;

use crate::Settings;

/// Weight of lost targets that condemns.
const CONDEMNING: f64 = 2.0;
/// Weight of a target that was lost after it had passed tokens of the request.
const HALF: f64 = 0.5;
/// Most turns waited for, half a confirmation time each.
const MOST_TURNS: u32 = 5;
/// Other losses in one rack at one time that explain a loss.
const RACK_LOSSES: usize = 1;
/// Other losses in one failure domain at one time that explain a loss.
const DOMAIN_LOSSES: usize = 2;
/// Losses remembered.
const LOSSES: usize = 4096;
/// Streams still moving this long after a loss show that there was none.
const GRACE: Duration = Duration::from_millis(50);
/// Files kept.
const FILES: usize = 65_536;

/// Where a target stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Place {
    /// Dense number of the failure domain.
    pub(crate) domain: u16,
    /// Rack inside it; empty where it is not known.
    pub(crate) rack: SmolStr,
}

/// One loss of a target.
#[derive(Clone, Debug)]
pub(crate) struct Loss {
    /// The target.
    pub(crate) target: TargetName,
    /// Where it stands.
    pub(crate) place: Place,
    /// When it was noticed first.
    pub(crate) at: Duration,
}

#[derive(Clone, Debug, Default)]
struct File {
    evidence: Vec<Evidence>,
    condemned: Option<Duration>,
}

#[derive(Clone, Debug)]
struct Evidence {
    loss: Loss,
    until: Duration,
    weight: f64,
}

fn weight<'a>(evidence: impl Iterator<Item = &'a Evidence>) -> f64 {
    evidence.map(|evidence| evidence.weight).sum()
}

/// What is held against a fingerprint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Standing {
    /// Nothing.
    Clear,
    /// Loss of one target.
    Suspect,
    /// Losses of several targets, to be judged at this time.
    Pending(Duration),
    /// Not to be run until this time.
    Condemned(Duration),
}

/// What came of a judgement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Judgement {
    /// The losses had another cause, or cannot be told apart.
    Dropped,
    /// Condemned for the loss of these targets.
    Condemned(Vec<TargetName>),
}

/// Files and losses.
#[derive(Debug, Default)]
pub(crate) struct Suspects {
    files: BTreeMap<u64, File>,
    losses: VecDeque<Loss>,
    /// Losses that membership explains, with the time until which they are remembered.
    explained: Vec<(TargetName, Duration)>,
}

impl Suspects {
    /// How a fingerprint stands.
    pub(crate) fn standing(
        &self,
        fingerprint: u64,
        now: Duration,
        settings: &Settings,
    ) -> Standing {
        let Some(file) = self.files.get(&fingerprint) else { return Standing::Clear };
        if let Some(until) = file.condemned.filter(|until| *until > now) {
            return Standing::Condemned(until);
        }
        let live = || file.evidence.iter().filter(|evidence| evidence.until > now);
        let Some(last) = live().map(|evidence| evidence.loss.at).max() else {
            return Standing::Clear;
        };
        if weight(live()) < CONDEMNING {
            Standing::Suspect
        } else {
            Standing::Pending(last + settings.confirm)
        }
    }

    /// Until when a suspect waits for its turn. Those that had just come to the same lost
    /// target take turns over all nodes, the lowest fingerprint first, so that no two of them
    /// meet at a target and the next loss names one.
    pub(crate) fn turn(&self, fingerprint: u64, settings: &Settings) -> Option<Duration> {
        let file = self.files.get(&fingerprint)?;
        let fresh = file.evidence.iter().filter(|evidence| evidence.weight > HALF);
        let last = fresh.max_by_key(|evidence| evidence.loss.at)?;
        let same = |file: &File| {
            let mut fresh = file.evidence.iter().filter(|evidence| evidence.weight > HALF);
            fresh.any(|evidence| evidence.loss.target == last.loss.target)
        };
        let before = self.files.range(..fingerprint).filter(|(_, file)| same(file)).count();
        let turns = u32::try_from(before).unwrap_or(MOST_TURNS).min(MOST_TURNS);
        Some(last.loss.at + settings.confirm + settings.confirm * turns / 2)
    }

    /// Places of the targets lost to a fingerprint.
    pub(crate) fn places(&self, fingerprint: u64, now: Duration) -> Vec<(u16, SmolStr)> {
        let file = self.files.get(&fingerprint);
        let evidence = file.into_iter().flat_map(|file| &file.evidence);
        let live = evidence.filter(|evidence| evidence.until > now);
        live.map(|e| (e.loss.place.domain, e.loss.place.rack.clone())).collect()
    }

    /// Names of the targets lost to a fingerprint.
    pub(crate) fn lost_to(&self, fingerprint: u64, now: Duration) -> Vec<TargetName> {
        let file = self.files.get(&fingerprint);
        let evidence = file.into_iter().flat_map(|file| &file.evidence);
        let live = evidence.filter(|evidence| evidence.until > now);
        live.map(|evidence| evidence.loss.target.clone()).collect()
    }

    /// When the last target was lost to a fingerprint.
    pub(crate) fn last_loss(&self, fingerprint: u64, now: Duration) -> Option<Duration> {
        let evidence = &self.files.get(&fingerprint)?.evidence;
        let live = evidence.iter().filter(|evidence| evidence.until > now);
        live.map(|evidence| evidence.loss.at).max()
    }

    /// Notes the loss of a target; losses within the correlation time are one.
    pub(crate) fn lose(&mut self, loss: Loss, settings: &Settings) -> Loss {
        let same = self.losses.iter().rev().find(|known| {
            known.target == loss.target && loss.at.saturating_sub(known.at) < settings.correlation
        });
        if let Some(known) = same {
            return known.clone();
        }
        if self.losses.len() == LOSSES {
            self.losses.pop_front();
        }
        self.losses.push_back(loss.clone());
        loss
    }

    /// Holds a loss against a fingerprint, in full where the request was `fresh` there; true
    /// if it is news.
    pub(crate) fn suspect(
        &mut self,
        fingerprint: u64,
        loss: Loss,
        fresh: bool,
        settings: &Settings,
    ) -> bool {
        if self.explained.iter().any(|(name, until)| *name == loss.target && *until > loss.at) {
            return false;
        }
        if self.files.len() >= FILES && !self.files.contains_key(&fingerprint) {
            return false;
        }
        let until = loss.at + settings.suspect_ttl;
        let file = self.files.entry(fingerprint).or_default();
        let known = file.evidence.iter().any(|evidence| evidence.loss.target == loss.target);
        if !known {
            let weight = if fresh { 1.0 } else { HALF };
            file.evidence.push(Evidence { loss, until, weight });
        }
        !known
    }

    /// Drops what is held against a fingerprint; true if anything was.
    pub(crate) fn clear(&mut self, fingerprint: u64) -> bool {
        let Some(file) = self.files.get_mut(&fingerprint) else { return false };
        let had = !file.evidence.is_empty();
        file.evidence.clear();
        if file.condemned.is_none() {
            self.files.remove(&fingerprint);
        }
        had
    }

    /// Membership explains the loss of these targets; fingerprints that are cleared by it.
    pub(crate) fn explain(&mut self, targets: &[TargetName], until: Duration) {
        self.explained.extend(targets.iter().map(|target| (target.clone(), until)));
        self.drop_evidence(|evidence| !targets.contains(&evidence.loss.target));
    }

    /// A stream sent before a loss still moves: the target was not lost.
    pub(crate) fn alive(&mut self, target: &TargetName, sent: Duration, now: Duration) {
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
    pub(crate) fn judge(
        &mut self,
        fingerprint: u64,
        now: Duration,
        settings: &Settings,
    ) -> Judgement {
        let Some(file) = self.files.get(&fingerprint) else { return Judgement::Dropped };
        let mut evidence = file.evidence.clone();
        evidence.retain(|evidence| evidence.until > now);
        if settings.mechanism.correlation {
            let all = evidence.clone();
            evidence.retain(|one| !self.is_explained(one, &all, settings));
        }
        let targets: Vec<TargetName> =
            evidence.iter().map(|evidence| evidence.loss.target.clone()).collect();
        let guilty =
            weight(evidence.iter()) >= CONDEMNING && !self.is_shared(fingerprint, &targets, now);
        if !guilty {
            // Only the oldest loss stays: the request is run again apart from all others.
            evidence.truncate(1);
            if let Some(file) = self.files.get_mut(&fingerprint) {
                file.evidence = evidence;
            }
            return Judgement::Dropped;
        }
        self.condemn(fingerprint, now + settings.quarantine_ttl);
        self.drop_evidence(|evidence| !targets.contains(&evidence.loss.target));
        Judgement::Condemned(targets)
    }

    /// Condemns a fingerprint, on this node's judgement or another's.
    pub(crate) fn condemn(&mut self, fingerprint: u64, until: Duration) {
        let file = self.files.entry(fingerprint).or_default();
        file.evidence.clear();
        file.condemned = Some(file.condemned.map_or(until, |known| known.max(until)));
    }

    /// Another fingerprint was condemned for the loss of this target.
    pub(crate) fn settle(&mut self, target: &TargetName) {
        self.drop_evidence(|evidence| evidence.loss.target != *target);
    }

    /// Forgets what is over.
    pub(crate) fn expire(&mut self, now: Duration, settings: &Settings) {
        self.files.retain(|_, file| {
            file.evidence.retain(|evidence| evidence.until > now);
            file.condemned = file.condemned.filter(|until| *until > now);
            file.condemned.is_some() || !file.evidence.is_empty()
        });
        self.losses.retain(|loss| loss.at + settings.suspect_ttl > now);
        self.explained.retain(|(_, until)| *until > now);
    }

    /// Whether any file is open.
    pub(crate) fn is_empty(&self) -> bool {
        self.files.is_empty()
    }

    /// Whether a loss came together with others that the request had no part in.
    fn is_explained(&self, one: &Evidence, all: &[Evidence], settings: &Settings) -> bool {
        let window = settings.correlation;
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
                && other.loss.at + settings.confirm > one.loss.at
        });
        earlier
            || others.iter().filter(racked).count() >= RACK_LOSSES
            || others.iter().filter(in_domain).count() >= DOMAIN_LOSSES
    }

    /// Whether another file holds the same losses, so that they cannot be told apart.
    fn is_shared(&self, fingerprint: u64, targets: &[TargetName], now: Duration) -> bool {
        let holds = |file: &File| {
            let live = file.evidence.iter().filter(|evidence| evidence.until > now);
            let same = live.filter(|evidence| targets.contains(&evidence.loss.target));
            weight(same) >= CONDEMNING
        };
        self.files.iter().any(|(other, file)| *other != fingerprint && holds(file))
    }

    fn drop_evidence(&mut self, keep: impl Fn(&Evidence) -> bool) {
        for file in self.files.values_mut() {
            file.evidence.retain(&keep);
        }
        self.files.retain(|_, file| file.condemned.is_some() || !file.evidence.is_empty());
    }
}
