//! The part of a stream that comes along one path.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use path::{Fault, Path};
use site::TargetKey;
use tokio::sync::mpsc::Sender;
use tokio::time::{sleep, sleep_until};

use crate::answer::Broken;
use crate::link::Connection;
use crate::node::Node;
use crate::offer::{Open, Run, Running};
use crate::quarantine::CLEAR_EVENTS;
use crate::silence::{Silence, Verdict};
use crate::split::Splitter;

/// A stream counted at the first engine of its path while its events are passed on.
struct Flow {
    node: Rc<Node>,
    first: TargetKey,
    silent: bool,
}

impl Flow {
    fn begin(node: &Rc<Node>, first: &TargetKey) -> Self {
        node.table.borrow_mut().add_streams(first, 1, 0);
        Self { node: node.clone(), first: first.clone(), silent: false }
    }

    /// Notes whether the stream pauses.
    fn set_silent(&mut self, silent: bool) {
        if silent != self.silent {
            self.silent = silent;
            let change = if silent { 1 } else { -1 };
            self.node.table.borrow_mut().add_streams(&self.first, 0, change);
        }
    }
}

impl Drop for Flow {
    fn drop(&mut self) {
        self.set_silent(false);
        self.node.table.borrow_mut().add_streams(&self.first, -1, 0);
    }
}

/// What was passed on so far, over all parts.
#[derive(Default)]
pub(crate) struct Progress {
    pub(crate) last: Option<u64>,
    pub(crate) events: u64,
    pub(crate) first_at: Option<Duration>,
    last_at: Duration,
    /// Longest pause between events.
    pub(crate) pause: Duration,
    /// When the event after the longest pause came.
    pub(crate) pause_at: Duration,
    /// Times that the stream went on along another path.
    pub(crate) moves: u32,
    /// The path that was taken last.
    pub(crate) path: String,
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

/// Why events are no longer passed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Ended {
    Complete,
    /// The engine has broken off.
    Cut,
    /// An engine of the path does not go on. The connection stays open: it is better than none.
    Stopped,
    /// The caller has gone.
    Left,
    TimedOut,
}

/// A stream on its way along one path.
pub(crate) struct Part {
    body: Incoming,
    connection: Option<Connection>,
    running: Running,
    splitter: Splitter,
    silence: Silence,
    flow: Flow,
    /// Events that had been passed on when it began.
    before: u64,
    /// Whether it is noted that it ended without its answer.
    is_interrupted: bool,
}

impl Part {
    /// An answer that has begun, after `before` events.
    pub(crate) fn new(node: &Rc<Node>, open: Open, before: u64) -> Self {
        let Open { response, connection, running } = open;
        Self {
            body: response.into_body(),
            connection: Some(connection),
            flow: Flow::begin(node, &running.path.first().target),
            running,
            splitter: Splitter::default(),
            silence: Silence::new(node.now()),
            before,
            is_interrupted: false,
        }
    }

    /// The path along which it comes.
    pub(crate) fn path(&self) -> &Path {
        &self.running.path
    }

    /// Notes, once, that the path has not brought the answer: whether a request may be sent on is
    /// judged by that.
    pub(crate) fn interrupt(&mut self, run: &Run, progress: &Progress) {
        if !std::mem::replace(&mut self.is_interrupted, true) {
            let fresh = progress.events == self.before;
            run.interrupted(&self.running.path, self.running.begun, fresh);
        }
    }

    /// Goes on waiting for a stopped engine, as there is no other path now.
    pub(crate) fn hold(&mut self, now: Duration) {
        self.silence.hold(now);
    }

    /// Passes events on until the path ends, or an engine of it stops.
    pub(crate) async fn pass_on(
        &mut self,
        run: &Run,
        sender: &Sender<Result<Bytes, Broken>>,
        progress: &mut Progress,
    ) -> Ended {
        let node = &run.node;
        let ends = run.ends();
        let clear_at = self.before + CLEAR_EVENTS;
        loop {
            let path = &self.running.path;
            let frame = tokio::select! {
                frame = self.body.frame() => frame,
                () = sender.closed() => return Ended::Left,
                () = sleep_until(ends) => return Ended::TimedOut,
                () = node.changed.notified() => {
                    if self.silence.learn(node.now(), node.is_broken(path)) {
                        return Ended::Stopped;
                    }
                    continue;
                }
                () = sleep(self.silence.look_at().saturating_sub(node.now())) => {
                    let verdict = self.silence.look(node.now(), node.is_broken(path));
                    if verdict == Verdict::Wait {
                        continue;
                    }
                    self.flow.set_silent(true);
                    node.question(path);
                    let searched = verdict == Verdict::Search && run.is_stuck(path);
                    if verdict == Verdict::GiveUp || searched {
                        return Ended::Stopped;
                    }
                    continue;
                }
            };
            let bytes = match frame {
                None if self.splitter.is_torn() => return Ended::Cut,
                None => {
                    if let Some(connection) = self.connection.take() {
                        node.pool.give_back(connection);
                    }
                    node.answered(run.call.fingerprint);
                    return Ended::Complete;
                }
                Some(Err(_)) => {
                    run.is_stuck(path);
                    return Ended::Cut;
                }
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(bytes) => bytes,
                    Err(_) => continue,
                },
            };
            let heard = node.now();
            self.splitter.push(&bytes);
            while let Some(event) = self.splitter.pop() {
                if !event.is_comment {
                    self.silence.hear(heard);
                    self.flow.set_silent(false);
                }
                // An event that the caller has already.
                if event.id.is_some() && event.id <= progress.last {
                    continue;
                }
                progress.note(event.id, heard);
                if progress.events == clear_at {
                    node.cleared(run.call.fingerprint);
                }
                tokio::select! {
                    sent = sender.send(Ok(event.bytes)) => if sent.is_err() {
                        return Ended::Left;
                    },
                    // A caller that reads too slowly.
                    () = sleep_until(ends) => return Ended::TimedOut,
                }
            }
            if self.splitter.is_overlong() {
                node.fault(path.first().address, Fault::Failed, "an event without end");
                return Ended::Cut;
            }
        }
    }
}
