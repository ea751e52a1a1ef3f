//! Records of the losses that count against a request or a part of prompts.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use fleet::TargetName;

use crate::{Fingerprint, Loss};

/// Weight of a target that was lost after it had passed tokens of the request.
pub(crate) const HALF_WEIGHT: f64 = 0.5;
/// Separate incidents that lead to the quarantine of a part of prompts.
const PART_INCIDENTS: usize = 2;
/// Separate incidents that lead to the quarantine of a part with which requests have run before.
const PROVEN_PART_INCIDENTS: usize = 4;

/// Losses that count against one fingerprint, and its quarantine.
#[derive(Clone, Debug, Default)]
pub(crate) struct Record {
    pub(crate) evidence: Vec<Evidence>,
    /// How widely the fingerprint is shared; 0 for a request.
    pub(crate) breadth: u32,
    /// Whether requests with this part have run before.
    pub(crate) has_run: bool,
    /// Whether there is evidence that no decision has considered.
    pub(crate) undecided: bool,
    pub(crate) quarantined_until: Option<Duration>,
}

/// One loss that counts against a fingerprint.
#[derive(Clone, Debug)]
pub(crate) struct Evidence {
    pub(crate) loss: Loss,
    /// Request that ran on the target; `None` if it was answered recently.
    pub(crate) request: Option<Fingerprint>,
    pub(crate) until: Duration,
    pub(crate) weight: f64,
    /// Whether a decision found that the loss may have had another cause.
    pub(crate) set_aside: bool,
}

impl Record {
    /// Returns whether the record is of a part of prompts.
    pub(crate) fn is_part(&self) -> bool {
        self.breadth > 0
    }

    /// Returns the number of separate incidents that lead to the quarantine of a part.
    pub(crate) fn needed_incidents(&self) -> usize {
        if self.has_run { PROVEN_PART_INCIDENTS } else { PART_INCIDENTS }
    }

    /// Returns whether evidence against a part is enough: losses before any part of an answer, or
    /// twice as many of any kind.
    pub(crate) fn is_enough<'a>(
        &self,
        evidence: impl Iterator<Item = &'a Evidence> + Clone,
    ) -> bool {
        let before_output = evidence.clone().filter(|one| one.weight > HALF_WEIGHT);
        let needed = self.needed_incidents();
        has_incidents(needed, before_output) || has_incidents(2 * needed, evidence)
    }

    /// Returns the unexpired evidence that no decision has set aside.
    pub(crate) fn counted(&self, now: Duration) -> impl Iterator<Item = &Evidence> {
        self.unexpired(now).filter(|evidence| !evidence.set_aside)
    }

    /// Returns all unexpired evidence.
    pub(crate) fn unexpired(&self, now: Duration) -> impl Iterator<Item = &Evidence> + Clone {
        self.evidence.iter().filter(move |evidence| evidence.until > now)
    }

    /// Returns whether the evidence holds this loss already. A part also counts each further
    /// request that a target ran when it was lost.
    pub(crate) fn holds(&self, loss: &Loss, request: Option<Fingerprint>) -> bool {
        self.evidence.iter().any(|evidence| {
            evidence.loss.target == loss.target
                && (!evidence.set_aside || evidence.loss.at == loss.at)
                && (!self.is_part() || evidence.request == request)
        })
    }

    /// Returns whether a target was lost while it ran this request.
    pub(crate) fn has_lost(&self, target: &TargetName, request: Fingerprint) -> bool {
        let mut evidence = self.evidence.iter();
        evidence.any(|one| one.loss.target == *target && one.request == Some(request))
    }

    /// Returns the weight of all unexpired evidence, where evidence within `correlation_window` of
    /// other evidence counts once, at the highest weight.
    pub(crate) fn weight_of_causes(&self, now: Duration, correlation_window: Duration) -> f64 {
        let mut unexpired: Vec<&Evidence> = self.unexpired(now).collect();
        unexpired.sort_by_key(|evidence| evidence.loss.at);
        let causes = unexpired.chunk_by(|a, b| b.loss.at - a.loss.at < correlation_window);
        causes.map(|one| one.iter().map(|evidence| evidence.weight).fold(0.0, f64::max)).sum()
    }
}

/// Returns the total weight of evidence.
pub(crate) fn weight<'a>(evidence: impl Iterator<Item = &'a Evidence>) -> f64 {
    evidence.map(|evidence| evidence.weight).sum()
}

/// Returns the number of separate incidents in evidence: the requests that it takes to explain all
/// lost targets, because what happens under one request only may be due to the rest of it. Each
/// target that ran no other request than answered ones is an incident of its own.
///
/// The request that explains most of the targets left is taken first, which may count more requests
/// than the fewest possible, but never two where one explains all.
pub(crate) fn incidents<'a>(evidence: impl Iterator<Item = &'a Evidence>) -> usize {
    incidents_up_to(usize::MAX, evidence)
}

/// Returns whether there are this many separate incidents in evidence.
fn has_incidents<'a>(needed: usize, evidence: impl Iterator<Item = &'a Evidence>) -> bool {
    incidents_up_to(needed, evidence) == needed
}

/// Returns the number of separate incidents in evidence, or `max` if there are more.
fn incidents_up_to<'a>(max: usize, evidence: impl Iterator<Item = &'a Evidence>) -> usize {
    let mut unexplained = BTreeSet::new();
    let mut targets_of: BTreeMap<Fingerprint, BTreeSet<&TargetName>> = BTreeMap::new();
    for one in evidence {
        unexplained.insert(&one.loss.target);
        if let Some(request) = one.request {
            targets_of.entry(request).or_default().insert(&one.loss.target);
        }
    }
    let mut incidents = 0;
    while incidents < max
        && let Some(explained) =
            targets_of.values().max_by_key(|targets| targets.intersection(&unexplained).count())
        && !explained.is_disjoint(&unexplained)
    {
        unexplained.retain(|target| !explained.contains(target));
        incidents += 1;
    }
    max.min(incidents + unexplained.len())
}

/// Returns the number of different moments of losses, at least `window` apart.
pub(crate) fn moments<'a>(evidence: impl Iterator<Item = &'a Evidence>, window: Duration) -> usize {
    let mut times: Vec<Duration> = evidence.map(|evidence| evidence.loss.at).collect();
    times.sort();
    let mut moments = 0;
    let mut last: Option<Duration> = None;
    for at in times {
        if last.is_none_or(|last| at >= last + window) {
            moments += 1;
            last = Some(at);
        }
    }
    moments
}

/// Returns the targets that were lost.
pub(crate) fn targets<'a>(evidence: impl Iterator<Item = &'a Evidence>) -> Vec<TargetName> {
    let mut targets: Vec<TargetName> = evidence.map(|one| one.loss.target.clone()).collect();
    targets.sort();
    targets.dedup();
    targets
}
