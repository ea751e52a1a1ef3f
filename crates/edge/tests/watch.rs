//! Age of a node's known store state while the store answers.

use std::time::Duration;

use edge::{UNREADY_AFTER, Watch, batch_pause};
use yare::parameterized;

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Time that an answer takes in addition to the wait.
const ANSWER: Duration = ms(10);

/// Time for which the store is watched.
const PERIOD: Duration = ms(20_000);

/// Limit on the age of the known state.
struct Limit {
    /// Age at which a node stops serving.
    max_age: Duration,
    /// Longest wait of a watch that suffices for it.
    wait: Duration,
}

/// Limit of a node that refuses no keys before it reports that it is not ready.
const UNREADY: Limit = Limit { max_age: UNREADY_AFTER, wait: ms(2000) };
/// Limit of a node that refuses keys because a withdrawn key may be accepted for 2.5 s only.
const SHORT: Limit = Limit { max_age: ms(1800), wait: ms(800) };
/// Limit of a node for which a withdrawn key may be accepted for 1.1 s only.
const SHORTEST: Limit = Limit { max_age: ms(400), wait: ms(100) };

struct Case {
    limit: Limit,
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
    quiet = { Case { limit: UNREADY, vms: 32, changes: &[] } },
    at_the_end_of_a_wait = { Case { limit: UNREADY, vms: 32, changes: &[3_900] } },
    small_site = { Case { limit: UNREADY, vms: 4, changes: &[3_990, 9_800] } },
    one_after_another = { Case { limit: UNREADY, vms: 32, changes: &[3_900, 4_000, 4_800, 5_000, 6_900, 7_700] } },
    in_the_pause = { Case { limit: UNREADY, vms: 32, changes: &[3_900, 4_500, 5_300, 6_100, 6_900, 7_700, 8_500] } },
    short_and_quiet = { Case { limit: SHORT, vms: 32, changes: &[] } },
    short_at_the_end_of_a_wait = { Case { limit: SHORT, vms: 32, changes: &[3_230] } },
    short_at_a_small_site = { Case { limit: SHORT, vms: 4, changes: &[3_230, 9_800] } },
    short_one_after_another = { Case { limit: SHORT, vms: 32, changes: &[3_230, 4_000, 4_800, 5_000, 6_900, 7_700] } },
    shortest = { Case { limit: SHORTEST, vms: 32, changes: &[3_230, 4_000, 4_800, 5_000, 6_900, 7_700] } },
)]
fn node_stays_ready_while_the_store_answers(case: Case) {
    let mut now = ms(0);
    let mut known = ms(0);
    let mut seen = ms(0);
    let mut calls = 0;
    while now < PERIOD {
        let watch = Watch::new(now, Some(known), case.limit.max_age);
        let until = now + watch.wait();
        let change = case.changes.iter().map(|at| ms(*at)).find(|at| *at > seen && *at <= until);
        let answered = change.map_or(until, |at| at.max(now)) + ANSWER;
        let age = answered - known;
        assert!(age < case.limit.max_age, "{age:?} at {answered:?}");
        known = watch.known_until(answered, change.is_some());
        seen = seen.max(if change.is_some() { answered } else { ms(0) });
        now = answered;
        if change.is_some() {
            let paused = now + batch_pause(case.vms, case.limit.max_age);
            assert!(paused - known < case.limit.max_age, "{:?} at {paused:?}", paused - known);
            now = paused;
        }
        calls += 1;
    }
    let quiet = PERIOD.as_millis() / case.limit.wait.as_millis();
    let most = 1 + quiet as usize + 3 * case.changes.len();
    assert!(calls <= most, "{calls} calls");
}
