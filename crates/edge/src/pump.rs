//! Passing on the events of a stream, over as many paths as it takes.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use site::Kind;
use tokio::sync::mpsc::Sender;
use tokio::time::{sleep, sleep_until};

use crate::answer::Broken;
use crate::event::ANSWERED;
use crate::node::Node;
use crate::offer::{Open, Run};
use crate::quarantine::CLEAR_EVENTS;
use crate::silence::{Silence, Verdict};
use crate::split::Splitter;

/// A stream counted at the first engine of its path while its events are passed on.
struct Flow<'a> {
    node: &'a Node,
    first: &'a str,
    silent: bool,
}

impl<'a> Flow<'a> {
    fn begin(node: &'a Node, first: &'a str) -> Self {
        node.table.borrow_mut().stream(first, 1, 0);
        Self { node, first, silent: false }
    }

    /// Notes whether the stream pauses.
    fn set_silent(&mut self, silent: bool) {
        if silent != self.silent {
            self.silent = silent;
            let change = if silent { 1 } else { -1 };
            self.node.table.borrow_mut().stream(self.first, 0, change);
        }
    }
}

impl Drop for Flow<'_> {
    fn drop(&mut self) {
        self.set_silent(false);
        self.node.table.borrow_mut().stream(self.first, -1, 0);
    }
}

/// How a part of a stream ended.
enum Ended {
    Complete,
    /// The engines do not go on.
    Cut,
    /// The caller has gone.
    Left,
    TimedOut,
}

/// What was passed on so far.
#[derive(Default)]
struct Progress {
    last: Option<u64>,
    events: u64,
    first_at: Option<Duration>,
    last_at: Duration,
    /// Longest pause between events.
    pause: Duration,
    /// When the event after the longest pause came.
    pause_at: Duration,
    /// Engines of the path that was taken last.
    path: String,
}

impl Progress {
    /// Notes an event that was passed on.
    fn note(&mut self, id: Option<u64>, now: Duration) {
        if self.first_at.is_some() {
            let pause = now.saturating_sub(self.last_at);
            if pause > self.pause {
                self.pause = pause;
                self.pause_at = now;
            }
        }
        self.first_at.get_or_insert(now);
        self.last_at = now;
        self.last = id.or(self.last);
        self.events += 1;
    }
}

/// Passes events on until the stream is complete, from other paths where one is cut.
pub(crate) async fn pump(mut run: Run, mut open: Open, sender: Sender<Result<Bytes, Broken>>) {
    let mut progress = Progress::default();
    let mut moves = 0;
    let outcome = loop {
        let path = open.running.path.clone();
        progress.path = path.to_string();
        let (begun, before) = (open.running.begun, progress.events);
        let part = pass_on(&run, open, &sender, &mut progress).await;
        let resumable = matches!(run.call.kind, Kind::Stream { resumable: true });
        match part {
            Ended::Complete => break "complete",
            Ended::Left => break "caller left",
            Ended::TimedOut => break "timed out",
            Ended::Cut => run.interrupted(&path, begun, progress.events == before),
        }
        if !resumable {
            break "cut";
        }
        moves += 1;
        // A target that has ended does not count among those that ran the request.
        if !run.node.table.borrow().has_failed(&path.first().target) {
            run.ran += 1;
            // With every engine of the path in use, only the one that cut can be at fault.
            if !run.node.is_broken(&path) {
                run.avoid(path.first().address);
            }
        }
        if run.ran >= run.call.attempts {
            break "cut, no attempt left";
        }
        open = tokio::select! {
            opened = run.open(progress.last) => match opened {
                Ok(open) => open,
                Err(closed) => break closed.cut(),
            },
            () = sender.closed() => break "caller left",
        };
    };
    if !matches!(outcome, "complete" | "caller left") {
        // A caller that has gone meanwhile needs no word.
        sender.send(Err(Broken)).await.ok();
    }
    let node = &run.node;
    let since = |at: Duration| at.saturating_sub(run.call.begun).as_millis();
    let event = run
        .call
        .event(ANSWERED)
        .with("route", &run.call.route)
        .with("outcome", outcome)
        .with("offers", run.offers)
        .with("moves", moves)
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

/// Passes on the events of one path.
async fn pass_on(
    run: &Run,
    open: Open,
    sender: &Sender<Result<Bytes, Broken>>,
    progress: &mut Progress,
) -> Ended {
    let Open { response, connection, running } = open;
    let mut body = response.into_body();
    let mut splitter = Splitter::default();
    let node = &run.node;
    let ends = run.ends();
    let mut silence = Silence::new(node.now());
    let first = running.path.first().target.clone();
    let mut flow = Flow::begin(node, &first);
    let clear_at = progress.events + CLEAR_EVENTS;
    loop {
        let frame = tokio::select! {
            frame = body.frame() => frame,
            () = sender.closed() => return Ended::Left,
            () = sleep_until(ends) => return Ended::TimedOut,
            () = node.changed.notified() => {
                if silence.learn(node.now(), node.is_broken(&running.path)) {
                    return Ended::Cut;
                }
                continue;
            }
            () = sleep(silence.look_at().saturating_sub(node.now())) => {
                let verdict = silence.look(node.now(), node.is_broken(&running.path));
                if verdict == Verdict::Wait {
                    continue;
                }
                flow.set_silent(true);
                node.question(&running.path);
                let searched = verdict == Verdict::Search && run.is_stuck(&running.path);
                if verdict == Verdict::GiveUp || searched {
                    return Ended::Cut;
                }
                continue;
            }
        };
        let bytes = match frame {
            None if splitter.is_torn() => return Ended::Cut,
            None => {
                node.pool.give_back(connection);
                node.answered(run.call.fingerprint);
                return Ended::Complete;
            }
            Some(Err(_)) => {
                run.is_stuck(&running.path);
                return Ended::Cut;
            }
            Some(Ok(frame)) => match frame.into_data() {
                Ok(bytes) => bytes,
                Err(_) => continue,
            },
        };
        let heard = node.now();
        silence.hear(heard);
        flow.set_silent(false);
        splitter.push(&bytes);
        while let Some(event) = splitter.pop() {
            // An event that the caller has already.
            if event.id.is_some() && event.id <= progress.last {
                continue;
            }
            progress.note(event.id, heard);
            if progress.events == clear_at {
                node.cleared(run.call.fingerprint);
            }
            if sender.send(Ok(event.bytes)).await.is_err() {
                return Ended::Left;
            }
        }
    }
}
