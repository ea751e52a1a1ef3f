//! The operator's command: repeats, conflicts, reused names and how a change spreads.

mod common;

use common::{document, ms};
use preset::{Commit, Input, Outcome, Output, Request, Stored};

/// Begins a command and answers its first two questions.
fn begin(
    name: &str,
    change: &str,
    base: Option<u64>,
    value: Option<Vec<u8>>,
) -> (Commit, Vec<Output>) {
    let mut request = Request::new(document(name), change.into(), ms(0));
    request.base = base;
    let mut commit = Commit::new(request);
    let mut wants = Vec::new();
    commit.step(ms(0), Input::Start, &mut wants);
    commit.step(ms(0), Input::Status([("n1".into(), Some(4))].into()), &mut wants);
    wants.clear();
    commit.step(ms(0), Input::Read { value, revision: 9 }, &mut wants);
    (commit, wants)
}

/// The store's value after change `one` (version 5) and change `two` (version 6).
fn two_changes() -> Vec<u8> {
    let one = Stored::following(None, &document("x"), &"one".into(), 5);
    Stored::following(Some(&one), &document("y"), &"two".into(), 6).encode()
}

#[test]
fn the_version_is_above_the_stores_and_all_nodes() {
    let (_, wants) = begin("x", "one", None, None);
    let Some(Output::Write { value, expected: 9 }) = wants.first() else { panic!("{wants:?}") };
    assert_eq!(Stored::decode(value).unwrap().preset.version, 5);
}

#[test]
fn a_repeated_call_is_accepted_under_its_first_version_and_writes_nothing() {
    let (mut commit, wants) = begin("x", "one", None, Some(two_changes()));
    assert_eq!(wants, vec![Output::Status]);
    let mut wants = Vec::new();
    commit.step(ms(1), Input::Status([("n1".into(), Some(6))].into()), &mut wants);
    let [Output::Report(Outcome::Accepted { version: 5, stored: 6, settled: true, .. })] =
        &wants[..]
    else {
        panic!("{wants:?}")
    };
}

#[test]
fn a_name_used_for_another_document_is_refused() {
    let (_, wants) = begin("z", "one", None, Some(two_changes()));
    assert_eq!(wants, vec![Output::Report(Outcome::Reused { version: 5 })]);
}

#[test]
fn an_operator_who_built_on_an_older_version_sees_what_is_in_force() {
    let (commit, wants) = begin("z", "three", Some(5), Some(two_changes()));
    let [Output::Report(Outcome::Conflict(conflict))] = &wants[..] else { panic!("{wants:?}") };
    let in_force = conflict.in_force.as_ref().unwrap();
    assert_eq!((in_force.version, in_force.change.as_str(), conflict.base), (6, "two", 5));
    assert!(commit.is_done());
}

#[test]
fn a_lost_answer_is_settled_by_the_same_write_again() {
    let (mut commit, first) = begin("z", "three", None, Some(two_changes()));
    let mut wants = Vec::new();
    commit.step(ms(1), Input::WriteLost, &mut wants);
    commit.step(ms(300), Input::Wake, &mut wants);
    wants.clear();
    // The write is not there yet: it may still arrive, so a definite answer is forced.
    commit.step(ms(301), Input::Read { value: Some(two_changes()), revision: 9 }, &mut wants);
    assert_eq!(wants, first);
}

#[test]
fn a_change_is_settled_on_all_nodes_or_on_most_for_the_freshness() {
    let (mut commit, _) = begin("z", "three", None, Some(two_changes()));
    let mut wants = Vec::new();
    commit.step(ms(1), Input::Written, &mut wants);
    let mut settled = Vec::new();
    let nodes = |count: u64| {
        let told = |index| (format!("n{index}").into(), (index < count).then_some(7));
        Input::Status((0..4).map(told).collect())
    };
    for (at, count) in [(10, 2), (20, 3), (5_019, 3), (5_021, 3)] {
        wants.clear();
        commit.step(ms(at), nodes(count), &mut wants);
        let Output::Report(Outcome::Accepted { settled: now, in_force, behind, .. }) = &wants[0]
        else {
            panic!("{wants:?}")
        };
        assert_eq!((in_force.len() as u64, behind.len() as u64), (count, 4 - count));
        settled.push(*now);
    }
    assert_eq!(settled, [false, false, false, true]);
}
