//! Settings of the store client.

use std::time::Duration;

use smol_str::SmolStr;

use crate::Rates;

/// Settings of a [`Client`](crate::Client), built with [`Settings::builder`].
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
    /// Returns a builder for the service at `address` (host and port, or an `http://` URL).
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
    /// Sets the time-out of a call, connecting included; by default 1 s.
    pub fn timeout(mut self, timeout: Duration) -> Self {
        self.settings.timeout = timeout;
        self
    }

    /// Sets the time-out of connecting; by default 300 ms.
    pub fn connect_timeout(mut self, timeout: Duration) -> Self {
        self.settings.connect_timeout = timeout;
        self
    }

    /// Sets the time without data after which a watch is reopened; by default 5 s.
    pub fn watch_idle_timeout(mut self, timeout: Duration) -> Self {
        self.settings.watch_idle_timeout = timeout;
        self
    }

    /// Sets the interval at which a follower polls its key, in addition to the watch; by default
    /// 5 s.
    pub fn poll_interval(mut self, interval: Duration) -> Self {
        self.settings.poll_interval = interval;
        self
    }

    /// Sets the rates of calls that this process may make; by default 300 writes and 2000 reads per
    /// second.
    pub fn rates(mut self, rates: Rates) -> Self {
        self.settings.rates = rates;
        self
    }

    /// Sets the shortest and the longest back-off after failed calls; by default 50 ms and 2 s.
    pub fn backoff(mut self, min: Duration, max: Duration) -> Self {
        self.settings.min_backoff = min;
        self.settings.max_backoff = max;
        self
    }

    /// Sets the seed of the random jitter of the back-off.
    pub fn seed(mut self, seed: u64) -> Self {
        self.settings.seed = seed;
        self
    }

    /// Returns the settings.
    pub fn build(self) -> Settings {
        self.settings
    }
}
