//! Settings of the service.

use std::time::Duration;

use smol_str::SmolStr;

/// Settings; made by [`Settings::builder`].
#[derive(Clone, Debug)]
pub struct Settings {
    pub(crate) node: SmolStr,
    pub(crate) life: u64,
    pub(crate) run_within: Duration,
    pub(crate) claim_wait: Duration,
    pub(crate) settle_wait: Duration,
    pub(crate) retry_after: Duration,
    pub(crate) retention: Duration,
    pub(crate) open_retention: Duration,
    pub(crate) longest_retention: Duration,
    pub(crate) roomy_bytes: usize,
    pub(crate) max_bytes: usize,
    pub(crate) max_answer: usize,
    pub(crate) reserve_bytes: usize,
    pub(crate) concurrency: usize,
    pub(crate) group: usize,
    pub(crate) weakness: Weakness,
}

/// A mechanism that is left out, so that tests can show that they notice. Every one but
/// [`Weakness::None`] breaks a promise.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Weakness {
    /// Nothing is left out.
    #[default]
    None,
    /// A write whose answer was lost is taken for one that took effect.
    LostIsWritten,
    /// A write whose answer was lost is taken for one that did not take effect.
    LostIsFailed,
    /// A claim that is not found on reading back is taken for one that will never be written.
    NoBump,
    /// A claim that is found under its key is taken for this sending's, whoever holds it.
    AnyHolder,
}

impl Settings {
    /// Starts settings for a node. `life` tells this life of the process from all others, of this
    /// node and of others; it is drawn at random when the process begins.
    pub fn builder(node: &str, life: u64) -> Builder {
        Builder {
            settings: Settings {
                node: node.into(),
                life,
                run_within: Duration::from_secs(10),
                claim_wait: Duration::from_secs(1),
                settle_wait: Duration::from_millis(500),
                retry_after: Duration::from_secs(2),
                retention: Duration::from_secs(60 * 60),
                open_retention: Duration::from_secs(24 * 60 * 60),
                longest_retention: Duration::from_secs(7 * 24 * 60 * 60),
                roomy_bytes: 64 << 10,
                max_bytes: 700 << 10,
                max_answer: 64 << 10,
                reserve_bytes: 2 << 10,
                concurrency: 8,
                group: usize::MAX,
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
    /// Time from a claim to the last moment at which its first byte may go out. It must be far
    /// below the retention.
    pub fn run_within(mut self, time: Duration) -> Self {
        self.settings.run_within = time;
        self
    }

    /// Longest time that a claim waits for the store.
    pub fn claim_wait(mut self, time: Duration) -> Self {
        self.settings.claim_wait = time;
        self
    }

    /// Longest time for which an answer is held back until the store has it.
    pub fn settle_wait(mut self, time: Duration) -> Self {
        self.settings.settle_wait = time;
        self
    }

    /// When a refused caller may come back.
    pub fn retry_after(mut self, time: Duration) -> Self {
        self.settings.retry_after = time;
        self
    }

    /// Time for which an outcome is kept for certain.
    pub fn retention(mut self, time: Duration) -> Self {
        self.settings.retention = time;
        self
    }

    /// Time for which a claim without an outcome is kept for certain.
    pub fn open_retention(mut self, time: Duration) -> Self {
        self.settings.open_retention = time;
        self
    }

    /// Time after which a record goes even if there is room.
    pub fn longest_retention(mut self, time: Duration) -> Self {
        self.settings.longest_retention = time;
        self
    }

    /// Size of a shard in bytes, below which records stay beyond their retention.
    pub fn roomy_bytes(mut self, bytes: usize) -> Self {
        self.settings.roomy_bytes = bytes;
        self
    }

    /// Largest size of a shard in bytes; above it claims are refused.
    pub fn max_bytes(mut self, bytes: usize) -> Self {
        self.settings.max_bytes = bytes;
        self
    }

    /// Largest body of an answer that is kept, in bytes.
    pub fn max_answer(mut self, bytes: usize) -> Self {
        self.settings.max_answer = bytes;
        self
    }

    /// Room in bytes that each claim without an outcome has for its answer.
    pub fn reserve_bytes(mut self, bytes: usize) -> Self {
        self.settings.reserve_bytes = bytes;
        self
    }

    /// Store operations of this node at one time.
    pub fn concurrency(mut self, operations: usize) -> Self {
        self.settings.concurrency = operations.max(1);
        self
    }

    /// Most claims and outcomes in one write.
    pub fn group(mut self, entries: usize) -> Self {
        self.settings.group = entries.max(1);
        self
    }

    /// Leaves a mechanism out; for tests only.
    pub fn weakness(mut self, weakness: Weakness) -> Self {
        self.settings.weakness = weakness;
        self
    }

    /// Finishes the settings.
    pub fn build(self) -> Settings {
        debug_assert!(self.settings.run_within < self.settings.retention);
        self.settings
    }
}
