//! What becomes of a token that has passed all stages, or failed on its way.

use std::sync::Arc;

use bytes::Bytes;
use fleet::{AttemptId, RequestId, Stage, TokenIndex, Trail};
use serde::Serialize;
use smol_str::SmolStr;

use super::server::Shared;
use super::state::{Own, Sink, State, Token};
use super::wire::{Batch, FailureEvent, FinishEvent, Passage, Run, TokenEvent};

/// Difference between a request's id and the made-up one of a crossed token.
const STRANGER: RequestId = 1;

/// A server-sent event with a JSON value.
pub(super) fn event(value: &impl Serialize) -> Bytes {
    let json = serde_json::to_string(value).unwrap_or_default();
    Bytes::from(format!("data: {json}\n\n"))
}

/// Hands the result of a token to whoever waits for it.
pub(super) fn settle(
    shared: &Arc<Shared>,
    run: Run,
    index: TokenIndex,
    sink: Sink,
    passage: Passage,
) {
    match sink {
        Sink::Upstream(sender) => {
            // The stage before may have gone.
            let _ = sender.send(passage);
        }
        Sink::Own => deliver(shared, run, index, passage),
    }
}

/// Ends a stream of this engine with a last event, and tells the later stages.
pub(super) fn end(shared: &Arc<Shared>, run: Run, reason: Option<(SmolStr, SmolStr)>) {
    let Some((own, session)) = shared.state().end(run) else {
        return;
    };
    if let Some((failed, reason)) = reason {
        let Run { request, attempt } = run;
        // A reader that has gone needs no word.
        let _ = own.stream.write(event(&FailureEvent { request, attempt, failed, reason }));
    }
    let rest = session.map(|session| session.rest).unwrap_or_default();
    tell_end(shared, run, rest);
    shared.work.notify_one();
}

fn tell_end(shared: &Arc<Shared>, run: Run, rest: Vec<Stage>) {
    let batch = Batch { tokens: Vec::new(), ends: vec![run] };
    let body = Bytes::from(serde_json::to_vec(&batch).unwrap_or_default());
    for stage in rest {
        let shared = Arc::clone(shared);
        let body = body.clone();
        tokio::spawn(async move {
            // A stage that cannot be told drops the session after a while.
            let _ = shared.client.post(stage.address, "/stage", body).await;
        });
    }
}

fn deliver(shared: &Arc<Shared>, run: Run, index: TokenIndex, passage: Passage) {
    let late = shared.state().owns.get_mut(&run).and_then(|own| own.late.take());
    if let Some(late) = late {
        let shared = Arc::clone(shared);
        tokio::spawn(async move {
            tokio::time::sleep(late).await;
            deliver(&shared, run, index, passage);
        });
        return;
    }
    match passage {
        Passage::Failed { target, reason } => end(shared, run, Some((target, reason))),
        Passage::Passed { text, trail } => {
            let more = write_token(&mut shared.state(), run, index, text, trail);
            match more {
                More::Token => shared.work.notify_one(),
                More::End => end(shared, run, None),
            }
        }
    }
}

enum More {
    Token,
    End,
}

fn write_token(
    state: &mut State,
    run: Run,
    index: TokenIndex,
    text: SmolStr,
    trail: Trail,
) -> More {
    if state.faults.cross > 0 && state.owns.contains_key(&run) {
        state.faults.cross -= 1;
        write_stranger(state, run, index, &text, &trail);
    }
    let Some(own) = state.owns.get_mut(&run) else {
        return More::End;
    };
    if let Some(left) = &mut own.cut_after {
        if *left == 0 {
            own.stream.cut();
            return More::End;
        }
        *left -= 1;
    }
    own.last = text.clone();
    let Run { request, attempt } = run;
    if !own.stream.write(event(&TokenEvent { request, attempt, index, text, trail })) {
        return More::End;
    }
    own.next = index + 1;
    if own.next >= own.length {
        write_finish(own, request, attempt);
        return More::End;
    }
    let index = own.next;
    state.ready.push(Token { run, index, trail: Trail::default(), sink: Sink::Own });
    More::Token
}

fn write_finish(own: &Own, request: RequestId, attempt: AttemptId) {
    let event = event(&FinishEvent { request, attempt, finish: own.finish, tokens: own.length });
    // A reader that has gone misses it and asks again.
    let _ = own.stream.write(event);
    let _ = own.stream.write("data: [DONE]\n\n");
}

/// Writes a token of another request into the stream.
fn write_stranger(state: &State, run: Run, index: TokenIndex, text: &SmolStr, trail: &Trail) {
    let Some(own) = state.owns.get(&run) else {
        return;
    };
    let other = state.owns.iter().find(|(other, own)| other.request != run.request && own.next > 0);
    let (request, attempt, index, text) = match other {
        Some((other, own)) => (other.request, other.attempt, own.next - 1, own.last.clone()),
        None => (run.request ^ STRANGER, run.attempt, index, text.clone()),
    };
    // The token that follows meets a reader that has gone.
    let _ = own.stream.write(event(&TokenEvent {
        request,
        attempt,
        index,
        text,
        trail: trail.clone(),
    }));
}
