//! Settings of the client.

use std::time::Duration;

use smol_str::SmolStr;

use crate::Rates;

/// Settings; made by [`Settings::builder`].
#[derive(Clone, Debug)]
pub struct Settings {
    pub(crate) base: SmolStr,
    pub(crate) timeout: Duration,
    pub(crate) connect_timeout: Duration,
    pub(crate) watch_idle_timeout: Duration,
    pub(crate) poll_interval: Duration,
    pub(crate) rates: Rates,
    pub(crate) min_backoff: Duration,
    pub(crate) max_backoff: Duration,
    pub(crate) seed: u64,
}

impl Settings {
    /// Starts settings for the service at `address` (host and port, or an `http://` URL).
    pub fn builder(address: &str) -> Builder {
        let base = if address.contains("://") {
            SmolStr::from(address.trim_end_matches('/'))
        } else {
            smol_str::format_smolstr!("http://{address}")
        };
        Builder {
            settings: Settings {
                base,
                timeout: Duration::from_secs(1),
                connect_timeout: Duration::from_millis(300),
                watch_idle_timeout: Duration::from_secs(5),
                poll_interval: Duration::from_secs(5),
                rates: Rates { writes: 300.0, reads: 2000.0 },
                min_backoff: Duration::from_millis(50),
                max_backoff: Duration::from_secs(2),
                seed: 0,
            },
        }
    }
}

/// Builder of [`Settings`].
#[derive(Clone, Debug)]
pub struct Builder {
    settings: Settings,
}

impl Builder {
    /// Longest time that a call takes, connecting included.
    pub fn timeout(mut self, timeout: Duration) -> Self {
        self.settings.timeout = timeout;
        self
    }

    /// Longest time that connecting takes.
    pub fn connect_timeout(mut self, timeout: Duration) -> Self {
        self.settings.connect_timeout = timeout;
        self
    }

    /// Silence after which a watch is opened anew.
    pub fn watch_idle_timeout(mut self, timeout: Duration) -> Self {
        self.settings.watch_idle_timeout = timeout;
        self
    }

    /// Interval of the poll behind a watch.
    pub fn poll_interval(mut self, interval: Duration) -> Self {
        self.settings.poll_interval = interval;
        self
    }

    /// Calls per second that this process may make.
    pub fn rates(mut self, rates: Rates) -> Self {
        self.settings.rates = rates;
        self
    }

    /// First and longest wait after failed calls.
    pub fn backoff(mut self, first: Duration, most: Duration) -> Self {
        self.settings.min_backoff = first;
        self.settings.max_backoff = most;
        self
    }

    /// Seed of the jitter.
    pub fn seed(mut self, seed: u64) -> Self {
        self.settings.seed = seed;
        self
    }

    /// Finishes the settings.
    pub fn build(self) -> Settings {
        self.settings
    }
}
