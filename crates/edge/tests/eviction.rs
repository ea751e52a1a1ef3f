//! Which connection is closed when there is no room for another one.

use std::time::Duration;

use edge::{Capacity, Phase, STALL_TIME, Standing, UNREAD_TIME, stalest};
use yare::parameterized;

/// Time at which a connection is to be closed.
const NOW: Duration = Duration::from_secs(100);
const STALLED: Duration = STALL_TIME;
const RECENT: Duration = Duration::from_millis(149);
const LONG: Duration = Duration::from_secs(60);
const UNREAD: Duration = UNREAD_TIME;

use Phase::{Idle, Incomplete, Running, Unread};

// Guards against a flood of stalled connections that is never closed, and against the end of one
// whose request is whole, progresses, or whose caller may still count on it.
#[parameterized(
    none = { &[], None },
    stalled = { &[(Incomplete, STALLED)], Some(0) },
    progresses = { &[(Incomplete, RECENT)], None },
    longest_without_progress = { &[(Incomplete, STALLED), (Incomplete, LONG), (Incomplete, RECENT)], Some(1) },
    whole_request = { &[(Running, LONG)], None },
    whole_request_beside_a_stalled_one = { &[(Running, LONG), (Incomplete, STALLED)], Some(1) },
    idle = { &[(Idle, LONG)], Some(0) },
    idle_comes_last = { &[(Idle, LONG), (Incomplete, STALLED)], Some(1) },
    idle_beside_progress = { &[(Incomplete, RECENT), (Idle, STALLED)], Some(1) },
    just_idle = { &[(Idle, RECENT)], None },
    slow_reader = { &[(Unread, STALLED)], None },
    no_reader = { &[(Unread, UNREAD)], Some(0) },
    no_reader_beside_a_head = { &[(Incomplete, UNREAD), (Unread, LONG)], Some(1) },
)]
fn the_stalest_is_closed(connections: &[(Phase, Duration)], closed: Option<usize>) {
    let standings = connections.iter().map(|&(phase, age)| Standing { phase, since: NOW - age });
    assert_eq!(stalest(NOW, standings.enumerate()), closed);
}

// Guards against ports that leave no descriptors for targets, the store and files, or that take more
// connections than fit into the memory.
#[parameterized(
    descriptors_bound = { 500, 260, 150, 37 },
    memory_bounds = { 2_870, 112, 683, 170 },
    usual = { 2_870, 260, 1_335, 333 },
    no_limit_of_descriptors = { usize::MAX, 260, 1_586, 396 },
    fewer_than_the_reserve = { 100, 260, 16, 16 },
    no_memory = { 2_870, 0, 16, 16 },
)]
fn ports_are_bounded(max_fds: usize, memory_mb: usize, callers: usize, nodes: usize) {
    assert_eq!(Capacity::new(max_fds, memory_mb * 1_000_000), Capacity { callers, nodes });
}
