//! Orders reach an engine until it has its desired state, and again when it loses it.

mod common;

use std::sync::{Arc, Mutex};

use common::{Bench, Scripted, engine, wait_for};
use serde_json::{Value, json};

/// An engine that ignores fencing numbers: its role, and the last number.
fn ordered() -> (Scripted, Arc<Mutex<(String, u64)>>) {
    let state = Arc::new(Mutex::new(("any".to_owned(), 0)));
    let kept = Arc::clone(&state);
    let target = Scripted::start(move |call, back| {
        let mut state = kept.lock().expect("state");
        if call.path == "/orders" {
            let order = call.json();
            state.0 = order["order"]["role"]["name"].as_str().expect("a role").to_owned();
            state.1 = order["fence"].as_u64().expect("a fencing number");
            back.answer(200, "", "{}");
            return;
        }
        let report = json!({
            "model": "plank", "layers": [0, 8], "role": state.0, "adapters": [],
            "fence": state.1, "standing": "ready",
        });
        back.answer(200, "", &report.to_string());
    });
    (target, state)
}

fn desire(bench: &Bench, target: &str, desired: &Value) {
    let platform = bench.platform.address().to_string();
    let client = store::Client::new(store::Settings::builder(&platform).build());
    let key = format!("{}{target}", order::DESIRED_PREFIX);
    let value = desired.to_string().into_bytes();
    let write =
        store::Write { key: &key, expected: 0, value: Some(&value), lease: None, guard: None };
    client.cas(store::Purpose::Order, write).expect("store");
}

#[test]
fn a_role_is_ordered_and_ordered_again_with_a_higher_number() {
    let (target, state) = ordered();
    let bench = Bench::start(vec![engine("e1", target.address, [0, 8], 8)]);
    let other = common::node(bench.platform.address(), "n2", |_| {});
    wait_for("readiness", || other.ready());
    desire(&bench, "e1", &json!({"model": "plank", "layers": [0, 8], "role": "decode"}));
    desire(&bench, "e9", &json!({"model": "plank"}));
    wait_for("the order", || state.lock().expect("state").0 == "decode");
    let first = state.lock().expect("state").1;
    // A late order of an earlier holder: the engine does not check and takes it.
    *state.lock().expect("state") = ("prefill".to_owned(), 1);
    wait_for("the correction", || state.lock().expect("state").0 == "decode");
    assert!(state.lock().expect("state").1 > first);
    let mut fences: Vec<u64> =
        target.calls("/orders").iter().filter_map(|call| call.json()["fence"].as_u64()).collect();
    let sent = fences.len();
    fences.sort_unstable();
    fences.dedup();
    assert_eq!(fences.len(), sent, "each order has its own number");
}
