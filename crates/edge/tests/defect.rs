//! Which responses are rejected by their heads.

use edge::Defect;
use hyper::StatusCode;
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use yare::parameterized;

fn defect(status: u16, fields: &[(&'static str, &'static str)]) -> Option<Defect> {
    let mut headers = HeaderMap::new();
    for (name, value) in fields {
        headers.append(HeaderName::from_static(name), HeaderValue::from_static(value));
    }
    Defect::of(StatusCode::from_u16(status).expect("a status that the library accepts"), &headers)
}

// Guards against a valid response that is rejected.
#[parameterized(
    length = { 200, &[("content-length", "4")] },
    chunked = { 200, &[("transfer-encoding", "chunked")] },
    chunked_in_capitals = { 200, &[("transfer-encoding", "Chunked")] },
    until_the_end = { 200, &[] },
    highest_status = { 599, &[("content-length", "4")] },
    unknown_status = { 299, &[("content-length", "4")] },
    no_content = { 204, &[] },
    no_content_of_no_length = { 204, &[("content-length", "0")] },
    not_modified = { 304, &[] },
    not_modified_with_the_length_of_the_body = { 304, &[("content-length", "4")] },
    not_run = { 503, &[("not-run", "1"), ("content-length", "0")] },
)]
fn valid_response_is_accepted(status: u16, fields: &[(&'static str, &'static str)]) {
    assert_eq!(defect(status, fields), None);
}

// Guards against a response that is passed on although its head is not valid: the library accepts
// all status codes below 1000, and any transfer coding.
#[parameterized(
    switching_protocols = { 101, &[("upgrade", "h2c")], Defect::Upgrade },
    other_informational = { 199, &[], Defect::Upgrade },
    lowest_invalid_status = { 600, &[("content-length", "4")], Defect::Status },
    highest_invalid_status = { 999, &[("content-length", "4")], Defect::Status },
    invalid_status_of_a_refusal = { 700, &[("not-run", "1")], Defect::Status },
    length_and_chunked = {
        200, &[("content-length", "4"), ("transfer-encoding", "chunked")], Defect::Framing
    },
    unknown_coding = { 200, &[("transfer-encoding", "gzip")], Defect::Coding },
    unknown_coding_in_chunks = { 200, &[("transfer-encoding", "gzip, chunked")], Defect::Coding },
    chunked_twice = {
        200, &[("transfer-encoding", "chunked"), ("transfer-encoding", "chunked")], Defect::Coding
    },
    no_content_with_a_length = { 204, &[("content-length", "4")], Defect::Body },
    no_content_in_chunks = { 204, &[("transfer-encoding", "chunked")], Defect::Body },
)]
fn malformed_response_is_rejected(
    status: u16,
    fields: &[(&'static str, &'static str)],
    expected: Defect,
) {
    assert_eq!(defect(status, fields), Some(expected));
}
