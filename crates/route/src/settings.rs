//! Settings of the service.

use std::time::Duration;

use fleet::NodeName;
use serde::{Deserialize, Serialize};

/// Settings; the defaults serve both deployments of today. [`Settings::builder`] changes some.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Name of this node; decides its subset of targets in a large fleet.
    pub node: NodeName,
    /// Highest number of attempts at one request, refusals included.
    pub max_attempts: u32,
    /// Longest time to the first token of an attempt.
    pub first_timeout: Duration,
    /// Lowest stall timeout.
    pub stall_min: Duration,
    /// Highest stall timeout, also used while no gap has been learned.
    pub stall_max: Duration,
    /// The stall timeout as a multiple of the learned gap between tokens.
    pub stall_factor: f64,
    /// Longest time for the answer of a plain call.
    pub call_timeout: Duration,
    /// Tokens of a prompt that a target computes in the time of one token of an answer.
    pub prompt_speedup: f64,
    /// Retries allowed per success.
    pub retry_share: f64,
    /// Retries allowed without any success before them; also the most that are saved up.
    pub retry_reserve: f64,
    /// `Retry-After` where nothing better is known.
    pub retry_after: Duration,
    /// How long a condemned request stays quarantined.
    pub quarantine_ttl: Duration,
    /// How long the loss of a target counts against the requests that it ran.
    pub suspect_ttl: Duration,
    /// How long a condemnation waits for signs that the loss had another cause.
    pub confirm: Duration,
    /// Losses in one rack or failure domain within this time count as one.
    pub correlation: Duration,
    /// How long a new target is given less than its share.
    pub warm_up: Duration,
    /// How long a failed target is left out the first time; doubles with each repetition.
    pub eject_time: Duration,
    /// Largest share of a model's targets that may be ejected at once.
    pub eject_share: f64,
    /// Number of targets from which a node uses a subset.
    pub subset_from: usize,
    /// Targets of one failure domain and layer range in the subset.
    pub subset_size: usize,
    /// Shortest time between two computations of the plans.
    pub solve_interval: Duration,
    /// Largest discount on the expected delay for a cached prefix, between 0 and 1.
    pub affinity: f64,
    /// Switches.
    pub mechanism: Mechanism,
}

/// Switches of single mechanisms. All are on but in comparisons.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Mechanism {
    /// Chains are sampled by the maximum flow; off, stages are chosen one after the other,
    /// each to the end of its target's layers.
    pub flow: bool,
    /// Two candidates are compared; off, the first is taken.
    pub two_choices: bool,
    /// Candidates are compared by expected delay; off, by own streams in flight.
    pub delay: bool,
    /// Load reports are joined with own work since; off, a report stands alone.
    pub join: bool,
    /// A cached prefix counts.
    pub affinity: bool,
    /// Failed and slow targets are ejected.
    pub outlier: bool,
    /// New targets are warmed up.
    pub warm_up: bool,
    /// Retries are bounded by recent successes.
    pub budget: bool,
    /// The next attempt avoids the failed stages.
    pub exclude: bool,
    /// The next attempt keeps the stages that survived.
    pub reuse: bool,
    /// The stall timeout follows the learned gap; off, it is the highest.
    pub learned_stall: bool,
    /// Requests are suspected and condemned for losses of targets.
    pub quarantine: bool,
    /// Losses of a rack or failure domain together condemn nobody.
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

    /// Those that decide on suspects.
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

/// Changes single settings.
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
