//! Engines at which a request may have run. Uses neither a clock nor a socket.

use std::cell::RefCell;
use std::collections::BTreeSet;

use path::Stage;
use site::TargetKey;

/// Engines at which a request may have run, of which its route allows a number.
#[derive(Debug, Default)]
pub struct Attempts {
    /// The first engine of each path that accepted the request.
    engines: Vec<Stage>,
    /// Those that have ended without notice. It stays known when their entries are removed.
    ended: RefCell<BTreeSet<TargetKey>>,
    /// Number of attempts that were left to other nodes, which may have used them.
    forwarded: u32,
}

impl Attempts {
    /// Records that the request may have run at an engine.
    pub fn record(&mut self, engine: &Stage) {
        // An id is used again by the next start.
        self.ended.get_mut().remove(&engine.target);
        if !self.contains(engine) {
            self.engines.push(engine.clone());
        }
    }

    /// Records that attempts were left to another node.
    pub fn record_forwarded(&mut self, attempts: u32) {
        self.forwarded += attempts;
    }

    /// Returns the engines at which the request may have run by the order of this node.
    pub fn iter(&self) -> impl Iterator<Item = &Stage> {
        self.engines.iter()
    }

    /// Returns whether the request has not run.
    pub fn is_empty(&self) -> bool {
        self.engines.is_empty() && self.forwarded == 0
    }

    /// Returns the number of attempts that count, including one at `next`. Engines that have ended
    /// do not count.
    pub fn count(&self, next: Option<&Stage>, has_ended: impl Fn(&Stage) -> bool) -> u32 {
        let mut ended = self.ended.borrow_mut();
        ended.extend(self.iter().filter(|engine| has_ended(engine)).map(|e| e.target.clone()));
        let counted = self.iter().filter(|engine| !ended.contains(&engine.target)).count();
        let is_new = next.is_some_and(|next| !self.contains(next) && !has_ended(next));
        counted as u32 + self.forwarded + u32::from(is_new)
    }

    /// Counts the engines again that are known to run: they were only out of reach for a while.
    pub fn recount(&self, is_running: impl Fn(&TargetKey) -> bool) {
        self.ended.borrow_mut().retain(|engine| !is_running(engine));
    }

    /// Returns the engines that no longer count.
    pub fn ended(&self) -> Vec<TargetKey> {
        self.ended.borrow().iter().cloned().collect()
    }

    /// Returns whether the request may have run at an engine by the order of this node.
    pub fn contains(&self, engine: &Stage) -> bool {
        self.iter().any(|other| other.target == engine.target)
    }
}
