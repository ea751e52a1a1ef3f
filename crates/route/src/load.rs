//! What is known of a target's load: own streams exactly, others' by late reports.

use std::collections::VecDeque;
use std::time::Duration;

/// Changes of the own streams kept, to know how many there were when a report was taken.
const HISTORY: usize = 64;
/// Time in which a report's difference from the usual shrinks to about a third.
const AGEING: f64 = 2.0;
/// Weight of a new report in the usual number of others' streams.
const USUAL_WEIGHT: f64 = 0.2;

/// Load of one target.
#[derive(Clone, Debug, Default)]
pub(crate) struct View {
    /// Own streams in flight.
    own: u32,
    /// Seconds that one token of each own stream takes at the target.
    own_cost: f64,
    /// Seconds of own prompts that are still to be computed.
    prompts: f64,
    /// Time of each own dispatch or ending, and own streams from then on.
    history: VecDeque<(Duration, u32)>,
    report: Option<Report>,
    /// Usual number of others' streams.
    usual: f64,
}

#[derive(Clone, Copy, Debug)]
struct Report {
    /// When the numbers were true.
    taken: Duration,
    /// Streams running and queued, of all nodes.
    streams: f64,
    /// Of these, not of this node.
    others: f64,
}

impl View {
    /// Counts a dispatch. `prompt` are the seconds that its prompt takes.
    pub(crate) fn add(&mut self, now: Duration, cost: f64, prompt: f64) {
        self.own += 1;
        self.own_cost += cost;
        self.prompts += prompt;
        self.remember(now);
    }

    /// Counts the end of a stream.
    pub(crate) fn remove(&mut self, now: Duration, cost: f64) {
        debug_assert!(self.own > 0, "a stream ends once");
        self.own = self.own.saturating_sub(1);
        self.own_cost = if self.own == 0 { 0.0 } else { (self.own_cost - cost).max(0.0) };
        self.remember(now);
    }

    /// The first token has come, or the stream has ended before: the prompt waits no more.
    pub(crate) fn prompt_done(&mut self, prompt: f64) {
        self.prompts = (self.prompts - prompt).max(0.0);
    }

    /// Seconds of prompts that wait, of all nodes.
    pub(crate) fn prompts(&self, mirror: f64) -> f64 {
        self.prompts * (1.0 + mirror)
    }

    /// Takes in a report; one taken before the last is dropped.
    pub(crate) fn report(&mut self, now: Duration, streams: u32, age: Duration) {
        let taken = now.saturating_sub(age);
        if self.report.is_some_and(|last| last.taken > taken) {
            return;
        }
        let streams = f64::from(streams);
        let others = (streams - f64::from(self.own_at(taken))).max(0.0);
        self.usual = match self.report {
            Some(_) => self.usual + USUAL_WEIGHT * (others - self.usual),
            None => others,
        };
        self.report = Some(Report { taken, streams, others });
    }

    /// Own streams in flight.
    pub(crate) fn own(&self) -> u32 {
        self.own
    }

    /// Streams that the last report counted beyond the own ones.
    pub(crate) fn reported_others(&self) -> f64 {
        self.report.map_or(0.0, |report| report.others)
    }

    /// Expected streams of other nodes at the target.
    ///
    /// `mirror` is how many streams others have for each own one: nodes that read the same
    /// report act alike, so that each own dispatch since then stands for theirs too.
    pub(crate) fn others(&self, now: Duration, mirror: f64) -> f64 {
        let Some(report) = self.report else { return f64::from(self.own) * mirror };
        let age = now.saturating_sub(report.taken).as_secs_f64();
        let aged = self.usual + (report.others - self.usual) * (-age / AGEING).exp();
        let since = f64::from(self.own) - f64::from(self.own_at(report.taken));
        (aged + since * mirror).max(0.0)
    }

    /// Streams by the report alone.
    pub(crate) fn reported(&self) -> f64 {
        self.report.map_or(0.0, |report| report.streams)
    }

    /// Seconds that a round of one token for each stream takes, all streams together.
    pub(crate) fn round(&self, now: Duration, mirror: f64, full_cost: f64) -> f64 {
        let mean = if self.own > 0 { self.own_cost / f64::from(self.own) } else { full_cost };
        self.own_cost + self.others(now, mirror) * mean
    }

    fn remember(&mut self, now: Duration) {
        if self.history.len() == HISTORY {
            self.history.pop_front();
        }
        self.history.push_back((now, self.own));
    }

    /// Own streams at an earlier time.
    fn own_at(&self, time: Duration) -> u32 {
        let after = self.history.partition_point(|(at, _)| *at <= time);
        if after > 0 {
            self.history[after - 1].1
        } else if self.history.len() < HISTORY {
            0
        } else {
            self.history[0].1
        }
    }
}
