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
use crate::dispatch::{Accepted, Dispatch, InFlight};
use crate::node::Node;
use crate::pool::Connection;
use crate::quarantine::CLEARING_EVENTS;
use crate::split::Splitter;
use crate::watchdog::{Verdict, Watchdog};

/// A stream counted at the first engine of its path while its events are passed on.
struct StreamGuard {
    node: Rc<Node>,
    first: TargetKey,
    silent: bool,
}

impl StreamGuard {
    fn register(node: &Rc<Node>, first: &TargetKey) -> Self {
        node.table.borrow_mut().stream(first, 1, 0);
        Self { node: node.clone(), first: first.clone(), silent: false }
    }

    /// Notes whether the stream pauses.
    fn set_silent(&mut self, silent: bool) {
        if silent != self.silent {
            self.silent = silent;
            let change = if silent { 1 } else { -1 };
            self.node.table.borrow_mut().stream(&self.first, 0, change);
        }
    }
}

impl Drop for StreamGuard {
    fn drop(&mut self) {
        self.set_silent(false);
        self.node.table.borrow_mut().stream(&self.first, -1, 0);
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
    pub(crate) longest_gap: Duration,
    /// When the event after the longest pause came.
    pub(crate) longest_gap_at: Duration,
    /// Times that the stream went on along another path.
    pub(crate) moves: u32,
    /// The path that was taken last.
    pub(crate) path: String,
}

impl Progress {
    /// Notes an event that was passed on.
    fn record_event(&mut self, id: Option<u64>, now: Duration) {
        if self.first_at.is_some() {
            let longest_gap = now.saturating_sub(self.last_at);
            if longest_gap > self.longest_gap {
                self.longest_gap = longest_gap;
                self.longest_gap_at = now;
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
    Stalled,
    /// The caller has gone.
    CallerGone,
    TimedOut,
}

/// A stream on its way along one path.
pub(crate) struct Segment {
    body: Incoming,
    connection: Option<Connection>,
    in_flight: InFlight,
    splitter: Splitter,
    watchdog: Watchdog,
    stream_guard: StreamGuard,
    /// Events that had been passed on when it began.
    events_before: u64,
    /// Whether it is noted that it ended without its answer.
    interruption_recorded: bool,
}

impl Segment {
    /// An answer that has begun, after `before` events.
    pub(crate) fn new(node: &Rc<Node>, open: Accepted, events_before: u64) -> Self {
        let Accepted { response, connection, in_flight } = open;
        Self {
            body: response.into_body(),
            connection: Some(connection),
            stream_guard: StreamGuard::register(node, &in_flight.path.first().target),
            in_flight,
            splitter: Splitter::default(),
            watchdog: Watchdog::new(node.now()),
            events_before,
            interruption_recorded: false,
        }
    }

    /// The path along which it comes.
    pub(crate) fn path(&self) -> &Path {
        &self.in_flight.path
    }

    /// Notes, once, that the path has not brought the answer: whether a request may be sent on is
    /// judged by that.
    pub(crate) fn record_interruption(&mut self, dispatch: &Dispatch, progress: &Progress) {
        if !std::mem::replace(&mut self.interruption_recorded, true) {
            let fresh = progress.events == self.events_before;
            dispatch.record_interruption(&self.in_flight.path, self.in_flight.sent_at, fresh);
        }
    }

    /// Goes on waiting for a stopped engine, as there is no other path now.
    pub(crate) fn defer_checks(&mut self, now: Duration) {
        self.watchdog.defer(now);
    }

    /// Passes events on until the path ends, or an engine of it stops.
    pub(crate) async fn forward_events(
        &mut self,
        dispatch: &Dispatch,
        sender: &Sender<Result<Bytes, Broken>>,
        progress: &mut Progress,
    ) -> Ended {
        let node = &dispatch.node;
        let ends = dispatch.deadline();
        let clear_at = self.events_before + CLEARING_EVENTS;
        loop {
            let path = &self.in_flight.path;
            let frame = tokio::select! {
                frame = self.body.frame() => frame,
                () = sender.closed() => return Ended::CallerGone,
                () = sleep_until(ends) => return Ended::TimedOut,
                () = node.targets_changed.notified() => {
                    if self.watchdog.is_abandoned(node.now(), node.is_broken(path)) {
                        return Ended::Stalled;
                    }
                    continue;
                }
                () = sleep(self.watchdog.next_check().saturating_sub(node.now())) => {
                    let verdict = self.watchdog.check(node.now(), node.is_broken(path));
                    if verdict == Verdict::Wait {
                        continue;
                    }
                    self.stream_guard.set_silent(true);
                    node.check_slow_engines(path);
                    let searched = verdict == Verdict::LocateStall && dispatch.check_stalled(path);
                    if verdict == Verdict::Abandon || searched {
                        return Ended::Stalled;
                    }
                    continue;
                }
            };
            let bytes = match frame {
                None if self.splitter.is_partial() => return Ended::Cut,
                None => {
                    if let Some(connection) = self.connection.take() {
                        node.pool.release(connection);
                    }
                    node.record_completed(dispatch.call.fingerprint);
                    return Ended::Complete;
                }
                Some(Err(_)) => {
                    dispatch.check_stalled(path);
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
                    self.watchdog.record_event(heard);
                    self.stream_guard.set_silent(false);
                }
                // An event that the caller has already.
                if event.id.is_some() && event.id <= progress.last {
                    continue;
                }
                progress.record_event(event.id, heard);
                if progress.events == clear_at {
                    node.record_cleared(dispatch.call.fingerprint);
                }
                tokio::select! {
                    sent = sender.send(Ok(event.bytes)) => if sent.is_err() {
                        return Ended::CallerGone;
                    },
                    // A caller that reads too slowly.
                    () = sleep_until(ends) => return Ended::TimedOut,
                }
            }
            if self.splitter.is_oversized() {
                node.record_fault(path.first().address, Fault::Failed, "an event without end");
                return Ended::Cut;
            }
        }
    }
}
