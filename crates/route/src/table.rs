//! Requests that this node runs.

use std::collections::BTreeMap;
use std::time::Duration;

use fleet::{AttemptId, Plan, Request, RequestId, TargetId, TokenIndex};

use crate::choose::Pick;
use crate::view::View;

/// State of one request until its outcome.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    pub(crate) request: Request,
    pub(crate) priority: u8,
    pub(crate) prefixes: Vec<u64>,
    /// Number of the last attempt; 0 before the first.
    pub(crate) attempt: AttemptId,
    /// Index of the first token not delivered.
    pub(crate) next_token: TokenIndex,
    /// Index of the first token of the last attempt.
    pub(crate) first_token: TokenIndex,
    /// Whether a target may have run any of the request.
    pub(crate) may_have_run: bool,
    /// Stages of the running attempt, or of the last one.
    pub(crate) picks: Vec<Pick>,
    /// Prompt seconds at each stage; empty once the first token has arrived.
    pub(crate) prompt_seconds: Vec<f64>,
    /// The same stages in the form sent to the targets.
    pub(crate) plan: Plan,
    /// Targets excluded because they failed the request.
    pub(crate) failed: Vec<TargetId>,
    /// Excluded targets that only stalled. They may be slow rather than lost.
    pub(crate) stalled: Vec<TargetId>,
    /// Targets that were lost while they ran the request, or before it reached them.
    pub(crate) lost: Vec<TargetId>,
    /// Stages of the last attempt that did not fail.
    pub(crate) survivors: Vec<Pick>,
    /// Stages that the running attempt reuses from the previous one.
    pub(crate) reused: Vec<Pick>,
    /// Time at which the last attempt was sent.
    pub(crate) sent_at: Duration,
    /// Time of the last known token, and the index of the one after it.
    pub(crate) last_progress: Option<(Duration, TokenIndex)>,
    /// Token index at which a suspected request is cleared, because the lost target failed earlier
    /// in the stream.
    pub(crate) clear_from: Option<TokenIndex>,
    /// Whether the attempt counts in the load of its targets.
    pub(crate) running: bool,
    /// Latest time at which a held request is tried again.
    pub(crate) held_until: Option<Duration>,
    /// Longest retry delay requested by a refusing target.
    pub(crate) retry_after: Option<Duration>,
}

impl Entry {
    /// Creates the state of a request before its first attempt.
    pub(crate) fn new(request: Request, priority: u8, prefixes: Vec<u64>) -> Self {
        Self {
            request,
            priority,
            prefixes,
            attempt: 0,
            next_token: 0,
            first_token: 0,
            may_have_run: false,
            picks: Vec::new(),
            prompt_seconds: Vec::new(),
            plan: Plan { stages: Vec::new() },
            failed: Vec::new(),
            stalled: Vec::new(),
            lost: Vec::new(),
            survivors: Vec::new(),
            reused: Vec::new(),
            sent_at: Duration::ZERO,
            last_progress: None,
            clear_from: None,
            running: false,
            held_until: None,
            retry_after: None,
        }
    }

    /// Returns whether the running attempt uses the target.
    pub(crate) fn uses(&self, target: TargetId) -> bool {
        self.running && self.picks.iter().any(|pick| pick.target == target)
    }

    /// Adds the attempt to the load of its targets. Reused stages have processed the prompt
    /// already; each other stage takes the time of `prompt` tokens for it.
    pub(crate) fn add_load(&mut self, view: &mut View, now: Duration, prompt: f64) {
        debug_assert!(!self.running, "one attempt runs at a time");
        self.running = true;
        self.prompt_seconds.clear();
        for pick in &self.picks {
            let entry = view.entry_mut(pick.target);
            let cost = entry.cost(pick.layers);
            let prompt = if self.reused.contains(pick) { 0.0 } else { prompt * cost };
            entry.load.add(now, cost, prompt);
            self.prompt_seconds.push(prompt);
        }
    }

    /// Removes the prompts from the load after the first token of the attempt.
    pub(crate) fn prompt_done(&mut self, view: &mut View) {
        for (pick, prompt) in self.picks.iter().zip(self.prompt_seconds.drain(..)) {
            view.entry_mut(pick.target).load.prompt_done(prompt);
        }
    }

    /// Removes the attempt from the load of its targets.
    pub(crate) fn remove_load(&mut self, view: &mut View, now: Duration) {
        if !std::mem::take(&mut self.running) {
            return;
        }
        self.prompt_done(view);
        for pick in &self.picks {
            let entry = view.entry_mut(pick.target);
            let cost = entry.cost(pick.layers);
            entry.load.remove(now, cost);
        }
    }
}

/// All requests without an outcome, ordered by id.
pub(crate) type Table = BTreeMap<RequestId, Entry>;
