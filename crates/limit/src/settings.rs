//! Settings of admission.

use std::time::Duration;

/// Settings; the defaults serve both deployments of today.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of this node, as it stands in [`crate::Demand`].
    pub node: fleet::NodeName,
    /// Patience assumed for streamed answers before any is learned: time to the first token.
    pub stream_patience: Duration,
    /// Patience assumed for whole answers before any is learned.
    pub whole_patience: Duration,
    /// Slots' time assumed for a request before any is learned.
    pub hold: Duration,
    /// How much one second of waiting counts against one second of slack, 0 to 1.
    pub ageing: f64,
    /// One of this many starts of an organisation goes to its oldest request.
    pub oldest_every: u32,
    /// Slots' time by which an organisation may go ahead of its share for a request that
    /// is pressed for time.
    pub credit: Duration,
    /// Requests that may wait at this node until a preset says otherwise.
    pub queue: usize,
    /// Longest wait until a preset says otherwise.
    pub wait: Duration,
    /// Whether organisations get fair shares; else one queue serves all.
    pub fair: bool,
    /// Whether slack orders an organisation's requests; else arrival does.
    pub urgency: bool,
    /// Whether requests that cannot make it are refused before they run.
    pub early_refusal: bool,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            node: fleet::NodeName::default(),
            stream_patience: Duration::from_secs(10),
            whole_patience: Duration::from_secs(30),
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
    /// Starts from the defaults, for the node of this name.
    pub fn new(node: &str) -> Self {
        let settings = Settings { node: node.into(), ..Settings::default() };
        Self { settings }
    }

    /// Sets the patience assumed before any is learned.
    pub fn patience(mut self, stream: Duration, whole: Duration) -> Self {
        self.settings.stream_patience = stream;
        self.settings.whole_patience = whole;
        self
    }

    /// Sets the bounds of the queue.
    pub fn queue(mut self, queue: usize, wait: Duration) -> Self {
        self.settings.queue = queue;
        self.settings.wait = wait;
        self
    }

    /// Turns fair shares on or off.
    pub fn fair(mut self, fair: bool) -> Self {
        self.settings.fair = fair;
        self
    }

    /// Turns the order by slack on or off.
    pub fn urgency(mut self, urgency: bool) -> Self {
        self.settings.urgency = urgency;
        self
    }

    /// Turns early refusal on or off.
    pub fn early_refusal(mut self, early_refusal: bool) -> Self {
        self.settings.early_refusal = early_refusal;
        self
    }

    /// Returns the settings.
    pub fn build(self) -> Settings {
        self.settings
    }
}
