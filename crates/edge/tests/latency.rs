//! How long a node waits for reports and events, by how late they usually arrive.

use std::time::Duration;

use edge::{Cadence, Latency};
use yare::parameterized;

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

struct Case {
    /// Times that answers take in turn, milliseconds.
    answers: &'static [u64],
    /// Least and longest wait after many of them.
    waits: (u64, u64),
}

// Guards against a node that takes its own delay for the silence of targets, and against one that no
// longer finds lost targets because it is late.
#[parameterized(
    prompt = { Case { answers: &[1, 2, 3], waits: (35, 35) } },
    late = { Case { answers: &[40, 60], waits: (60, 150) } },
    irregular = { Case { answers: &[2, 2, 90], waits: (90, 200) } },
    very_late = { Case { answers: &[240], waits: (200, 200) } },
)]
fn wait_follows_the_time_that_answers_take(case: Case) {
    let mut latency = Latency::default();
    assert_eq!(latency.limit(), ms(35));
    case.answers.iter().cycle().take(300).for_each(|answer| latency.record(ms(*answer)));
    let limit = latency.limit();
    assert!((ms(case.waits.0)..=ms(case.waits.1)).contains(&limit), "{limit:?}");
}

// Guards against a wait that stays long after a node has caught up.
#[test]
fn wait_becomes_short_again() {
    let mut latency = Latency::default();
    (0..100).for_each(|_| latency.record(ms(150)));
    (0..100).for_each(|_| latency.record(ms(2)));
    assert_eq!(latency.limit(), ms(35));
}

// Guards against engines that are asked for reports at each event of slow ones, and against stalls
// that are found late where events are frequent.
#[parameterized(
    frequent = { Case { answers: &[40, 60, 80], waits: (100, 100) } },
    slow = { Case { answers: &[110, 120, 130], waits: (125, 135) } },
    very_slow = { Case { answers: &[400], waits: (199, 200) } },
)]
fn silence_that_may_show_a_stall_follows_the_events(case: Case) {
    let mut cadence = Cadence::default();
    assert_eq!(cadence.limit(), ms(100));
    case.answers.iter().cycle().take(30_000).for_each(|interval| cadence.record(ms(*interval)));
    let limit = cadence.limit();
    assert!((ms(case.waits.0)..=ms(case.waits.1)).contains(&limit), "{limit:?}");
}
