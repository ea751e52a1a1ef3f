//! Tests that each fault command of an engine has its documented effect, and how an engine
//! rejects and schedules requests.

mod common;

use std::thread;

use common::{Answer, Chain, get, post, request_body, wait_until};
use serde_json::{Value, json};
use standin::engine::{self, Command, Crash, Engine};
use yare::parameterized;

const SEED: u64 = 7;
const MAX_TOKENS: u32 = 12;
/// Longer than the time-outs of the tests, so that a test that waits for it fails.
const FOREVER_MS: u64 = 3_600_000;

fn body(chain: &Chain, request: u128, prompt: &str) -> Value {
    request_body(&chain.plan(), request, 1, SEED, MAX_TOKENS, prompt)
}

fn executed(engine: &Engine, request: u128) -> usize {
    engine.executions().iter().filter(|execution| execution.request == request).count()
}

#[parameterized(
    first_stage = { 0 },
    middle_stage = { 1 },
    last_stage = { 2 },
)]
fn a_request_with_a_crash_marker_crashes_the_stage_that_executes_it(stage: usize) {
    let chain = Chain::start();
    chain.engines[stage].command(Command::CrashOn { mark: "crash:x".into(), index: 3 });
    assert!(chain.complete(&body(&chain, 1, "an innocent prompt")).completed);
    assert!(chain.engines[stage].is_running());
    let answer = chain.complete(&body(&chain, 2, "a crash:x prompt"));
    assert!(!answer.completed);
    assert_eq!(answer.tokens.len(), 3);
    wait_until("the stage ends", || !chain.engines[stage].is_running());
    if stage > 0 {
        let failed = answer.failed.expect("the first stage reports the failed stage");
        assert_eq!(failed["failed"], format!("e{stage}"));
    }
}

#[test]
fn a_crashed_engine_refuses_connections_and_cuts_its_streams() {
    let chain = Chain::start();
    chain.engines[2].command(Command::Freeze);
    let (address, long) = (chain.engines[0].address(), body(&chain, 1, "a prompt"));
    let reader = thread::spawn(move || common::complete(address, &long));
    wait_until("the stream runs", || executed(&chain.engines[1], 1) > 0);
    chain.engines[0].command(Command::Crash);
    assert!(!reader.join().expect("the reader ends").completed);
    wait_until("the engine ends", || !chain.engines[0].is_running());
    assert!(common::agent().get(format!("http://{address}/load")).call().is_err());
}

#[parameterized(
    frozen = { Command::Freeze, Command::Thaw },
    slow = { Command::Slow(1e6), Command::Slow(1.0) },
)]
fn a_suspended_stage_stalls_only_its_own_stream(suspend: Command, resume: Command) {
    let chain = Chain::start();
    let other = Chain::start();
    let stage = &chain.engines[1];
    stage.command(suspend.clone());
    let (address, request) = (chain.engines[0].address(), body(&chain, 1, "a prompt"));
    let reader = thread::spawn(move || common::complete(address, &request));
    wait_until("the first stage runs", || executed(&chain.engines[0], 1) > 0);
    assert!(other.complete(&body(&other, 2, "a prompt")).completed);
    assert_eq!(executed(stage, 1), 0);
    stage.command(resume);
    if suspend == Command::Freeze {
        assert!(reader.join().expect("the reader ends").completed);
    } else {
        // The current step keeps the duration computed when it started.
        stage.command(Command::Crash);
        assert!(!reader.join().expect("the reader ends").completed);
    }
}

#[test]
fn a_link_delay_applies_only_to_tokens_executed_while_it_is_set() {
    let chain = Chain::start();
    let link = |delay_ms| Command::Link { target: "e1".into(), delay_ms };
    chain.engines[0].command(link(FOREVER_MS));
    let (address, slow) = (chain.engines[0].address(), body(&chain, 1, "a prompt"));
    let reader = thread::spawn(move || common::complete(address, &slow));
    wait_until("the first stage runs", || executed(&chain.engines[0], 1) > 0);
    chain.engines[0].command(link(0));
    assert!(chain.complete(&body(&chain, 2, "a prompt")).completed);
    assert_eq!(executed(&chain.engines[1], 1), 0);
    post(address, "/cancel", &json!({"request": format!("{:032x}", 1), "attempt": 1}));
    assert!(!reader.join().expect("the reader ends").completed);
}

/// Guards against an engine that reads the delay of a link only after the execution of a token is
/// visible: a delay removed in between would then no longer hold back that token.
#[test]
fn removing_a_link_delay_does_not_release_tokens_already_executed() {
    const ROUNDS: u128 = 60;
    let chain = Chain::start();
    let link = |delay_ms| Command::Link { target: "e1".into(), delay_ms };
    let address = chain.engines[0].address();
    for request in 1..=ROUNDS {
        chain.engines[0].command(link(FOREVER_MS));
        let slow = body(&chain, request, "a prompt");
        let reader = thread::spawn(move || common::complete(address, &slow));
        while executed(&chain.engines[0], request) == 0 {
            thread::yield_now();
        }
        chain.engines[0].command(link(0));
        post(address, "/cancel", &json!({"request": format!("{request:032x}"), "attempt": 1}));
        assert!(!reader.join().expect("the reader ends").completed);
        assert_eq!(executed(&chain.engines[1], request), 0, "round {request}");
    }
}

#[test]
fn the_next_answer_is_cut_after_the_commanded_number_of_tokens() {
    let chain = Chain::start();
    chain.engines[0].command(Command::CutNext { tokens: 4 });
    let answer = chain.complete(&body(&chain, 1, "a prompt"));
    assert_eq!((answer.tokens.len(), answer.completed), (4, false));
    assert!(chain.complete(&body(&chain, 2, "a prompt")).completed);
}

#[test]
fn a_crossed_token_names_another_request() {
    let chain = Chain::start();
    chain.engines[0].command(Command::Cross { count: 2 });
    let answer = chain.complete(&body(&chain, 1, "a prompt"));
    let own = format!("{:032x}", 1);
    let foreign = answer.tokens.iter().filter(|token| token.request != own).count();
    assert_eq!(foreign, 2);
    let text: String = answer
        .tokens
        .iter()
        .filter(|token| token.request == own)
        .map(|token| token.text.as_str())
        .collect();
    assert_eq!(text, engine::answer_text(SEED, MAX_TOKENS));
}

#[test]
fn a_delayed_first_token_does_not_delay_other_answers() {
    let chain = Chain::start();
    chain.engines[0].command(Command::LateNext { delay_ms: FOREVER_MS });
    let (address, late) = (chain.engines[0].address(), body(&chain, 1, "a prompt"));
    let reader = thread::spawn(move || common::complete(address, &late));
    wait_until("the last stage runs", || executed(&chain.engines[2], 1) == 1);
    assert!(chain.complete(&body(&chain, 2, "a prompt")).completed);
    post(address, "/cancel", &json!({"request": format!("{:032x}", 1), "attempt": 1}));
    assert_eq!(reader.join().expect("the reader ends").tokens.len(), 0);
}

fn refusal(answer: &Answer) -> (u16, Option<&str>, Value) {
    let error: Value = serde_json::from_str(&answer.body).unwrap_or_default();
    (answer.status, answer.run_header.as_deref(), error["error"]["type"].clone())
}

#[parameterized(
    leaving = { Command::Leaving(true), 503, "leaving" },
    full = { Command::Full { count: 1 }, 429, "full" },
)]
fn rejected_work_is_reported_as_not_run(command: Command, status: u16, kind: &str) {
    let chain = Chain::start();
    chain.engines[0].command(command);
    let answer = chain.complete(&body(&chain, 1, "a prompt"));
    assert_eq!(refusal(&answer), (status, Some("not-run"), json!(kind)));
    assert!(chain.engines.iter().all(|engine| engine.executions().is_empty()));
}

#[test]
fn a_leaving_engine_finishes_its_streams() {
    let chain = Chain::start();
    chain.engines[2].command(Command::Freeze);
    let (address, running) = (chain.engines[0].address(), body(&chain, 1, "a prompt"));
    let reader = thread::spawn(move || common::complete(address, &running));
    wait_until("the stream runs", || executed(&chain.engines[1], 1) > 0);
    chain.engines[0].command(Command::Leaving(true));
    chain.engines[2].command(Command::Thaw);
    assert!(reader.join().expect("the reader ends").completed);
}

#[parameterized(
    gap = { json!([{"target": "e0", "address": "127.0.0.1:1", "layers": [0, 15]},
                   {"target": "e1", "address": "127.0.0.1:1", "layers": [16, 48]}]), "wrong-plan" },
    other_target = { json!([{"target": "e9", "address": "127.0.0.1:1", "layers": [0, 48]}]),
                     "wrong-target" },
    not_held = { json!([{"target": "e0", "address": "127.0.0.1:1", "layers": [0, 48]}]),
                 "wrong-layers" },
)]
fn a_plan_that_does_not_fit_the_engine_is_rejected(stages: Value, kind: &str) {
    let chain = Chain::start();
    let mut wrong = body(&chain, 1, "a prompt");
    wrong["plan"]["stages"] = stages;
    assert_eq!(refusal(&chain.complete(&wrong)), (400, Some("not-run"), json!(kind)));
}

#[test]
fn a_resume_with_the_wrong_text_is_rejected() {
    let chain = Chain::start();
    let mut wrong = body(&chain, 1, "a prompt");
    wrong["plan"]["resume"] = json!({"index": 1, "text": ["never said "]});
    assert_eq!(refusal(&chain.complete(&wrong)), (400, Some("not-run"), json!("wrong-resume")));
}

#[test]
fn a_higher_attempt_ends_the_lower_one_and_an_old_attempt_is_rejected() {
    let chain = Chain::start();
    chain.engines[2].command(Command::Freeze);
    let (address, first) = (chain.engines[0].address(), body(&chain, 1, "a prompt"));
    let reader = thread::spawn(move || common::complete(address, &first));
    wait_until("the stream runs", || executed(&chain.engines[1], 1) > 0);
    chain.engines[2].command(Command::Thaw);
    chain.engines[0].command(Command::LateNext { delay_ms: 0 });
    let second = request_body(&chain.plan(), 1, 2, SEED, MAX_TOKENS, "a prompt");
    assert!(chain.complete(&second).completed);
    let lower = reader.join().expect("the reader ends");
    // The lower attempt was replaced, or had completed before.
    assert!(lower.completed || lower.failed.is_some());
    let again = chain.complete(&body(&chain, 1, "a prompt"));
    assert_eq!(refusal(&again), (400, Some("not-run"), json!("cancelled")));
}

#[test]
fn the_most_urgent_request_gets_the_freed_slot() {
    let chain = Chain::start_with(|builder| builder.slots(1));
    chain.engines[2].command(Command::Freeze);
    let readers: Vec<_> = [(1, 5), (2, 9), (3, 0)]
        .into_iter()
        .map(|(request, priority)| {
            let mut body = body(&chain, request, "a prompt");
            body["plan"]["priority"] = json!(priority);
            let address = chain.engines[0].address();
            let reader = thread::spawn(move || common::complete(address, &body));
            let queued = request as u64 - 1;
            wait_until("the request is accepted", || {
                let load: Value =
                    serde_json::from_str(&get(address, "/load")).expect("a load report");
                load["running"] == 1 && load["queued"] == queued
            });
            reader
        })
        .collect();
    chain.engines[2].command(Command::Thaw);
    for reader in readers {
        assert!(reader.join().expect("the reader ends").completed);
    }
    let mut order: Vec<u128> =
        chain.engines[0].executions().iter().map(|execution| execution.request).collect();
    order.dedup();
    assert_eq!(order, [1, 3, 2]);
}

#[parameterized(
    checked = { true, 409, 48 },
    ignored = { false, 200, 24 },
)]
fn an_old_fencing_number_is_rejected_or_ignored_as_configured(checks: bool, status: u16, end: u16) {
    let engine = common::builder("e", (0, 48)).checks_orders(checks).start().expect("starts");
    let load = |fence: u64, end: u16| {
        let order = json!({"load": {"model": "plank", "layers": [0, end]}});
        post(engine.address(), "/orders", &json!({"fence": fence, "order": order})).0
    };
    assert_eq!(load(5, 48), 200);
    assert_eq!(load(4, 24), status);
    let state: Value = serde_json::from_str(&get(engine.address(), "/state")).expect("JSON");
    assert_eq!(state["layers"], json!([0, end]));
}

#[test]
fn cache_events_are_delayed_and_have_gaps_and_the_cache_is_bounded() {
    use std::time::Duration;
    let start = |events| {
        let builder = common::builder("e", (0, 48)).cache(8);
        builder.lags(Duration::ZERO, events).start().expect("starts")
    };
    let prompt = "a floor of oak ".repeat(512);
    let mut sequences = Vec::new();
    for engine in [start(Duration::ZERO), start(Duration::from_secs(3_600))] {
        let stages = json!([{"target": "e", "address": engine.address(), "layers": [0, 48]}]);
        let plan = serde_json::from_value(stages).expect("a plan");
        let body = request_body(&plan, 1, 1, SEED, 2, &prompt);
        assert!(common::complete(engine.address(), &body).completed);
        let events: Value =
            serde_json::from_str(&get(engine.address(), "/events?from=0")).expect("JSON");
        let events = events["events"].as_array().expect("a list").clone();
        sequences.push(events);
    }
    let numbers = |kind: &str| -> Vec<u64> {
        let events = sequences[0].iter().filter(|event| event["kind"] == kind);
        events.filter_map(|event| event["sequence"].as_u64()).collect()
    };
    // 30 blocks of 256 bytes are stored, then all but 8 are evicted; every 17th event is omitted.
    assert_eq!((numbers("stored").len(), numbers("stored").last()), (29, Some(&30)));
    assert_eq!((numbers("evicted").len(), numbers("evicted").last()), (20, Some(&52)));
    assert!(numbers("stored").windows(2).any(|pair| pair[1] > pair[0] + 1));
    assert!(sequences[1].is_empty());
}

#[test]
fn the_cache_of_a_request_is_imported_only_by_an_engine_with_the_same_layers() {
    let chain = Chain::start();
    assert!(chain.complete(&body(&chain, 1, "a prompt")).completed);
    let run = json!({"request": format!("{:032x}", 1), "attempt": 1});
    let (status, image) = post(chain.engines[0].address(), "/cache/export", &run);
    assert_eq!(status, 200);
    let same = common::builder("same", common::RANGES[0]).start().expect("starts");
    assert_eq!(post(same.address(), "/cache/import", &image).0, 200);
    assert_eq!(post(chain.engines[1].address(), "/cache/import", &image).0, 409);
}

#[test]
fn aborting_the_process_is_not_the_default_crash() {
    assert_eq!(Crash::default(), Crash::Stop);
}
