//! Forwards the events of a stream, over as many paths as needed.

use std::time::Duration;

use bytes::Bytes;
use site::Kind;
use tokio::sync::mpsc::Sender;
use tokio::time::sleep;

use crate::answer::Broken;
use crate::dispatch::{Dispatch, Failure, Opened};
use crate::event::{ANSWERED, INTERRUPTED, KEPT};
use crate::forward;
use crate::segment::{Ended, Progress, Segment};

/// First pause between attempts to find a path.
const MIN_RESUME_PAUSE: Duration = Duration::from_millis(150);
/// Maximum pause between attempts to find a path: callers wait two seconds for an event.
const MAX_RESUME_PAUSE: Duration = Duration::from_millis(600);

/// How a stream continues.
enum Continuation {
    /// On another path, or from another node.
    Moved(Opened),
    /// On the path that it had.
    Kept(Segment),
}

/// Forwards events until the stream is complete. Resumes on other paths if one is cut or stalls.
pub(crate) async fn pump(
    mut dispatch: Dispatch,
    opened: Opened,
    sender: Sender<Result<Bytes, Broken>>,
) {
    let mut progress = Progress::default();
    let outcome = forward_all(&mut dispatch, opened, &sender, &mut progress).await;
    log_end(&dispatch, outcome, &progress);
    if !matches!(outcome, "complete" | "caller left") {
        // The send fails only if the caller has disconnected, which needs no further action.
        sender.send(Err(Broken)).await.ok();
    }
}

/// Forwards events. Returns the outcome of the stream.
async fn forward_all(
    dispatch: &mut Dispatch,
    opened: Opened,
    sender: &Sender<Result<Bytes, Broken>>,
    progress: &mut Progress,
) -> &'static str {
    dispatch.has_begun = true;
    let mut next = Continuation::Moved(opened);
    loop {
        let mut segment = match next {
            Continuation::Kept(segment) => segment,
            Continuation::Moved(Opened::Path(accepted)) => {
                progress.begin_segment();
                let segment = Segment::new(&dispatch.node, accepted, progress.events);
                progress.path = segment.path().to_string();
                segment
            }
            Continuation::Moved(Opened::Node(exchange)) => {
                progress.begin_segment();
                progress.path = "another node".to_owned();
                let ended = forward::relay_events(dispatch, exchange, sender, progress).await;
                return ended.outcome().unwrap_or("cut by another node");
            }
        };
        let ended = segment.forward_events(dispatch, sender, progress).await;
        if let Some(outcome) = ended.outcome() {
            return outcome;
        }
        let resumed = tokio::select! {
            resumed = resume(dispatch, segment, ended, progress) => resumed,
            () = sender.closed() => return "caller left",
        };
        next = match resumed {
            Ok(next) => next,
            Err(failure) => return failure.stream_outcome(),
        };
        progress.moves += u32::from(matches!(next, Continuation::Moved(_)));
    }
}

fn log_end(dispatch: &Dispatch, outcome: &'static str, progress: &Progress) {
    let node = &dispatch.node;
    let since = |at: Duration| at.saturating_sub(dispatch.call.received_at).as_millis();
    let event = dispatch
        .call
        .event(ANSWERED)
        .with("route", &dispatch.call.route)
        .with("parts", dispatch.call.listed_parts())
        .with("outcome", outcome)
        .with("offers", dispatch.offers)
        .with("moves", progress.moves)
        .with("events", progress.events)
        .with("first_ms", progress.first_at.map_or(0, since))
        .with("pause_ms", progress.longest_gap.as_millis())
        .with("pause_at_ms", since(progress.longest_gap_at))
        .with("path", &progress.path)
        .with("ms", since(node.now()));
    log::info!("{event}");
    metrics::counter!("magnolia_streams", "outcome" => outcome).increment(1);
    if let Some(first) = progress.first_at {
        let first = first.saturating_sub(dispatch.call.received_at);
        metrics::histogram!("magnolia_first_event_seconds").record(first);
        metrics::histogram!("magnolia_pause_seconds").record(progress.longest_gap);
    }
}

/// Resumes a stream whose segment has ended: on another path, or on the same one if that has only
/// stalled and no other is available. An attempt that fails says nothing about the next one, so a
/// path is sought until the caller leaves, its deadline passes, or no engine may run the request.
async fn resume(
    dispatch: &mut Dispatch,
    mut segment: Segment,
    ended: Ended,
    progress: &mut Progress,
) -> Result<Continuation, Failure> {
    let resumable =
        matches!(dispatch.call.kind, Kind::Stream { resumable: true }) && !progress.is_unnumbered;
    let path = segment.path().clone();
    let event = dispatch
        .call
        .event(INTERRUPTED)
        .with("ended", format_args!("{ended:?}"))
        .with("events", progress.events)
        .with("is_broken", dispatch.node.is_broken(&path))
        .with("left_ms", dispatch.time_left().as_millis())
        .with("path", &path);
    log::info!("{event}");
    segment.record_interruption(dispatch, progress);
    dispatch.record_run(&path);
    let is_cut_empty = ended != Ended::Stalled && segment.is_empty(progress);
    progress.empty_segments = if is_cut_empty { progress.empty_segments + 1 } else { 0 };
    if ended == Ended::Stalled {
        dispatch.fallback = Some(segment);
    } else {
        // Dropping the segment frees its memory at the engines for the next path.
        drop(segment);
    }
    if progress.empty_segments > 1 {
        // Engines that accept a stream and break it off at once would use up the retries of others.
        sleep(MAX_RESUME_PAUSE.min(dispatch.time_left())).await;
    }
    let mut pause = MIN_RESUME_PAUSE;
    loop {
        let failure = match resumable {
            true => match dispatch.open(progress.last_event).await {
                Ok(opened) => {
                    dispatch.fallback = None;
                    return Ok(Continuation::Moved(opened));
                }
                Err(failure) => failure,
            },
            false => Failure::Unknown("not resumable"),
        };
        // A silent path is kept as long as none of its engines is lost: a draining engine may still
        // continue the stream.
        if let Some(mut kept) = dispatch.fallback.take().filter(|_| !dispatch.node.is_lost(&path)) {
            let event =
                dispatch.call.event(KEPT).with("lacks", failure.reason()).with("path", &path);
            log::info!("{event}");
            kept.defer_checks(dispatch.node.now());
            return Ok(Continuation::Kept(kept));
        }
        let left = dispatch.time_left();
        if !resumable || left.is_zero() || !dispatch.may_resume_later(&failure) {
            return Err(failure);
        }
        sleep(pause.min(left)).await;
        pause = (pause * 2).min(MAX_RESUME_PAUSE);
    }
}
