//! Whether a caller whose key cannot be checked here is sent on to other nodes.

use std::time::Duration;

use edge::Reachability;
use yare::parameterized;

struct Case {
    /// What was heard: when, in milliseconds, and whether the sender can check keys.
    heard: &'static [(u64, bool)],
    peers: usize,
    expected: bool,
}

/// Load pattern: some nodes are cut off from the store, from each other, or all of them are,
/// while callers with keys come to each. Nodes that were cut off asked callers back after half a
/// second, past the aim of their requests, though the others served.
#[parameterized(
    only_node = { Case { heard: &[], peers: 0, expected: false } },
    cut_off_alone = { Case { heard: &[], peers: 3, expected: true } },
    cut_off_for_a_while = { Case { heard: &[(8_000, false)], peers: 3, expected: true } },
    all_are_cut_off = { Case { heard: &[(9_800, false), (9_900, false)], peers: 3, expected: false } },
    one_still_checks = { Case { heard: &[(9_700, true), (9_900, false)], peers: 3, expected: true } },
    one_did_check = { Case { heard: &[(8_400, true), (9_900, false)], peers: 3, expected: false } },
)]
fn callers_are_sent_on_where_others_can_serve(case: Case) {
    let mut others = Reachability::default();
    for (at, checks_keys) in case.heard {
        others.record(Duration::from_millis(*at), *checks_keys);
    }
    let now = Duration::from_millis(10_000);
    assert_eq!(others.can_check_keys(now, case.peers), case.expected);
}
