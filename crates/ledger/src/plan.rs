//! Decides, from a snapshot of a shard, which pending entries can be completed at once and what the
//! next write contains.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use fleet::RequestId;

use crate::entry::{Entry, HeldClaim, Intent, Work};
use crate::{KeyId, Outcome, Record, Settings, Shard, Verdict, Weakness};

/// Value of a shard last read or written by this node.
#[derive(Clone, Debug)]
pub(crate) struct Snapshot {
    /// Revision of the value.
    pub(crate) revision: u64,
    /// Decoded value.
    pub(crate) shard: Shard,
    /// Number of the step that started the operation which returned this value. The value contains
    /// every write of any node that took effect before that step.
    pub(crate) current_since_step: u64,
    /// Time at which this node received the value.
    pub(crate) observed_at: Duration,
    /// Simultaneous readings of this node's clock and of the shard's clock, from which the shard's
    /// clock is computed. Kept across writes of this node and renewed by each read.
    pub(crate) clock_anchor: (Duration, Duration),
}

/// Result that completes an entry.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Decision {
    /// The claim is recorded in the store.
    Claimed,
    /// The claim is answered with a verdict other than [`Verdict::Run`].
    Verdict(Verdict),
    /// Whether the outcome is recorded in the store. `false` means that it never can be.
    Kept(bool),
    /// The released claim is not in the store and cannot appear there.
    Released,
}

/// Result of planning.
#[derive(Debug)]
pub(crate) struct Plan {
    /// Next value of the shard.
    pub(crate) shard: Shard,
    /// Whether the next value is to be written.
    pub(crate) write: bool,
    /// Whether an entry needs a more recent snapshot.
    pub(crate) reread: bool,
    /// Completed entries, removed from the queue.
    pub(crate) decided: Vec<(Entry, Decision)>,
    /// Number of records removed by compaction.
    pub(crate) dropped: usize,
}

/// What is to be done with one entry.
enum Disposition {
    Write(Intent),
    Done(Decision),
    /// The claim is refused; an earlier write of it may still take effect.
    Refuse(Verdict),
    Wait,
    Reread,
}

/// State that planning of one entry depends on.
struct Context<'a> {
    snapshot: &'a Snapshot,
    held_claims: &'a HashMap<KeyId, HeldClaim>,
    settings: &'a Settings,
    /// Keys claimed by the write being planned.
    claiming: HashSet<KeyId>,
}

/// Plans the next write for `entries` and removes the entries that need none.
pub(crate) fn plan(
    entries: &mut Vec<Entry>,
    snapshot: &Snapshot,
    held_claims: &HashMap<KeyId, HeldClaim>,
    settings: &Settings,
    now: Duration,
) -> Plan {
    let mut shard = snapshot.shard.clone();
    shard.clock = snapshot.clock_anchor.1 + now.saturating_sub(snapshot.clock_anchor.0);
    let dropped = shard.compact(settings);
    let mut plan = Plan { shard, write: false, reread: false, decided: Vec::new(), dropped };
    let mut context = Context { snapshot, held_claims, settings, claiming: HashSet::new() };
    // Outcomes and releases go first, because they free space and keys for claims.
    let (claims, non_claims): (Vec<Entry>, Vec<Entry>) =
        entries.drain(..).partition(|entry| matches!(entry.work, Work::Claim { .. }));
    let mut written = 0;
    for mut entry in non_claims.into_iter().chain(claims) {
        if written >= settings.max_batch {
            entries.push(entry);
            continue;
        }
        let disposition = plan_entry(&entry, &mut plan.shard, &mut context);
        match disposition {
            Disposition::Write(intent) => {
                plan.write = true;
                written += 1;
                entry.in_flight = Some(intent);
                entries.push(entry);
            }
            Disposition::Done(decision) => plan.decided.push((entry, decision)),
            Disposition::Refuse(verdict) => refuse(entry, verdict, snapshot, entries, &mut plan),
            Disposition::Wait => entries.push(entry),
            Disposition::Reread => {
                plan.reread = true;
                entries.push(entry);
            }
        }
    }
    plan
}

fn refuse(
    mut entry: Entry,
    verdict: Verdict,
    snapshot: &Snapshot,
    entries: &mut Vec<Entry>,
    plan: &mut Plan,
) {
    let refused = entry.clone();
    if entry.unresolved_revision == Some(snapshot.revision) && entry.release() {
        entries.push(entry);
    }
    plan.decided.push((refused, Decision::Verdict(verdict)));
}

fn plan_entry(entry: &Entry, shard: &mut Shard, context: &mut Context<'_>) -> Disposition {
    match &entry.work {
        Work::Claim { request, digest } => plan_claim(entry, *request, *digest, shard, context),
        Work::Settle { request, digest, outcome, .. } => {
            plan_settle(entry, *request, *digest, outcome, shard, context)
        }
        Work::Release { request } => plan_release(entry, *request, shard, context),
    }
}

fn plan_claim(
    entry: &Entry,
    request: RequestId,
    digest: u64,
    shard: &mut Shard,
    context: &mut Context<'_>,
) -> Disposition {
    if let Some(verdict) =
        context.held_claims.get(&entry.id).and_then(|held| own_verdict(held, digest))
    {
        return Disposition::Done(Decision::Verdict(verdict));
    }
    if context.claiming.contains(&entry.id) {
        return Disposition::Wait;
    }
    let incarnation = context.settings.incarnation;
    let is_current = context.snapshot.current_since_step >= entry.arrival_step;
    let Some(record) = shard.get(&entry.id) else {
        return match (shard.has_room(context.settings), is_current) {
            (true, _) => record_claim(entry, request, digest, shard, context),
            (false, true) => {
                Disposition::Refuse(Verdict::Full { retry_after: context.settings.retry_after })
            }
            (false, false) => Disposition::Reread,
        };
    };
    let any_holder = context.settings.weakness == Weakness::AnyHolder && record.outcome.is_none();
    let is_own = entry.first_write_at.is_some() && record.is_held_by(incarnation, request);
    if is_own || any_holder {
        return Disposition::Done(Decision::Claimed);
    }
    match final_verdict(record, digest) {
        Some(verdict) => Disposition::Done(Decision::Verdict(verdict)),
        None if record.incarnation == incarnation && record.digest == digest => {
            // This incarnation made the claim, no longer holds it and never learned its outcome.
            Disposition::Done(Decision::Verdict(Verdict::Unknown))
        }
        None if !is_current => Disposition::Reread,
        None if record.digest != digest => Disposition::Done(Decision::Verdict(Verdict::Mismatch)),
        None => Disposition::Done(Decision::Verdict(Verdict::Unknown)),
    }
}

fn record_claim(
    entry: &Entry,
    request: RequestId,
    digest: u64,
    shard: &mut Shard,
    context: &mut Context<'_>,
) -> Disposition {
    let incarnation = context.settings.incarnation;
    let record = Record { incarnation, request, digest, at: shard.clock, outcome: None };
    shard.put(entry.id, record);
    context.claiming.insert(entry.id);
    Disposition::Write(Intent::Claim)
}

/// Returns the verdict on a repeat of a request whose claim this incarnation holds, if it does not
/// depend on the store.
pub(crate) fn own_verdict(held: &HeldClaim, digest: u64) -> Option<Verdict> {
    if held.digest != digest {
        return Some(Verdict::Mismatch);
    }
    match &held.pending {
        Some(Outcome::NotRun) => None,
        Some(Outcome::Unknown) | None => Some(Verdict::Unknown),
        Some(outcome) => Some(Verdict::Replay(outcome.clone())),
    }
}

/// Returns the verdict of a record that has an outcome. Outcomes never change, so an old snapshot
/// is sufficient.
pub(crate) fn final_verdict(record: &Record, digest: u64) -> Option<Verdict> {
    let outcome = record.outcome.as_ref()?;
    if record.digest != digest {
        return Some(Verdict::Mismatch);
    }
    match outcome {
        Outcome::Unknown | Outcome::NotRun => Some(Verdict::Unknown),
        Outcome::Answer { .. } | Outcome::Oversize { .. } => Some(Verdict::Replay(outcome.clone())),
    }
}

fn plan_settle(
    entry: &Entry,
    request: RequestId,
    digest: Option<u64>,
    outcome: &Outcome,
    shard: &mut Shard,
    context: &mut Context<'_>,
) -> Disposition {
    let incarnation = context.settings.incarnation;
    let record = shard.get(&entry.id);
    let held = record.filter(|record| record.is_held_by(incarnation, request));
    if *outcome == Outcome::NotRun {
        return match held {
            Some(record) if record.outcome.is_none() => {
                shard.remove(&entry.id);
                Disposition::Write(Intent::Settle)
            }
            _ => Disposition::Done(Decision::Kept(true)),
        };
    }
    if held.is_some_and(|record| record.outcome.is_some()) {
        return Disposition::Done(Decision::Kept(true));
    }
    // An outcome whose claim is missing is recorded only if no other claim is on the key.
    let digest = match (held, record) {
        (Some(held), _) => Some(held.digest),
        (None, Some(_)) => None,
        (None, None) => digest,
    };
    let Some(digest) = digest else { return Disposition::Done(Decision::Kept(false)) };
    let outcome = limit_size(outcome, shard, context.settings);
    let at = shard.clock;
    shard.put(entry.id, Record { incarnation, request, digest, at, outcome: Some(outcome) });
    Disposition::Write(Intent::Settle)
}

/// Returns the outcome, or [`Outcome::Oversize`] in place of an answer that is too large.
fn limit_size(outcome: &Outcome, shard: &Shard, settings: &Settings) -> Outcome {
    match outcome {
        Outcome::Answer { status, body, .. }
            if body.len() > settings.max_answer_bytes || !shard.has_room_for(outcome, settings) =>
        {
            Outcome::Oversize { status: *status, bytes: body.len() as u64 }
        }
        other => other.clone(),
    }
}

fn plan_release(
    entry: &Entry,
    request: RequestId,
    shard: &mut Shard,
    context: &mut Context<'_>,
) -> Disposition {
    let incarnation = context.settings.incarnation;
    match shard.get(&entry.id) {
        Some(record) if record.is_held_by(incarnation, request) => {
            shard.remove(&entry.id);
            Disposition::Write(Intent::Remove)
        }
        // The write with the unknown result may still arrive. Any write based on this revision
        // advances the revision and so makes it fail.
        None if entry.unresolved_revision == Some(context.snapshot.revision)
            && context.settings.weakness != Weakness::NoBump =>
        {
            Disposition::Write(Intent::Remove)
        }
        _ => Disposition::Done(Decision::Released),
    }
}
