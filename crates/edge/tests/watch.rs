//! Age of a node's known store state while the store answers.

use std::time::Duration;

use edge::{UNREADY_AFTER, Watch, batch_pause};
use yare::parameterized;

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Time that an answer takes in addition to the wait.
const ANSWER: Duration = ms(10);

struct Case {
    /// Number of nodes that watch the store.
    vms: usize,
    /// Times of changes in the store, milliseconds.
    changes: &'static [u64],
}

/// Guards against nodes that become unready although the store answers. After a quiet time a
/// change arrives, and its answer proves only the state at the time of the call. With the pause and
/// a full wait after it, all nodes considered their state too old at the same time, reported that
/// they were not ready and refused keys (grown Kinywaji quiet-1, second 18: 40 requests refused
/// twice).
#[parameterized(
    quiet = { Case { vms: 32, changes: &[] } },
    at_the_end_of_a_wait = { Case { vms: 32, changes: &[3_900] } },
    small_site = { Case { vms: 4, changes: &[3_990, 9_800] } },
    one_after_another = { Case { vms: 32, changes: &[3_900, 4_000, 4_800, 5_000, 6_900, 7_700] } },
    in_the_pause = { Case { vms: 32, changes: &[3_900, 4_500, 5_300, 6_100, 6_900, 7_700, 8_500] } },
)]
fn node_stays_ready_while_the_store_answers(case: Case) {
    let mut now = ms(0);
    let mut known = ms(0);
    let mut seen = ms(0);
    let mut calls = 0;
    while now < ms(20_000) {
        let watch = Watch::new(now, Some(known));
        let until = now + watch.wait();
        let change = case.changes.iter().map(|at| ms(*at)).find(|at| *at > seen && *at <= until);
        let answered = change.map_or(until, |at| at.max(now)) + ANSWER;
        let age = answered - known;
        assert!(age < UNREADY_AFTER, "{age:?} at {answered:?}");
        known = watch.known_until(answered, change.is_some());
        seen = seen.max(if change.is_some() { answered } else { ms(0) });
        now = answered;
        if change.is_some() {
            let paused = now + batch_pause(case.vms);
            assert!(paused - known < UNREADY_AFTER, "{:?} at {paused:?}", paused - known);
            now = paused;
        }
        calls += 1;
    }
    let most = 11 + 3 * case.changes.len();
    assert!(calls <= most, "{calls} calls");
}
