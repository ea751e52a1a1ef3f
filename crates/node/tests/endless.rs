//! Targets whose bytes have no end: the memory of the process stays bounded, callers are told the
//! truth in time, and others are served.

mod entry;
mod flood;

use std::time::Duration;

use flood::{DEADLINE, Site};
use platform_standin::{Call, Fault, Reply, Route};
use yare::parameterized;

/// How much later an answer may end.
const SLACK: Duration = Duration::from_millis(700);
/// Requests at once.
const CALLERS: usize = 6;
/// Most memory of the process, kilobytes.
const MOST_MEMORY_KB: u64 = 80 << 10;

struct Case {
    route: Route,
    trouble: Fault,
    /// Whether all targets have it, or one.
    all: bool,
    /// The status of answers; `None` where only their ends matter.
    status: Option<u16>,
    /// Whether answers are whole.
    whole: bool,
}

// Guards against bytes without end filling the memory, and against requests that never end.
#[parameterized(
    answers_flood = { 1, Case { route: Route::Safe, trouble: Fault::Floods, all: true, status: Some(502), whole: false } },
    booking_floods = { 2, Case { route: Route::Unsafe, trouble: Fault::Floods, all: true, status: Some(502), whole: false } },
    one_floods = { 3, Case { route: Route::Safe, trouble: Fault::Floods, all: false, status: Some(200), whole: true } },
    answers_drip = { 4, Case { route: Route::Unsafe, trouble: Fault::Drips, all: true, status: Some(504), whole: false } },
    failures_flood = { 5, Case { route: Route::Unsafe, trouble: Fault::FailsEndlessly, all: true, status: Some(502), whole: false } },
    refusals_flood = { 6, Case { route: Route::Unsafe, trouble: Fault::RefusesEndlessly, all: true, status: Some(503), whole: false } },
    heads_flood = { 7, Case { route: Route::Unsafe, trouble: Fault::EndlessHead, all: true, status: None, whole: false } },
    streams_flood = { 8, Case { route: Route::Resumable, trouble: Fault::Floods, all: true, status: None, whole: false } },
    one_stream_floods = { 9, Case { route: Route::Resumable, trouble: Fault::Floods, all: false, status: Some(200), whole: true } },
    streams_drip = { 10, Case { route: Route::Resumable, trouble: Fault::Drips, all: true, status: None, whole: false } },
    streams_fail_endlessly = { 11, Case { route: Route::Resumable, trouble: Fault::FailsEndlessly, all: true, status: Some(502), whole: false } },
    streams_refused_endlessly = { 12, Case { route: Route::Resumable, trouble: Fault::RefusesEndlessly, all: true, status: Some(503), whole: false } },
)]
fn bytes_without_end(number: u8, case: Case) {
    let hosts = format!("127.87.{number}");
    let mut site = Site::start(&format!("endless-{number}"), &hosts, "");
    let targets = site.targets(case.route);
    let most = if case.all { targets.len() } else { 1 };
    for target in &targets[..most] {
        site.platform.set_fault(*target, case.trouble);
    }
    let last = Site::last_event(case.route);
    let call =
        |number: usize| Call { deadline: DEADLINE, ..Call::new(case.route, &format!("r{number}")) };
    let (replies, took): (Vec<Reply>, Duration) = site.press((0..CALLERS).map(call));
    assert!(took < DEADLINE + SLACK, "{took:?}");
    for reply in &replies {
        assert!(case.status.is_none_or(|status| reply.status == Some(status)), "{reply:?}");
        assert_eq!(reply.is_complete(last), case.whole, "{reply:?}");
    }
    // A refusal says that the request has not run.
    let mut refused = (0..CALLERS).filter(|number| replies[*number].status == Some(503));
    assert!(refused.all(|number| !site.has_run(&format!("r{number}"))), "{replies:?}");
    assert!(site.memory_kb() < MOST_MEMORY_KB, "{} kB", site.memory_kb());
    // What serves beside it goes on.
    site.assert_goes_on();
}
