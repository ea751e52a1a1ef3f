//! The operator's command: repeated calls, conflicts, reused names and the spread of a change.

mod common;

use common::{document, ms};
use preset::{Commit, Input, Outcome, Output, Request, Stored};

/// Starts a command and answers its first two calls.
fn start(
    name: &str,
    change: &str,
    base: Option<u64>,
    value: Option<Vec<u8>>,
) -> (Commit, Vec<Output>) {
    let mut request = Request::new(document(name), change.into(), ms(0));
    request.base = base;
    let mut commit = Commit::new(request);
    let mut outputs = Vec::new();
    commit.step(ms(0), Input::Start, &mut outputs);
    commit.step(ms(0), Input::Status([("n1".into(), Some(4))].into()), &mut outputs);
    outputs.clear();
    commit.step(ms(0), Input::Read { value, revision: 9 }, &mut outputs);
    (commit, outputs)
}

/// Returns the stored value after change `one` (version 5) and change `two` (version 6).
fn two_changes() -> Vec<u8> {
    let one = Stored::following(None, &document("x"), &"one".into(), 5);
    Stored::following(Some(&one), &document("y"), &"two".into(), 6).encode()
}

#[test]
fn new_version_is_above_those_of_the_store_and_all_nodes() {
    let (_, outputs) = start("x", "one", None, None);
    let Some(Output::Write { value, expected: 9 }) = outputs.first() else { panic!("{outputs:?}") };
    assert_eq!(Stored::decode(value).unwrap().preset.version, 5);
}

#[test]
fn repeated_call_is_accepted_under_its_first_version_without_a_write() {
    let (mut commit, outputs) = start("x", "one", None, Some(two_changes()));
    assert_eq!(outputs, vec![Output::Status]);
    let mut outputs = Vec::new();
    commit.step(ms(1), Input::Status([("n1".into(), Some(6))].into()), &mut outputs);
    let [Output::Report(Outcome::Accepted { version: 5, stored: 6, settled: true, .. })] =
        &outputs[..]
    else {
        panic!("{outputs:?}")
    };
}

#[test]
fn name_of_another_document_is_refused() {
    let (_, outputs) = start("z", "one", None, Some(two_changes()));
    assert_eq!(outputs, vec![Output::Report(Outcome::Reused { version: 5 })]);
}

#[test]
fn conflict_with_an_older_base_returns_the_preset_in_force() {
    let (commit, outputs) = start("z", "three", Some(5), Some(two_changes()));
    let [Output::Report(Outcome::Conflict(conflict))] = &outputs[..] else { panic!("{outputs:?}") };
    let in_force = conflict.in_force.as_ref().unwrap();
    assert_eq!((in_force.version, in_force.change.as_str(), conflict.base), (6, "two", 5));
    assert!(commit.is_done());
}

#[test]
fn lost_answer_is_resolved_by_repeating_the_write() {
    let (mut commit, first) = start("z", "three", None, Some(two_changes()));
    let mut outputs = Vec::new();
    commit.step(ms(1), Input::WriteLost, &mut outputs);
    commit.step(ms(300), Input::Wake, &mut outputs);
    outputs.clear();
    // The write has not taken effect yet but still may, so it is repeated to get a definite answer.
    commit.step(ms(301), Input::Read { value: Some(two_changes()), revision: 9 }, &mut outputs);
    assert_eq!(outputs, first);
}

#[test]
fn change_settles_when_a_majority_has_it_for_the_freshness() {
    let (mut commit, _) = start("z", "three", None, Some(two_changes()));
    let mut outputs = Vec::new();
    commit.step(ms(1), Input::Written, &mut outputs);
    let mut settled = Vec::new();
    let nodes = |count: u64| {
        let version = |index| (format!("n{index}").into(), (index < count).then_some(7));
        Input::Status((0..4).map(version).collect())
    };
    for (at, count) in [(10, 2), (20, 3), (5_019, 3), (5_021, 3)] {
        outputs.clear();
        commit.step(ms(at), nodes(count), &mut outputs);
        let Output::Report(Outcome::Accepted { settled: now, in_force, behind, .. }) = &outputs[0]
        else {
            panic!("{outputs:?}")
        };
        assert_eq!((in_force.len() as u64, behind.len() as u64), (count, 4 - count));
        settled.push(*now);
    }
    assert_eq!(settled, [false, false, false, true]);
}
