//! Admission of completions at the first stage.

use std::sync::Arc;

use fleet::prefix_hashes;
use hyper::StatusCode;
use smol_str::SmolStr;

use super::decode;
use super::deliver::end_stream;
use super::server::Shared;
use super::session::{self, TOKEN_BYTES};
use super::state::{Generation, Phase, State};
use super::wire::{AttemptKey, Completion, Open, crash_markers};
use crate::http::{Call, Reply, Stream};

/// Queues a completion and returns its response stream, or rejects it as not run.
pub(super) fn completion(shared: &Arc<Shared>, call: &Call) -> Reply {
    let completion: Completion = match call.json() {
        Ok(completion) => completion,
        Err(error) => return bad_request("invalid", &error.to_string()),
    };
    let key = AttemptKey { request: completion.plan.request, attempt: completion.plan.attempt };
    if let Err(refusal) = admit(&mut shared.state(), key, &completion) {
        return refusal;
    }
    replace_previous(shared, key);
    let (stream, reply) = Reply::stream("text/event-stream");
    enqueue_generation(&mut shared.state(), key, &completion, stream);
    shared.work.notify_one();
    reply
}

fn admit(state: &mut State, key: AttemptKey, completion: &Completion) -> Result<(), Reply> {
    match state.phase {
        Phase::Leaving => return Err(unavailable("leaving", "the engine accepts no new work")),
        Phase::Loading => return Err(unavailable("loading", "layers are being loaded")),
        Phase::Live => {}
    }
    let plan = &completion.plan;
    if plan.stages.verify(plan.depth).is_err() {
        return Err(bad_request(
            "wrong-plan",
            "the stages do not cover all layers once and in order",
        ));
    }
    if state.model.as_ref() != Some(&completion.model) {
        return Err(bad_request("wrong-model", "another model is loaded"));
    }
    session::check_open(state, key, &plan.stages.stages)
        .map_err(|error| bad_request(error.reason(), "this attempt cannot start on this engine"))?;
    if state.generations.contains_key(&key) {
        return Err(bad_request("duplicate", "this attempt is already running"));
    }
    let resumed = plan.resume.text.iter().zip(0..);
    if resumed.clone().count() as u32 != plan.resume.index
        || resumed.into_iter().any(|(text, index)| *text != decode::token_text(plan.seed, index))
    {
        return Err(bad_request(
            "wrong-resume",
            "the resumed text does not match its index or the seed",
        ));
    }
    if state.faults.full_rejections > 0 {
        state.faults.full_rejections -= 1;
        return Err(queue_full());
    }
    if state.waiting() >= state.queue_limit {
        return Err(queue_full());
    }
    Ok(())
}

/// Ends all lower attempts of the same request that this engine runs.
fn replace_previous(shared: &Arc<Shared>, key: AttemptKey) {
    let Some(previous) = key.previous() else {
        return;
    };
    let replaced = shared.state().cancel(previous);
    let name = shared.state().name.clone();
    for other in replaced {
        end_stream(shared, other, Some((name.clone(), SmolStr::new_static("replaced"))));
    }
}

fn enqueue_generation(state: &mut State, key: AttemptKey, completion: &Completion, stream: Stream) {
    let plan = &completion.plan;
    let prompt = completion.prompt_text();
    let prompt_tokens = u32::try_from(prompt.len().div_ceil(TOKEN_BYTES)).unwrap_or(u32::MAX);
    let (length, finish) = decode::answer_length(plan.seed, completion.max_tokens());
    let open = Open {
        seed: plan.seed,
        stages: plan.stages.stages.clone(),
        prefixes: prefix_hashes(&prompt),
        prompt_tokens,
        from: plan.resume.index,
        marks: crash_markers(&prompt),
    };
    state.arrivals += 1;
    let generation = Generation {
        stream,
        priority: plan.priority,
        arrival: state.arrivals,
        open: Some(open),
        next: plan.resume.index,
        length,
        finish,
        cut_after: state.faults.cut_next_after.take(),
        first_token_delay: state.faults.delay_next.take(),
        last_text: SmolStr::default(),
    };
    state.generations.insert(key, generation);
}

fn unavailable(kind: &str, message: &str) -> Reply {
    let mut reply = Reply::not_run(StatusCode::SERVICE_UNAVAILABLE, kind, message);
    reply.headers.push(("retry-after", "1".to_owned()));
    reply
}

fn queue_full() -> Reply {
    let mut reply = Reply::not_run(StatusCode::TOO_MANY_REQUESTS, "full", "the queue is full");
    reply.headers.push(("retry-after", "1".to_owned()));
    reply
}

fn bad_request(kind: &str, message: &str) -> Reply {
    Reply::not_run(StatusCode::BAD_REQUEST, kind, message)
}
