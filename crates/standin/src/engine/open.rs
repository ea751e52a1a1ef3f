//! Completions: how a stream begins at the first stage.

use std::sync::Arc;

use fleet::prefix_hashes;
use hyper::StatusCode;
use smol_str::SmolStr;

use super::decode;
use super::deliver::end;
use super::server::Shared;
use super::session::{self, TOKEN_BYTES};
use super::state::{Own, Phase, State};
use super::wire::{Completion, Open, Run, marks};
use crate::http::{Call, Reply, Stream};

/// Takes a completion, or refuses it before it ran.
pub(super) fn completion(shared: &Arc<Shared>, call: &Call) -> Reply {
    let completion: Completion = match call.json() {
        Ok(completion) => completion,
        Err(error) => return bad("invalid", &error.to_string()),
    };
    let run = Run { request: completion.plan.request, attempt: completion.plan.attempt };
    if let Err(refusal) = check(&mut shared.state(), run, &completion) {
        return refusal;
    }
    replace_lower(shared, run);
    let (stream, reply) = Reply::stream("text/event-stream");
    begin(&mut shared.state(), run, &completion, stream);
    shared.work.notify_one();
    reply
}

fn check(state: &mut State, run: Run, completion: &Completion) -> Result<(), Reply> {
    match state.phase {
        Phase::Leaving => return Err(refuse("leaving", "takes no new work")),
        Phase::Loading => return Err(refuse("loading", "layers are being loaded")),
        Phase::Live => {}
    }
    let plan = &completion.plan;
    if plan.stages.verify(plan.depth).is_err() {
        return Err(bad("wrong-plan", "the stages do not cover all layers once and in order"));
    }
    if state.model.as_ref() != Some(&completion.model) {
        return Err(bad("wrong-model", "another model is loaded"));
    }
    session::check(state, run, &plan.stages.stages)
        .map_err(|error| bad(error.reason(), "the plan does not begin here"))?;
    if state.owns.contains_key(&run) {
        return Err(bad("duplicate", "this attempt runs already"));
    }
    let resumed = plan.resume.text.iter().zip(0..);
    if resumed.clone().count() as u32 != plan.resume.index
        || resumed.into_iter().any(|(text, index)| *text != decode::token_text(plan.seed, index))
    {
        return Err(bad("wrong-resume", "the text does not follow from the seed"));
    }
    if state.faults.full > 0 {
        state.faults.full -= 1;
        return Err(full());
    }
    if state.waiting() >= state.queue_limit {
        return Err(full());
    }
    Ok(())
}

/// Ends lower attempts at the request.
fn replace_lower(shared: &Arc<Shared>, run: Run) {
    let Some(lower) = run.lower() else {
        return;
    };
    let replaced = shared.state().cancel(lower);
    let name = shared.state().name.clone();
    for other in replaced {
        end(shared, other, Some((name.clone(), SmolStr::new_static("replaced"))));
    }
}

fn begin(state: &mut State, run: Run, completion: &Completion, stream: Stream) {
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
        marks: marks(&prompt),
    };
    state.arrivals += 1;
    let own = Own {
        stream,
        priority: plan.priority,
        arrival: state.arrivals,
        open: Some(open),
        next: plan.resume.index,
        length,
        finish,
        cut_after: state.faults.cut_next.take(),
        late: state.faults.late_next.take(),
        last: SmolStr::default(),
    };
    state.owns.insert(run, own);
}

fn refuse(kind: &str, message: &str) -> Reply {
    let mut reply = Reply::not_run(StatusCode::SERVICE_UNAVAILABLE, kind, message);
    reply.headers.push(("retry-after", "1".to_owned()));
    reply
}

fn full() -> Reply {
    let mut reply = Reply::not_run(StatusCode::TOO_MANY_REQUESTS, "full", "the queue is full");
    reply.headers.push(("retry-after", "1".to_owned()));
    reply
}

fn bad(kind: &str, message: &str) -> Reply {
    Reply::not_run(StatusCode::BAD_REQUEST, kind, message)
}
