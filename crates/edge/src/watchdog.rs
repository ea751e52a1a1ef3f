//! How long a stream has been silent, and what that calls for.

use std::time::Duration;

/// Longest silence after which the engines of a path are asked for their reports: events come
/// every 30 to 80 ms.
const MAX_SLOW: Duration = Duration::from_millis(100);
/// Shortest such silence, for streams whose events have come at shorter intervals so far.
const MIN_SLOW: Duration = Duration::from_millis(75);
/// Longest silence after which a path with an engine that is left out is given up: a while longer
/// than an event takes, for the engine may have been left out by mistake.
const MAX_BROKEN: Duration = Duration::from_millis(120);
/// Shortest such silence, for streams whose events have come at shorter intervals so far.
const MIN_BROKEN: Duration = Duration::from_millis(60);
/// A stream that is silent this many times as long as ever before on its path has stopped.
const STALL_FACTOR: f64 = 1.15;
/// Intervals between events that must be known before a stream is judged by its own.
const MIN_INTERVALS: u32 = 6;
/// Silence after which the first engine of a path is asked which engine hangs.
pub(crate) const STALLED: Duration = Duration::from_millis(200);
/// First pause before another path is sought again for a stream that found none.
const MIN_DEFERRAL: Duration = Duration::from_millis(50);
/// Longest such pause.
const MAX_DEFERRAL: Duration = Duration::from_millis(400);
/// Interval of looks at a path that stays silent.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// What the silence of a stream calls for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Nothing.
    Wait,
    /// The engines are asked whether they are slow, or gone.
    ProbeEngines,
    /// The first engine is asked which engine it waits for.
    LocateStall,
    /// The path is given up.
    Abandon,
}

/// The silence of one stream on one path.
///
/// Looks come at fixed silences. News of targets in between are judged at once, and do not
/// put off the next look.
#[derive(Clone, Copy, Debug)]
pub struct Watchdog {
    last_event: Duration,
    next_check: Duration,
    /// Intervals between events so far.
    intervals: u32,
    /// The longest of them.
    longest: Duration,
    /// Until when the path is not given up, as there was no other.
    deferred_until: Duration,
    /// Length of that pause.
    deferral: Duration,
}

impl Watchdog {
    /// A stream from which something was heard at `now`.
    pub fn new(now: Duration) -> Self {
        let (longest, deferred_until, deferral) = (Duration::ZERO, Duration::ZERO, MIN_DEFERRAL);
        Self {
            last_event: now,
            next_check: now + MAX_SLOW,
            intervals: 0,
            longest,
            deferred_until,
            deferral,
        }
    }

    /// Notes that there was no other path: the stream is not given up for a while.
    pub fn defer(&mut self, now: Duration) {
        self.deferred_until = now + self.deferral;
        self.next_check = self.deferred_until;
        self.deferral = (self.deferral * 2).min(MAX_DEFERRAL);
    }

    /// Notes that something was heard.
    pub fn record_event(&mut self, now: Duration) {
        let longest = self.longest.max(now.saturating_sub(self.last_event));
        *self = Self { intervals: self.intervals + 1, longest, ..Self::new(now) };
        self.next_check = now + self.slow_limit();
    }

    /// Silence after which the engines are asked for their reports.
    fn slow_limit(&self) -> Duration {
        self.stall_limit().map_or(MAX_SLOW, |stall_limit| stall_limit.clamp(MIN_SLOW, MAX_SLOW))
    }

    /// Silence after which a path with an engine that is left out is given up.
    fn broken_limit(&self) -> Duration {
        self.stall_limit()
            .map_or(MAX_BROKEN, |stall_limit| stall_limit.clamp(MIN_BROKEN, MAX_BROKEN))
    }

    /// Silence after which a stream has stopped, judged by its intervals so far.
    fn stall_limit(&self) -> Option<Duration> {
        (self.intervals >= MIN_INTERVALS).then(|| self.longest.mul_f64(STALL_FACTOR))
    }

    /// When the stream is to be looked at next.
    pub fn next_check(&self) -> Duration {
        self.next_check
    }

    /// Looks at the stream; `is_broken` tells whether an engine of its path is left out.
    pub fn check(&mut self, now: Duration, is_broken: bool) -> Verdict {
        let silent = now.saturating_sub(self.last_event);
        let mut checks = [self.slow_limit(), MAX_BROKEN, STALLED].into_iter();
        let next = checks.find(|at| *at > silent).map_or(CHECK_INTERVAL, |at| at - silent);
        self.next_check = now + next;
        match silent {
            _ if self.is_abandoned(now, is_broken) => Verdict::Abandon,
            silent if silent >= STALLED => Verdict::LocateStall,
            silent if silent >= self.slow_limit() => Verdict::ProbeEngines,
            _ => Verdict::Wait,
        }
    }

    /// Whether the path is to be given up now that something is known of targets. If it is too
    /// early for a broken one, the next look is at the moment when it no longer is.
    pub fn is_abandoned(&mut self, now: Duration, is_broken: bool) -> bool {
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
