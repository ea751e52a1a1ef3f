//! Delivery of token results to the previous stage or to the client.

use std::sync::Arc;

use bytes::Bytes;
use fleet::{AttemptId, RequestId, Stage, TokenIndex, Trail};
use serde::Serialize;
use smol_str::SmolStr;

use super::server::Shared;
use super::state::{Generation, Sink, State, Token};
use super::wire::{AttemptKey, Batch, FailureEvent, FinishEvent, TokenEvent, TokenResult};

/// Derives the request id of an injected foreign token when no other stream can supply one.
const FOREIGN_REQUEST_XOR: RequestId = 1;

/// Encodes a value as a server-sent event with JSON data.
pub(super) fn sse_event(value: &impl Serialize) -> Bytes {
    let json = serde_json::to_string(value).unwrap_or_default();
    Bytes::from(format!("data: {json}\n\n"))
}

/// Delivers the result of a token to its sink.
pub(super) fn deliver_result(
    shared: &Arc<Shared>,
    key: AttemptKey,
    index: TokenIndex,
    sink: Sink,
    result: TokenResult,
) {
    match sink {
        Sink::Upstream(sender) => {
            // Fails only if the previous stage no longer waits for the result.
            let _ = sender.send(result);
        }
        Sink::Client => deliver_to_client(shared, key, index, result),
    }
}

/// Ends a stream that this engine writes, and closes its sessions at the later stages.
///
/// `reason` is the target that failed and why; it is written as the last event.
pub(super) fn end_stream(
    shared: &Arc<Shared>,
    key: AttemptKey,
    reason: Option<(SmolStr, SmolStr)>,
) {
    let Some((generation, session)) = shared.state().remove_generation(key) else {
        return;
    };
    if let Some((failed, reason)) = reason {
        let AttemptKey { request, attempt } = key;
        // Fails only if the client has disconnected and no longer needs the event.
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
            // A stage that does not receive this drops the session after its idle timeout.
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
        TokenResult::Failed { target, reason } => end_stream(shared, key, Some((target, reason))),
        TokenResult::Passed { text, trail } => {
            let progress = write_token(&mut shared.state(), key, index, text, trail);
            match progress {
                Progress::Continue => shared.work.notify_one(),
                Progress::End => end_stream(shared, key, None),
            }
        }
    }
}

/// Whether a stream continues after a token was written.
enum Progress {
    Continue,
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
    Progress::Continue
}

fn write_finish(generation: &Generation, request: RequestId, attempt: AttemptId) {
    let event = sse_event(&FinishEvent {
        request,
        attempt,
        finish: generation.finish,
        tokens: generation.length,
    });
    // Fails only if the client has disconnected; it then has to retry the request.
    let _ = generation.stream.write(event);
    let _ = generation.stream.write("data: [DONE]\n\n");
}

/// Writes a token of another request into the stream.
///
/// It is the last token of another stream of this engine, or else this token under a made-up
/// request id.
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
    let source = state
        .generations
        .iter()
        .find(|(other, generation)| other.request != key.request && generation.next > 0);
    let (request, attempt, index, text) = match source {
        Some((id, peer)) => (id.request, id.attempt, peer.next - 1, peer.last_text.clone()),
        None => (key.request ^ FOREIGN_REQUEST_XOR, key.attempt, index, text.clone()),
    };
    // The write of the stream's own token, which follows, detects a disconnected client.
    let _ = generation.stream.write(sse_event(&TokenEvent {
        request,
        attempt,
        index,
        text,
        trail: trail.clone(),
    }));
}
