//! The decisions made on recent requests, for `magnoliactl explain`.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use fleet::Event;
use smol_str::SmolStr;

/// Maximum number of decisions recorded per request.
const MAX_DECISIONS: usize = 64;

/// The decisions on the most recent requests, up to a number of requests.
pub(crate) struct History {
    capacity: usize,
    order: VecDeque<SmolStr>,
    decisions: HashMap<SmolStr, Vec<String>>,
    /// Request ids by the answer id that callers see in event ids.
    answers: HashMap<SmolStr, SmolStr>,
}

impl History {
    pub(crate) fn new(capacity: usize) -> Self {
        Self {
            capacity,
            order: VecDeque::new(),
            decisions: HashMap::new(),
            answers: HashMap::new(),
        }
    }

    /// Records an event that has a `request` field; ignores others.
    pub(crate) fn record(&mut self, now: Duration, event: &Event) {
        let field = |name| event.fields.iter().find(|(field, _)| *field == name);
        let Some((_, request)) = field("request") else { return };
        if self.capacity == 0 {
            return;
        }
        if !self.decisions.contains_key(request) {
            self.evict();
            self.order.push_back(request.clone());
            self.decisions.insert(request.clone(), Vec::new());
        }
        if let Some((_, answer)) = field("answer") {
            self.answers.insert(answer.clone(), request.clone());
        }
        if let Some(decisions) = self.decisions.get_mut(request)
            && decisions.len() < MAX_DECISIONS
        {
            decisions.push(format!("{:.3} {event}", now.as_secs_f64()));
        }
    }

    /// Evicts the oldest requests until there is room for one more.
    fn evict(&mut self) {
        while self.order.len() >= self.capacity {
            let Some(oldest) = self.order.pop_front() else { return };
            self.decisions.remove(&oldest);
            self.answers.retain(|_, request| *request != oldest);
        }
    }

    /// Returns the decisions on a request, found by its request id or answer id.
    pub(crate) fn find(&self, request: &str) -> Vec<String> {
        let request = self.answers.get(request).map_or(request, SmolStr::as_str);
        self.decisions.get(request).cloned().unwrap_or_default()
    }
}
