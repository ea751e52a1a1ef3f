//! Requests that count as answered recently.

use suspect::Answered;
use yare::parameterized;

/// A request that is answered once, and other answers after it.
struct Case {
    others: u64,
    /// Whether it is answered again between the others.
    again: bool,
    known: bool,
}

#[parameterized(
    just_now = { Case { others: 0, again: false, known: true } },
    some_time_ago = { Case { others: 4_000, again: false, known: true } },
    long_ago = { Case { others: 5_000, again: false, known: false } },
    answered_often = { Case { others: 20_000, again: true, known: true } },
)]
fn recent_answers_are_known(case: Case) {
    let mut answered = Answered::default();
    answered.record(0);
    for other in 1..=case.others {
        answered.record(other);
        if case.again && other % 1_000 == 0 {
            answered.record(0);
        }
    }
    assert_eq!(answered.contains(0), case.known);
    assert!(!answered.contains(u64::MAX));
}
