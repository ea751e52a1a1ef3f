//! The decisions made on the last requests, for `magnoliactl explain`.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use fleet::Event;
use smol_str::SmolStr;

/// Most decisions kept of one request.
const DECISIONS: usize = 64;

/// A bounded ring of requests with their decisions.
pub(crate) struct Explain {
    capacity: usize,
    order: VecDeque<SmolStr>,
    decisions: HashMap<SmolStr, Vec<String>>,
    /// Requests by the answer id that callers see in event ids.
    answers: HashMap<SmolStr, SmolStr>,
}

impl Explain {
    pub(crate) fn new(capacity: usize) -> Self {
        Self {
            capacity,
            order: VecDeque::new(),
            decisions: HashMap::new(),
            answers: HashMap::new(),
        }
    }

    /// Keeps an event that is about a request.
    pub(crate) fn keep(&mut self, now: Duration, event: &Event) {
        let field = |name| event.fields.iter().find(|(field, _)| *field == name);
        let Some((_, request)) = field("request") else { return };
        if self.capacity == 0 {
            return;
        }
        if !self.decisions.contains_key(request) {
            self.make_room();
            self.order.push_back(request.clone());
            self.decisions.insert(request.clone(), Vec::new());
        }
        if let Some((_, answer)) = field("answer") {
            self.answers.insert(answer.clone(), request.clone());
        }
        if let Some(decisions) = self.decisions.get_mut(request)
            && decisions.len() < DECISIONS
        {
            decisions.push(format!("{:.3} {event}", now.as_secs_f64()));
        }
    }

    fn make_room(&mut self) {
        while self.order.len() >= self.capacity {
            let Some(oldest) = self.order.pop_front() else { return };
            self.decisions.remove(&oldest);
            self.answers.retain(|_, request| *request != oldest);
        }
    }

    /// Decisions on a request, found by its id or its answer's.
    pub(crate) fn find(&self, request: &str) -> Vec<String> {
        let request = self.answers.get(request).map_or(request, SmolStr::as_str);
        self.decisions.get(request).cloned().unwrap_or_default()
    }
}
