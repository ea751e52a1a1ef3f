//! The client, tested against the stand-in for the platform's store.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Receiver, channel};
use std::thread;
use std::time::Duration;

use standin::platform::{Command, Outage, Platform};
use store::{
    Cas, Client, Commit, Follower, Guard, Purpose, Revision, Settings, State, Update, Write,
};
use yare::parameterized;

const KEY: &str = "magnolia/preset";
/// Time within which an expected update must arrive.
const UPDATE_TIMEOUT: Duration = Duration::from_secs(20);

fn setup() -> (Platform, Client) {
    let platform = Platform::builder().start().expect("a platform");
    let settings = Settings::builder(&platform.address().to_string())
        .watch_idle_timeout(Duration::from_millis(300))
        .poll_interval(Duration::from_millis(600))
        .build();
    (platform, Client::new(settings))
}

fn write(expected: Revision, value: &[u8]) -> Write<'_> {
    Write { key: KEY, expected, value: Some(value), lease: None, guard: None }
}

fn written(client: &Client, expected: Revision, value: &[u8]) -> Revision {
    match client.cas(Purpose::Preset, write(expected, value)) {
        Ok(Cas::Written { revision }) => revision,
        other => panic!("{other:?}"),
    }
}

#[test]
fn conflict_returns_the_current_entry() {
    let (_platform, client) = setup();
    let revision = written(&client, 0, b"a");
    let answer = client.cas(Purpose::Preset, write(0, b"b")).expect("an answer");
    let Cas::Conflict { current: Some(entry), .. } = answer else { panic!("{answer:?}") };
    assert_eq!((entry.value, entry.revision, entry.version), (b"a".to_vec(), revision, 1));
    let usage = client.counts().usage(Purpose::Preset);
    assert_eq!((usage.writes, usage.reads, usage.failed), (2, 0, 0));
}

#[test]
fn changed_guard_prevents_a_write() {
    let (_platform, client) = setup();
    let first = written(&client, 0, b"a");
    let guard = Some(Guard { key: KEY, revision: first });
    let other = Write { key: "magnolia/order/e1", guard, ..write(0, b"x") };
    written(&client, first, b"b");
    let answer = client.cas(Purpose::Order, other).expect("an answer");
    assert!(matches!(answer, Cas::Conflict { current: None, .. }), "{answer:?}");
}

#[parameterized(
    answer_lost = { true },
    call_lost = { false },
)]
fn lost_answer_is_resolved_by_the_nonce(applied: bool) {
    let (platform, client) = setup();
    platform.command(Command::Lose { prefix: KEY.into(), count: 1, applied });
    let commit =
        client.commit(Purpose::Preset, write(0, b"nonce-1"), b"nonce-1").expect("a known outcome");
    let entry = client.range(Purpose::Preset, KEY).expect("an answer").expect("an entry");
    assert_eq!(commit, Commit::Written { revision: entry.revision });
    assert_eq!(entry.version, 1, "the write took effect once");
}

#[test]
fn without_history_an_overwritten_write_stays_unknown() {
    let (platform, client) = setup();
    let first = written(&client, 0, b"before");
    platform.command(Command::Lose { prefix: KEY.into(), count: 1, applied: true });
    let lost = client.cas(Purpose::Preset, write(first, b"nonce-2")).expect_err("lost");
    assert_eq!(lost.effect, store::Effect::Possible);
    let second = client.range(Purpose::Preset, KEY).expect("an answer").expect("an entry").revision;
    written(&client, second, b"of another operator");
    platform.command(Command::Lose { prefix: KEY.into(), count: 1, applied: false });
    let commit = client.commit(Purpose::Preset, write(first, b"nonce-2"), b"nonce-2");
    assert!(matches!(commit, Ok(Commit::Unknown(_))), "{commit:?}");
}

#[test]
fn end_of_a_lease_removes_its_key() {
    let (_platform, client) = setup();
    let lease = client.grant(Purpose::Order, Duration::from_secs(5)).expect("a lease");
    let holder = Write { key: "magnolia/holder/order", lease: Some(lease), ..write(0, b"n1") };
    client.cas(Purpose::Order, holder).expect("written");
    assert!(client.keepalive(Purpose::Order, lease).expect("an answer") > Duration::ZERO);
    client.revoke(Purpose::Order, lease).expect("revoked");
    assert_eq!(client.range(Purpose::Order, "magnolia/holder/order"), Ok(None));
}

#[test]
fn health_reports_an_outage() {
    let (platform, client) = setup();
    platform.command(Command::Outage(Outage::Refuse));
    for _ in 0..3 {
        client.range(Purpose::Ledger, KEY).expect_err("an outage");
    }
    assert_eq!(client.health().state(), State::Down);
    platform.command(Command::Outage(Outage::Off));
    client.range(Purpose::Ledger, KEY).expect("an answer");
    assert_eq!(client.health().state(), State::Up);
}

/// Receives updates until `count` changes have arrived, and returns their revisions.
fn changes(updates: &Receiver<Update>, count: usize) -> Vec<Revision> {
    let mut revisions = Vec::new();
    while revisions.len() < count {
        if let Update::Changed(entry) = updates.recv_timeout(UPDATE_TIMEOUT).expect("an update") {
            revisions.push(entry.revision);
        }
    }
    revisions
}

/// Receives updates until one has `revision`.
fn await_revision(updates: &Receiver<Update>, revision: Revision) {
    loop {
        match updates.recv_timeout(UPDATE_TIMEOUT).expect("an update") {
            Update::Current(Some(entry)) | Update::Changed(entry) if entry.revision == revision => {
                return;
            }
            _ => {}
        }
    }
}

#[test]
fn follower_misses_no_revision_when_its_watch_is_cut() {
    let (platform, client) = setup();
    let stop = AtomicBool::new(false);
    let (sender, updates) = channel();
    thread::scope(|scope| {
        scope.spawn(|| {
            let mut sink = move |update| drop(sender.send(update));
            Follower::new(&client, Purpose::Preset, KEY).run(&stop, &mut sink);
        });
        assert_eq!(updates.recv_timeout(UPDATE_TIMEOUT), Ok(Update::Current(None)));
        let mut revisions = vec![0];
        for round in 0..6_u8 {
            let last = revisions[revisions.len() - 1];
            revisions.push(written(&client, last, &[round]));
            if round % 2 == 0 {
                platform.command(Command::CutWatches);
            }
        }
        assert_eq!(changes(&updates, 6), revisions[1..]);
        stop.store(true, Ordering::Relaxed);
    });
}

#[test]
fn follower_continues_after_a_compaction() {
    let (platform, client) = setup();
    let first = written(&client, 0, b"a");
    let second = written(&client, first, b"b");
    let stop = AtomicBool::new(false);
    let (sender, updates) = channel();
    platform.command(Command::Compact);
    thread::scope(|scope| {
        scope.spawn(|| {
            let mut sink = move |update| drop(sender.send(update));
            Follower::from_revision(&client, Purpose::Preset, KEY, first).run(&stop, &mut sink);
        });
        await_revision(&updates, second);
        let third = written(&client, second, b"c");
        await_revision(&updates, third);
        stop.store(true, Ordering::Relaxed);
    });
}
