//! One attempt to send a streaming request to a path.

use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::{Response, StatusCode};
use path::Path;
use site::TargetKey;

use crate::answer::Answer;
use crate::call::Call;
use crate::execution::Execution;
use crate::first::take_first;
use crate::node::Node;
use crate::pool::{Connection, Exchange, Unanswered};
use crate::reply::{Failure, UNPROVEN_REFUSAL};

/// A request that is counted as running at the engines of a path. Dropping it ends the count.
pub(crate) struct InFlight {
    node: Rc<Node>,
    pub(crate) path: Path,
    /// Time at which the request was sent.
    pub(crate) sent_at: Duration,
    tokens: f64,
    /// Tokens that the engines process before the first event.
    prefill: f64,
    /// Whether the prompt counts as one that crosses failure domains.
    crossing: bool,
}

impl InFlight {
    fn start(node: &Rc<Node>, path: Path, tokens: f64, prefill: f64) -> Self {
        let mut table = node.table.borrow_mut();
        for stage in &path.stages {
            table.add_request(&stage.target, tokens);
            table.request_sent(node.now(), &stage.target);
            table.add_prefill(&stage.target, prefill);
        }
        let crossing = path.crosses;
        if crossing {
            table.crossing_started();
        }
        drop(table);
        Self { node: node.clone(), path, sent_at: node.now(), tokens, prefill, crossing }
    }

    /// Records that the engines have accepted the request.
    pub(crate) fn record_accepted(&self) {
        let mut table = self.node.table.borrow_mut();
        for stage in &self.path.stages {
            table.request_accepted(self.node.now(), &stage.target);
        }
    }

    /// Records that the engines have processed the prompt.
    pub(crate) fn record_prefill_done(&mut self) {
        let prefill = std::mem::take(&mut self.prefill);
        let mut table = self.node.table.borrow_mut();
        for stage in &self.path.stages {
            table.add_prefill(&stage.target, -prefill);
        }
        drop(table);
        self.end_crossing();
    }

    /// Records that the prompt no longer uses the link between failure domains.
    pub(crate) fn end_crossing(&mut self) {
        if std::mem::take(&mut self.crossing) {
            self.node.table.borrow_mut().crossing_ended();
        }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.record_prefill_done();
        let mut table = self.node.table.borrow_mut();
        for stage in &self.path.stages {
            table.remove_request(&stage.target, self.tokens);
        }
        drop(table);
        self.node.room_changed.notify_waiters();
    }
}

/// A request that was sent to a path and has no answer yet. Dropping it closes the connection, which
/// cancels the request at the engines.
pub(crate) struct Attempt {
    pub(crate) in_flight: InFlight,
    /// Whether an engine of the path does not respond, so that another path is tried as well.
    pub(crate) is_silent: bool,
    /// Whether it is recorded that no answer has arrived so far.
    pub(crate) is_recorded: bool,
    answer: Pin<Box<dyn Future<Output = Result<Exchange, Unanswered>>>>,
}

impl Attempt {
    /// Sends a request to a path whose engines process `prefill` tokens before the first event.
    pub(crate) fn start(
        node: &Rc<Node>,
        call: &Rc<Call>,
        path: Path,
        prefill: f64,
        last_event: Option<u64>,
    ) -> Self {
        let first = path.first().clone();
        let request = call.request(node.now(), &first.target, Some(&path), last_event);
        let in_flight = InFlight::start(node, path, call.tokens, prefill);
        let (node, call) = (node.clone(), call.clone());
        let answer = Box::pin(async move { node.send(first.address, request, &call.used).await });
        Self { in_flight, is_silent: false, is_recorded: false, answer }
    }

    pub(crate) fn path(&self) -> &Path {
        &self.in_flight.path
    }
}

/// Waits until an attempt is answered or fails, and takes it from the list.
pub(crate) async fn next_answer(
    attempts: &mut Vec<Attempt>,
) -> (Attempt, Result<Exchange, Unanswered>) {
    take_first(attempts, |attempt, context| attempt.answer.as_mut().poll(context)).await
}

/// An answer whose head has arrived.
pub(crate) struct Accepted {
    pub(crate) response: Response<Incoming>,
    pub(crate) connection: Connection,
    pub(crate) in_flight: InFlight,
}

/// Outcome of an attempt at one path.
pub(crate) enum Outcome {
    Accepted(Box<(Response<Incoming>, Connection)>),
    /// No connection to the first engine could be established.
    NotSent,
    /// This engine refused the request.
    NotRun(TargetKey),
    /// The first engine answered with a status that promises that the request has not run, but does
    /// not state that it has not.
    Unproven(StatusCode),
    /// The engines may have run the request; states why there is no answer.
    Unknown(&'static str),
    /// An engine of the path is lost, or this node has lost its targets.
    Lost,
    Failed(Response<Answer>),
    TimedOut,
}

impl Outcome {
    /// Returns why the attempt failed; `None` if it did not.
    pub(crate) fn failure(&self) -> Option<Failure> {
        let failure = match self {
            Outcome::Accepted(_) => return None,
            Outcome::NotSent => Failure::new("no connection", Execution::NotRun),
            Outcome::NotRun(_) => Failure::new("refused", Execution::NotRun),
            Outcome::Unproven(status) => {
                Failure::answered(UNPROVEN_REFUSAL, Execution::Unknown, *status)
            }
            Outcome::Unknown(reason) => Failure::new(reason, Execution::Unknown),
            Outcome::Lost => Failure::new("an engine of the path was lost", Execution::Unknown),
            Outcome::Failed(response) => {
                Failure::answered("failure status", Execution::Ran, response.status())
            }
            Outcome::TimedOut => Failure::new("no answer in time", Execution::Unknown),
        };
        Some(failure)
    }
}
