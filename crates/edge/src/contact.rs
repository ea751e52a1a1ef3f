//! Whether this node reaches its targets. Uses neither a clock nor a socket.
//!
//! A node can lose its targets in three ways: nothing comes from any of them any more, those that
//! are connected go on while no new connection can be established, or most of them are out of reach
//! and a few are not.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

/// Number of targets that must fail one after another, none succeeding in between, before the node
/// may count as cut off: a few targets may fail together while the others work.
const MIN_FAILED: usize = 3;
/// Minimum time without an answer of any target before the node counts as cut off. Targets answer
/// every few milliseconds under load.
const MIN_SILENCE: Duration = Duration::from_millis(120);
/// Ratio of that time to the time that answers take to arrive at this node, if that is longer.
const SILENCE_FACTOR: u32 = 3;
/// Time without an answer of any target from which a failed target raises doubt.
const DOUBT_SILENCE: Duration = Duration::from_millis(50);
/// Time without an answer of any target after which a quiet node checks whether it still reaches
/// them.
const CHECK_AFTER: Duration = Duration::from_millis(1000);
/// Interval of checks once a target has failed and none has answered since.
const DOUBT_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Interval of attempts to connect to targets while no connection succeeds.
const CONNECT_CHECK_INTERVAL: Duration = Duration::from_millis(300);

/// Tracks answers, connections and failures of targets, as this node observes them.
#[derive(Clone, Debug, Default)]
pub struct Contact {
    /// Time of the last answer of any target.
    last_answer: Duration,
    /// Targets that have failed to answer since.
    silent: BTreeSet<SocketAddr>,
    /// Targets that could not be connected to since the last new connection.
    unconnected: BTreeSet<SocketAddr>,
    /// Time from which the node has counted as cut off because no target answers.
    silent_since: Option<Duration>,
    /// Time from which the node has counted as cut off because it cannot connect to targets.
    unconnected_since: Option<Duration>,
    /// Time from which the node has counted as cut off because most targets are out of reach.
    most_lost_since: Option<Duration>,
    /// Time of the last check whether targets answer.
    answer_checked_at: Duration,
    /// Time of the last check whether targets can be connected to.
    connect_checked_at: Duration,
}

impl Contact {
    /// Records that a target answered. Returns for how long the node was cut off, if it no longer
    /// is.
    pub fn record_answer(&mut self, now: Duration) -> Option<Duration> {
        self.last_answer = now;
        self.silent.clear();
        let lost_for = self.lost_for(now);
        self.silent_since = None;
        lost_for.filter(|_| !self.is_lost())
    }

    /// Records that a new connection to a target was established. Returns for how long the node was
    /// cut off, if it no longer is.
    pub fn record_connection(&mut self, now: Duration) -> Option<Duration> {
        self.unconnected.clear();
        let lost_for = self.lost_for(now);
        self.unconnected_since = None;
        lost_for.filter(|_| !self.is_lost())
    }

    /// Records that a target failed to answer.
    pub fn record_silence(&mut self, target: SocketAddr) {
        self.silent.insert(target);
    }

    /// Records that a target could not be connected to.
    pub fn record_no_connection(&mut self, target: SocketAddr) {
        self.unconnected.insert(target);
    }

    /// Records that none of the targets chosen for a check could be connected to. Returns whether
    /// the node counts as cut off from now on.
    pub fn record_failed_check(&mut self, now: Duration) -> bool {
        let was_lost = self.is_lost();
        if self.unconnected.len() >= MIN_FAILED {
            self.unconnected_since.get_or_insert(now);
        }
        self.is_lost() && !was_lost
    }

    /// Returns whether the node counts as cut off from now on because no target answers; `known` is
    /// the number of targets, `latency` the time within which answers arrive at this node.
    pub fn poll_loss(&mut self, now: Duration, known: usize, latency: Duration) -> bool {
        let enough = self.silent.len() >= MIN_FAILED.min(known.max(1));
        let min_silence = MIN_SILENCE.max(latency * SILENCE_FACTOR);
        if !enough || self.silence(now) < min_silence || self.silent_since.is_some() {
            return false;
        }
        let was_lost = self.is_lost();
        self.silent_since = Some(now);
        !was_lost
    }

    /// Records how many of the `known` targets are out of use because this node does not reach them.
    /// Returns whether the node counts as cut off from now on. Targets rarely end by half, so that
    /// the fault is more likely this node's.
    pub fn record_unreached(&mut self, now: Duration, unreached: usize, known: usize) -> bool {
        let was_lost = self.is_lost();
        if unreached >= MIN_FAILED && unreached * 2 > known {
            self.most_lost_since.get_or_insert(now);
        }
        self.is_lost() && !was_lost
    }

    /// Ends the loss of most targets if it no longer holds. Returns for how long the node was cut
    /// off, if it no longer is.
    pub fn record_reached(
        &mut self,
        now: Duration,
        unreached: usize,
        known: usize,
    ) -> Option<Duration> {
        if unreached * 3 > known {
            return None;
        }
        let lost_for = self.lost_for(now);
        self.most_lost_since.take()?;
        lost_for.filter(|_| !self.is_lost())
    }

    /// Returns whether the node should ask targets for an answer, and if so starts the time until it
    /// should again. A node that no target answers probes them anyway.
    pub fn poll_answer_check(&mut self, now: Duration) -> bool {
        let due = match self.is_silent(now) {
            true => self.answer_checked_at + DOUBT_CHECK_INTERVAL,
            false => self.last_answer.max(self.answer_checked_at) + CHECK_AFTER,
        };
        let is_due = now >= due && self.silent_since.is_none();
        if is_due {
            self.answer_checked_at = now;
        }
        is_due
    }

    /// Returns whether the node should try to connect to targets, and if so starts the time until it
    /// should again.
    pub fn poll_connect_check(&mut self, now: Duration) -> bool {
        let is_due =
            self.is_unconnected() && now >= self.connect_checked_at + CONNECT_CHECK_INTERVAL;
        if is_due {
            self.connect_checked_at = now;
        }
        is_due
    }

    /// Returns whether the node counts as cut off from all targets.
    pub fn is_lost(&self) -> bool {
        self.lost_since().is_some()
    }

    /// Returns whether the node counts as cut off because no target answers, or none can be
    /// connected to.
    pub fn reaches_none(&self) -> bool {
        self.silent_since.is_some() || self.unconnected_since.is_some()
    }

    fn lost_since(&self) -> Option<Duration> {
        let ways = [self.silent_since, self.unconnected_since, self.most_lost_since];
        ways.into_iter().flatten().min()
    }

    /// Returns whether the node may be cut off, so that its failures say little about the targets.
    pub fn is_doubtful(&self, now: Duration) -> bool {
        self.is_lost() || self.is_silent(now) || self.is_unconnected()
    }

    fn is_silent(&self, now: Duration) -> bool {
        let quiet = !self.silent.is_empty() && self.silence(now) >= DOUBT_SILENCE;
        quiet || self.silent.len() >= MIN_FAILED
    }

    fn is_unconnected(&self) -> bool {
        self.unconnected.len() >= MIN_FAILED
    }

    /// Returns whether targets have failed to answer since the last answer.
    pub fn has_silent_targets(&self) -> bool {
        !self.silent.is_empty()
    }

    /// Returns for how long the node has counted as cut off.
    pub fn lost_for(&self, now: Duration) -> Option<Duration> {
        self.lost_since().map(|since| now.saturating_sub(since))
    }

    /// Returns the number of targets that have failed to answer since the last answer, and of those
    /// that could not be connected to since the last connection.
    pub fn failed(&self) -> (usize, usize) {
        (self.silent.len(), self.unconnected.len())
    }

    /// Returns the time since the last answer of any target.
    pub fn silence(&self, now: Duration) -> Duration {
        now.saturating_sub(self.last_answer)
    }
}
