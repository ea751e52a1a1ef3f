//! Malformed or slow input gets a clear answer, and the node keeps serving valid calls.

mod common;

use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};

use common::{Bench, Scripted, engine, wait_for};
use serde_json::json;
use yare::parameterized;

const ORGANISATION: (&str, &str) = ("openai-organization", "cascade");

fn bench(adjust: impl FnOnce(&mut node::settings::Arguments)) -> (Bench, Scripted) {
    let target = Scripted::start(|call, back| {
        back.start_events();
        back.tokens(call, call.first_token(), 3, true);
    });
    let bench = Bench::start_with(vec![engine("e1", target.address, [0, 8], 8)], adjust);
    (bench, target)
}

/// Asserts that the node answers a valid call.
fn assert_serves(bench: &Bench) {
    assert!(bench.chat(true, &[]).is_complete(), "the node does not answer a valid call");
}

fn body(model: &str) -> String {
    json!({"model": model, "messages": [{"role": "user", "content": "x"}], "stream": true})
        .to_string()
}

/// A call that the node must reject, with the expected status and error type.
struct Bad {
    path: &'static str,
    headers: &'static [(&'static str, &'static str)],
    body: String,
    status: u16,
    kind: &'static str,
}

fn bad(
    headers: &'static [(&'static str, &'static str)],
    body: impl Into<String>,
    status: u16,
    kind: &'static str,
) -> Bad {
    Bad { path: "/v1/chat/completions", headers, body: body.into(), status, kind }
}

const LAST: &str = "00000000000000000000000000000001.3.0000000000000001";
const LONG_KEY: &str = "kkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkk\
kkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkk\
kkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkk\
kkkkkkkkkkkkkkkkkkkkkkkkk";

#[parameterized(
    broken_json = { bad(&[ORGANISATION], "{\"model\": \"pl", 400, "bad_request") },
    no_object = { bad(&[ORGANISATION], "[1, 2]", 400, "bad_request") },
    no_model = { bad(&[ORGANISATION], "{\"messages\": []}", 400, "bad_request") },
    no_messages = { bad(&[ORGANISATION], "{\"model\": \"plank\"}", 400, "bad_request") },
    bad_max_tokens = {
        bad(&[ORGANISATION], "{\"model\":\"plank\",\"messages\":[{\"role\":\"user\",\
             \"content\":\"x\"}],\"max_tokens\":-1}", 400, "bad_request")
    },
    no_organisation = { bad(&[], body("plank"), 401, "no_organisation") },
    unknown_organisation = {
        bad(&[("openai-organization", "nobody")], body("plank"), 403, "unknown_organisation")
    },
    unknown_key = {
        bad(&[("authorization", "Bearer nobody")], body("plank"), 403, "unknown_organisation")
    },
    key_of_another = {
        bad(&[ORGANISATION, ("authorization", "Bearer fair-key")], body("plank"), 403,
            "unknown_organisation")
    },
    unknown_model = { bad(&[ORGANISATION], body("oak"), 404, "unknown_service") },
    long_key = {
        bad(&[ORGANISATION, ("idempotency-key", LONG_KEY)], body("plank"), 400, "bad_key")
    },
    no_event_id = {
        bad(&[ORGANISATION, ("idempotency-key", "k"), ("last-event-id", "7")], body("plank"),
            400, "bad_last_event_id")
    },
    event_id_without_key = {
        bad(&[ORGANISATION, ("last-event-id", LAST)], body("plank"), 400, "bad_last_event_id")
    },
    event_id_of_another_request = {
        bad(&[ORGANISATION, ("idempotency-key", "k"), ("last-event-id", LAST)], body("plank"),
            409, "last_event_mismatch")
    },
    no_such_path = {
        Bad { path: "/v2/chat", headers: &[ORGANISATION], body: String::new(), status: 404,
              kind: "no_such_path" }
    },
    body_too_large = { bad(&[ORGANISATION], "x".repeat(70_000), 413, "body_too_large") },
)]
fn bad_call_gets_its_status_and_error_type(bad: Bad) {
    let (bench, target) = bench(|text| text.body_bytes = "65536".to_owned());
    let mut request = common::agent().post(bench.url(bad.path));
    for (name, value) in bad.headers {
        request = request.header(*name, *value);
    }
    let answer = common::Answer::read(request.send(&bad.body).expect("an answer"));
    let kind = answer.json()["error"]["type"].clone();
    assert_eq!((answer.status, kind), (bad.status, json!(bad.kind)), "{}", answer.body);
    assert!(!answer.json()["error"]["message"].as_str().unwrap_or_default().is_empty());
    assert!(answer.header("magnolia-run").ends_with("not-run"));
    assert!(target.calls("/v1").is_empty());
    assert_serves(&bench);
}

/// Guards against resuming a stream whose delivered text differs from the text that the engines
/// generate: the digest in the caller's last event id does not match, so the node answers 409.
#[test]
fn event_id_with_another_digest_is_a_conflict() {
    let (bench, _target) = bench(|_| {});
    let whole = bench.chat(true, &[("idempotency-key", "k")]);
    let id = whole.ids()[1];
    let (front, _) = id.rsplit_once('.').expect("an id");
    for (last, status) in [(format!("{front}.0000000000000000"), 409), (id.to_owned(), 200)] {
        let headers = [("idempotency-key", "k"), ("last-event-id", last.as_str())];
        let answer = bench.chat(true, &headers);
        assert_eq!(answer.status, status, "{}", answer.body);
        // The engines ran the call for the comparison, so it must not be answered as not run.
        assert!(status != 409 || answer.header("magnolia-run") == "incomplete");
    }
    let beyond = id.replace(".2.", ".9.");
    let headers = [("idempotency-key", "k"), ("last-event-id", beyond.as_str())];
    assert_eq!(bench.chat(true, &headers).status, 409);
}

#[test]
fn bearer_key_identifies_its_organisation() {
    let (bench, _target) = bench(|_| {});
    let request = common::agent().post(bench.url("/v1/chat/completions"));
    let request = request.header("authorization", "Bearer fair-key");
    let answer = common::Answer::read(request.send(body("plank")).expect("an answer"));
    assert!(answer.is_complete(), "{}", answer.body);
}

fn connect(bench: &Bench) -> TcpStream {
    let stream = TcpStream::connect(bench.node.ports().callers).expect("connection");
    stream.set_read_timeout(Some(common::WAIT_LIMIT)).expect("timeout");
    stream
}

fn read_all(stream: &mut TcpStream) -> String {
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).ok();
    String::from_utf8_lossy(&answer).into_owned()
}

#[test]
fn oversized_head_is_refused() {
    let (bench, _target) = bench(|_| {});
    let mut stream = connect(&bench);
    let head = format!("GET / HTTP/1.1\r\nhost: x\r\nx: {}\r\n\r\n", "y".repeat(40_000));
    stream.write_all(head.as_bytes()).ok();
    let answer = read_all(&mut stream);
    assert!(answer.starts_with("HTTP/1.1 431"), "{answer}");
    assert_serves(&bench);
}

#[test]
fn slow_head_closes_the_connection() {
    let (bench, _target) = bench(|text| text.head_ms = "100".to_owned());
    let mut stream = connect(&bench);
    stream.write_all(b"POST /v1/chat/completions HTTP/1.1\r\nhost:").expect("sent");
    read_all(&mut stream);
    wait_for("the end of the connection", || {
        stream.write_all(b" x").and_then(|()| stream.flush()).is_err()
    });
    assert_serves(&bench);
}

#[test]
fn slow_body_gets_408() {
    let (bench, target) = bench(|text| text.body_ms = "100".to_owned());
    let mut stream = connect(&bench);
    let head = "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nopenai-organization: cascade\r\n\
                content-length: 100\r\n\r\n{\"mod";
    stream.write_all(head.as_bytes()).expect("sent");
    let answer = read_all(&mut stream);
    assert!(answer.starts_with("HTTP/1.1 408"), "{answer}");
    assert!(target.calls("/v1").is_empty());
    assert_serves(&bench);
}

#[test]
fn half_closed_connection_runs_nothing() {
    let (bench, target) = bench(|_| {});
    let mut stream = connect(&bench);
    let head = "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nopenai-organization: cascade\r\n\
                content-length: 100\r\n\r\n{\"mod";
    stream.write_all(head.as_bytes()).expect("sent");
    stream.shutdown(Shutdown::Write).expect("half closed");
    read_all(&mut stream);
    assert!(target.calls("/v1").is_empty());
    assert_serves(&bench);
}

/// Number of times that connections are opened until one is rejected.
const MAX_ROUNDS: usize = 5;

// Guards against idle connections that are not bounded, or keep others out for good. A connection
// that has been idle for 150 ms is closed for a newer one, so the last one is rejected only if the
// node accepts all of them in less time; otherwise they are opened again.
#[test]
fn idle_connections_are_bounded_and_expire() {
    let (bench, _target) = bench(|text| {
        text.connections = "50".to_owned();
        text.head_ms = "1000".to_owned();
    });
    let mut idle: Vec<TcpStream> = Vec::new();
    let rejection = (0..MAX_ROUNDS).find_map(|_| {
        idle = (0..200).map(|_| connect(&bench)).collect();
        Some(read_all(idle.last_mut()?)).filter(|answer| !answer.is_empty())
    });
    let answer = rejection.expect("a connection is rejected");
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert!(answer.ends_with("are open\"}}"), "{answer}");
    wait_for("a free connection", || {
        let request = common::agent().post(bench.url("/v1/chat/completions"));
        let request = request.header(ORGANISATION.0, ORGANISATION.1);
        request.send(body("plank")).is_ok_and(|answer| answer.status().as_u16() == 200)
    });
    assert_serves(&bench);
}
