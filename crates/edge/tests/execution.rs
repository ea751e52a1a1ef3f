//! What answers show about the execution of a request.

use edge::{Execution, promises_not_run};
use hyper::StatusCode;
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use yare::parameterized;

/// Id of the target that a request is meant for.
const EXPECTED: &str = "i-1";
/// Statuses that promise that a request has not run.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

fn headers(fields: &[(&'static str, &'static str)]) -> HeaderMap {
    let field = |&(name, value)| (HeaderName::from_static(name), HeaderValue::from_static(value));
    fields.iter().map(field).collect()
}

fn status(code: u16) -> StatusCode {
    StatusCode::from_u16(code).expect("a status")
}

#[test]
fn four_statuses_promise_that_a_request_has_not_run() {
    let promising: Vec<u16> = (100..1000).filter(|code| promises_not_run(status(*code))).collect();
    assert_eq!(promising, PROMISES);
}

/// An answer of a target.
struct Case {
    status: u16,
    fields: &'static [(&'static str, &'static str)],
    shown: Execution,
}

// Guards against a request that is sent again, or whose caller is told that it has not run, because
// of a status alone.
#[parameterized(
    served = { Case { status: 200, fields: &[("response-stamp", "s")], shown: Execution::Ran } },
    failed = { Case { status: 500, fields: &[], shown: Execution::Ran } },
    out_of_time = { Case { status: 504, fields: &[], shown: Execution::Ran } },
    not_found = { Case { status: 404, fields: &[], shown: Execution::Ran } },
    full = { Case { status: 503, fields: &[("not-run", "1")], shown: Execution::NotRun } },
    many = { Case { status: 429, fields: &[("not-run", "1")], shown: Execution::NotRun } },
    invalid = { Case { status: 400, fields: &[("not-run", "1")], shown: Execution::NotRun } },
    misdirected = { Case { status: 421, fields: &[("not-run", "1")], shown: Execution::NotRun } },
    other_target = {
        Case { status: 421, fields: &[("instance-id", "i-2")], shown: Execution::NotRun }
    },
    same_target = {
        Case { status: 421, fields: &[("instance-id", "i-1")], shown: Execution::Unknown }
    },
    other_target_is_full = {
        Case { status: 503, fields: &[("instance-id", "i-2")], shown: Execution::Unknown }
    },
)]
fn answer_of_a_target(case: Case) {
    let shown = Execution::of_target(status(case.status), &headers(case.fields), EXPECTED);
    assert_eq!(shown, case.shown);
}

// Guards against the same for each of the statuses, with the fields that answers and refusals bear.
#[parameterized(
    bare = { &[] },
    signed = { &[("response-stamp", "s")] },
    back_off = { &[("retry-after", "1")] },
    engine_named = { &[("at-server", "10.1.64.9:8080")] },
    of_a_node = { &[("magnolia-ran", "no")] },
)]
fn status_of_a_target_proves_nothing(fields: &'static [(&'static str, &'static str)]) {
    for code in PROMISES {
        let shown = Execution::of_target(status(code), &headers(fields), EXPECTED);
        assert_eq!(shown, Execution::Unknown, "{code}");
    }
}
