//! Decides, for the work that waits for a shard and a value of it, what can be answered at once
//! and what the next write says.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use fleet::RequestId;

use crate::entry::{Entry, Held, Intent, Work};
use crate::{KeyId, Outcome, Record, Settings, Shard, Verdict, Weakness};

/// A value of a shard as this node last saw it.
#[derive(Clone, Debug)]
pub(crate) struct Known {
    /// Its revision.
    pub(crate) revision: u64,
    /// The value.
    pub(crate) shard: Shard,
    /// Number of a step since which it was certainly the present one at some moment: what
    /// happened elsewhere before that step is in it.
    pub(crate) fresh_at: u64,
    /// When it was learned.
    pub(crate) learned_at: Duration,
    /// Moment of this node's clock, and the shard's clock then, from which the shard's time is
    /// measured. Both stay while only this node writes.
    pub(crate) anchor: (Duration, Duration),
}

/// What is decided about one piece of work.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Decision {
    /// The claim is in the store.
    Claimed,
    /// The claim has another verdict.
    Verdict(Verdict),
    /// The outcome is in the store, or cannot be put there.
    Kept(bool),
    /// A release has nothing left to do.
    Released,
}

/// Result of planning.
#[derive(Debug)]
pub(crate) struct Plan {
    /// Next value.
    pub(crate) shard: Shard,
    /// Whether it is to be written.
    pub(crate) write: bool,
    /// Whether some work needs a fresher value.
    pub(crate) reread: bool,
    /// Decided work, taken out of the queue.
    pub(crate) decided: Vec<(Entry, Decision)>,
    /// Records dropped by compaction.
    pub(crate) dropped: usize,
}

/// What planning of one piece of work came to.
enum Step {
    Write(Intent),
    Done(Decision),
    /// Refused; its claim may still be on its way to the store.
    Refuse(Verdict),
    Wait,
    Reread,
}

/// Everything that a decision looks at.
struct Context<'a> {
    known: &'a Known,
    held: &'a HashMap<KeyId, Held>,
    settings: &'a Settings,
    /// Keys whose claims are in the write that is being planned.
    claiming: HashSet<KeyId>,
}

/// Plans the next write for `entries` and takes out those that are decided without it.
pub(crate) fn plan(
    entries: &mut Vec<Entry>,
    known: &Known,
    held: &HashMap<KeyId, Held>,
    settings: &Settings,
    now: Duration,
) -> Plan {
    let mut shard = known.shard.clone();
    shard.clock = known.anchor.1 + now.saturating_sub(known.anchor.0);
    let dropped = shard.compact(settings);
    let mut plan = Plan { shard, write: false, reread: false, decided: Vec::new(), dropped };
    let mut context = Context { known, held, settings, claiming: HashSet::new() };
    // Outcomes and releases come first: they make room and free keys for claims.
    let (claims, others): (Vec<Entry>, Vec<Entry>) =
        entries.drain(..).partition(|entry| matches!(entry.work, Work::Claim { .. }));
    let mut written = 0;
    for mut entry in others.into_iter().chain(claims) {
        if written >= settings.group {
            entries.push(entry);
            continue;
        }
        let step = consider(&entry, &mut plan.shard, &mut context);
        match step {
            Step::Write(intent) => {
                plan.write = true;
                written += 1;
                entry.flight = Some(intent);
                entries.push(entry);
            }
            Step::Done(decision) => plan.decided.push((entry, decision)),
            Step::Refuse(verdict) => refuse(entry, verdict, known, entries, &mut plan),
            Step::Wait => entries.push(entry),
            Step::Reread => {
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
    known: &Known,
    entries: &mut Vec<Entry>,
    plan: &mut Plan,
) {
    let refused = entry.clone();
    if entry.late == Some(known.revision) && entry.release() {
        entries.push(entry);
    }
    plan.decided.push((refused, Decision::Verdict(verdict)));
}

fn consider(entry: &Entry, shard: &mut Shard, context: &mut Context<'_>) -> Step {
    match &entry.work {
        Work::Claim { request, digest } => claim(entry, *request, *digest, shard, context),
        Work::Settle { request, digest, outcome, .. } => {
            settle(entry, *request, *digest, outcome, shard, context)
        }
        Work::Release { request } => release(entry, *request, shard, context),
    }
}

fn claim(
    entry: &Entry,
    request: RequestId,
    digest: u64,
    shard: &mut Shard,
    context: &mut Context<'_>,
) -> Step {
    if let Some(verdict) = context.held.get(&entry.id).and_then(|held| own_verdict(held, digest)) {
        return Step::Done(Decision::Verdict(verdict));
    }
    if context.claiming.contains(&entry.id) {
        return Step::Wait;
    }
    let life = context.settings.life;
    let fresh = context.known.fresh_at >= entry.step;
    let Some(record) = shard.get(&entry.id) else {
        return match (shard.has_room(context.settings), fresh) {
            (true, _) => record_claim(entry, request, digest, shard, context),
            (false, true) => {
                Step::Refuse(Verdict::Full { retry_after: context.settings.retry_after })
            }
            (false, false) => Step::Reread,
        };
    };
    let any_holder = context.settings.weakness == Weakness::AnyHolder && record.outcome.is_none();
    let is_own = entry.attempted.is_some() && record.is_held_by(life, request);
    if is_own || any_holder {
        return Step::Done(Decision::Claimed);
    }
    match final_verdict(record, digest) {
        Some(verdict) => Step::Done(Decision::Verdict(verdict)),
        None if record.life == life && record.digest == digest => {
            // This life holds it no more and never learned its outcome.
            Step::Done(Decision::Verdict(Verdict::Unknown))
        }
        None if !fresh => Step::Reread,
        None if record.digest != digest => Step::Done(Decision::Verdict(Verdict::Mismatch)),
        None => Step::Done(Decision::Verdict(Verdict::Unknown)),
    }
}

fn record_claim(
    entry: &Entry,
    request: RequestId,
    digest: u64,
    shard: &mut Shard,
    context: &mut Context<'_>,
) -> Step {
    let life = context.settings.life;
    let record = Record { life, request, digest, at: shard.clock, outcome: None };
    shard.put(entry.id, record);
    context.claiming.insert(entry.id);
    Step::Write(Intent::Claim)
}

/// Verdict on a repeat of a request that this life holds, if the store need not be asked.
pub(crate) fn own_verdict(held: &Held, digest: u64) -> Option<Verdict> {
    if held.digest != digest {
        return Some(Verdict::Mismatch);
    }
    match &held.pending {
        Some(Outcome::NotRun) => None,
        Some(Outcome::Unknown) | None => Some(Verdict::Unknown),
        Some(outcome) => Some(Verdict::Replay(outcome.clone())),
    }
}

/// Verdict that a record gives for good. Outcomes never change, so an old value will do.
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

fn settle(
    entry: &Entry,
    request: RequestId,
    digest: Option<u64>,
    outcome: &Outcome,
    shard: &mut Shard,
    context: &mut Context<'_>,
) -> Step {
    let life = context.settings.life;
    let record = shard.get(&entry.id);
    let held = record.filter(|record| record.is_held_by(life, request));
    if *outcome == Outcome::NotRun {
        return match held {
            Some(record) if record.outcome.is_none() => {
                shard.remove(&entry.id);
                Step::Write(Intent::Settle)
            }
            _ => Step::Done(Decision::Kept(true)),
        };
    }
    if held.is_some_and(|record| record.outcome.is_some()) {
        return Step::Done(Decision::Kept(true));
    }
    // Without a claim of its own an outcome is kept only if it stands in nobody's way.
    let digest = match (held, record) {
        (Some(held), _) => Some(held.digest),
        (None, Some(_)) => None,
        (None, None) => digest,
    };
    let Some(digest) = digest else { return Step::Done(Decision::Kept(false)) };
    let outcome = keepable(outcome, shard, context.settings);
    let at = shard.clock;
    shard.put(entry.id, Record { life, request, digest, at, outcome: Some(outcome) });
    Step::Write(Intent::Settle)
}

/// The outcome itself, or that its answer is too large.
fn keepable(outcome: &Outcome, shard: &Shard, settings: &Settings) -> Outcome {
    match outcome {
        Outcome::Answer { status, body, .. }
            if body.len() > settings.max_answer || !shard.has_room_for(outcome, settings) =>
        {
            Outcome::Oversize { status: *status, bytes: body.len() as u64 }
        }
        other => other.clone(),
    }
}

fn release(
    entry: &Entry,
    request: RequestId,
    shard: &mut Shard,
    context: &mut Context<'_>,
) -> Step {
    let life = context.settings.life;
    match shard.get(&entry.id) {
        Some(record) if record.is_held_by(life, request) => {
            shard.remove(&entry.id);
            Step::Write(Intent::Remove)
        }
        // The lost write may still arrive: any write of this revision makes it fail.
        None if entry.late == Some(context.known.revision)
            && context.settings.weakness != Weakness::NoBump =>
        {
            Step::Write(Intent::Remove)
        }
        _ => Step::Done(Decision::Released),
    }
}
