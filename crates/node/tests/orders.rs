//! Orders are sent to an engine until it has its desired state, and again when it loses that
//! state.

mod common;

use std::sync::{Arc, Mutex};

use common::{Bench, Scripted, engine, wait_for};
use serde_json::{Value, json};

/// Starts an engine that does not check fencing numbers. Returns it with its state: its role and
/// the last fencing number that it received.
fn unfenced_engine() -> (Scripted, Arc<Mutex<(String, u64)>>) {
    let state = Arc::new(Mutex::new(("any".to_owned(), 0)));
    let engine_state = Arc::clone(&state);
    let target = Scripted::start(move |call, back| {
        let mut state = engine_state.lock().expect("state");
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

fn put_desired(bench: &Bench, target: &str, desired: &Value) {
    let platform = bench.platform.address().to_string();
    let client = store::Client::new(store::Settings::builder(&platform).build());
    let key = format!("{}{target}", order::DESIRED_PREFIX);
    let value = desired.to_string().into_bytes();
    let write =
        store::Write { key: &key, expected: 0, value: Some(&value), lease: None, guard: None };
    client.cas(store::Purpose::Order, write).expect("store");
}

#[test]
fn a_lost_role_is_ordered_again_with_a_higher_fence() {
    let (target, state) = unfenced_engine();
    let bench = Bench::start(vec![engine("e1", target.address, [0, 8], 8)]);
    let other = common::node(bench.platform.address(), "n2", |_| {});
    wait_for("readiness", || other.ready());
    put_desired(&bench, "e1", &json!({"model": "plank", "layers": [0, 8], "role": "decode"}));
    put_desired(&bench, "e9", &json!({"model": "plank"}));
    wait_for("the order", || state.lock().expect("state").0 == "decode");
    let first = state.lock().expect("state").1;
    // Simulates a late order of an earlier lease holder, which the engine accepts unchecked.
    *state.lock().expect("state") = ("prefill".to_owned(), 1);
    wait_for("the correction", || state.lock().expect("state").0 == "decode");
    assert!(state.lock().expect("state").1 > first);
    let mut fences: Vec<u64> =
        target.calls("/orders").iter().filter_map(|call| call.json()["fence"].as_u64()).collect();
    let sent = fences.len();
    fences.sort_unstable();
    fences.dedup();
    assert_eq!(fences.len(), sent, "each order has its own fencing number");
}
