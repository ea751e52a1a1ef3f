//! Settings of the service.

use std::time::Duration;

/// Settings; the defaults serve both deployments of today.
#[derive(Clone, Debug)]
pub struct Settings {
    /// How long a proof of freshness holds.
    pub freshness: Duration,
    /// Shortest time between two polls of the store by one node.
    pub poll_interval: Duration,
    /// Polls per second by all nodes together, above which each polls less often.
    pub max_poll_rate: f64,
    /// Watches held by all nodes together, on average.
    pub mean_watches: f64,
    /// Time after which a node that was asked for its preset is given up.
    pub fetch_timeout: Duration,
    /// Time at the start in which a node waits for another's version before it takes work.
    pub startup_wait: Duration,
    /// Whether a lower version is ignored; off only to show what goes wrong without.
    pub monotonic: bool,
    /// Whether proofs are dated by the question, not the answer; off only to show what
    /// goes wrong without.
    pub date_by_request: bool,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            freshness: Duration::from_secs(5),
            poll_interval: Duration::from_secs(1),
            max_poll_rate: 40.0,
            mean_watches: 8.0,
            fetch_timeout: Duration::from_millis(500),
            startup_wait: Duration::from_secs(2),
            monotonic: true,
            date_by_request: true,
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
    pub fn poll_interval(mut self, span: Duration) -> Self {
        self.settings.poll_interval = span;
        self
    }

    /// Sets the polls per second by all nodes together.
    pub fn max_poll_rate(mut self, rate: f64) -> Self {
        self.settings.max_poll_rate = rate;
        self
    }

    /// Sets the average number of watches held by all nodes together.
    pub fn mean_watches(mut self, count: f64) -> Self {
        self.settings.mean_watches = count;
        self
    }

    /// Sets whether a lower version is ignored.
    pub fn monotonic(mut self, on: bool) -> Self {
        self.settings.monotonic = on;
        self
    }

    /// Sets whether proofs are dated by the question.
    pub fn date_by_request(mut self, on: bool) -> Self {
        self.settings.date_by_request = on;
        self
    }

    /// Ends the building.
    pub fn build(self) -> Settings {
        self.settings
    }
}
