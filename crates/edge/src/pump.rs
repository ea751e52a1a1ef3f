//! Forwards the events of a stream, over as many paths as needed.

use std::time::Duration;

use path::Path;
use site::Kind;
use tokio::time::sleep;

use crate::dispatch::{Dispatch, Failure, Opened};
use crate::event::{ANSWERED, INTERRUPTED, KEPT};
use crate::forward;
use crate::pool::Exchange;
use crate::queue::Sender;
use crate::segment::{Ended, Progress, Segment};

/// First pause between attempts to find a path.
const MIN_RESUME_PAUSE: Duration = Duration::from_millis(150);
/// Maximum pause between attempts to find a path: callers wait two seconds for an event.
const MAX_RESUME_PAUSE: Duration = Duration::from_millis(600);

/// Where the events of a stream come from.
enum Source {
    Path(Segment),
    /// Another node, to which the request was forwarded.
    Node(Exchange),
}

impl Source {
    /// Returns the source of an answer whose head has arrived.
    fn begin(dispatch: &Dispatch, opened: Opened, progress: &mut Progress) -> Self {
        progress.begin_segment();
        match opened {
            Opened::Path(accepted) => {
                let segment = Segment::new(&dispatch.node, accepted, progress.events);
                progress.path = segment.path().to_string();
                Self::Path(segment)
            }
            Opened::Node(exchange) => {
                progress.path = "another node".to_owned();
                Self::Node(exchange)
            }
        }
    }
}

/// Forwards events until the stream is complete. Resumes on other paths if one is cut or stalls.
pub(crate) async fn pump(mut dispatch: Dispatch, opened: Opened, sender: Sender) {
    let mut progress = Progress::default();
    let outcome = forward_all(&mut dispatch, opened, &sender, &mut progress).await;
    log_end(&dispatch, outcome, &progress);
    if !matches!(outcome, "complete" | "caller left") {
        sender.end_broken().await;
    }
}

/// Forwards events. Returns the outcome of the stream.
async fn forward_all(
    dispatch: &mut Dispatch,
    opened: Opened,
    sender: &Sender,
    progress: &mut Progress,
) -> &'static str {
    dispatch.has_begun = true;
    let mut source = Source::begin(dispatch, opened, progress);
    loop {
        let events_before = progress.events;
        let (ended, segment) = match source {
            Source::Path(mut segment) => {
                let ended = segment.forward_events(dispatch, sender, progress).await;
                (ended, Some(segment))
            }
            Source::Node(exchange) => {
                (forward::relay_events(dispatch, exchange, sender, progress).await, None)
            }
        };
        if let Some(outcome) = ended.outcome() {
            return outcome;
        }
        log_interruption(dispatch, ended, segment.as_ref(), progress);
        let is_empty = match &segment {
            Some(segment) => segment.is_empty(progress),
            None => progress.events == events_before,
        };
        let is_cut_empty = is_empty && ended != Ended::Stalled;
        progress.empty_segments = if is_cut_empty { progress.empty_segments + 1 } else { 0 };
        let path = segment.map(|segment| leave(dispatch, segment, ended, progress));
        let resumed = tokio::select! {
            resumed = resume(dispatch, path, progress) => resumed,
            () = sender.closed() => return "caller left",
        };
        source = match resumed {
            Ok(source) => source,
            Err(failure) => return failure.stream_outcome(),
        };
    }
}

/// Logs that the stream is to go on elsewhere.
fn log_interruption(
    dispatch: &Dispatch,
    ended: Ended,
    segment: Option<&Segment>,
    progress: &Progress,
) {
    let is_broken = segment.is_some_and(|segment| dispatch.node.is_broken(segment.path()));
    let event = dispatch
        .call
        .event(INTERRUPTED)
        .with("ended", format_args!("{ended:?}"))
        .with("events", progress.events)
        .with("is_broken", is_broken)
        .with("left_ms", dispatch.time_left().as_millis())
        .with("path", &progress.path);
    log::info!("{event}");
}

/// Leaves a path that has ended or stalled, and returns it. One that has stalled may go on.
fn leave(dispatch: &mut Dispatch, mut segment: Segment, ended: Ended, progress: &Progress) -> Path {
    let path = segment.path().clone();
    segment.record_interruption(dispatch, progress);
    dispatch.record_run(&path);
    // Dropping a segment frees its memory at the engines for the next path.
    dispatch.fallback = Some(segment).filter(|_| ended == Ended::Stalled);
    path
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
        .with("prompt", dispatch.call.prompt_tokens)
        .with("priority", dispatch.call.sent_priority())
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

/// Resumes a stream that has left `path`, or was lost by another node: on another path, or on the
/// same one if that has only stalled and no other is available. An attempt that fails says nothing
/// about the next one, so a path is sought until the caller leaves, its deadline passes, or no engine
/// may run the request.
async fn resume(
    dispatch: &mut Dispatch,
    path: Option<Path>,
    progress: &mut Progress,
) -> Result<Source, Failure> {
    let resumable =
        matches!(dispatch.call.kind, Kind::Stream { resumable: true }) && !progress.is_unnumbered;
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
                    progress.moves += 1;
                    return Ok(Source::begin(dispatch, opened, progress));
                }
                Err(failure) => failure,
            },
            false => Failure::Unknown("not resumable"),
        };
        // A silent path is kept as long as none of its engines is lost: a draining engine may still
        // continue the stream.
        let is_lost = path.as_ref().is_none_or(|path| dispatch.node.is_lost(path));
        if let Some(mut kept) = dispatch.fallback.take().filter(|_| !is_lost) {
            let event =
                dispatch.call.event(KEPT).with("lacks", failure.reason()).with("path", kept.path());
            log::info!("{event}");
            kept.defer_checks(dispatch.node.now());
            return Ok(Source::Path(kept));
        }
        let left = dispatch.time_left();
        if !resumable || left.is_zero() || !dispatch.may_resume_later(&failure) {
            return Err(failure);
        }
        sleep(pause.min(left)).await;
        pause = (pause * 2).min(MAX_RESUME_PAUSE);
    }
}
