//! Requests that this node runs.

use std::collections::BTreeMap;
use std::time::Duration;

use fleet::{AttemptId, Plan, Request, RequestId, TargetId, TokenIndex};

use crate::choose::Pick;
use crate::view::View;

/// One request until its outcome.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    pub(crate) request: Request,
    pub(crate) priority: u8,
    pub(crate) prefixes: Vec<u64>,
    /// Number of the last attempt; 0 before the first.
    pub(crate) attempt: AttemptId,
    /// First token not delivered.
    pub(crate) next: TokenIndex,
    /// First token of the last attempt.
    pub(crate) from: TokenIndex,
    /// Whether a target may have run any of it.
    pub(crate) began: bool,
    /// Stages of the attempt that runs, or of the last one.
    pub(crate) picks: Vec<Pick>,
    /// Seconds that each stage needs for the prompt; empty once the first token has come.
    pub(crate) prompts: Vec<f64>,
    /// The same as sent.
    pub(crate) plan: Plan,
    /// Targets that failed it.
    pub(crate) failed: Vec<TargetId>,
    /// Those of them that were only silent, and may be slow rather than gone.
    pub(crate) silent: Vec<TargetId>,
    /// Stages of the last attempt that survived it.
    pub(crate) survivors: Vec<Pick>,
    /// Stages that the running attempt kept from the one before.
    pub(crate) kept: Vec<Pick>,
    /// When the last attempt was sent.
    pub(crate) sent: Duration,
    /// When the last token is known to have come, and its successor's number.
    pub(crate) moved: Option<(Duration, TokenIndex)>,
    /// Token from which a suspicion is over: the lost target died before it.
    pub(crate) clear_from: Option<TokenIndex>,
    /// Whether targets count the attempt's streams now.
    pub(crate) running: bool,
    /// Waiting until this time at the latest, where it is held back.
    pub(crate) held: Option<Duration>,
    /// Longest time that a refusing target asked for.
    pub(crate) retry_after: Option<Duration>,
}

impl Entry {
    /// A request before its first attempt.
    pub(crate) fn new(request: Request, priority: u8, prefixes: Vec<u64>) -> Self {
        Self {
            request,
            priority,
            prefixes,
            attempt: 0,
            next: 0,
            from: 0,
            began: false,
            picks: Vec::new(),
            prompts: Vec::new(),
            plan: Plan { stages: Vec::new() },
            failed: Vec::new(),
            silent: Vec::new(),
            survivors: Vec::new(),
            kept: Vec::new(),
            sent: Duration::ZERO,
            moved: None,
            clear_from: None,
            running: false,
            held: None,
            retry_after: None,
        }
    }

    /// Whether the running attempt passes the target.
    pub(crate) fn uses(&self, target: TargetId) -> bool {
        self.running && self.picks.iter().any(|pick| pick.target == target)
    }

    /// Counts the attempt's streams at its targets. Kept stages need not compute the prompt
    /// again, which costs each other stage the time of `prompt` tokens.
    pub(crate) fn occupy(&mut self, view: &mut View, now: Duration, prompt: f64) {
        debug_assert!(!self.running, "one attempt runs at a time");
        self.running = true;
        self.prompts.clear();
        for pick in &self.picks {
            let entry = view.entry_mut(pick.target);
            let cost = entry.cost(pick.layers);
            let prompt = if self.kept.contains(pick) { 0.0 } else { prompt * cost };
            entry.load.add(now, cost, prompt);
            self.prompts.push(prompt);
        }
    }

    /// The first token of the attempt has come.
    pub(crate) fn prompt_done(&mut self, view: &mut View) {
        for (pick, prompt) in self.picks.iter().zip(self.prompts.drain(..)) {
            view.entry_mut(pick.target).load.prompt_done(prompt);
        }
    }

    /// Takes the attempt's streams off its targets.
    pub(crate) fn release(&mut self, view: &mut View, now: Duration) {
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

/// All requests without outcome, in the order of their ids.
pub(crate) type Table = BTreeMap<RequestId, Entry>;
