//! Settings of the follower.

use std::time::Duration;

/// Settings of a [`Follower`](crate::Follower); the defaults suit both current deployments.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Time for which a proof of freshness is valid.
    pub freshness: Duration,
    /// Shortest mean interval between two polls of the store by one node.
    pub poll_interval: Duration,
    /// Largest number of polls per second by all nodes together. With more nodes, each polls less
    /// often.
    pub max_poll_rate: f64,
    /// Mean number of watches held by all nodes together.
    pub mean_watches: f64,
    /// Time after which an unanswered request for the preset of another node is given up.
    pub fetch_timeout: Duration,
    /// Time after the start during which a node waits for the version of another node before it
    /// accepts work.
    pub startup_wait: Duration,
    /// Whether lower versions are ignored; switched off only to demonstrate the failure that this
    /// prevents.
    pub monotonic: bool,
    /// Whether proofs are dated by the time of the request instead of the time of the answer;
    /// switched off only to demonstrate the failure that this prevents.
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
    /// Returns a builder with the defaults.
    pub fn builder() -> Builder {
        Builder { settings: Self::default() }
    }
}

/// Builder of [`Settings`].
#[derive(Clone, Debug)]
pub struct Builder {
    settings: Settings,
}

impl Builder {
    /// Sets the time for which a proof of freshness is valid.
    pub fn freshness(mut self, time: Duration) -> Self {
        self.settings.freshness = time;
        self
    }

    /// Sets the shortest mean interval between two polls by one node.
    pub fn poll_interval(mut self, interval: Duration) -> Self {
        self.settings.poll_interval = interval;
        self
    }

    /// Sets the largest number of polls per second by all nodes together.
    pub fn max_poll_rate(mut self, rate: f64) -> Self {
        self.settings.max_poll_rate = rate;
        self
    }

    /// Sets the mean number of watches held by all nodes together.
    pub fn mean_watches(mut self, count: f64) -> Self {
        self.settings.mean_watches = count;
        self
    }

    /// Sets whether lower versions are ignored.
    pub fn monotonic(mut self, on: bool) -> Self {
        self.settings.monotonic = on;
        self
    }

    /// Sets whether proofs are dated by the time of the request.
    pub fn date_by_request(mut self, on: bool) -> Self {
        self.settings.date_by_request = on;
        self
    }

    /// Returns the settings.
    pub fn build(self) -> Settings {
        self.settings
    }
}
