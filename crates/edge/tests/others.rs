//! Whether a caller whose key cannot be checked here is referred to other nodes.

use std::time::Duration;

use edge::Reachability;
use yare::parameterized;

struct Case {
    /// Messages received: time in milliseconds, and whether the sender can check keys.
    heard: &'static [(u64, bool)],
    peers: usize,
    expected: bool,
}

/// Guards against long retry delays when some or all nodes are cut off from the store or from each
/// other. Nodes that were cut off told callers to retry after half a second, beyond the latency
/// goal of their requests, although the other nodes could serve them.
#[parameterized(
    only_node = { Case { heard: &[], peers: 0, expected: false } },
    cut_off_alone = { Case { heard: &[], peers: 3, expected: true } },
    cut_off_for_a_while = { Case { heard: &[(8_000, false)], peers: 3, expected: true } },
    all_are_cut_off = { Case { heard: &[(9_800, false), (9_900, false)], peers: 3, expected: false } },
    one_still_checks = { Case { heard: &[(9_700, true), (9_900, false)], peers: 3, expected: true } },
    one_did_check = { Case { heard: &[(8_400, true), (9_900, false)], peers: 3, expected: false } },
)]
fn callers_are_referred_to_nodes_that_can_check_keys(case: Case) {
    let mut others = Reachability::default();
    for (at, checks_keys) in case.heard {
        others.record(Duration::from_millis(*at), *checks_keys);
    }
    let now = Duration::from_millis(10_000);
    assert_eq!(others.can_check_keys(now, case.peers), case.expected);
}
