//! The path of a request through one node: streamed, whole, plain, resumed.

mod common;

use common::{Bench, Scripted, engine, service, text};
use serde_json::json;

/// A chain of three engines; only the first is ever called for tokens.
fn chain(first: &Scripted) -> Vec<serde_json::Value> {
    vec![
        engine("e1", first.address, [0, 4], 12),
        engine("e2", first.address, [4, 8], 12),
        engine("e3", first.address, [8, 12], 12),
    ]
}

fn five_tokens() -> Scripted {
    Scripted::start(|call, back| {
        back.start_events();
        back.tokens(call, call.first_token(), 5, true);
    })
}

#[test]
fn streamed_and_whole_answers_pass_the_chain() {
    let first = five_tokens();
    let bench = Bench::start(chain(&first));
    let streamed = bench.chat(true, &[]);
    assert_eq!((streamed.status, streamed.text()), (200, text(5)), "{}", streamed.body);
    assert!(streamed.is_complete(), "{}", streamed.body);
    let whole = bench.chat(false, &[]);
    assert_eq!(whole.header("magnolia-run"), "complete");
    assert_eq!(whole.json()["choices"][0]["message"]["content"], text(5));
    let plan = first.calls("/v1")[0].json()["plan"].clone();
    let layers: Vec<_> =
        plan["stages"].as_array().expect("stages").iter().map(|s| s["layers"].clone()).collect();
    assert_eq!(layers, [json!([0, 4]), json!([4, 8]), json!([8, 12])]);
    bench.node.stop();
}

#[test]
fn text_completion_has_its_own_form() {
    let first = five_tokens();
    let bench = Bench::start(chain(&first));
    let body = json!({"model": "plank", "prompt": "draft"}).to_string();
    let answer = bench.post("/v1/completions", &body, &[]);
    assert_eq!(answer.json()["choices"][0]["text"], text(5), "{}", answer.body);
    assert_eq!(answer.json()["object"], "text_completion");
}

#[test]
fn another_node_delivers_the_rest() {
    let first = five_tokens();
    let bench = Bench::start(chain(&first));
    let other = common::node(bench.platform.address(), "n2", |_| {});
    common::wait_for("readiness", || other.ready());
    let whole = bench.chat(true, &[("idempotency-key", "k1")]);
    let third = whole.ids()[2].to_owned();
    let second = Bench { platform: bench.platform, node: other };
    let headers = [("idempotency-key", "k1"), ("last-event-id", third.as_str())];
    let rest = second.chat(true, &headers);
    assert_eq!(rest.text(), "w3 w4 ", "{}", rest.body);
    assert_eq!(rest.ids(), &whole.ids()[3..]);
    assert!(rest.is_complete());
}

#[test]
fn booking_runs_once_though_sent_twice() {
    let booking = Scripted::start(|call, back| {
        back.answer(200, "", &format!(r#"{{"booked":{}}}"#, call.body.len()));
    });
    let bench = Bench::start(vec![service("b1", booking.address, "booking", false)]);
    let key = [("idempotency-key", "crew-7")];
    let first = bench.post("/services/booking/book", "friday", &key);
    let again = bench.post("/services/booking/book", "friday", &key);
    for answer in [&first, &again] {
        assert_eq!((answer.status, answer.body.as_str()), (200, r#"{"booked":6}"#));
        assert_eq!(answer.header("magnolia-run"), "complete");
        assert_eq!(answer.header("idempotency-key"), "crew-7");
    }
    let other = bench.post("/services/booking/book", "monday", &key);
    assert_eq!(other.status, 409, "{}", other.body);
    assert_eq!(booking.calls("/book").len(), 1);
    let given = bench.post("/services/booking/book", "tuesday", &[]);
    assert!(!given.header("idempotency-key").is_empty(), "the node makes a key");
}
