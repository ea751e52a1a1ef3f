//! Settings of the ledger.

use std::time::Duration;

use smol_str::SmolStr;

/// Settings of a [`Ledger`](crate::Ledger); created by [`Settings::builder`].
#[derive(Clone, Debug)]
pub struct Settings {
    pub(crate) node: SmolStr,
    pub(crate) incarnation: u64,
    pub(crate) send_window: Duration,
    pub(crate) claim_timeout: Duration,
    pub(crate) settle_timeout: Duration,
    pub(crate) retry_after: Duration,
    pub(crate) retention: Duration,
    pub(crate) open_retention: Duration,
    pub(crate) max_retention: Duration,
    pub(crate) compaction_threshold_bytes: usize,
    pub(crate) max_shard_bytes: usize,
    pub(crate) max_answer_bytes: usize,
    pub(crate) reserve_bytes: usize,
    pub(crate) concurrency: usize,
    pub(crate) max_batch: usize,
    pub(crate) weakness: Weakness,
}

/// A safety mechanism to disable, so that tests can show that they detect its absence. Every
/// variant but [`Weakness::None`] violates a guarantee of the ledger.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Weakness {
    /// No mechanism is disabled.
    #[default]
    None,
    /// A write whose answer was lost is assumed to have taken effect.
    LostIsWritten,
    /// A write whose answer was lost is assumed not to have taken effect.
    LostIsFailed,
    /// A claim that a later read does not find is assumed never to be written, so the revision is
    /// not advanced to make a delayed write fail.
    NoBump,
    /// An open claim found on a key is assumed to belong to the attempt that asks.
    AnyHolder,
}

impl Settings {
    /// Returns a builder with the default settings for a node. `incarnation` distinguishes this run
    /// of the process from all others, on this and other nodes; it is chosen at random at startup.
    pub fn builder(node: &str, incarnation: u64) -> Builder {
        Builder {
            settings: Settings {
                node: node.into(),
                incarnation,
                send_window: Duration::from_secs(10),
                claim_timeout: Duration::from_secs(1),
                settle_timeout: Duration::from_millis(500),
                retry_after: Duration::from_secs(2),
                retention: Duration::from_secs(60 * 60),
                open_retention: Duration::from_secs(24 * 60 * 60),
                max_retention: Duration::from_secs(7 * 24 * 60 * 60),
                compaction_threshold_bytes: 64 << 10,
                max_shard_bytes: 700 << 10,
                max_answer_bytes: 64 << 10,
                reserve_bytes: 2 << 10,
                concurrency: 8,
                max_batch: usize::MAX,
                weakness: Weakness::None,
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
    /// Sets the time from the first write of a claim to the deadline for sending the first byte of
    /// its request. Must be far below the retention.
    pub fn send_window(mut self, time: Duration) -> Self {
        self.settings.send_window = time;
        self
    }

    /// Sets how long a claim waits for the store.
    pub fn claim_timeout(mut self, time: Duration) -> Self {
        self.settings.claim_timeout = time;
        self
    }

    /// Sets how long an answer is withheld from the caller until it is recorded in the store.
    pub fn settle_timeout(mut self, time: Duration) -> Self {
        self.settings.settle_timeout = time;
        self
    }

    /// Sets the delay after which a refused caller may retry.
    pub fn retry_after(mut self, time: Duration) -> Self {
        self.settings.retry_after = time;
        self
    }

    /// Sets the guaranteed retention of outcomes.
    pub fn retention(mut self, time: Duration) -> Self {
        self.settings.retention = time;
        self
    }

    /// Sets the guaranteed retention of claims without an outcome.
    pub fn open_retention(mut self, time: Duration) -> Self {
        self.settings.open_retention = time;
        self
    }

    /// Sets the time after which a record is removed even if there is room.
    pub fn max_retention(mut self, time: Duration) -> Self {
        self.settings.max_retention = time;
        self
    }

    /// Sets the shard size, in bytes, up to which records are kept beyond their guaranteed
    /// retention.
    pub fn compaction_threshold_bytes(mut self, bytes: usize) -> Self {
        self.settings.compaction_threshold_bytes = bytes;
        self
    }

    /// Sets the maximum size of a shard, in bytes; a claim that would exceed it is refused.
    pub fn max_shard_bytes(mut self, bytes: usize) -> Self {
        self.settings.max_shard_bytes = bytes;
        self
    }

    /// Sets the maximum size of a recorded answer body, in bytes.
    pub fn max_answer_bytes(mut self, bytes: usize) -> Self {
        self.settings.max_answer_bytes = bytes;
        self
    }

    /// Sets the space reserved for the answer of each claim without an outcome, in bytes.
    pub fn reserve_bytes(mut self, bytes: usize) -> Self {
        self.settings.reserve_bytes = bytes;
        self
    }

    /// Sets the maximum number of concurrent store operations of this node.
    pub fn concurrency(mut self, operations: usize) -> Self {
        self.settings.concurrency = operations.max(1);
        self
    }

    /// Sets the maximum number of entries in one write.
    pub fn max_batch(mut self, entries: usize) -> Self {
        self.settings.max_batch = entries.max(1);
        self
    }

    /// Disables a safety mechanism; for tests only.
    pub fn weakness(mut self, weakness: Weakness) -> Self {
        self.settings.weakness = weakness;
        self
    }

    /// Returns the settings.
    pub fn build(self) -> Settings {
        debug_assert!(self.settings.send_window < self.settings.retention);
        self.settings
    }
}
