//! A request from its arrival to its end, which cannot pass without a trace.

use std::rc::Rc;
use std::time::Duration;

use fleet::Event;
use smol_str::SmolStr;

use crate::connection::State;
use crate::event::REQUEST_ENDED;
use crate::node::Node;

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum End {
    /// The whole answer was handed to the connection.
    Answered,
    /// This node refused the request.
    Refused,
    /// The caller closed the connection, or it was lost.
    Left,
    /// This node ended the request without a whole answer.
    Cut,
}

impl End {
    fn name(self) -> &'static str {
        match self {
            End::Answered => "answered",
            End::Refused => "refused",
            End::Left => "left",
            End::Cut => "cut",
        }
    }
}

/// Counts a request at its arrival, and at its end by how it ended: also one that is dropped.
pub(crate) struct Receipt {
    node: Rc<Node>,
    connection: Rc<State>,
    id: SmolStr,
    received_at: Duration,
    is_refused: bool,
    is_whole: bool,
}

impl Receipt {
    pub(crate) fn new(node: &Rc<Node>, connection: &Rc<State>, id: SmolStr) -> Self {
        metrics::counter!("magnolia_requests_received").increment(1);
        connection.begin_request(node);
        Self {
            node: node.clone(),
            connection: connection.clone(),
            id,
            received_at: node.now(),
            is_refused: false,
            is_whole: false,
        }
    }

    /// Records that the answer is a refusal by this node.
    pub(crate) fn record_refusal(&mut self) {
        self.is_refused = true;
    }

    /// Records that the whole answer is there for the connection.
    pub(crate) fn record_whole(&mut self) {
        self.is_whole = true;
    }

    fn end(&self) -> End {
        match (self.is_whole, self.is_refused) {
            // An answer that is there may not have been read any more.
            _ if self.connection.is_left() => End::Left,
            (true, true) => End::Refused,
            (true, false) => End::Answered,
            (false, _) => End::Cut,
        }
    }
}

impl Drop for Receipt {
    fn drop(&mut self) {
        let end = self.end();
        metrics::counter!("magnolia_requests_ended", "end" => end.name()).increment(1);
        self.connection.end_request(&self.node);
        if matches!(end, End::Answered | End::Refused) {
            return;
        }
        let event = Event::new(REQUEST_ENDED)
            .with("request", &self.id)
            .with("connection", self.connection.number)
            .with("end", end.name())
            .with("ms", self.node.now().saturating_sub(self.received_at).as_millis());
        log::info!("{event}");
    }
}
