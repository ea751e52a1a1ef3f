//! Settings of admission.

use std::time::Duration;

/// Settings of the limiter; the defaults suit all current deployments.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of this node, as used in [`crate::Demand`].
    pub node: fleet::NodeName,
    /// Wait tolerance for the first token of a streamed answer until one is estimated.
    pub stream_tolerance: Duration,
    /// Wait tolerance for a whole answer until one is estimated.
    pub whole_tolerance: Duration,
    /// Time for which a request holds a slot, until one is estimated.
    pub hold: Duration,
    /// Weight of one second of waiting against one second of slack, 0 to 1.
    pub ageing: f64,
    /// Every n-th request that an organisation starts from its queue is its oldest.
    pub oldest_every: u32,
    /// Slot time by which an organisation may exceed its share for an urgent request.
    pub credit: Duration,
    /// Maximum number of queued requests per model or plain service; replaced by the preset.
    pub queue: usize,
    /// Upper bound on wait tolerances; replaced by the preset.
    pub wait: Duration,
    /// Whether organisations get fair shares; otherwise all share one queue.
    pub fair: bool,
    /// Whether an organisation's requests are ordered by slack; otherwise by arrival.
    pub urgency: bool,
    /// Whether requests that cannot be answered in time are refused before they run.
    pub early_refusal: bool,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            node: fleet::NodeName::default(),
            stream_tolerance: Duration::from_secs(10),
            whole_tolerance: Duration::from_secs(30),
            hold: Duration::from_secs(2),
            ageing: 0.25,
            oldest_every: 10,
            credit: Duration::from_secs(16),
            queue: 2_000,
            wait: Duration::from_secs(60),
            fair: true,
            urgency: true,
            early_refusal: true,
        }
    }
}

/// Builds [`Settings`].
#[derive(Clone, Debug, Default)]
pub struct Builder {
    settings: Settings,
}

impl Builder {
    /// Returns a builder with default settings for the node `node`.
    pub fn new(node: &str) -> Self {
        let settings = Settings { node: node.into(), ..Settings::default() };
        Self { settings }
    }

    /// Sets the wait tolerances that apply until one is estimated.
    pub fn tolerance(mut self, stream: Duration, whole: Duration) -> Self {
        self.settings.stream_tolerance = stream;
        self.settings.whole_tolerance = whole;
        self
    }

    /// Sets the maximum length of the queue and the upper bound on wait tolerances.
    pub fn queue(mut self, queue: usize, wait: Duration) -> Self {
        self.settings.queue = queue;
        self.settings.wait = wait;
        self
    }

    /// Enables or disables fair shares.
    pub fn fair(mut self, fair: bool) -> Self {
        self.settings.fair = fair;
        self
    }

    /// Enables or disables ordering by slack.
    pub fn urgency(mut self, urgency: bool) -> Self {
        self.settings.urgency = urgency;
        self
    }

    /// Enables or disables early refusal.
    pub fn early_refusal(mut self, early_refusal: bool) -> Self {
        self.settings.early_refusal = early_refusal;
        self
    }

    /// Returns the settings.
    pub fn build(self) -> Settings {
        self.settings
    }
}
