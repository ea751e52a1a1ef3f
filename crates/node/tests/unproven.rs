//! Targets that run requests and fail them with statuses that promise the contrary, and do not state
//! it.

mod entry;
mod site;

use std::collections::BTreeSet;
use std::thread::sleep;
use std::time::Duration;

use platform_standin::{Document, Failure, Fault, Reply, Route};
use site::{EVENTS, Site};
use yare::parameterized;

/// Requests of each route.
const REQUESTS: usize = 6;
/// Requests of a route of which some are sent to the target that fails first.
const IDEMPOTENT_REQUESTS: usize = 16;
/// A value of `retry-after`, seconds.
const RETRY_AFTER: &str = "0.05";
/// Pause between two requests, longer than a target is paused by [`RETRY_AFTER`].
const REQUEST_PAUSE: Duration = Duration::from_millis(200);

/// Returns whether a status promises that the request has not run and never will.
fn promises_not_run(status: Option<u16>) -> bool {
    matches!(status, Some(408 | 421 | 429 | 503))
}

fn is_served(route: Route, reply: &Reply) -> bool {
    match route {
        Route::Resumable | Route::Stream => reply.is_complete(EVENTS),
        Route::Safe | Route::Unsafe => reply.status == Some(200) && reply.stamp.is_some(),
    }
}

/// Returns what is wrong with the answer to a request, if anything: it promises that the request has
/// not run although it has, or the request has run more often than its route allows.
fn violation(site: &Site, route: Route, id: &str, reply: &Reply) -> Option<String> {
    let runs = site.runs(id);
    let targets: BTreeSet<&str> = runs.iter().map(|run| run.target.as_str()).collect();
    let is_false = promises_not_run(reply.status) && !runs.is_empty();
    let has_run_too_often = match route {
        Route::Unsafe | Route::Stream => runs.len() > 1,
        Route::Safe | Route::Resumable => targets.len() > Document::default().attempts as usize,
    };
    (is_false || has_run_too_often).then(|| format!("{id} ran at {targets:?}: {reply:?}"))
}

// Guards against a caller that is told "not run" by a target's answer to a request that has run: it
// would send the request again.
#[parameterized(
    unavailable = { 50, Failure::new(503) },
    unavailable_unsigned = { 51, Failure { is_signed: false, ..Failure::new(503) } },
    unavailable_for_a_time = { 52, Failure { retry_after: Some(RETRY_AFTER), ..Failure::new(503) } },
    too_many_requests = { 53, Failure { retry_after: Some(RETRY_AFTER), ..Failure::new(429) } },
    request_timeout = { 54, Failure::new(408) },
    misdirected = { 55, Failure::new(421) },
    misdirected_unsigned = { 56, Failure { is_signed: false, ..Failure::new(421) } },
)]
fn refusal_without_proof_is_not_passed_on(number: u8, failure: Failure) {
    let site = Site::start(number, 1, &Document::default());
    let targets: Vec<_> = site.plain.iter().chain(&site.engines).copied().collect();
    site.set_fault(&targets, Fault::FailsWith(failure));
    let mut ran = 0;
    let mut violations = Vec::new();
    for route in Route::ALL {
        for index in 0..REQUESTS {
            sleep(REQUEST_PAUSE);
            let id = format!("{route:?}-{index}-");
            let reply = site.ask(0, route, &id);
            violations.extend(violation(&site, route, &id, &reply));
            let has_run = !site.runs(&id).is_empty();
            if has_run && reply.retry_after.is_some() {
                violations.push(format!("{id} is invited to return: {reply:?}"));
            }
            ran += usize::from(has_run);
        }
    }
    assert!(violations.is_empty(), "{violations:#?}");
    assert!(ran >= Route::ALL.len(), "{ran} requests have run");
}

// Guards against idempotent requests that are not sent to a sound target after such an answer.
#[parameterized(
    unavailable = { 60, Failure::new(503) },
    unavailable_unsigned = { 61, Failure { is_signed: false, ..Failure::new(503) } },
    too_many_requests = { 62, Failure::new(429) },
    request_timeout = { 63, Failure::new(408) },
    misdirected = { 64, Failure::new(421) },
)]
fn idempotent_request_is_served_by_another_target(number: u8, failure: Failure) {
    let site = Site::start(number, 1, &Document::default());
    let mut failed = 0;
    for route in [Route::Safe, Route::Resumable] {
        let target = match route {
            Route::Safe => site.plain[0],
            _ => site.path("probe")[0],
        };
        site.set_fault(&[target], Fault::FailsWith(failure));
        for index in 0..IDEMPOTENT_REQUESTS {
            let id = format!("{route:?}-{index}-");
            let reply = site.ask(0, route, &id);
            assert!(is_served(route, &reply), "{reply:?}");
            assert_eq!(violation(&site, route, &id, &reply), None);
            failed += usize::from(site.runs(&id).len() > 1);
        }
    }
    assert!(failed > 0, "a request has run at the target that fails");
}
