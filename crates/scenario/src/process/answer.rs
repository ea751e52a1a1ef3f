//! Answer to a request, as its caller receives it.

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Instant;

use fleet::RequestId;
use serde_json::Value;
use smol_str::SmolStr;

/// State of an answer received so far.
#[derive(Clone, Debug, Default)]
pub(crate) struct Received {
    /// HTTP status code; 0 before the head of an answer.
    pub(crate) status: u16,
    /// Value of the `Magnolia-Run` header; empty if absent.
    pub(crate) run: SmolStr,
    /// Request id from the `Magnolia-Request` header; targets record their work under it.
    pub(crate) request: Option<RequestId>,
    /// Whether the answer has a `Retry-After` header.
    pub(crate) retry_after: bool,
    /// Ids of the events received, in order.
    pub(crate) ids: Vec<SmolStr>,
    /// Time of receipt of each event in `ids`.
    pub(crate) arrivals: Vec<Instant>,
    /// Text of the answer so far.
    pub(crate) text: String,
    /// Finish reason, once received; `answer` for a booking.
    pub(crate) finish: Option<SmolStr>,
    /// Type of the error, if the answer has one.
    pub(crate) error: Option<SmolStr>,
    /// Whether the `[DONE]` event of a stream, or the entire body of another answer, has been
    /// received.
    pub(crate) closed: bool,
    /// Whether the caller has stopped receiving.
    pub(crate) ended: bool,
}

impl Received {
    /// Returns whether the answer succeeded and was received to its end.
    pub(crate) fn is_complete(&self) -> bool {
        self.status == 200 && self.closed && self.finish.is_some() && self.error.is_none()
    }

    /// Records one line of an event stream.
    pub(crate) fn record_line(&mut self, line: &str) {
        if let Some(id) = line.strip_prefix("id: ") {
            self.ids.push(id.into());
            self.arrivals.push(Instant::now());
        } else if let Some(data) = line.strip_prefix("data: ") {
            if data == "[DONE]" {
                self.closed = true;
            } else if let Ok(value) = serde_json::from_str::<Value>(data) {
                self.record_value(&value);
            }
        }
    }

    /// Records the JSON value of an event or of a body that is not streamed.
    pub(crate) fn record_value(&mut self, value: &Value) {
        if let Some(kind) = value["error"]["type"].as_str() {
            self.error = Some(kind.into());
        }
        let choice = &value["choices"][0];
        let places = [&choice["delta"]["content"], &choice["message"]["content"], &choice["text"]];
        for text in places.into_iter().filter_map(Value::as_str) {
            self.text.push_str(text);
        }
        if let Some(finish) = choice["finish_reason"].as_str() {
            self.finish = Some(finish.into());
        }
    }
}

/// Answer shared with the thread that receives it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Answer {
    received: Arc<Mutex<Received>>,
}

impl Answer {
    /// Locks the state received so far.
    pub(crate) fn lock(&self) -> MutexGuard<'_, Received> {
        self.received.lock().expect("no holder of the lock panics")
    }
}
