//! Tests verdicts, limits and retention with an in-memory store that answers at once.

use std::collections::BTreeMap;
use std::time::Duration;

use fleet::RequestId;
use ledger::{
    Action, Builder, Key, Ledger, Message, Outcome, Reply, Settings, Shard, ShardId, StoreResult,
    Verdict, key_id, shard_of,
};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use yare::parameterized;

const HOUR: Duration = Duration::from_secs(60 * 60);

#[derive(Default)]
struct Store {
    down: bool,
    shards: BTreeMap<ShardId, (u64, Vec<u8>)>,
}

impl Store {
    fn perform(&mut self, action: Action) -> Option<Reply> {
        let (ticket, result) = match action {
            Action::Read { ticket, .. } | Action::Write { ticket, .. } if self.down => {
                (ticket, StoreResult::Down)
            }
            Action::Read { ticket, shard } => {
                let (revision, value) = self.shards.get(&shard).cloned().unwrap_or_default();
                (ticket, StoreResult::Value { revision, value })
            }
            Action::Write { ticket, shard, revision, value } => {
                let stored = self.shards.entry(shard).or_default();
                if stored.0 != revision {
                    return Some(Reply { ticket, result: StoreResult::Conflict });
                }
                *stored = (revision + 1, value);
                (ticket, StoreResult::Written { revision: revision + 1 })
            }
            _ => return None,
        };
        Some(Reply { ticket, result })
    }
}

/// Delivers a message to a node and performs its store calls; returns the answers to callers.
fn step(node: &mut Ledger, store: &mut Store, now: Duration, message: Message) -> Vec<Action> {
    let mut rng = SmallRng::seed_from_u64(0);
    let mut answers = Vec::new();
    let mut messages = vec![message];
    while let Some(message) = messages.pop() {
        let mut actions = Vec::new();
        node.step(now, message, &mut rng, &mut actions);
        for action in actions {
            match action {
                Action::Verdict { .. } | Action::Settled { .. } => answers.push(action),
                other => messages.extend(store.perform(other).map(Message::Store)),
            }
        }
    }
    answers
}

fn settings(incarnation: u64) -> Builder {
    Settings::builder("n", incarnation)
}

fn node(incarnation: u64) -> Ledger {
    Ledger::new(settings(incarnation).build())
}

fn key(text: &str) -> Key {
    Key { organisation: "cascade".into(), service: "book".into(), text: text.into() }
}

fn claim(
    node: &mut Ledger,
    store: &mut Store,
    now: Duration,
    request: RequestId,
    digest: u64,
) -> Option<Verdict> {
    let message = Message::Claim { request, key: key("k"), digest };
    match step(node, store, now, message).pop() {
        Some(Action::Verdict { verdict, .. }) => Some(verdict),
        _ => None,
    }
}

fn answer(bytes: usize) -> Outcome {
    Outcome::Answer { status: 201, content_type: "application/json".into(), body: vec![7; bytes] }
}

fn settle(
    node: &mut Ledger,
    store: &mut Store,
    now: Duration,
    request: RequestId,
    outcome: Outcome,
) -> Vec<Action> {
    step(node, store, now, Message::Settle { key: key("k"), request, outcome })
}

#[parameterized(
    whole_answer = { answer(2000), 1, Verdict::Replay(answer(2000)) },
    largest_answer = { answer(64 << 10), 1, Verdict::Replay(answer(64 << 10)) },
    too_large = {
        answer((64 << 10) + 1),
        1,
        Verdict::Replay(Outcome::Oversize { status: 201, bytes: (64 << 10) + 1 })
    },
    unknown = { Outcome::Unknown, 1, Verdict::Unknown },
    not_run = { Outcome::NotRun, 1, Verdict::Run { until: Duration::from_secs(10) } },
    other_body = { answer(10), 2, Verdict::Mismatch },
    other_body_while_open = { Outcome::Unknown, 2, Verdict::Mismatch },
)]
fn a_repeat_through_another_node(outcome: Outcome, digest: u64, verdict: Verdict) {
    let mut store = Store::default();
    let (mut first, mut second) = (node(1), node(2));
    let now = Duration::ZERO;
    let run = claim(&mut first, &mut store, now, 1, 1);
    assert!(matches!(run, Some(Verdict::Run { .. })), "{run:?}");
    let settled = settle(&mut first, &mut store, now, 1, outcome);
    assert_eq!(settled, [Action::Settled { request: 1, kept: true }]);
    assert_eq!(claim(&mut second, &mut store, now, 2, digest), Some(verdict));
}

#[parameterized(
    within = { HOUR - Duration::from_secs(1), 0, false },
    past_and_no_room = { HOUR, 0, true },
    past_with_room = { HOUR, 1 << 20, false },
    past_the_longest = { HOUR * 24 * 7, 1 << 20, true },
)]
fn an_outcome_is_kept_for_its_retention(elapsed: Duration, threshold: usize, runs_again: bool) {
    let mut store = Store::default();
    let mut node = Ledger::new(settings(1).compaction_threshold_bytes(threshold).build());
    claim(&mut node, &mut store, Duration::ZERO, 1, 1);
    settle(&mut node, &mut store, Duration::ZERO, 1, answer(10));
    // A claim on another key of the shard causes the next write, which compacts the shard.
    let target_shard = shard_of(&key_id(&key("k")));
    let mut texts = (0..).map(|number: u32| number.to_string());
    let text = texts.find(|text| shard_of(&key_id(&key(text))) == target_shard).expect("a key");
    let other = Message::Claim { request: 2, key: key(&text), digest: 1 };
    step(&mut node, &mut store, elapsed, other);
    let verdict = claim(&mut node, &mut store, elapsed, 3, 1);
    assert_eq!(matches!(verdict, Some(Verdict::Run { .. })), runs_again, "{verdict:?}");
}

#[test]
fn a_claim_without_outcome_outlasts_the_retention() {
    let mut store = Store::default();
    let mut first = Ledger::new(settings(1).compaction_threshold_bytes(0).build());
    claim(&mut first, &mut store, Duration::ZERO, 1, 1);
    let mut second = Ledger::new(settings(2).compaction_threshold_bytes(0).build());
    assert_eq!(claim(&mut second, &mut store, HOUR * 2, 2, 1), Some(Verdict::Unknown));
}

#[test]
fn unobserved_time_does_not_age_records() {
    let mut store = Store::default();
    let mut first = node(1);
    claim(&mut first, &mut store, Duration::ZERO, 1, 1);
    settle(&mut first, &mut store, Duration::ZERO, 1, answer(10));
    // A second node, whose clock is far ahead, reads the shard without waiting.
    let mut second = Ledger::new(settings(2).compaction_threshold_bytes(0).build());
    let verdict = claim(&mut second, &mut store, HOUR * 24 * 30, 2, 1);
    assert_eq!(verdict, Some(Verdict::Replay(answer(10))));
    let value = &store.shards[&shard_of(&key_id(&key("k")))].1;
    assert_eq!(Shard::decode(value).expect("readable").clock, Duration::ZERO);
}

#[test]
fn a_full_shard_refuses_and_drops_nothing() {
    let mut store = Store::default();
    let mut node = Ledger::new(settings(1).max_shard_bytes(1000).reserve_bytes(500).build());
    claim(&mut node, &mut store, Duration::ZERO, 1, 1);
    let target_shard = shard_of(&key_id(&key("k")));
    let mut texts = (0..).map(|number: u32| number.to_string());
    let text = texts.find(|text| shard_of(&key_id(&key(text))) == target_shard).expect("a key");
    let other = Message::Claim { request: 2, key: key(&text), digest: 1 };
    let answers = step(&mut node, &mut store, Duration::ZERO, other);
    let [Action::Verdict { verdict: Verdict::Full { .. }, .. }] = &answers[..] else {
        panic!("{answers:?}")
    };
    let settled = settle(&mut node, &mut store, Duration::ZERO, 1, answer(400));
    assert_eq!(settled, [Action::Settled { request: 1, kept: true }]);
    let verdict = claim(&mut node, &mut store, Duration::ZERO, 3, 1);
    assert_eq!(verdict, Some(Verdict::Replay(answer(400))));
}

#[parameterized(
    damaged = { vec![0xff, 0xff, 0xff] },
    newer_format = { vec![0x08, 0x02] },
)]
fn an_unreadable_shard_refuses_claims(value: Vec<u8>) {
    let mut store = Store::default();
    store.shards.insert(shard_of(&key_id(&key("k"))), (5, value.clone()));
    let mut node = node(1);
    let mut verdict = claim(&mut node, &mut store, Duration::ZERO, 1, 1);
    if verdict.is_none() {
        let late = Duration::from_secs(1);
        let answers = step(&mut node, &mut store, late, Message::Wake);
        verdict = answers.into_iter().find_map(|action| match action {
            Action::Verdict { verdict, .. } => Some(verdict),
            _ => None,
        });
    }
    assert!(matches!(verdict, Some(Verdict::Down { never_ran: false, .. })), "{verdict:?}");
    assert_eq!(store.shards[&shard_of(&key_id(&key("k")))], (5, value));
}

#[test]
fn an_outcome_survives_an_outage() {
    let mut store = Store::default();
    let mut first = node(1);
    claim(&mut first, &mut store, Duration::ZERO, 1, 1);
    store.down = true;
    let mut answers = settle(&mut first, &mut store, Duration::ZERO, 1, answer(10));
    let later = Duration::from_millis(500);
    answers.extend(step(&mut first, &mut store, later, Message::Wake));
    assert_eq!(
        answers,
        [Action::Settled { request: 1, kept: false }],
        "the caller is answered during the outage"
    );
    let repeat = claim(&mut first, &mut store, later, 2, 1);
    assert_eq!(repeat, Some(Verdict::Replay(answer(10))), "this node still holds the outcome");
    store.down = false;
    let answers = step(&mut first, &mut store, later + HOUR / 60, Message::Wake);
    assert_eq!(answers, [], "the caller is not answered twice");
    let repeat = claim(&mut node(2), &mut store, later, 3, 1);
    assert_eq!(repeat, Some(Verdict::Replay(answer(10))), "the outcome is in the store");
}
