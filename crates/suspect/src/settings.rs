//! Times that decide on suspects.

use std::time::Duration;

/// Settings. [`Settings::builder`] changes some of the defaults.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// How long a condemned request stays quarantined.
    pub quarantine_ttl: Duration,
    /// How long the loss of a target counts against the requests that it ran.
    pub suspect_ttl: Duration,
    /// How long a condemnation waits for signs that the loss had another cause.
    pub confirm: Duration,
    /// Losses in one rack or failure domain within this time count as one.
    pub correlation: Duration,
    /// Whether losses of a rack or failure domain together condemn nobody.
    pub correlates: bool,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            quarantine_ttl: Duration::from_secs(600),
            suspect_ttl: Duration::from_secs(60),
            confirm: Duration::from_millis(200),
            correlation: Duration::from_millis(500),
            correlates: true,
        }
    }
}

impl Settings {
    /// Starts from the defaults.
    pub fn builder() -> Builder {
        Builder::default()
    }
}

/// Changes single settings.
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

    /// Sets [`Settings::confirm`].
    pub fn confirm(mut self, confirm: Duration) -> Self {
        self.settings.confirm = confirm;
        self
    }

    /// Sets [`Settings::correlation`].
    pub fn correlation(mut self, correlation: Duration) -> Self {
        self.settings.correlation = correlation;
        self
    }

    /// Sets [`Settings::correlates`].
    pub fn correlates(mut self, correlates: bool) -> Self {
        self.settings.correlates = correlates;
        self
    }

    /// Returns the settings.
    pub fn build(self) -> Settings {
        self.settings
    }
}
