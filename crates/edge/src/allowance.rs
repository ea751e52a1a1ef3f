//! At how many further engines a streaming request may run, and the retries for them.

use std::time::Duration;

use path::{Path, Stage};
use site::{Kind, TargetKey};

use crate::dispatch::{Dispatch, Failure};
use crate::event::UNCOUNTED;
use crate::quarantine::QUARANTINED;

/// Time for which a retry that was taken and not used may be used for another offer: it counts in the
/// window in which it was taken.
const RETRY_VALIDITY: Duration = Duration::from_millis(1000);

impl Dispatch {
    /// Records that the request may have run at the first engine of `path`, and excludes that
    /// engine from further attempts unless another engine of the path is down.
    pub(crate) fn record_run(&mut self, path: &Path) {
        let first = path.first();
        self.ran.record(first);
        // If no engine of the path is down, only the first one, which ended the answer, can be at
        // fault.
        if !self.node.is_broken(path) {
            self.excluded.push(first.address);
        }
    }

    /// Returns whether the request has run at as many engines as its route allows. Engines that
    /// ended without notice do not count; those that drained do.
    pub(crate) fn attempts_exhausted(&self) -> bool {
        self.would_exhaust_attempts(None)
    }

    /// Returns the same for the case that the request has also run at `next`.
    pub(crate) fn would_exhaust_attempts(&self, next: Option<&Stage>) -> bool {
        self.attempts_left(next) == 0
    }

    /// Returns at how many further engines the request may run.
    pub(crate) fn attempts_left(&self, next: Option<&Stage>) -> u32 {
        let table = self.node.table.borrow();
        let is_running = |id: &TargetKey| {
            let entry = table.entry(id);
            entry.is_some_and(|entry| !entry.health.is_down())
        };
        self.ran.recount(is_running);
        drop(table);
        let counted = self.ran.count(next, |engine| self.node.has_ended(engine));
        self.max_attempts.saturating_sub(counted)
    }

    /// Leaves one attempt to the node that forwards this stream, in case it loses this node, unless
    /// all are used.
    pub(crate) fn spare_attempt(&mut self, first: &Stage) {
        if matches!(self.call.kind, Kind::Stream { resumable: true }) {
            self.max_attempts -= self.attempts_left(Some(first)).min(1);
        }
    }

    /// Logs that the request is sent `to` one more engine than its route allows, because some of those
    /// at which it has run have ended.
    pub(crate) fn log_uncounted(&self, to: &str) {
        if self.ran.iter().count() < self.max_attempts as usize {
            return;
        }
        let ran: Vec<&str> = self.ran.iter().map(|engine| engine.target.as_str()).collect();
        let event = self
            .call
            .event(UNCOUNTED)
            .with("to", to)
            .with("ran", ran.join(","))
            .with("ended", self.ran.ended().join(","))
            .with("reaches_targets", self.node.reaches_targets());
        log::info!("{event}");
    }

    /// Returns whether a stream that could not resume because of `failure` may resume later: it is
    /// not quarantined, and some engine at which it may run has not ended.
    pub(crate) fn may_resume_later(&self, failure: &Failure) -> bool {
        if matches!(failure, Failure::NotRun(QUARANTINED)) {
            return false;
        }
        let table = self.node.table.borrow();
        let stays = |stage: &Stage| {
            let entry = table.entry(&stage.target);
            entry.is_some_and(|entry| !entry.is_draining())
        };
        !self.attempts_exhausted() || self.ran.iter().any(stays)
    }

    /// Takes a retry for another offer, unless none has been sent yet. Uses one that was taken a
    /// moment ago for an offer that was not made.
    pub(crate) async fn take_retry(&self) -> bool {
        if self.offers == self.unsent {
            return true;
        }
        let now = self.node.now();
        let unused = self.retry_taken_at.take();
        if unused.is_some_and(|at| now.saturating_sub(at) < RETRY_VALIDITY) {
            return true;
        }
        self.node.take_retry(&self.call.service).await
    }

    /// Keeps a retry that was taken for an offer that did not arrive anywhere.
    pub(crate) fn keep_retry(&self) {
        if self.offers > self.unsent {
            self.retry_taken_at.set(Some(self.node.now()));
        }
    }
}
