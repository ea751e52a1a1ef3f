//! Settings of the client.

use std::time::Duration;

use smol_str::SmolStr;

use crate::Rates;

/// Settings; made by [`Settings::builder`].
#[derive(Clone, Debug)]
pub struct Settings {
    pub(crate) base: SmolStr,
    pub(crate) deadline: Duration,
    pub(crate) connect: Duration,
    pub(crate) watch_idle: Duration,
    pub(crate) poll: Duration,
    pub(crate) rates: Rates,
    pub(crate) backoff_first: Duration,
    pub(crate) backoff_most: Duration,
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
                deadline: Duration::from_secs(1),
                connect: Duration::from_millis(300),
                watch_idle: Duration::from_secs(5),
                poll: Duration::from_secs(5),
                rates: Rates { writes: 300.0, reads: 2000.0 },
                backoff_first: Duration::from_millis(50),
                backoff_most: Duration::from_secs(2),
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
    pub fn deadline(mut self, deadline: Duration) -> Self {
        self.settings.deadline = deadline;
        self
    }

    /// Longest time that connecting takes.
    pub fn connect(mut self, connect: Duration) -> Self {
        self.settings.connect = connect;
        self
    }

    /// Silence after which a watch is opened anew.
    pub fn watch_idle(mut self, idle: Duration) -> Self {
        self.settings.watch_idle = idle;
        self
    }

    /// Interval of the poll behind a watch.
    pub fn poll(mut self, poll: Duration) -> Self {
        self.settings.poll = poll;
        self
    }

    /// Calls per second that this process may make.
    pub fn rates(mut self, rates: Rates) -> Self {
        self.settings.rates = rates;
        self
    }

    /// First and longest wait after failed calls.
    pub fn backoff(mut self, first: Duration, most: Duration) -> Self {
        self.settings.backoff_first = first;
        self.settings.backoff_most = most;
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
