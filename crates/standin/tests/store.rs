//! Semantics of the key-value store, in virtual time.

use std::cmp::Ordering;
use std::time::Duration;

use standin::platform::{
    Compare, Comparison, Entry, Failure, MAX_VALUE_BYTES, Op, Outcome, Range, Store,
};
use yare::parameterized;

const EQUAL: &[Ordering] = &[Ordering::Equal];

fn key(text: &str) -> Range {
    Range { start: text.into(), end: Vec::new() }
}

fn put(key: &str, value: &str, lease: i64) -> Op {
    Op::Put { key: key.into(), value: value.into(), lease }
}

fn read(store: &mut Store, now: u64, range: Range) -> Vec<Entry> {
    let op = Op::Range { range, limit: 0 };
    match store.run(Duration::from_secs(now), &op) {
        Ok(Outcome::Entries { entries, .. }) => entries,
        other => panic!("a read gives entries, not {other:?}"),
    }
}

fn store() -> Store {
    let mut store = Store::default();
    store.run(Duration::ZERO, &put("a", "one", 0)).expect("a write");
    store.run(Duration::ZERO, &put("a", "two", 0)).expect("a write");
    store
}

#[parameterized(
    right_revision = { "a", Comparison::Modified(3), true },
    old_revision = { "a", Comparison::Modified(2), false },
    right_creation = { "a", Comparison::Created(2), true },
    absent = { "b", Comparison::Created(0), true },
    present = { "a", Comparison::Created(0), false },
    right_version = { "a", Comparison::Version(2), true },
    right_value = { "a", Comparison::Value(b"two".to_vec()), true },
    other_value = { "a", Comparison::Value(b"one".to_vec()), false },
    value_of_absent = { "b", Comparison::Value(Vec::new()), false },
)]
fn a_transaction_writes_only_when_its_condition_holds(
    name: &str,
    comparison: Comparison,
    holds: bool,
) {
    let mut store = store();
    let condition = Compare { key: name.into(), comparison, accepts: EQUAL };
    let then = [put(name, "new", 0)];
    let result = store.transact(Duration::ZERO, &[condition], &then, &[]);
    assert_eq!(result.map(|(succeeded, _)| succeeded), Ok(holds));
    assert_eq!(store.revision(), if holds { 4 } else { 3 });
}

#[test]
fn of_two_writers_with_one_revision_the_first_wins() {
    let mut store = store();
    let condition =
        Compare { key: b"a".to_vec(), comparison: Comparison::Modified(3), accepts: EQUAL };
    let results = ["first", "second"].map(|value| {
        let then = [put("a", value, 0)];
        let result = store.transact(Duration::ZERO, std::slice::from_ref(&condition), &then, &[]);
        result.expect("valid").0
    });
    assert_eq!(results, [true, false]);
    assert_eq!(read(&mut store, 0, key("a"))[0].value, b"first");
}

#[test]
fn a_lease_that_is_not_renewed_takes_its_keys_with_it() {
    let mut store = Store::default();
    let lease = store.grant(Duration::ZERO, 0, Duration::from_secs(5));
    store.run(Duration::ZERO, &put("holder", "n1", lease)).expect("a write");
    assert_eq!(store.renew(Duration::from_secs(4), lease), Some(Duration::from_secs(5)));
    assert_eq!(read(&mut store, 8, key("holder")).len(), 1);
    assert_eq!(read(&mut store, 9, key("holder")).len(), 0);
    assert_eq!(store.renew(Duration::from_secs(9), lease), None);
    let late = store.run(Duration::from_secs(9), &put("holder", "n1", lease));
    assert_eq!(late, Err(Failure::LeaseNotFound));
    let changes = store.changes(&key("holder"), 1).expect("kept");
    assert_eq!(changes.iter().map(|change| change.deleted).collect::<Vec<_>>(), [false, true]);
}

#[test]
fn a_revoked_lease_takes_its_keys_with_it() {
    let mut store = Store::default();
    let lease = store.grant(Duration::ZERO, 7, Duration::from_secs(5));
    store.run(Duration::ZERO, &put("holder", "n1", lease)).expect("a write");
    assert_eq!(store.revoke(Duration::ZERO, lease), Ok(()));
    assert_eq!(store.revoke(Duration::ZERO, lease), Err(Failure::LeaseNotFound));
    assert_eq!(read(&mut store, 0, key("holder")), []);
}

#[parameterized(
    largest = { MAX_VALUE_BYTES, Ok(Outcome::Put) },
    too_large = { MAX_VALUE_BYTES + 1, Err(Failure::TooLarge) },
)]
fn values_are_bounded(size: usize, expected: Result<Outcome, Failure>) {
    let mut store = Store::default();
    let op = Op::Put { key: b"a".to_vec(), value: vec![0; size], lease: 0 };
    assert_eq!(store.run(Duration::ZERO, &op), expected);
}

#[test]
fn a_refused_operation_undoes_the_whole_transaction() {
    let mut store = store();
    let then = [put("a", "three", 0), put("b", "x", 99)];
    assert_eq!(store.transact(Duration::ZERO, &[], &then, &[]), Err(Failure::LeaseNotFound));
    assert_eq!(read(&mut store, 0, key("a"))[0].value, b"two");
}

#[test]
fn changes_that_were_compacted_are_refused_and_later_ones_are_kept() {
    let mut store = store();
    store.compact(3);
    assert_eq!(store.changes(&key("a"), 2), Err(Failure::Compacted(3)));
    assert_eq!(store.changes(&key("a"), 3).expect("kept").len(), 1);
}

#[parameterized(
    prefix = { "p/", "p0", 2 },
    all = { "\0", "\0", 4 },
    single = { "p/1", "", 1 },
    reversed = { "p0", "p/", 0 },
)]
fn ranges_select_keys(start: &str, end: &str, count: usize) {
    let mut store = Store::default();
    for name in ["o", "p/1", "p/2", "q"] {
        store.run(Duration::ZERO, &put(name, "x", 0)).expect("a write");
    }
    let range = Range { start: start.into(), end: end.into() };
    assert_eq!(read(&mut store, 0, range).len(), count);
}
