//! How long a stream has been silent, and what that calls for.

use std::time::Duration;

/// Longest silence after which the engines of a path are asked for their reports: events come
/// every 30 to 80 ms.
const SLOW: Duration = Duration::from_millis(100);
/// Shortest such silence, for streams whose events have come at shorter intervals so far.
const LEAST_SLOW: Duration = Duration::from_millis(75);
/// Longest silence after which a path with an engine that is left out is given up: a while longer
/// than an event takes, for the engine may have been left out by mistake.
const BROKEN: Duration = Duration::from_millis(120);
/// Shortest such silence, for streams whose events have come at shorter intervals so far.
const LEAST_BROKEN: Duration = Duration::from_millis(60);
/// A stream that is silent this many times as long as ever before on its path has stopped.
const STOPPED: f64 = 1.15;
/// Intervals between events that must be known before a stream is judged by its own.
const KNOWN_INTERVALS: u32 = 6;
/// Silence after which the first engine of a path is asked which engine hangs.
pub(crate) const STUCK: Duration = Duration::from_millis(200);
/// First pause before another path is sought again for a stream that found none.
const HOLD: Duration = Duration::from_millis(50);
/// Longest such pause.
const MOST_HOLD: Duration = Duration::from_millis(400);
/// Interval of looks at a path that stays silent.
const LOOK_INTERVAL: Duration = Duration::from_millis(100);

/// What the silence of a stream calls for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Nothing.
    Wait,
    /// The engines are asked whether they are slow, or gone.
    Ask,
    /// The first engine is asked which engine it waits for.
    Search,
    /// The path is given up.
    GiveUp,
}

/// The silence of one stream on one path.
///
/// Looks come at fixed silences. News of targets in between are judged at once, and do not
/// put off the next look.
#[derive(Clone, Copy, Debug)]
pub struct Silence {
    heard: Duration,
    look_at: Duration,
    /// Intervals between events so far.
    intervals: u32,
    /// The longest of them.
    longest: Duration,
    /// Until when the path is not given up, as there was no other.
    held: Duration,
    /// Length of that pause.
    hold: Duration,
}

impl Silence {
    /// A stream from which something was heard at `now`.
    pub fn new(now: Duration) -> Self {
        let (longest, held, hold) = (Duration::ZERO, Duration::ZERO, HOLD);
        Self { heard: now, look_at: now + SLOW, intervals: 0, longest, held, hold }
    }

    /// Notes that there was no other path: the stream is not given up for a while.
    pub fn hold(&mut self, now: Duration) {
        self.held = now + self.hold;
        self.look_at = self.held;
        self.hold = (self.hold * 2).min(MOST_HOLD);
    }

    /// Notes that something was heard.
    pub fn hear(&mut self, now: Duration) {
        let longest = self.longest.max(now.saturating_sub(self.heard));
        *self = Self { intervals: self.intervals + 1, longest, ..Self::new(now) };
        self.look_at = now + self.slow();
    }

    /// Silence after which the engines are asked for their reports.
    fn slow(&self) -> Duration {
        self.stopped().map_or(SLOW, |stopped| stopped.clamp(LEAST_SLOW, SLOW))
    }

    /// Silence after which a path with an engine that is left out is given up.
    fn broken(&self) -> Duration {
        self.stopped().map_or(BROKEN, |stopped| stopped.clamp(LEAST_BROKEN, BROKEN))
    }

    /// Silence after which a stream has stopped, judged by its intervals so far.
    fn stopped(&self) -> Option<Duration> {
        (self.intervals >= KNOWN_INTERVALS).then(|| self.longest.mul_f64(STOPPED))
    }

    /// When the stream is to be looked at next.
    pub fn look_at(&self) -> Duration {
        self.look_at
    }

    /// Looks at the stream; `is_broken` tells whether an engine of its path is left out.
    pub fn look(&mut self, now: Duration, is_broken: bool) -> Verdict {
        let silent = now.saturating_sub(self.heard);
        let mut looks = [self.slow(), BROKEN, STUCK].into_iter();
        let next = looks.find(|at| *at > silent).map_or(LOOK_INTERVAL, |at| at - silent);
        self.look_at = now + next;
        match silent {
            _ if self.learn(now, is_broken) => Verdict::GiveUp,
            silent if silent >= STUCK => Verdict::Search,
            silent if silent >= self.slow() => Verdict::Ask,
            _ => Verdict::Wait,
        }
    }

    /// Whether the path is to be given up now that something is known of targets. If it is too
    /// early for a broken one, the next look is at the moment when it no longer is.
    pub fn learn(&mut self, now: Duration, is_broken: bool) -> bool {
        if !is_broken {
            return false;
        }
        let until = self.held.max(self.heard + self.broken());
        if now < until {
            self.look_at = self.look_at.min(until);
        }
        now >= until
    }
}
