//! Passing on the events of a stream, over as many paths as it takes.

use std::time::Duration;

use bytes::Bytes;
use site::Kind;
use tokio::sync::mpsc::Sender;
use tokio::time::sleep;

use crate::answer::Broken;
use crate::event::{ANSWERED, KEPT};
use crate::offer::{Closed, Open, Run};
use crate::part::{Ended, Part, Progress};

/// How long a path is sought for a stream that has none: callers wait two seconds for an event.
const SEEK_TIME: Duration = Duration::from_millis(1000);
/// Pause between two tries.
const SEEK_INTERVAL: Duration = Duration::from_millis(150);

/// How a stream goes on.
enum Next {
    /// Along another path.
    Moved(Open),
    /// Along the path that it had.
    Held(Part),
}

/// Passes events on until the stream is complete, from other paths where one is cut or stops.
pub(crate) async fn pump(mut run: Run, open: Open, sender: Sender<Result<Bytes, Broken>>) {
    let mut progress = Progress::default();
    let outcome = pass_all(&mut run, open, &sender, &mut progress).await;
    log_end(&run, outcome, &progress);
    if !matches!(outcome, "complete" | "caller left") {
        // A caller that has gone meanwhile needs no word.
        sender.send(Err(Broken)).await.ok();
    }
}

/// Passes events on; returns how the stream ended.
async fn pass_all(
    run: &mut Run,
    open: Open,
    sender: &Sender<Result<Bytes, Broken>>,
    progress: &mut Progress,
) -> &'static str {
    let mut part = Part::new(&run.node, open, 0);
    progress.path = part.path().to_string();
    loop {
        let ended = part.pass_on(run, sender, progress).await;
        match ended {
            Ended::Complete => return "complete",
            Ended::Left => return "caller left",
            Ended::TimedOut => return "timed out",
            Ended::Cut | Ended::Stopped => {}
        }
        let next = tokio::select! {
            next = go_on(run, part, ended, progress) => next,
            () = sender.closed() => return "caller left",
        };
        part = match next {
            Ok(Next::Held(part)) => part,
            Ok(Next::Moved(open)) => {
                let part = Part::new(&run.node, open, progress.events);
                progress.moves += 1;
                progress.path = part.path().to_string();
                part
            }
            Err(closed) => return closed.cut(),
        };
    }
}

fn log_end(run: &Run, outcome: &'static str, progress: &Progress) {
    let node = &run.node;
    let since = |at: Duration| at.saturating_sub(run.call.begun).as_millis();
    let event = run
        .call
        .event(ANSWERED)
        .with("route", &run.call.route)
        .with("outcome", outcome)
        .with("offers", run.offers)
        .with("moves", progress.moves)
        .with("events", progress.events)
        .with("first_ms", progress.first_at.map_or(0, since))
        .with("pause_ms", progress.pause.as_millis())
        .with("pause_at_ms", since(progress.pause_at))
        .with("path", &progress.path)
        .with("ms", since(node.now()));
    log::info!("{event}");
    metrics::counter!("magnolia_streams", "outcome" => outcome).increment(1);
    if let Some(first) = progress.first_at {
        let first = first.saturating_sub(run.call.begun);
        metrics::histogram!("magnolia_first_event_seconds").record(first);
        metrics::histogram!("magnolia_pause_seconds").record(progress.pause);
    }
}

/// Lets a stream go on whose part has ended: along another path, or along the one it has if that
/// has only stopped and there is no other.
async fn go_on(
    run: &mut Run,
    mut part: Part,
    ended: Ended,
    progress: &Progress,
) -> Result<Next, Closed> {
    let resumable = matches!(run.call.kind, Kind::Stream { resumable: true });
    let path = part.path().clone();
    part.interrupt(run, progress);
    run.has_run(&path);
    if ended == Ended::Stopped {
        run.held = Some(part);
    } else {
        // What it held at the engines is free for the next path.
        drop(part);
    }
    let until = run.node.now() + SEEK_TIME;
    loop {
        let closed = match resumable {
            true => match run.open(progress.last).await {
                Ok(open) => {
                    run.held = None;
                    return Ok(Next::Moved(open));
                }
                Err(closed) => closed,
            },
            false => Closed::Unknown,
        };
        // Silence alone ends nothing: an engine that leaves is waited for as long as it goes on.
        if let Some(mut held) = run.held.take().filter(|_| !run.node.is_lost(&path)) {
            let event = run.call.event(KEPT).with("lacks", closed.lacks()).with("path", &path);
            log::info!("{event}");
            held.hold(run.node.now());
            return Ok(Next::Held(held));
        }
        if !closed.may_pass() || run.node.now() >= until {
            return Err(closed);
        }
        sleep(SEEK_INTERVAL).await;
    }
}
