//! Load reports that are delayed by a fixed lag.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use serde::Serialize;

/// Time over which the token rate is measured.
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// Response of `GET /load`.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub(super) struct Load {
    pub(super) running: u32,
    pub(super) queued: u32,
    pub(super) slots: u32,
    pub(super) tokens_per_second: f64,
    pub(super) age_ms: u64,
}

/// Load samples, oldest first, each with its time and the tokens executed so far.
#[derive(Debug)]
pub(super) struct History {
    lag: Duration,
    samples: VecDeque<(Instant, Load, u64)>,
}

impl History {
    /// Creates a history whose reports are delayed by `lag`.
    pub(super) fn new(lag: Duration) -> Self {
        Self { lag, samples: VecDeque::new() }
    }

    /// Appends a sample; `tokens` is the number of tokens executed so far.
    pub(super) fn push(&mut self, mut load: Load, tokens: u64) {
        let now = Instant::now();
        let window = self.samples.iter().find(|(at, ..)| now - *at <= RATE_WINDOW);
        if let Some((at, _, before)) = window {
            let elapsed = (now - *at).as_secs_f64().max(f64::EPSILON);
            load.tokens_per_second = (tokens - before) as f64 / elapsed;
        }
        self.samples.push_back((now, load, tokens));
        let keep = RATE_WINDOW.max(self.lag) * 2;
        while self.samples.front().is_some_and(|(at, ..)| now - *at > keep) {
            self.samples.pop_front();
        }
    }

    /// Returns the latest sample that is at least as old as the lag, or else the oldest.
    pub(super) fn read(&self) -> Load {
        let now = Instant::now();
        let old = self.samples.iter().rev().find(|(at, ..)| now - *at >= self.lag);
        let Some((at, load, _)) = old.or(self.samples.front()) else {
            return Load::default();
        };
        Load { age_ms: u64::try_from((now - *at).as_millis()).unwrap_or(u64::MAX), ..*load }
    }
}
