//! Settings of the detection.

use std::time::Duration;

/// Settings of the detection. [`Settings::builder`] changes some of the defaults.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Time for which a request stays quarantined.
    pub quarantine_ttl: Duration,
    /// Time for which the loss of a target counts against the requests that it ran.
    pub suspect_ttl: Duration,
    /// Time before a decision, to wait for signs that the losses had another cause.
    pub confirmation_time: Duration,
    /// Losses in one rack or failure domain within this time count as one.
    pub correlation_window: Duration,
    /// Whether losses in one rack or failure domain at the same time are set aside as having a
    /// common cause.
    pub correlate_losses: bool,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            quarantine_ttl: Duration::from_secs(600),
            suspect_ttl: Duration::from_secs(60),
            confirmation_time: Duration::from_millis(200),
            correlation_window: Duration::from_millis(500),
            correlate_losses: true,
        }
    }
}

impl Settings {
    /// Returns a builder that starts from the defaults.
    pub fn builder() -> Builder {
        Builder::default()
    }
}

/// Changes individual settings.
#[derive(Clone, Copy, Debug, Default)]
pub struct Builder {
    settings: Settings,
}

impl Builder {
    /// Sets [`Settings::quarantine_ttl`].
    pub fn quarantine_ttl(mut self, ttl: Duration) -> Self {
        self.settings.quarantine_ttl = ttl;
        self
    }

    /// Sets [`Settings::suspect_ttl`].
    pub fn suspect_ttl(mut self, ttl: Duration) -> Self {
        self.settings.suspect_ttl = ttl;
        self
    }

    /// Sets [`Settings::confirmation_time`].
    pub fn confirmation_time(mut self, confirmation_time: Duration) -> Self {
        self.settings.confirmation_time = confirmation_time;
        self
    }

    /// Sets [`Settings::correlation_window`].
    pub fn correlation_window(mut self, correlation_window: Duration) -> Self {
        self.settings.correlation_window = correlation_window;
        self
    }

    /// Sets [`Settings::correlate_losses`].
    pub fn correlate_losses(mut self, correlate_losses: bool) -> Self {
        self.settings.correlate_losses = correlate_losses;
        self
    }

    /// Returns the settings.
    pub fn build(self) -> Settings {
        self.settings
    }
}
