//! Each fault of an engine does what its command says.

mod common;

use std::thread;

use common::{Answer, Chain, get, post, request_body, wait_until};
use serde_json::{Value, json};
use standin::engine::{self, Command, Crash, Engine};
use yare::parameterized;

const SEED: u64 = 7;
const MAX_TOKENS: u32 = 12;
/// Long enough that a test which waits for it fails.
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
fn a_marked_request_crashes_the_stage_that_runs_it(stage: usize) {
    let chain = Chain::start();
    chain.engines[stage].command(Command::CrashOn { mark: "crash:x".into(), index: 3 });
    assert!(chain.complete(&body(&chain, 1, "an innocent prompt")).whole);
    assert!(chain.engines[stage].is_running());
    let answer = chain.complete(&body(&chain, 2, "a crash:x prompt"));
    assert!(!answer.whole);
    assert_eq!(answer.tokens.len(), 3);
    wait_until("the stage ends", || !chain.engines[stage].is_running());
    if stage > 0 {
        let failed = answer.failed.expect("the first stage names the one that failed");
        assert_eq!(failed["failed"], format!("e{stage}"));
    }
}

#[test]
fn a_crashed_engine_refuses_connections_and_breaks_its_streams() {
    let chain = Chain::start();
    chain.engines[2].command(Command::Freeze);
    let (address, long) = (chain.engines[0].address(), body(&chain, 1, "a prompt"));
    let reader = thread::spawn(move || common::complete(address, &long));
    wait_until("the stream runs", || executed(&chain.engines[1], 1) > 0);
    chain.engines[0].command(Command::Crash);
    assert!(!reader.join().expect("the reader ends").whole);
    wait_until("the engine ends", || !chain.engines[0].is_running());
    assert!(common::agent().get(format!("http://{address}/load")).call().is_err());
}

#[parameterized(
    frozen = { Command::Freeze, Command::Thaw },
    slow = { Command::Slow(1e6), Command::Slow(1.0) },
)]
fn a_held_stage_holds_the_stream_and_only_that(hold: Command, release: Command) {
    let chain = Chain::start();
    let other = Chain::start();
    let held = &chain.engines[1];
    held.command(hold.clone());
    let (address, body_) = (chain.engines[0].address(), body(&chain, 1, "a prompt"));
    let reader = thread::spawn(move || common::complete(address, &body_));
    wait_until("the first stage runs", || executed(&chain.engines[0], 1) > 0);
    assert!(other.complete(&body(&other, 2, "a prompt")).whole);
    assert_eq!(executed(held, 1), 0);
    held.command(release);
    if hold == Command::Freeze {
        assert!(reader.join().expect("the reader ends").whole);
    } else {
        // The step that has begun keeps its length.
        held.command(Command::Crash);
        assert!(!reader.join().expect("the reader ends").whole);
    }
}

#[test]
fn a_slow_link_delays_only_the_stage_behind_it() {
    let chain = Chain::start();
    let link = |delay_ms| Command::Link { target: "e1".into(), delay_ms };
    chain.engines[0].command(link(FOREVER_MS));
    let (address, slow) = (chain.engines[0].address(), body(&chain, 1, "a prompt"));
    let reader = thread::spawn(move || common::complete(address, &slow));
    wait_until("the first stage runs", || executed(&chain.engines[0], 1) > 0);
    chain.engines[0].command(link(0));
    assert!(chain.complete(&body(&chain, 2, "a prompt")).whole);
    assert_eq!(executed(&chain.engines[1], 1), 0);
    post(address, "/cancel", &json!({"request": format!("{:032x}", 1), "attempt": 1}));
    assert!(!reader.join().expect("the reader ends").whole);
}

/// The delay of a link that a token meets is the one in force when the token is executed, however
/// soon after its execution shows the delay changes.
#[test]
fn a_delay_that_ends_does_not_let_through_what_was_executed_before() {
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
        assert!(!reader.join().expect("the reader ends").whole);
        assert_eq!(executed(&chain.engines[1], request), 0, "round {request}");
    }
}

#[test]
fn the_next_answer_breaks_after_as_many_tokens_as_commanded() {
    let chain = Chain::start();
    chain.engines[0].command(Command::CutNext { tokens: 4 });
    let answer = chain.complete(&body(&chain, 1, "a prompt"));
    assert_eq!((answer.tokens.len(), answer.whole), (4, false));
    assert!(chain.complete(&body(&chain, 2, "a prompt")).whole);
}

#[test]
fn a_crossed_token_names_another_request() {
    let chain = Chain::start();
    chain.engines[0].command(Command::Cross { count: 2 });
    let answer = chain.complete(&body(&chain, 1, "a prompt"));
    let own = format!("{:032x}", 1);
    let strangers = answer.tokens.iter().filter(|token| token.request != own).count();
    assert_eq!(strangers, 2);
    let text: String = answer
        .tokens
        .iter()
        .filter(|token| token.request == own)
        .map(|token| token.text.as_str())
        .collect();
    assert_eq!(text, engine::answer_text(SEED, MAX_TOKENS));
}

#[test]
fn a_late_answer_comes_after_those_that_are_not() {
    let chain = Chain::start();
    chain.engines[0].command(Command::LateNext { delay_ms: FOREVER_MS });
    let (address, late) = (chain.engines[0].address(), body(&chain, 1, "a prompt"));
    let reader = thread::spawn(move || common::complete(address, &late));
    wait_until("the last stage runs", || executed(&chain.engines[2], 1) == 1);
    assert!(chain.complete(&body(&chain, 2, "a prompt")).whole);
    post(address, "/cancel", &json!({"request": format!("{:032x}", 1), "attempt": 1}));
    assert_eq!(reader.join().expect("the reader ends").tokens.len(), 0);
}

fn refusal(answer: &Answer) -> (u16, Option<&str>, Value) {
    let error: Value = serde_json::from_str(&answer.body).unwrap_or_default();
    (answer.status, answer.run.as_deref(), error["error"]["type"].clone())
}

#[parameterized(
    leaving = { Command::Leaving(true), 503, "leaving" },
    full = { Command::Full { count: 1 }, 429, "full" },
)]
fn work_refused_is_told_as_not_run(command: Command, status: u16, kind: &str) {
    let chain = Chain::start();
    chain.engines[0].command(command);
    let answer = chain.complete(&body(&chain, 1, "a prompt"));
    assert_eq!(refusal(&answer), (status, Some("not-run"), json!(kind)));
    assert!(chain.engines.iter().all(|engine| engine.executions().is_empty()));
}

#[test]
fn a_leaving_engine_finishes_what_it_has() {
    let chain = Chain::start();
    chain.engines[2].command(Command::Freeze);
    let (address, begun) = (chain.engines[0].address(), body(&chain, 1, "a prompt"));
    let reader = thread::spawn(move || common::complete(address, &begun));
    wait_until("the stream runs", || executed(&chain.engines[1], 1) > 0);
    chain.engines[0].command(Command::Leaving(true));
    chain.engines[2].command(Command::Thaw);
    assert!(reader.join().expect("the reader ends").whole);
}

#[parameterized(
    gap = { json!([{"target": "e0", "address": "127.0.0.1:1", "layers": [0, 15]},
                   {"target": "e1", "address": "127.0.0.1:1", "layers": [16, 48]}]), "wrong-plan" },
    other_target = { json!([{"target": "e9", "address": "127.0.0.1:1", "layers": [0, 48]}]),
                     "wrong-target" },
    not_held = { json!([{"target": "e0", "address": "127.0.0.1:1", "layers": [0, 48]}]),
                 "wrong-layers" },
)]
fn a_plan_that_does_not_fit_is_refused(stages: Value, kind: &str) {
    let chain = Chain::start();
    let mut wrong = body(&chain, 1, "a prompt");
    wrong["plan"]["stages"] = stages;
    assert_eq!(refusal(&chain.complete(&wrong)), (400, Some("not-run"), json!(kind)));
}

#[test]
fn a_resume_with_another_text_is_refused() {
    let chain = Chain::start();
    let mut wrong = body(&chain, 1, "a prompt");
    wrong["plan"]["resume"] = json!({"index": 1, "text": ["never said "]});
    assert_eq!(refusal(&chain.complete(&wrong)), (400, Some("not-run"), json!("wrong-resume")));
}

#[test]
fn a_higher_attempt_ends_the_lower_and_an_old_one_is_refused() {
    let chain = Chain::start();
    chain.engines[2].command(Command::Freeze);
    let (address, first) = (chain.engines[0].address(), body(&chain, 1, "a prompt"));
    let reader = thread::spawn(move || common::complete(address, &first));
    wait_until("the stream runs", || executed(&chain.engines[1], 1) > 0);
    chain.engines[2].command(Command::Thaw);
    chain.engines[0].command(Command::LateNext { delay_ms: 0 });
    let second = request_body(&chain.plan(), 1, 2, SEED, MAX_TOKENS, "a prompt");
    assert!(chain.complete(&second).whole);
    let lower = reader.join().expect("the reader ends");
    // It was replaced, or had ended before.
    assert!(lower.whole || lower.failed.is_some());
    let again = chain.complete(&body(&chain, 1, "a prompt"));
    assert_eq!(refusal(&again), (400, Some("not-run"), json!("cancelled")));
}

#[test]
fn the_most_urgent_takes_the_freed_slot() {
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
            wait_until("the request is in", || {
                let load: Value =
                    serde_json::from_str(&get(address, "/load")).expect("a load report");
                load["running"] == 1 && load["queued"] == queued
            });
            reader
        })
        .collect();
    chain.engines[2].command(Command::Thaw);
    for reader in readers {
        assert!(reader.join().expect("the reader ends").whole);
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
fn an_old_fencing_number_is_refused_or_ignored_as_set(checks: bool, status: u16, end: u16) {
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
fn cache_events_come_late_and_with_gaps_and_the_cache_is_bounded() {
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
        assert!(common::complete(engine.address(), &body).whole);
        let events: Value =
            serde_json::from_str(&get(engine.address(), "/events?from=0")).expect("JSON");
        let events = events["events"].as_array().expect("a list").clone();
        sequences.push(events);
    }
    let numbers = |kind: &str| -> Vec<u64> {
        let events = sequences[0].iter().filter(|event| event["kind"] == kind);
        events.filter_map(|event| event["sequence"].as_u64()).collect()
    };
    // 30 blocks of 256 bytes are stored, then all but 8 are evicted; each 17th is not told.
    assert_eq!((numbers("stored").len(), numbers("stored").last()), (29, Some(&30)));
    assert_eq!((numbers("evicted").len(), numbers("evicted").last()), (20, Some(&52)));
    assert!(numbers("stored").windows(2).any(|pair| pair[1] > pair[0] + 1));
    assert!(sequences[1].is_empty());
}

#[test]
fn the_cache_of_a_request_passes_to_an_engine_with_the_same_layers_only() {
    let chain = Chain::start();
    assert!(chain.complete(&body(&chain, 1, "a prompt")).whole);
    let run = json!({"request": format!("{:032x}", 1), "attempt": 1});
    let (status, image) = post(chain.engines[0].address(), "/cache/export", &run);
    assert_eq!(status, 200);
    let same = common::builder("same", common::RANGES[0]).start().expect("starts");
    assert_eq!(post(same.address(), "/cache/import", &image).0, 200);
    assert_eq!(post(chain.engines[1].address(), "/cache/import", &image).0, 409);
}

#[test]
fn a_crash_as_set_for_processes_is_not_the_default() {
    assert_eq!(Crash::default(), Crash::Stop);
}
