//! Failures between a node and its targets. Each test injects one failure through a scripted
//! target.

mod common;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use common::{Bench, Call, Responder, Scripted, engine, service, text, wait_for};
use serde_json::json;
use socket2::{Domain, Socket, Type};
use yare::parameterized;

const TOKENS: usize = 6;

/// Starts a node with two engines that each hold the whole model. `first` handles the first call
/// to either engine; all later calls receive the complete answer.
fn engine_pair(first: fn(&Call, &mut Responder)) -> (Bench, [Scripted; 2]) {
    let calls = Arc::new(AtomicUsize::new(0));
    let start = || {
        let calls = Arc::clone(&calls);
        Scripted::start(move |call, back| {
            if calls.fetch_add(1, Ordering::SeqCst) == 0 {
                first(call, back);
                return;
            }
            back.start_events();
            back.tokens(call, call.first_token(), TOKENS, true);
        })
    };
    let targets = [start(), start()];
    let vms = vec![
        engine("e1", targets[0].address, [0, 8], 8),
        engine("e2", targets[1].address, [0, 8], 8),
    ];
    (Bench::start(vms), targets)
}

fn calls(targets: &[Scripted; 2]) -> Vec<Call> {
    let mut calls: Vec<Call> = targets.iter().flat_map(|target| target.calls("/v1")).collect();
    calls.sort_by_key(|call| call.json()["plan"]["attempt"].as_u64());
    calls
}

fn sends_no_closing_event(call: &Call, back: &mut Responder) {
    back.start_events();
    back.tokens(call, 0, 3, false);
}

fn stalls(call: &Call, back: &mut Responder) {
    back.start_events();
    back.tokens(call, 0, 3, false);
    back.wait_until_closed();
}

fn names_failed_stage(call: &Call, back: &mut Responder) {
    back.start_events();
    back.tokens(call, 0, 3, false);
    let plan = &call.json()["plan"];
    let target = &plan["stages"][0]["target"];
    back.event(&json!({
        "request": plan["request"], "attempt": 1, "failed": target, "reason": "test",
    }));
}

fn sends_trail_of_another_target(call: &Call, back: &mut Responder) {
    back.start_events();
    back.tokens(call, 0, 3, false);
    let mut token = call.token(3);
    token["trail"] = json!([{"target": "e9", "layers": [0, 8]}]);
    token["text"] = json!("astray ");
    back.event(&token);
    back.wait_until_closed();
}

fn skips_layers(call: &Call, back: &mut Responder) {
    back.start_events();
    back.tokens(call, 0, 3, false);
    let mut token = call.token(3);
    token["trail"][0]["layers"] = json!([0, 7]);
    token["text"] = json!("short ");
    back.event(&token);
    back.wait_until_closed();
}

fn skips_a_token(call: &Call, back: &mut Responder) {
    back.start_events();
    back.tokens(call, 0, 3, false);
    back.event(&call.token(4));
    back.wait_until_closed();
}

fn closes_with_wrong_count(call: &Call, back: &mut Responder) {
    back.start_events();
    back.tokens(call, 0, 3, false);
    back.event(&call.closed(2));
    back.wait_until_closed();
}

#[parameterized(
    closing_event_missing = { sends_no_closing_event },
    stalled = { stalls },
    first_stage_reports_a_failed_stage = { names_failed_stage },
    trail_of_another_target = { sends_trail_of_another_target },
    layers_skipped = { skips_layers },
    token_skipped = { skips_a_token },
    closing_event_with_wrong_count = { closes_with_wrong_count },
)]
fn stream_resumes_after_a_failed_attempt(first: fn(&Call, &mut Responder)) {
    let (bench, targets) = engine_pair(first);
    let answer = bench.chat(true, &[]);
    assert_eq!(answer.text(), text(TOKENS), "{}", answer.body);
    assert!(answer.is_complete(), "{}", answer.body);
    let calls = calls(&targets);
    assert_eq!(calls.len(), 2);
    let plan = &calls[1].json()["plan"];
    let resumed = json!({"index": 3, "text": ["w0 ", "w1 ", "w2 "]});
    assert_eq!((&plan["attempt"], &plan["resume"]), (&json!(2), &resumed));
    assert_eq!(plan["seed"], calls[0].json()["plan"]["seed"]);
}

fn sends_token_of_another_request(call: &Call, back: &mut Responder) {
    back.start_events();
    back.event(&call.token(0));
    let mut foreign = call.token(1);
    foreign["request"] = json!("ffffffffffffffffffffffffffffffff");
    foreign["text"] = json!("another caller's ");
    back.event(&foreign);
    back.tokens(call, 1, TOKENS, true);
}

fn repeats_tokens(call: &Call, back: &mut Responder) {
    back.start_events();
    back.tokens(call, 0, 3, false);
    back.tokens(call, 1, TOKENS, true);
}

fn sends_an_older_attempt(call: &Call, back: &mut Responder) {
    back.start_events();
    back.event(&call.token(0));
    let mut late = call.token(1);
    late["attempt"] = json!(0);
    late["text"] = json!("late ");
    back.event(&late);
    back.tokens(call, 1, TOKENS, true);
}

#[parameterized(
    of_another_request = { sends_token_of_another_request },
    already_delivered = { repeats_tokens },
    of_an_older_attempt = { sends_an_older_attempt },
)]
fn invalid_tokens_are_dropped(first: fn(&Call, &mut Responder)) {
    let (bench, targets) = engine_pair(first);
    let answer = bench.chat(true, &[]);
    assert_eq!(answer.text(), text(TOKENS), "{}", answer.body);
    assert!(answer.is_complete());
    assert_eq!(calls(&targets).len(), 1);
}

/// The first attempt stalls and sends its remaining tokens only after it has been replaced. They
/// must not reach the caller.
#[test]
fn late_tokens_of_a_replaced_attempt_are_dropped() {
    let release = Arc::new(AtomicUsize::new(0));
    let start = || {
        let release = Arc::clone(&release);
        Scripted::start(move |call, back| {
            back.start_events();
            if call.json()["plan"]["attempt"] == 1 {
                back.tokens(call, 0, 2, false);
                wait_for("second attempt", || release.load(Ordering::SeqCst) > 0);
                for index in 2..TOKENS {
                    let mut late = call.token(index);
                    late["text"] = json!("late ");
                    back.event(&late);
                }
                back.event(&call.closed(TOKENS));
                return;
            }
            release.store(1, Ordering::SeqCst);
            back.tokens(call, call.first_token(), TOKENS, true);
        })
    };
    let (one, two) = (start(), start());
    let bench = Bench::start(vec![
        engine("e1", one.address, [0, 8], 8),
        engine("e2", two.address, [0, 8], 8),
    ]);
    let answer = bench.chat(true, &[]);
    assert_eq!(answer.text(), text(TOKENS), "{}", answer.body);
    assert!(answer.is_complete());
}

#[parameterized(
    streamed = { true },
    whole = { false },
)]
fn an_answer_truncated_in_every_attempt_is_incomplete(stream: bool) {
    let target = Scripted::start(|call, back| {
        back.start_events();
        let from = call.first_token();
        back.tokens(call, from, from + 1, false);
    });
    let bench = Bench::start(vec![engine("e1", target.address, [0, 8], 8)]);
    let answer = bench.chat(stream, &[]);
    assert!(!answer.is_complete(), "{}", answer.body);
    if stream {
        let last = answer.events().pop().expect("an event");
        assert_eq!(last["error"]["run"], "incomplete", "{last}");
    } else {
        assert_eq!(answer.header("magnolia-run"), "incomplete", "{}", answer.body);
        assert!(answer.json().get("choices").is_none());
        assert!(!answer.header("retry-after").is_empty());
    }
}

#[test]
fn a_refusal_before_running_is_not_run() {
    let target = Scripted::start(|_, back| {
        let body = r#"{"error":{"type":"full"}}"#;
        back.answer(503, "magnolia-run: not-run\r\nretry-after: 1\r\n", body);
    });
    let bench = Bench::start(vec![engine("e1", target.address, [0, 8], 8)]);
    let answer = bench.chat(false, &[]);
    assert_eq!((answer.status, answer.header("magnolia-run")), (503, "not-run"));
    assert!(!answer.header("retry-after").is_empty());
}

/// Starts a node with a booking service whose first call is handled by `first`.
fn booking(first: fn(&mut Responder)) -> (Bench, Scripted) {
    let calls = AtomicUsize::new(0);
    let target = Scripted::start(move |_, back| {
        if calls.fetch_add(1, Ordering::SeqCst) == 0 {
            first(back);
        } else {
            back.answer(200, "", r#"{"booked":2}"#);
        }
    });
    let bench = Bench::start(vec![service("b1", target.address, "booking", false)]);
    (bench, target)
}

#[test]
fn a_booking_whose_answer_is_lost_is_unknown_and_never_sent_again() {
    let (bench, target) = booking(|_| {});
    for _ in 0..2 {
        let answer = bench.post("/services/booking/book", "x", &[("idempotency-key", "k")]);
        assert_eq!((answer.status, answer.header("magnolia-run")), (502, "unknown"));
    }
    assert_eq!(target.calls("/book").len(), 1);
}

#[test]
fn a_booking_refused_by_its_target_may_be_sent_again() {
    let (bench, target) = booking(|back| {
        let body = r#"{"error":{"type":"full"}}"#;
        back.answer(429, "magnolia-run: not-run\r\nretry-after: 1\r\n", body);
    });
    let key = [("idempotency-key", "k")];
    let mut answer = bench.post("/services/booking/book", "x", &key);
    if answer.status != 200 {
        assert_eq!(answer.header("magnolia-run"), "not-run", "{}", answer.body);
        wait_for("the booking", || {
            answer = bench.post("/services/booking/book", "x", &key);
            answer.status == 200
        });
    }
    assert_eq!(answer.body, r#"{"booked":2}"#);
    assert_eq!(target.calls("/book").len(), 2);
}

// Guards against a caller that is told by a status that its call has not run, although a target has
// run it and only failed with that status.
#[parameterized(
    unavailable = { 503 },
    too_many_requests = { 429 },
    request_timeout = { 408 },
    misdirected = { 421 },
)]
fn a_refusal_without_proof_is_unknown(status: u16) {
    let target = Scripted::start(move |_, back| back.answer(status, "retry-after: 1\r\n", "{}"));
    let bench = Bench::start(vec![service("b1", target.address, "booking", false)]);
    for _ in 0..2 {
        let answer = bench.post("/services/booking/book", "x", &[("idempotency-key", "k")]);
        assert_eq!((answer.status, answer.header("magnolia-run")), (502, "unknown"));
    }
    assert_eq!(target.calls("/book").len(), 1);
}

// Guards against a call that may be repeated and is not sent to a sound target after such an answer.
#[parameterized(
    unavailable = { 503 },
    too_many_requests = { 429 },
    request_timeout = { 408 },
    misdirected = { 421 },
)]
fn a_lookup_is_sent_to_another_target_after_a_refusal_without_proof(status: u16) {
    let calls = Arc::new(AtomicUsize::new(0));
    let target = || {
        let calls = calls.clone();
        Scripted::start(move |_, back| match calls.fetch_add(1, Ordering::SeqCst) {
            0 => back.answer(status, "", "{}"),
            _ => back.answer(200, "", r#"{"found":1}"#),
        })
    };
    let (first, second) = (target(), target());
    let bench = Bench::start(vec![
        service("s1", first.address, "lookup", true),
        service("s2", second.address, "lookup", true),
    ]);
    let answer = bench.post("/services/lookup/find", "x", &[]);
    assert_eq!((answer.status, answer.header("magnolia-run")), (200, "complete"));
    assert_eq!(first.calls("/find").len() + second.calls("/find").len(), 2);
}

#[test]
fn a_booking_is_sent_to_another_target_when_no_connection_is_established() {
    // A bound socket that does not listen refuses connections and keeps the port from others.
    let bound = Socket::new(Domain::IPV4, Type::STREAM, None).expect("socket");
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    bound.bind(&any.into()).expect("port");
    let closed = bound.local_addr().ok().and_then(|address| address.as_socket()).expect("address");
    let target = Scripted::start(|_, back| back.answer(200, "", r#"{"booked":1}"#));
    let bench = Bench::start(vec![
        service("b1", closed, "booking", false),
        service("b2", target.address, "booking", false),
    ]);
    for number in 0..4 {
        let body = number.to_string();
        let answer = bench.post("/services/booking/book", &body, &[]);
        assert_eq!((answer.status, answer.header("magnolia-run")), (200, "complete"));
    }
    assert_eq!(target.calls("/book").len(), 4);
}

/// The outcome is in the store before the caller receives it, so another node can return it
/// immediately.
#[test]
fn the_outcome_is_stored_before_the_caller_receives_it() {
    let (bench, target) = booking(|back| back.answer(201, "", r#"{"booked":1}"#));
    let other = common::node(bench.platform.address(), "n2", |_| {});
    wait_for("readiness", || other.ready());
    let key = [("idempotency-key", "k")];
    let first = bench.post("/services/booking/book", "x", &key);
    let second = Bench { platform: bench.platform, node: other };
    let again = second.post("/services/booking/book", "x", &key);
    assert_eq!((first.status, &first.body), (201, &again.body));
    assert_eq!((again.status, again.header("magnolia-run")), (201, "complete"));
    assert_eq!(target.calls("/book").len(), 1);
}

#[test]
fn a_repeat_of_a_booking_that_ran_is_never_answered_not_run() {
    let (bench, _target) = booking(|back| back.answer(200, "", r#"{"booked":1}"#));
    let key = [("idempotency-key", "k")];
    let first = bench.post("/services/booking/book", "x", &key);
    assert_eq!(first.status, 200);
    // Removes the only target from the list, so that new bookings are refused.
    bench.platform.command(standin::platform::Command::SetVms(Vec::new()));
    wait_for("refusal of new bookings", || {
        bench.post("/services/booking/book", "y", &[]).status != 200
    });
    let other = common::node(bench.platform.address(), "n2", |_| {});
    wait_for("a preset", || {
        let status = format!("http://{}/status", other.ports().operators);
        let status = common::Answer::read(common::agent().get(status).call().expect("status"));
        status.json()["fresh"] == true
    });
    let again = bench.post("/services/booking/book", "x", &key);
    assert_eq!((again.status, again.body.as_str()), (200, r#"{"booked":1}"#));
    let outage = standin::platform::Outage::Refuse;
    bench.platform.command(standin::platform::Command::Outage(outage));
    // This node has no record of the booking and cannot rule out that it ran.
    let uninformed = Bench { platform: bench.platform, node: other };
    let answer = uninformed.post("/services/booking/book", "x", &key);
    assert_eq!((answer.status, answer.header("magnolia-run")), (503, "attempt-not-run"));
    assert!(!answer.header("retry-after").is_empty());
}

#[test]
fn a_disconnected_caller_cancels_the_attempt() {
    let target = Scripted::start(|call, back| {
        back.start_events();
        back.event(&call.token(0));
        back.wait_until_closed();
    });
    let bench = Bench::start(vec![engine("e1", target.address, [0, 8], 8)]);
    let body = json!({"model": "plank", "messages": [{"role": "user", "content": "x"}],
                      "stream": true})
    .to_string();
    let mut caller = TcpStream::connect(bench.node.ports().callers).expect("connection");
    let length = body.len();
    write!(
        caller,
        "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nopenai-organization: cascade\r\n\
         content-length: {length}\r\n\r\n{body}"
    )
    .expect("sent");
    let mut first = [0; 512];
    assert!(caller.read(&mut first).expect("an answer begins") > 0);
    drop(caller);
    wait_for("cancel", || !target.calls("/cancel").is_empty());
    wait_for("the end of the work", || bench.node.in_flight() == 0);
    let cancel = target.calls("/cancel")[0].json();
    let plan = target.calls("/v1")[0].json()["plan"].clone();
    assert_eq!(cancel["request"], plan["request"]);
}
