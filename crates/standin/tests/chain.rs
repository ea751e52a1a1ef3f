//! Tests streams through a chain of three engines, each on its own server.

mod common;

use common::{Chain, request_body};
use fleet::{Layers, Plan};
use standin::engine;

const SEED: u64 = 42;
const MAX_TOKENS: u32 = 20;

#[test]
fn a_stream_passes_all_layers_once_and_in_order() {
    let chain = Chain::start();
    let answer = chain.complete(&request_body(&chain.plan(), 1, 1, SEED, MAX_TOKENS, "cut list"));
    assert!(answer.completed);
    assert_eq!(answer.text(), engine::answer_text(SEED, MAX_TOKENS));
    let plan: Plan = chain.plan();
    for token in &answer.tokens {
        assert_eq!(token.trail.verify(&plan, 48), Ok(()));
    }
    for engine in &chain.engines {
        let executions = engine.executions();
        assert_eq!(executions.len(), answer.tokens.len());
        let indices: Vec<u32> = executions.iter().map(|execution| execution.index).collect();
        assert!(indices.is_sorted());
    }
    assert_eq!(chain.engines[1].executions()[0].layers, Layers::new(16, 32));
}

#[test]
fn another_chain_continues_the_stream_with_the_same_text() {
    let first = Chain::start();
    first.engines[0].command(engine::Command::CutNext { tokens: 5 });
    let broken = first.complete(&request_body(&first.plan(), 1, 1, SEED, MAX_TOKENS, "cut list"));
    assert!(!broken.completed);
    assert_eq!(broken.tokens.len(), 5);
    let second = Chain::start();
    let mut body = request_body(&second.plan(), 1, 2, SEED, MAX_TOKENS, "cut list");
    let text: Vec<String> = broken.tokens.iter().map(|token| token.text.clone()).collect();
    body["plan"]["resume"] = serde_json::json!({"index": 5, "text": text});
    let rest = second.complete(&body);
    assert!(rest.completed);
    assert_eq!(rest.tokens[0].index, 5);
    assert_eq!(broken.text() + &rest.text(), engine::answer_text(SEED, MAX_TOKENS));
}
