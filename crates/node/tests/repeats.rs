//! Engines that write an earlier answer once more on a kept connection: the copy is the answer to no
//! request.

mod entry;
mod site;

use platform_standin::{Document, Fault, Repeat, Reply, Route};
use site::Site;
use yare::parameterized;

/// Requests of a test, one after another.
const REQUESTS: usize = 40;

struct Case {
    route: Route,
    repeat: Repeat,
}

// Guards against a copy of a request's earlier refusal being taken for the answer of its next
// attempt: callers were told that requests had not run that ran, and such requests ran again.
#[parameterized(
    stream_at_once = { 180, Case { route: Route::Stream, repeat: Repeat::AtOnce } },
    stream_late = { 181, Case { route: Route::Stream, repeat: Repeat::WithNextRequest } },
    resumable_at_once = { 182, Case { route: Route::Resumable, repeat: Repeat::AtOnce } },
    resumable_late = { 183, Case { route: Route::Resumable, repeat: Repeat::WithNextRequest } },
    unsafe_at_once = { 184, Case { route: Route::Unsafe, repeat: Repeat::AtOnce } },
    unsafe_late = { 185, Case { route: Route::Unsafe, repeat: Repeat::WithNextRequest } },
    safe_late = { 186, Case { route: Route::Safe, repeat: Repeat::WithNextRequest } },
)]
fn repeated_refusals_answer_no_request(number: u8, case: Case) {
    let site = Site::start(number, 1, &Document::default());
    // A plain target gets a request only once, so that another one has to run it.
    let targets = [&site.engines[..], &site.plain[..1]].concat();
    site.set_fault(&targets, Fault::RepeatsRefusals(case.repeat));
    for number in 0..REQUESTS {
        let id = format!("r{number}-");
        let reply = site.ask(0, case.route, &id);
        let runs = site.runs(&id);
        assert!(runs.len() <= 1 || is_idempotent(case.route), "{reply:?} {runs:?}");
        assert!(!promises_no_run(&reply) || runs.is_empty(), "{reply:?} {runs:?}");
    }
    let runs = site.runs("r").len();
    assert!(runs >= REQUESTS / 4, "{runs} requests ran");
}

fn is_idempotent(route: Route) -> bool {
    matches!(route, Route::Resumable | Route::Safe)
}

/// Returns whether a reply promises that the request has not run.
fn promises_no_run(reply: &Reply) -> bool {
    matches!(reply.status, Some(408 | 421 | 429 | 503))
}
