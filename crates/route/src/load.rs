//! Load of a target: exact counts of this node's streams, delayed reports about all others.

use std::collections::VecDeque;
use std::time::Duration;

/// Maximum number of own stream counts kept. They give the own streams at the time of a report.
const MAX_HISTORY: usize = 64;
/// Time in which the difference between a report and the baseline decays to 1/e.
const REPORT_DECAY_SECONDS: f64 = 2.0;
/// Weight of a new report in the baseline of other nodes' streams.
const BASELINE_WEIGHT: f64 = 0.2;

/// Load of one target.
#[derive(Clone, Debug, Default)]
pub(crate) struct View {
    /// This node's streams in flight.
    own: u32,
    /// Sum of the seconds that one token of each own stream takes at the target.
    own_cost: f64,
    /// Seconds of own prompt processing that remain.
    prompt_seconds: f64,
    /// Time of each own dispatch or end, and the number of own streams from then on.
    history: VecDeque<(Duration, u32)>,
    report: Option<Report>,
    /// Running mean of the other nodes' streams.
    baseline: f64,
}

#[derive(Clone, Copy, Debug)]
struct Report {
    /// Time to which the counts apply.
    taken_at: Duration,
    /// Streams of all nodes, running and queued.
    streams: f64,
    /// Streams of other nodes.
    peer_streams: f64,
}

impl View {
    /// Counts a dispatched stream whose prompt takes `prompt` seconds.
    pub(crate) fn add(&mut self, now: Duration, cost: f64, prompt: f64) {
        self.own += 1;
        self.own_cost += cost;
        self.prompt_seconds += prompt;
        self.record_history(now);
    }

    /// Counts the end of a stream.
    pub(crate) fn remove(&mut self, now: Duration, cost: f64) {
        debug_assert!(self.own > 0, "a stream ends once");
        self.own = self.own.saturating_sub(1);
        self.own_cost = if self.own == 0 { 0.0 } else { (self.own_cost - cost).max(0.0) };
        self.record_history(now);
    }

    /// Removes a prompt that is processed or whose stream has ended before its first token.
    pub(crate) fn prompt_done(&mut self, prompt: f64) {
        self.prompt_seconds = (self.prompt_seconds - prompt).max(0.0);
    }

    /// Returns the estimated seconds of prompt processing that remain for all nodes.
    pub(crate) fn prompt_seconds(&self, peer_ratio: f64) -> f64 {
        self.prompt_seconds * (1.0 + peer_ratio)
    }

    /// Applies a report. Reports older than the last one are dropped.
    pub(crate) fn report(&mut self, now: Duration, streams: u32, age: Duration) {
        let taken_at = now.saturating_sub(age);
        if self.report.is_some_and(|last| last.taken_at > taken_at) {
            return;
        }
        let streams = f64::from(streams);
        let peer_streams = (streams - f64::from(self.own_streams_at(taken_at))).max(0.0);
        self.baseline = match self.report {
            Some(_) => self.baseline + BASELINE_WEIGHT * (peer_streams - self.baseline),
            None => peer_streams,
        };
        self.report = Some(Report { taken_at, streams, peer_streams });
    }

    /// Returns this node's streams in flight.
    pub(crate) fn own(&self) -> u32 {
        self.own
    }

    /// Returns the streams of other nodes in the last report.
    pub(crate) fn reported_peer_streams(&self) -> f64 {
        self.report.map_or(0.0, |report| report.peer_streams)
    }

    /// Returns the expected streams of other nodes at the target.
    ///
    /// `peer_ratio` is the number of other nodes' streams per own stream. Nodes that read the same
    /// report act alike, so each own dispatch since the report stands for dispatches of theirs
    /// too.
    pub(crate) fn peer_streams(&self, now: Duration, peer_ratio: f64) -> f64 {
        let Some(report) = self.report else { return f64::from(self.own) * peer_ratio };
        let age = now.saturating_sub(report.taken_at).as_secs_f64();
        let aged = self.baseline
            + (report.peer_streams - self.baseline) * (-age / REPORT_DECAY_SECONDS).exp();
        let since = f64::from(self.own) - f64::from(self.own_streams_at(report.taken_at));
        (aged + since * peer_ratio).max(0.0)
    }

    /// Returns the streams in the last report alone.
    pub(crate) fn reported_streams(&self) -> f64 {
        self.report.map_or(0.0, |report| report.streams)
    }

    /// Returns the seconds that the target takes for one token of every stream.
    pub(crate) fn round_seconds(&self, now: Duration, peer_ratio: f64, full_cost: f64) -> f64 {
        let mean = if self.own > 0 { self.own_cost / f64::from(self.own) } else { full_cost };
        self.own_cost + self.peer_streams(now, peer_ratio) * mean
    }

    fn record_history(&mut self, now: Duration) {
        if self.history.len() == MAX_HISTORY {
            self.history.pop_front();
        }
        self.history.push_back((now, self.own));
    }

    /// Returns the number of own streams at an earlier time.
    fn own_streams_at(&self, time: Duration) -> u32 {
        let after = self.history.partition_point(|(at, _)| *at <= time);
        if after > 0 {
            self.history[after - 1].1
        } else if self.history.len() < MAX_HISTORY {
            0
        } else {
            self.history[0].1
        }
    }
}
