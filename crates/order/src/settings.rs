//! Settings of the order service.

use std::time::Duration;

/// Settings of the order service, created by [`Settings::builder`].
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    pub(crate) ttl: Duration,
    pub(crate) lease_margin: Duration,
    pub(crate) send_window: Duration,
    pub(crate) renew_interval: Duration,
    pub(crate) compare_interval: Duration,
    pub(crate) concurrency: usize,
    pub(crate) mutation: Mutation,
}

/// A mechanism that is disabled, so that tests can show that they detect its absence.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mutation {
    /// All mechanisms are enabled.
    #[default]
    None,
    /// Engines are compared once and not again.
    NoRepeat,
    /// Orders are sent without a check of the lease.
    NoLeaseCheck,
    /// All orders of one holder carry the same fencing number.
    SameFence,
}

impl Settings {
    /// Starts from the defaults.
    pub fn builder() -> Builder {
        Builder {
            settings: Settings {
                ttl: Duration::from_secs(10),
                lease_margin: Duration::from_secs(2),
                send_window: Duration::from_secs(1),
                renew_interval: Duration::from_secs(3),
                compare_interval: Duration::from_secs(5),
                concurrency: 16,
                mutation: Mutation::None,
            },
        }
    }
}

/// Builder of [`Settings`].
#[derive(Clone, Copy, Debug)]
pub struct Builder {
    settings: Settings,
}

impl Builder {
    /// Time to live of the lease.
    pub fn ttl(mut self, ttl: Duration) -> Self {
        self.settings.ttl = ttl;
        self
    }

    /// Time before the end of the lease in which no order is sent.
    pub fn lease_margin(mut self, margin: Duration) -> Self {
        self.settings.lease_margin = margin;
        self
    }

    /// Maximum time from the decision to send an order to its last byte.
    pub fn send_window(mut self, window: Duration) -> Self {
        self.settings.send_window = window;
        self
    }

    /// Interval at which the holder renews the lease and other nodes try to acquire it.
    pub fn renew_interval(mut self, interval: Duration) -> Self {
        self.settings.renew_interval = interval;
        self
    }

    /// Interval at which each engine is compared with its desired state.
    pub fn compare_interval(mut self, interval: Duration) -> Self {
        self.settings.compare_interval = interval;
        self
    }

    /// Maximum number of concurrent calls to engines.
    pub fn concurrency(mut self, calls: usize) -> Self {
        self.settings.concurrency = calls.max(1);
        self
    }

    /// Disables a mechanism; for tests only.
    pub fn mutation(mut self, mutation: Mutation) -> Self {
        self.settings.mutation = mutation;
        self
    }

    /// Returns the settings.
    pub fn build(self) -> Settings {
        debug_assert!(self.settings.lease_margin < self.settings.ttl);
        self.settings
    }
}
