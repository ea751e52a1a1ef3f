//! Settings of the router.

use std::time::Duration;

use fleet::NodeName;
use serde::{Deserialize, Serialize};

/// Settings of the router. The defaults suit both current deployments; [`Settings::builder`]
/// overrides single values.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Name of this node. Determines its subset of the targets in a large fleet.
    pub node: NodeName,
    /// Maximum number of attempts for one request, including refused ones.
    pub max_attempts: u32,
    /// Maximum time to the first token of an attempt.
    pub first_timeout: Duration,
    /// Minimum stall timeout.
    pub stall_min: Duration,
    /// Maximum stall timeout, also used until a gap between tokens has been measured.
    pub stall_max: Duration,
    /// Stall timeout as a multiple of the measured gap between tokens.
    pub stall_factor: f64,
    /// Maximum time for the answer to a plain call.
    pub call_timeout: Duration,
    /// Prompt tokens that a target processes in the time of one generated token.
    pub prompt_speedup: f64,
    /// Retries allowed per success.
    pub retry_share: f64,
    /// Retries allowed without a preceding success. Savings beyond it are limited by the number of
    /// running streams.
    pub retry_reserve: f64,
    /// `Retry-After` if no target has asked for a longer one.
    pub retry_after: Duration,
    /// Time for which a request that crashed its targets stays quarantined.
    pub quarantine_ttl: Duration,
    /// Time for which the loss of a target counts against the requests that it ran.
    pub suspect_ttl: Duration,
    /// Time for which a quarantine decision waits for evidence of another cause.
    pub confirm: Duration,
    /// Losses in one rack or failure domain within this time count as one.
    pub correlation: Duration,
    /// Time for which a new target receives less than its share of work.
    pub warm_up: Duration,
    /// Duration of a target's first ejection. It doubles with each repetition.
    pub eject_time: Duration,
    /// Maximum share of a model's targets that may be ejected at once.
    pub eject_share: f64,
    /// Number of targets from which a node uses a subset.
    pub subset_from: usize,
    /// Size of the subset of targets with the same failure domain and layer range.
    pub subset_size: usize,
    /// Minimum interval between two computations of the plans. A new fleet view is applied at once.
    pub solve_interval: Duration,
    /// Maximum discount on the expected delay for a cached prefix, between 0 and 1.
    pub affinity: f64,
    /// Switches of single mechanisms.
    pub mechanism: Mechanism,
}

/// Switches of single mechanisms. All are on, except in comparisons.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Mechanism {
    /// Chains are sampled from the maximum flow. If off, stages are chosen one after the other,
    /// each up to the end of its target's layers.
    pub flow: bool,
    /// Two candidates are compared. If off, the first one is used.
    pub two_choices: bool,
    /// Candidates are compared by expected delay. If off, by own streams in flight.
    pub delay: bool,
    /// Load reports are combined with the requests that this node has dispatched since. If
    /// off, only the report counts.
    pub join: bool,
    /// Targets with a cached prefix are preferred.
    pub affinity: bool,
    /// Failed and slow targets are ejected.
    pub outlier: bool,
    /// New targets are warmed up.
    pub warm_up: bool,
    /// Retries are limited by recent successes.
    pub budget: bool,
    /// The next attempt avoids the failed stages, and failure domains of which several were lost.
    pub exclude: bool,
    /// The next attempt keeps the surviving stages.
    pub reuse: bool,
    /// The stall timeout follows the measured gap. If off, it is the maximum.
    pub learned_stall: bool,
    /// Requests are suspected and quarantined for the loss of targets.
    pub quarantine: bool,
    /// Losses of a whole rack or failure domain quarantine no request.
    pub correlation: bool,
}

impl Default for Mechanism {
    fn default() -> Self {
        Self {
            flow: true,
            two_choices: true,
            delay: true,
            join: true,
            affinity: true,
            outlier: true,
            warm_up: true,
            budget: true,
            exclude: true,
            reuse: true,
            learned_stall: true,
            quarantine: true,
            correlation: true,
        }
    }
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            node: NodeName::default(),
            max_attempts: 8,
            first_timeout: Duration::from_secs(5),
            stall_min: Duration::from_millis(200),
            stall_max: Duration::from_millis(700),
            stall_factor: 4.0,
            call_timeout: Duration::from_secs(10),
            prompt_speedup: 16.0,
            retry_share: 0.2,
            retry_reserve: 100.0,
            retry_after: Duration::from_secs(1),
            quarantine_ttl: Duration::from_secs(600),
            suspect_ttl: Duration::from_secs(60),
            confirm: Duration::from_millis(200),
            correlation: Duration::from_millis(500),
            warm_up: Duration::from_secs(10),
            eject_time: Duration::from_secs(2),
            eject_share: 0.5,
            subset_from: 256,
            subset_size: 6,
            solve_interval: Duration::from_millis(200),
            affinity: 0.5,
            mechanism: Mechanism::default(),
        }
    }
}

impl Settings {
    /// Starts from the defaults.
    pub fn builder() -> Builder {
        Builder::default()
    }

    /// Returns the settings of the suspect tracking.
    pub(crate) fn suspicion(&self) -> suspect::Settings {
        suspect::Settings::builder()
            .quarantine_ttl(self.quarantine_ttl)
            .suspect_ttl(self.suspect_ttl)
            .confirmation_time(self.confirm)
            .correlation_window(self.correlation)
            .correlate_losses(self.mechanism.correlation)
            .build()
    }
}

/// Builder of [`Settings`].
#[derive(Clone, Debug, Default)]
pub struct Builder {
    settings: Settings,
}

macro_rules! setters {
    ($($name:ident: $type:ty),* $(,)?) => {
        impl Builder {
            $(
                #[doc = concat!("Sets [`Settings::", stringify!($name), "`].")]
                pub fn $name(mut self, value: $type) -> Self {
                    self.settings.$name = value;
                    self
                }
            )*
        }
    };
}

setters! {
    node: NodeName,
    max_attempts: u32,
    first_timeout: Duration,
    stall_min: Duration,
    stall_max: Duration,
    stall_factor: f64,
    call_timeout: Duration,
    prompt_speedup: f64,
    retry_share: f64,
    retry_reserve: f64,
    retry_after: Duration,
    quarantine_ttl: Duration,
    suspect_ttl: Duration,
    confirm: Duration,
    correlation: Duration,
    warm_up: Duration,
    eject_time: Duration,
    eject_share: f64,
    subset_from: usize,
    subset_size: usize,
    solve_interval: Duration,
    affinity: f64,
    mechanism: Mechanism,
}

impl Builder {
    /// Returns the settings.
    pub fn build(self) -> Settings {
        self.settings
    }
}
