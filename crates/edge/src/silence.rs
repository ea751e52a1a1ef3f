//! How long a stream has been silent, and what that calls for.

use std::time::Duration;

/// Silence after which the engines of a path are asked for their reports: events come every
/// 30 to 80 ms.
const SLOW: Duration = Duration::from_millis(100);
/// Silence after which a path with an engine that is left out is given up: a while longer than
/// an event takes, for the engine may have been left out by mistake.
const BROKEN: Duration = Duration::from_millis(120);
/// Silence after which the first engine of a path is asked which engine hangs.
pub(crate) const STUCK: Duration = Duration::from_millis(200);
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
}

impl Silence {
    /// A stream from which something was heard at `now`.
    pub fn new(now: Duration) -> Self {
        Self { heard: now, look_at: now + SLOW }
    }

    /// Notes that something was heard.
    pub fn hear(&mut self, now: Duration) {
        *self = Self::new(now);
    }

    /// When the stream is to be looked at next.
    pub fn look_at(&self) -> Duration {
        self.look_at
    }

    /// Looks at the stream; `is_broken` tells whether an engine of its path is left out.
    pub fn look(&mut self, now: Duration, is_broken: bool) -> Verdict {
        let silent = now.saturating_sub(self.heard);
        let next = [SLOW, BROKEN, STUCK].into_iter().find(|at| *at > silent);
        self.look_at = now + next.map_or(LOOK_INTERVAL, |at| at - silent);
        match silent {
            _ if self.is_over(now, is_broken) => Verdict::GiveUp,
            silent if silent >= STUCK => Verdict::Search,
            silent if silent >= SLOW => Verdict::Ask,
            _ => Verdict::Wait,
        }
    }

    /// Whether the path is to be given up now that something is known of targets.
    pub fn is_over(&self, now: Duration, is_broken: bool) -> bool {
        is_broken && now.saturating_sub(self.heard) >= BROKEN
    }
}
