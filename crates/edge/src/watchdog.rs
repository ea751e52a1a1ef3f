//! Watchdog for silent streams.

use std::time::Duration;

/// Minimum silence before that, for streams with shorter intervals between events.
const MIN_SLOW_LIMIT: Duration = Duration::from_millis(75);
/// Silence before a path with an engine that is down is abandoned, unless events are rarer: somewhat
/// longer than an event takes, because the engine may have been marked down by mistake.
const BROKEN_LIMIT: Duration = Duration::from_millis(120);
/// Minimum silence before that, for streams with shorter intervals between events.
const MIN_BROKEN_LIMIT: Duration = Duration::from_millis(60);
/// A silence this many times as long as the longest interval on the path shows that the stream has
/// stalled.
const STALL_FACTOR: f64 = 1.15;
/// Number of intervals that must be known before they set a stream's limits.
const MIN_INTERVALS: u32 = 6;
/// Silence after which the first engine of a path is asked which engine stalls.
pub(crate) const STALL_TIMEOUT: Duration = Duration::from_millis(200);
/// First pause before a stream that found no other path tries again.
const INITIAL_DEFERRAL: Duration = Duration::from_millis(50);
/// Maximum pause before a stream that found no other path tries again.
const MAX_DEFERRAL: Duration = Duration::from_millis(400);
/// Interval of checks of a path that remains silent.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// What to do about a silent stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Keep waiting.
    Wait,
    /// Ask the engines for their reports, to find those that are slow or gone.
    ProbeEngines,
    /// Ask the first engine which engine it waits for.
    LocateStall,
    /// Abandon the path.
    Abandon,
}

/// Tracks the silence of one stream on one path.
///
/// Checks take place after fixed lengths of silence. A change of a target's state is judged at once
/// by [`Watchdog::should_abandon`], which does not postpone the next check.
#[derive(Clone, Copy, Debug)]
pub struct Watchdog {
    last_event: Duration,
    next_check: Duration,
    /// Maximum silence before the engines of a path are asked for their reports.
    max_slow_limit: Duration,
    /// Number of intervals between events so far.
    intervals: u32,
    /// The longest interval so far.
    longest: Duration,
    /// Time until which the path is not abandoned, because there was no other.
    deferred_until: Duration,
    /// Length of the next pause.
    deferral: Duration,
}

impl Watchdog {
    /// Returns the watchdog of a stream whose last event arrived at `now`. Its engines are asked for
    /// their reports after a silence of `max_slow_limit` at the latest.
    pub fn new(now: Duration, max_slow_limit: Duration) -> Self {
        let (longest, deferred_until, deferral) =
            (Duration::ZERO, Duration::ZERO, INITIAL_DEFERRAL);
        Self {
            last_event: now,
            next_check: now + max_slow_limit,
            max_slow_limit,
            intervals: 0,
            longest,
            deferred_until,
            deferral,
        }
    }

    /// Postpones abandoning the path, because there was no other.
    pub fn defer(&mut self, now: Duration) {
        self.deferred_until = now + self.deferral;
        self.next_check = self.deferred_until;
        self.deferral = (self.deferral * 2).min(MAX_DEFERRAL);
    }

    /// Records an event. Returns the time since the one before, if there was one.
    pub fn record_event(&mut self, now: Duration, max_slow_limit: Duration) -> Option<Duration> {
        let has_event = self.intervals > 0;
        let interval = now.saturating_sub(self.last_event);
        let longest = self.longest.max(interval);
        *self = Self { intervals: self.intervals + 1, longest, ..Self::new(now, max_slow_limit) };
        self.next_check = now + self.slow_limit();
        has_event.then_some(interval)
    }

    /// Returns the silence after which the engines are asked for their reports.
    fn slow_limit(&self) -> Duration {
        let max = self.max_slow_limit;
        self.stall_limit().map_or(max, |limit| limit.clamp(MIN_SLOW_LIMIT, max))
    }

    /// Returns the silence after which a path with an engine that is down is abandoned.
    fn broken_limit(&self) -> Duration {
        let max = self.max_broken_limit();
        self.stall_limit().map_or(max, |limit| limit.clamp(MIN_BROKEN_LIMIT, max))
    }

    fn max_broken_limit(&self) -> Duration {
        self.max_slow_limit.max(BROKEN_LIMIT)
    }

    /// Returns the silence that shows that the stream has stalled, if enough intervals are known.
    fn stall_limit(&self) -> Option<Duration> {
        (self.intervals >= MIN_INTERVALS).then(|| self.longest.mul_f64(STALL_FACTOR))
    }

    /// Returns the time of the next check.
    pub fn next_check(&self) -> Duration {
        self.next_check
    }

    /// Checks the stream; `is_broken` states whether an engine of its path is down.
    pub fn check(&mut self, now: Duration, is_broken: bool) -> Verdict {
        let silent = now.saturating_sub(self.last_event);
        let mut limits = [self.slow_limit(), self.max_broken_limit(), STALL_TIMEOUT].into_iter();
        let next = limits.find(|at| *at > silent).map_or(CHECK_INTERVAL, |at| at - silent);
        self.next_check = now + next;
        match silent {
            _ if self.should_abandon(now, is_broken) => Verdict::Abandon,
            silent if silent >= STALL_TIMEOUT => Verdict::LocateStall,
            silent if silent >= self.slow_limit() => Verdict::ProbeEngines,
            _ => Verdict::Wait,
        }
    }

    /// Returns whether the path is to be abandoned. If it is too early to abandon a broken path,
    /// moves the next check to the earliest time at which it may be.
    pub fn should_abandon(&mut self, now: Duration, is_broken: bool) -> bool {
        if !is_broken {
            return false;
        }
        let until = self.deferred_until.max(self.last_event + self.broken_limit());
        if now < until {
            self.next_check = self.next_check.min(until);
        }
        now >= until
    }
}
