//! An answer as a caller receives it.

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Instant;

use fleet::RequestId;
use serde_json::Value;
use smol_str::SmolStr;

/// What has been received so far.
#[derive(Clone, Debug, Default)]
pub(crate) struct Received {
    /// Status code; 0 when no answer began.
    pub(crate) status: u16,
    /// `Magnolia-Run`.
    pub(crate) run: SmolStr,
    /// The request's id, by which targets know it.
    pub(crate) request: Option<RequestId>,
    /// Whether `Retry-After` is there.
    pub(crate) retry_after: bool,
    /// Ids of the events.
    pub(crate) ids: Vec<SmolStr>,
    /// When each event came.
    pub(crate) arrivals: Vec<Instant>,
    /// Text of the answer.
    pub(crate) text: String,
    /// Why the model ended, when it did.
    pub(crate) finish: Option<SmolStr>,
    /// Type of the error.
    pub(crate) error: Option<SmolStr>,
    /// Whether the closing line of a stream came, or all of a whole answer.
    pub(crate) closed: bool,
    /// Whether nothing more comes.
    pub(crate) ended: bool,
}

impl Received {
    /// Whether the answer is whole.
    pub(crate) fn is_complete(&self) -> bool {
        self.status == 200 && self.closed && self.finish.is_some() && self.error.is_none()
    }

    /// Takes one line of a stream.
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

    /// Takes the JSON of an event or of a whole answer.
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

/// An answer that is being received by another thread.
#[derive(Clone, Debug, Default)]
pub(crate) struct Answer {
    received: Arc<Mutex<Received>>,
}

impl Answer {
    /// Locks what has been received.
    pub(crate) fn lock(&self) -> MutexGuard<'_, Received> {
        self.received.lock().expect("no holder of the lock panics")
    }
}
