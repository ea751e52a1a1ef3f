//! The client against the platform's stand-in.

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
/// Longest wait for something that must come.
const PATIENCE: Duration = Duration::from_secs(20);

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
fn a_conflict_shows_what_is_there() {
    let (_platform, client) = setup();
    let revision = written(&client, 0, b"a");
    let answer = client.cas(Purpose::Preset, write(0, b"b")).expect("an answer");
    let Cas::Conflict { current: Some(entry), .. } = answer else { panic!("{answer:?}") };
    assert_eq!((entry.value, entry.revision, entry.version), (b"a".to_vec(), revision, 1));
    let spent = client.counts().usage(Purpose::Preset);
    assert_eq!((spent.writes, spent.reads, spent.failed), (2, 0, 0));
}

#[test]
fn a_guard_that_has_changed_stops_a_write() {
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
fn a_lost_answer_is_settled_by_the_nonce(applied: bool) {
    let (platform, client) = setup();
    platform.command(Command::Lose { prefix: KEY.into(), count: 1, applied });
    let commit = client.commit(Purpose::Preset, write(0, b"nonce-1"), b"nonce-1").expect("settled");
    let entry = client.range(Purpose::Preset, KEY).expect("read").expect("there");
    assert_eq!(commit, Commit::Written { revision: entry.revision });
    assert_eq!(entry.version, 1, "it took effect once");
}

#[test]
fn without_history_a_write_under_later_ones_stays_unknown() {
    let (platform, client) = setup();
    let first = written(&client, 0, b"before");
    platform.command(Command::Lose { prefix: KEY.into(), count: 1, applied: true });
    let lost = client.cas(Purpose::Preset, write(first, b"nonce-2")).expect_err("lost");
    assert_eq!(lost.effect, store::Effect::Possible);
    let second = client.range(Purpose::Preset, KEY).expect("read").expect("there").revision;
    written(&client, second, b"of another operator");
    platform.command(Command::Lose { prefix: KEY.into(), count: 1, applied: false });
    let commit = client.commit(Purpose::Preset, write(first, b"nonce-2"), b"nonce-2");
    assert!(matches!(commit, Ok(Commit::Unknown(_))), "{commit:?}");
}

#[test]
fn a_lease_takes_its_key_along() {
    let (_platform, client) = setup();
    let lease = client.grant(Purpose::Order, Duration::from_secs(5)).expect("a lease");
    let holder = Write { key: "magnolia/holder/order", lease: Some(lease), ..write(0, b"n1") };
    client.cas(Purpose::Order, holder).expect("written");
    assert!(client.keepalive(Purpose::Order, lease).expect("alive") > Duration::ZERO);
    client.revoke(Purpose::Order, lease).expect("revoked");
    assert_eq!(client.range(Purpose::Order, "magnolia/holder/order"), Ok(None));
}

#[test]
fn an_outage_is_visible() {
    let (platform, client) = setup();
    platform.command(Command::Outage(Outage::Refuse));
    for _ in 0..3 {
        client.range(Purpose::Ledger, KEY).expect_err("an outage");
    }
    assert_eq!(client.health().state(), State::Down);
    platform.command(Command::Outage(Outage::Off));
    client.range(Purpose::Ledger, KEY).expect("it answers");
    assert_eq!(client.health().state(), State::Up);
}

/// Receives updates until `until` changes have come, and returns their revisions.
fn changes(updates: &Receiver<Update>, until: usize) -> Vec<Revision> {
    let mut revisions = Vec::new();
    while revisions.len() < until {
        if let Update::Changed(entry) = updates.recv_timeout(PATIENCE).expect("an update") {
            revisions.push(entry.revision);
        }
    }
    revisions
}

/// Receives updates until one shows `revision`.
fn await_revision(updates: &Receiver<Update>, revision: Revision) {
    loop {
        match updates.recv_timeout(PATIENCE).expect("an update") {
            Update::Current(Some(entry)) | Update::Changed(entry) if entry.revision == revision => {
                return;
            }
            _ => {}
        }
    }
}

#[test]
fn a_follower_misses_no_revision_when_its_watch_is_cut() {
    let (platform, client) = setup();
    let stop = AtomicBool::new(false);
    let (sender, updates) = channel();
    thread::scope(|scope| {
        scope.spawn(|| {
            let mut sink = move |update| drop(sender.send(update));
            Follower::new(&client, Purpose::Preset, KEY).run(&stop, &mut sink);
        });
        assert_eq!(updates.recv_timeout(PATIENCE), Ok(Update::Current(None)));
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
fn a_follower_goes_on_after_a_compaction() {
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
