//! Targets that stop in the middle of the head of an answer.

mod entry;
mod site;

use platform_standin::{Call, Document, Fault, Route, send_call};
use site::{EVENTS, Site};
use std::thread::sleep;
use std::time::Duration;
use yare::parameterized;

/// Number of requests of each kind.
const REQUESTS: usize = 3;
/// Time between two requests: targets are used again.
const PAUSE: Duration = Duration::from_millis(300);

// Guards against an answer whose head ends early that callers get as a success with an empty or
// short body (MIXED), and against a request that runs twice because of it.
#[parameterized(
    nothing = { 0, 0 },
    status_line = { 1, 9 },
    after_status_line = { 2, 17 },
    field_name = { 3, 24 },
    before_the_end = { 4, -2 },
    within_the_end = { 5, -1 },
    field_value = { 6, -8 },
)]
fn answer_without_a_whole_head_is_no_success(number: u8, length: isize) {
    let site = Site::start(210 + number, 1, &Document::default());
    site.set_fault(&site.plain, Fault::CutsHeads(length));
    site.set_fault(&site.engines, Fault::CutsHeads(length));
    for route in Route::ALL {
        for turn in 0..REQUESTS {
            let id = format!("{}{turn}", route.prefix());
            let reply = send_call(site.nodes[0].front, &Call::new(route, &id));
            let runs = site.runs(&id).len();
            let is_failure = reply.status.is_none_or(|status| status >= 500);
            assert!(is_failure && reply.events.is_empty(), "{id}: {reply:?}");
            let is_refusal = reply.status == Some(503);
            assert!(!is_refusal || runs == 0, "{id}: {reply:?} after {runs} runs");
            let is_repeatable = matches!(route, Route::Safe | Route::Resumable);
            assert!(is_repeatable || runs <= 1, "{id}: {runs} runs");
            sleep(PAUSE);
        }
    }
}

// Guards against a stream that ends or goes on with the wrong bytes because the engine that resumes
// it stops in the middle of a head (ORDER).
#[parameterized(
    status_line = { 7, 9 },
    before_the_end = { 8, -2 },
    within_the_end = { 9, -1 },
)]
fn stream_is_not_resumed_by_a_part_of_a_head(number: u8, length: isize) {
    let site = Site::start(210 + number, 1, &Document { attempts: 9, ..Document::default() });
    let streams = site.streams(0, "s", REQUESTS);
    assert!(site.platform.wait(PAUSE, || site.runs("s").len() == REQUESTS), "streams run");
    sleep(PAUSE / 3);
    let path = site.path("s");
    let last = path[path.len() - 1];
    let others: Vec<_> = site.engines.iter().copied().filter(|engine| *engine != last).collect();
    site.set_fault(&others, Fault::CutsHeads(length));
    site.platform.kill(last);
    sleep(PAUSE);
    site.set_fault(&others, Fault::None);
    for reply in site::ended(streams) {
        let is_prefix = reply.events.iter().copied().eq(1..=reply.events.len() as u64);
        assert!(is_prefix && reply.other_lines.is_empty(), "{reply:?}");
        assert!(!reply.ended || reply.is_complete(EVENTS), "{reply:?}");
    }
}
