//! How long a connection stays open while no request on it is in progress. Uses neither a clock nor
//! a socket.
//!
//! A caller that uses a kept connection at the moment at which the node closes it loses its request.
//! So each answer announces for how long the connection may be used again, and the node closes it
//! only some time later.

use std::time::Duration;

use site::Limits;

/// Time after the end of the announced time for which a connection stays open: a request may be on
/// its way, and its first packet may have been lost.
const MARGIN: Duration = Duration::from_secs(1);
/// Share of the idle timeout that is announced.
const ANNOUNCED_SHARE: f64 = 0.8;
/// Share of the grace of a planned stop that is announced: a node that stops can wait until no
/// caller may use its connections again.
const ANNOUNCED_GRACE_SHARE: f64 = 0.5;
/// Time of the grace in which an answer may still announce a time, with the margin and the time that
/// the end of a process takes.
const STOP_TIME: Duration = Duration::from_secs(4);
/// Minimum time that can be announced; it is announced in whole seconds.
const MIN_ANNOUNCED: Duration = Duration::from_secs(1);

/// Returns the time for which callers may use a connection again after an answer, in whole seconds.
pub fn announced_time(idle_timeout: Duration, grace: Duration) -> Duration {
    let fitting = grace.mul_f64(ANNOUNCED_GRACE_SHARE).min(grace.saturating_sub(STOP_TIME));
    let time = idle_timeout.mul_f64(ANNOUNCED_SHARE).min(fitting);
    Duration::from_secs(time.as_secs()).max(MIN_ANNOUNCED)
}

/// What a connection waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// The next request.
    Idle,
    /// The rest of a head.
    Head,
    /// The answer to a request.
    Request,
    /// The rest of a request that was answered before all of it had arrived.
    Rest,
}

/// Why a connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// No request came for too long.
    Idle,
    /// The head of a request did not end in time.
    SlowHead,
    /// The rest of a request that was answered did not arrive in time.
    SlowRest,
}

/// The time at which a connection is closed.
#[derive(Clone, Debug)]
pub struct Expiry {
    phase: Phase,
    since: Duration,
    /// Time for which the caller may use the connection again.
    announced: Duration,
    /// Whether the caller has been told this time.
    has_answer: bool,
    /// Limits in force when the phase began, which the caller may go by.
    limits: Limits,
}

impl Expiry {
    /// Returns the expiry of a connection that has been accepted.
    pub fn new(now: Duration, announced: Duration, limits: Limits) -> Self {
        Self { phase: Phase::Idle, since: now, announced, has_answer: false, limits }
    }

    /// Records that bytes of a head have arrived.
    pub fn record_bytes(&mut self, now: Duration, limits: Limits) {
        if self.phase == Phase::Idle {
            self.phase = Phase::Head;
            self.since = now;
            self.limits = limits;
        }
    }

    /// Records that a request has arrived.
    pub fn begin_request(&mut self) {
        self.phase = Phase::Request;
    }

    /// Returns whether the next request is waited for on a connection whose caller has an answer.
    pub fn is_between_requests(&self) -> bool {
        self.phase == Phase::Idle && self.has_answer
    }

    /// Records that a request was answered with this announcement.
    pub fn end_request(&mut self, now: Duration, announced: Duration, limits: Limits) {
        *self = Self { has_answer: true, ..Self::new(now, announced, limits) };
    }

    /// Records that the time of the present phase begins only now.
    pub fn restart(&mut self, now: Duration) {
        self.since = now;
    }

    /// Records that a request was answered of which a part has not arrived.
    pub fn begin_rest(&mut self) {
        self.phase = Phase::Rest;
    }

    /// Records that all of an answered request has arrived.
    pub fn end_rest(&mut self, now: Duration) {
        if self.phase == Phase::Rest {
            self.phase = Phase::Idle;
            self.since = now;
        }
    }

    /// Returns when the connection is closed, by the limits now in force, and why; `None` while a
    /// request is in progress. A caller may go by the limits that were in force when it began to
    /// wait. A node that stops at `stop` waits only until no caller uses the connection by what was
    /// announced.
    pub fn expires_at(
        &self,
        limits: &Limits,
        stop: Option<Duration>,
    ) -> Option<(Duration, Reason)> {
        let (time, reason) = match self.phase {
            Phase::Request => return None,
            Phase::Idle => (self.idle_time(limits, stop), Reason::Idle),
            Phase::Rest => (self.idle_time(limits, stop), Reason::SlowRest),
            Phase::Head => (self.limits.head_timeout.max(limits.head_timeout), Reason::SlowHead),
        };
        Some((self.since + time, reason))
    }

    /// Returns for how long the connection stays open without a sign of its caller.
    fn idle_time(&self, limits: &Limits, stop: Option<Duration>) -> Duration {
        let usable = self.announced + MARGIN;
        match stop {
            None => self.limits.idle_timeout.max(limits.idle_timeout).max(usable),
            Some(_) if self.has_answer => usable,
            // Its caller has been told no time, and may send its first request at any moment.
            Some(stop) => stop.saturating_sub(self.since) + usable,
        }
    }
}
