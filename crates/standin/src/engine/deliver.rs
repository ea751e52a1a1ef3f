//! What becomes of a token that has passed all stages, or failed on its way.

use std::sync::Arc;

use bytes::Bytes;
use fleet::{AttemptId, RequestId, Stage, TokenIndex, Trail};
use serde::Serialize;
use smol_str::SmolStr;

use super::server::Shared;
use super::state::{Generation, Sink, State, Token};
use super::wire::{AttemptKey, Batch, FailureEvent, FinishEvent, TokenEvent, TokenResult};

/// Difference between a request's id and the made-up one of a crossed token.
const FOREIGN_REQUEST_XOR: RequestId = 1;

/// A server-sent event with a JSON value.
pub(super) fn sse_event(value: &impl Serialize) -> Bytes {
    let json = serde_json::to_string(value).unwrap_or_default();
    Bytes::from(format!("data: {json}\n\n"))
}

/// Hands the result of a token to whoever waits for it.
pub(super) fn deliver_result(
    shared: &Arc<Shared>,
    key: AttemptKey,
    index: TokenIndex,
    sink: Sink,
    result: TokenResult,
) {
    match sink {
        Sink::Upstream(sender) => {
            // The stage before may have gone.
            let _ = sender.send(result);
        }
        Sink::Client => deliver_to_client(shared, key, index, result),
    }
}

/// Ends a stream of this engine with a last event, and tells the later stages.
pub(super) fn end_generation(
    shared: &Arc<Shared>,
    key: AttemptKey,
    reason: Option<(SmolStr, SmolStr)>,
) {
    let Some((generation, session)) = shared.state().remove_generation(key) else {
        return;
    };
    if let Some((failed, reason)) = reason {
        let AttemptKey { request, attempt } = key;
        // A reader that has gone needs no word.
        let _ =
            generation.stream.write(sse_event(&FailureEvent { request, attempt, failed, reason }));
    }
    let later_stages = session.map(|session| session.later_stages).unwrap_or_default();
    notify_session_end(shared, key, later_stages);
    shared.work.notify_one();
}

fn notify_session_end(shared: &Arc<Shared>, key: AttemptKey, later_stages: Vec<Stage>) {
    let batch = Batch { tokens: Vec::new(), ends: vec![key] };
    let body = Bytes::from(serde_json::to_vec(&batch).unwrap_or_default());
    for stage in later_stages {
        let shared = Arc::clone(shared);
        let body = body.clone();
        tokio::spawn(async move {
            // A stage that cannot be told drops the session after a while.
            let _ = shared.client.post(stage.address, "/stage", body).await;
        });
    }
}

fn deliver_to_client(
    shared: &Arc<Shared>,
    key: AttemptKey,
    index: TokenIndex,
    result: TokenResult,
) {
    let first_token_delay = shared
        .state()
        .generations
        .get_mut(&key)
        .and_then(|generation| generation.first_token_delay.take());
    if let Some(first_token_delay) = first_token_delay {
        let shared = Arc::clone(shared);
        tokio::spawn(async move {
            tokio::time::sleep(first_token_delay).await;
            deliver_to_client(&shared, key, index, result);
        });
        return;
    }
    match result {
        TokenResult::Failed { target, reason } => {
            end_generation(shared, key, Some((target, reason)))
        }
        TokenResult::Passed { text, trail } => {
            let more = write_token(&mut shared.state(), key, index, text, trail);
            match more {
                Progress::Token => shared.work.notify_one(),
                Progress::End => end_generation(shared, key, None),
            }
        }
    }
}

enum Progress {
    Token,
    End,
}

fn write_token(
    state: &mut State,
    key: AttemptKey,
    index: TokenIndex,
    text: SmolStr,
    trail: Trail,
) -> Progress {
    if state.faults.crossed_tokens > 0 && state.generations.contains_key(&key) {
        state.faults.crossed_tokens -= 1;
        write_foreign_token(state, key, index, &text, &trail);
    }
    let Some(generation) = state.generations.get_mut(&key) else {
        return Progress::End;
    };
    if let Some(left) = &mut generation.cut_after {
        if *left == 0 {
            generation.stream.cut();
            return Progress::End;
        }
        *left -= 1;
    }
    generation.last_text = text.clone();
    let AttemptKey { request, attempt } = key;
    if !generation.stream.write(sse_event(&TokenEvent { request, attempt, index, text, trail })) {
        return Progress::End;
    }
    generation.next = index + 1;
    if generation.next >= generation.length {
        write_finish(generation, request, attempt);
        return Progress::End;
    }
    let index = generation.next;
    state.ready.push(Token { key, index, trail: Trail::default(), sink: Sink::Client });
    Progress::Token
}

fn write_finish(generation: &Generation, request: RequestId, attempt: AttemptId) {
    let event = sse_event(&FinishEvent {
        request,
        attempt,
        finish: generation.finish,
        tokens: generation.length,
    });
    // A reader that has gone misses it and asks again.
    let _ = generation.stream.write(event);
    let _ = generation.stream.write("data: [DONE]\n\n");
}

/// Writes a token of another request into the stream.
fn write_foreign_token(
    state: &State,
    key: AttemptKey,
    index: TokenIndex,
    text: &SmolStr,
    trail: &Trail,
) {
    let Some(generation) = state.generations.get(&key) else {
        return;
    };
    let other = state
        .generations
        .iter()
        .find(|(other, generation)| other.request != key.request && generation.next > 0);
    let (request, attempt, index, text) = match other {
        Some((other, generation)) => {
            (other.request, other.attempt, generation.next - 1, generation.last_text.clone())
        }
        None => (key.request ^ FOREIGN_REQUEST_XOR, key.attempt, index, text.clone()),
    };
    // The token that follows meets a reader that has gone.
    let _ = generation.stream.write(sse_event(&TokenEvent {
        request,
        attempt,
        index,
        text,
        trail: trail.clone(),
    }));
}
