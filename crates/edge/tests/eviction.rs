//! Which connection is closed when there is no room for another one.

use std::time::Duration;

use edge::{Phase, STALL_TIME, Standing, UNREAD_TIME, stalest};
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
