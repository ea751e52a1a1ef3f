//! Attempts that the loss of a target can have ended.

use std::time::Duration;

use suspect::{Interruption, Interruptions};
use yare::parameterized;

/// An attempt on the path a, b, and the loss of a target.
struct Case {
    sent: u64,
    ended: u64,
    lost: &'static str,
    lost_at: u64,
    taken: bool,
}

// Times are in milliseconds.
#[parameterized(
    first_target = { Case { sent: 100, ended: 150, lost: "a", lost_at: 151, taken: true } },
    later_target = { Case { sent: 100, ended: 150, lost: "b", lost_at: 400, taken: true } },
    another_target = { Case { sent: 100, ended: 150, lost: "c", lost_at: 151, taken: false } },
    long_after = { Case { sent: 100, ended: 150, lost: "a", lost_at: 1_200, taken: false } },
    seen_before_it_was_sent = { Case { sent: 100, ended: 150, lost: "a", lost_at: 90, taken: false } },
)]
fn loss_of_a_target_takes_the_attempts_that_it_ended(case: Case) {
    let at = Duration::from_millis;
    let mut interruptions = Interruptions::default();
    let interruption = Interruption {
        fingerprint: 1,
        parts: Vec::new(),
        targets: vec!["a".into(), "b".into()],
        sent_at: at(case.sent),
        ended_at: at(case.ended),
        before_output: true,
    };
    interruptions.push(interruption.clone());
    let taken = interruptions.take_lost_with(at(case.lost_at), case.lost);
    assert_eq!(taken, if case.taken { vec![interruption] } else { vec![] });
    assert!(
        interruptions.take_lost_with(at(case.lost_at), "b").is_empty() || !case.taken,
        "once only"
    );
}
