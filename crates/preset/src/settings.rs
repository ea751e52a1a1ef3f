//! Settings of the service.

use std::time::Duration;

/// Settings; the defaults serve both deployments of today.
#[derive(Clone, Debug)]
pub struct Settings {
    /// How long a proof of freshness holds.
    pub freshness: Duration,
    /// Shortest time between two polls of the store by one node.
    pub poll: Duration,
    /// Polls per second by all nodes together, above which each polls less often.
    pub polls: f64,
    /// Watches held by all nodes together, on average.
    pub watches: f64,
    /// Time after which a node that was asked for its preset is given up.
    pub ask: Duration,
    /// Time at the start in which a node waits for another's version before it takes work.
    pub start: Duration,
    /// Whether a lower version is ignored; off only to show what goes wrong without.
    pub monotonic: bool,
    /// Whether proofs are dated by the question, not the answer; off only to show what
    /// goes wrong without.
    pub dated: bool,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            freshness: Duration::from_secs(5),
            poll: Duration::from_secs(1),
            polls: 40.0,
            watches: 8.0,
            ask: Duration::from_millis(500),
            start: Duration::from_secs(2),
            monotonic: true,
            dated: true,
        }
    }
}

impl Settings {
    /// Starts a builder from the defaults.
    pub fn builder() -> Builder {
        Builder { settings: Self::default() }
    }
}

/// Builds [`Settings`].
#[derive(Clone, Debug)]
pub struct Builder {
    settings: Settings,
}

impl Builder {
    /// Sets how long a proof of freshness holds.
    pub fn freshness(mut self, span: Duration) -> Self {
        self.settings.freshness = span;
        self
    }

    /// Sets the shortest time between two polls by one node.
    pub fn poll(mut self, span: Duration) -> Self {
        self.settings.poll = span;
        self
    }

    /// Sets the polls per second by all nodes together.
    pub fn polls(mut self, rate: f64) -> Self {
        self.settings.polls = rate;
        self
    }

    /// Sets the average number of watches held by all nodes together.
    pub fn watches(mut self, count: f64) -> Self {
        self.settings.watches = count;
        self
    }

    /// Sets whether a lower version is ignored.
    pub fn monotonic(mut self, on: bool) -> Self {
        self.settings.monotonic = on;
        self
    }

    /// Sets whether proofs are dated by the question.
    pub fn dated(mut self, on: bool) -> Self {
        self.settings.dated = on;
        self
    }

    /// Ends the building.
    pub fn build(self) -> Settings {
        self.settings
    }
}
