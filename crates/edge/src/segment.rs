//! The segment of a stream that arrives over one path.

use std::rc::Rc;
use std::time::Duration;

use http_body_util::BodyExt;
use hyper::body::Incoming;
use path::{Fault, Path};
use site::TargetKey;
use tokio::time::{Instant, sleep, sleep_until};

use crate::attempt::{Accepted, InFlight};
use crate::body;
use crate::dispatch::Dispatch;
use crate::intake::Intake;
use crate::node::Node;
use crate::pool::Connection;
use crate::quarantine::CLEARING_EVENTS;
use crate::queue::Sender;
use crate::split::Event;
use crate::watchdog::{Verdict, Watchdog};

/// Counts a stream at the first engine of its path while its events are forwarded.
struct StreamGuard {
    node: Rc<Node>,
    first: TargetKey,
    silent: bool,
}

impl StreamGuard {
    fn register(node: &Rc<Node>, first: &TargetKey) -> Self {
        node.table.borrow_mut().add_streams(first, 1, 0);
        Self { node: node.clone(), first: first.clone(), silent: false }
    }

    /// Records whether the stream is silent.
    fn set_silent(&mut self, silent: bool) {
        if silent != self.silent {
            self.silent = silent;
            let change = if silent { 1 } else { -1 };
            self.node.table.borrow_mut().add_streams(&self.first, 0, change);
        }
    }
}

impl Drop for StreamGuard {
    fn drop(&mut self) {
        self.set_silent(false);
        self.node.table.borrow_mut().add_streams(&self.first, -1, 0);
    }
}

/// What was forwarded to the caller so far, over all segments.
#[derive(Default)]
pub(crate) struct Progress {
    pub(crate) last_event: Option<u64>,
    /// Whether the next event is the first one of another run of the request.
    resumes: bool,
    /// Whether the numbers of the events have skipped some.
    skips: bool,
    /// Whether an event without a number was forwarded: such a stream cannot be resumed.
    pub(crate) is_unnumbered: bool,
    pub(crate) events: u64,
    pub(crate) first_at: Option<Duration>,
    last_at: Duration,
    /// Longest time between two events.
    pub(crate) longest_gap: Duration,
    /// Time of the event that ended the longest gap.
    pub(crate) longest_gap_at: Duration,
    /// Number of times the stream resumed on another path.
    pub(crate) moves: u32,
    /// Number of segments in a row that were cut before their first event.
    pub(crate) empty_segments: u32,
    /// The path in use, for the log.
    pub(crate) path: String,
}

impl Progress {
    /// Sends an event to the caller, unless the caller has it already. Returns how the stream ends
    /// if it cannot be sent. Dropping the future before it is ready sends and records nothing.
    pub(crate) async fn deliver(
        &mut self,
        event: Event,
        arrived_at: Duration,
        sender: &Sender,
        deadline: Instant,
    ) -> Option<Ended> {
        if !event.is_comment {
            if !self.is_expected(&event) {
                return Some(Ended::Foreign);
            }
            if event.id.is_some() && event.id <= self.last_event {
                return None;
            }
        }
        tokio::select! {
            sent = sender.send(event.bytes.clone()) => {
                if sent.is_err() {
                    return Some(Ended::CallerGone);
                }
            }
            // The caller reads too slowly to finish before the deadline.
            () = sleep_until(deadline) => return Some(Ended::TimedOut),
        }
        self.resumes &= event.is_comment;
        self.record_event(&event, arrived_at);
        None
    }

    /// Starts another segment. The events of its run have to follow those forwarded so far.
    pub(crate) fn begin_segment(&mut self) {
        self.resumes = self.last_event.is_some();
    }

    /// Returns whether an event can be one of this stream. In a stream with numbers each event has
    /// one, and another run goes on with the next one.
    fn is_expected(&self, event: &Event) -> bool {
        let Some(last) = self.last_event else { return true };
        let Some(id) = event.id.filter(|_| event.is_valid) else { return false };
        !self.resumes || id == last + 1 || self.skips && id > last
    }

    /// Records an event that is forwarded.
    fn record_event(&mut self, event: &Event, now: Duration) {
        let id = event.id;
        let skipped = self.last_event.zip(id).is_some_and(|(last, id)| id > last + 1);
        self.skips |= skipped;
        self.is_unnumbered |= id.is_none() && !event.is_comment;
        if self.first_at.is_some() {
            let longest_gap = now.saturating_sub(self.last_at);
            if longest_gap > self.longest_gap {
                self.longest_gap = longest_gap;
                self.longest_gap_at = now;
            }
        }
        self.first_at.get_or_insert(now);
        self.last_at = now;
        self.last_event = id.or(self.last_event);
        self.events += 1;
    }
}

/// Why a segment no longer forwards events.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Ended {
    Complete,
    /// The answer ended before it was complete, or contained an oversized event.
    Cut,
    /// The answer contained something that is no event of this stream, which was not forwarded.
    Foreign,
    /// The answers of this source fill the memory.
    NoRoom,
    /// An engine of the path makes no progress. The connection stays open in case no other path
    /// accepts the stream.
    Stalled,
    /// The caller closed its connection.
    CallerGone,
    TimedOut,
}

impl Ended {
    /// Returns the outcome that is logged for the stream; `None` if it may go on elsewhere.
    pub(crate) fn outcome(self) -> Option<&'static str> {
        match self {
            Ended::Complete => Some("complete"),
            Ended::CallerGone => Some("caller left"),
            Ended::TimedOut => Some("timed out"),
            Ended::Cut | Ended::Foreign | Ended::NoRoom | Ended::Stalled => None,
        }
    }
}

/// A stream that arrives over one path.
pub(crate) struct Segment {
    body: Incoming,
    connection: Option<Connection>,
    in_flight: InFlight,
    intake: Box<Intake>,
    watchdog: Watchdog,
    stream_guard: StreamGuard,
    /// Number of events that were forwarded before this segment.
    events_before: u64,
    /// Whether the end without an answer has been recorded.
    interruption_recorded: bool,
}

impl Segment {
    /// Returns the segment of an answer whose head has arrived, after `events_before` events.
    pub(crate) fn new(node: &Rc<Node>, accepted: Accepted, events_before: u64) -> Self {
        let Accepted { response, connection, in_flight } = accepted;
        let holding = node.answers.begin(in_flight.path.first().address);
        Self {
            body: response.into_body(),
            connection: Some(connection),
            stream_guard: StreamGuard::register(node, &in_flight.path.first().target),
            in_flight,
            intake: Box::new(Intake::new(holding)),
            watchdog: Watchdog::new(node.now(), node.max_pause()),
            events_before,
            interruption_recorded: false,
        }
    }

    pub(crate) fn path(&self) -> &Path {
        &self.in_flight.path
    }

    /// Returns whether no event of this segment was forwarded.
    pub(crate) fn is_empty(&self, progress: &Progress) -> bool {
        progress.events == self.events_before
    }

    /// Records, at most once, that the path did not complete the answer. The quarantine judges from
    /// this record whether the request may be sent again.
    pub(crate) fn record_interruption(&mut self, dispatch: &Dispatch, progress: &Progress) {
        if !std::mem::replace(&mut self.interruption_recorded, true) {
            let fresh = self.is_empty(progress);
            dispatch.record_interruption(&self.in_flight.path, self.in_flight.sent_at, fresh);
        }
    }

    /// Records that the first engine of the path fills the memory with its answers.
    fn end_without_room(&self, node: &Node) -> Ended {
        let first = self.in_flight.path.first().address;
        node.record_fault(first, Fault::Failed, body::Failure::NoRoom.reason());
        Ended::NoRoom
    }

    /// Postpones giving up the stalled path, because there is no other path at present.
    pub(crate) fn defer_checks(&mut self, now: Duration) {
        self.watchdog.defer(now);
    }

    /// Forwards events until the answer ends or an engine of the path stalls.
    pub(crate) async fn forward_events(
        &mut self,
        dispatch: &Dispatch,
        sender: &Sender,
        progress: &mut Progress,
    ) -> Ended {
        let node = &dispatch.node;
        let deadline = dispatch.deadline();
        let clear_at = self.events_before + CLEARING_EVENTS;
        loop {
            let path = &self.in_flight.path;
            let frame = tokio::select! {
                frame = self.body.frame() => frame,
                () = sender.closed() => return Ended::CallerGone,
                () = sleep_until(deadline) => return Ended::TimedOut,
                () = self.intake.evicted() => return self.end_without_room(node),
                () = node.routing_changed.notified() => {
                    if self.watchdog.should_abandon(node.now(), node.is_broken(path)) {
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
                    let is_stalled = verdict == Verdict::LocateStall && dispatch.check_stalled(path);
                    if verdict == Verdict::Abandon || is_stalled {
                        return Ended::Stalled;
                    }
                    continue;
                }
            };
            let bytes = match frame {
                None if self.intake.is_partial() => return Ended::Cut,
                None => {
                    if let Some(connection) = self.connection.take() {
                        node.pool.release(connection);
                    }
                    node.record_completed(&dispatch.call);
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
            let arrived_at = node.now();
            node.record_contact(arrived_at);
            node.table.borrow_mut().record_arrival(arrived_at, &path.first().target);
            let pushed = tokio::select! {
                pushed = self.intake.push(&bytes) => pushed,
                () = sender.closed() => return Ended::CallerGone,
                () = sleep_until(deadline) => return Ended::TimedOut,
            };
            if pushed.is_err() {
                return self.end_without_room(node);
            }
            while let Some(event) = self.intake.pop() {
                if !event.is_comment {
                    let interval = self.watchdog.record_event(arrived_at, node.max_pause());
                    node.record_interval(interval);
                    self.stream_guard.set_silent(false);
                }
                let delivered = progress.events;
                let ended = tokio::select! {
                    ended = progress.deliver(event, arrived_at, sender, deadline) => ended,
                    () = self.intake.evicted() => Some(self.end_without_room(node)),
                };
                if let Some(ended) = ended {
                    if ended == Ended::Foreign {
                        let first = path.first().address;
                        node.record_fault(first, Fault::Failed, "no event of this stream");
                    }
                    return ended;
                }
                if progress.events > delivered && progress.events == clear_at {
                    node.record_cleared(&dispatch.call);
                }
            }
            if self.intake.is_oversized() {
                node.record_fault(
                    path.first().address,
                    Fault::Failed,
                    "event exceeds the maximum size",
                );
                return Ended::Cut;
            }
        }
    }
}
