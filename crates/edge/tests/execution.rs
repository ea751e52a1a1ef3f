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

/// An answer of a target or another node.
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

// Guards against a request that is sent to a further node because of what the answer of another node
// lacks: nodes of builds that state nothing pass on what their targets answer.
#[parameterized(
    served = { Case { status: 200, fields: &[("magnolia-ran", "yes")], shown: Execution::Ran } },
    refused = { Case { status: 503, fields: &[("magnolia-ran", "no")], shown: Execution::NotRun } },
    unauthorized = {
        Case { status: 401, fields: &[("magnolia-ran", "no")], shown: Execution::NotRun }
    },
    lost = {
        Case { status: 502, fields: &[("magnolia-ran", "unknown")], shown: Execution::Unknown }
    },
    later_build = {
        Case { status: 503, fields: &[("magnolia-ran", "in part")], shown: Execution::Unknown }
    },
    served_by_an_earlier_build = {
        Case { status: 200, fields: &[("response-stamp", "s")], shown: Execution::Ran }
    },
    refused_by_an_earlier_build = {
        Case { status: 503, fields: &[("retry-after", "0.06")], shown: Execution::Unknown }
    },
    target_of_an_earlier_build = {
        Case { status: 503, fields: &[("magnolia-target", "10.1.64.9:80")], shown: Execution::Unknown }
    },
    lost_by_an_earlier_build = { Case { status: 502, fields: &[], shown: Execution::Unknown } },
    not_run_at_a_target = {
        Case { status: 503, fields: &[("not-run", "1")], shown: Execution::Unknown }
    },
)]
fn answer_of_a_node(case: Case) {
    let shown = Execution::of_node(status(case.status), &headers(case.fields));
    assert_eq!(shown, case.shown);
}

// Guards against nodes of one build that do not read what they state.
#[test]
fn statement_of_a_node_is_read() {
    for execution in [Execution::NotRun, Execution::Ran, Execution::Unknown] {
        for code in [200, 502, 503] {
            let mut head = headers(&[("magnolia-ran", "set by a target")]);
            execution.write(&mut head);
            assert_eq!(Execution::of_node(status(code), &head), execution);
        }
    }
}
