//! Findings and their causes.

use std::fmt;

use smol_str::SmolStr;

use crate::Place;

/// Effect of a finding on the operator's decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Severity {
    /// Change from the version in force.
    Difference,
    /// Accepted by the nodes, and a part of the document has no effect.
    Warning,
    /// Rejected by the nodes, or in contradiction to itself or to the nodes' bounds.
    Error,
}

/// What is wrong or different.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Cause {
    /// The text is not JSON or TOML.
    Syntax,
    /// A field is missing, unknown, duplicated or of the wrong type.
    Field,
    /// A value is not allowed.
    Value,
    /// The weights of a route sum to zero, or one is negative.
    Weights,
    /// A route names a service that is not configured.
    UnknownService,
    /// A time is 0, so that every request times out.
    Time,
    /// The timeout is below the latency goal.
    LatencyGoal,
    /// The number of attempts is 0.
    Attempts,
    /// A priority is outside 0 to 9.
    Rank,
    /// A limit is above the memory of the VM.
    Memory,
    /// The longest pause is above the stall bound.
    Pause,
    /// A key belongs to two organisations.
    SharedKey,
    /// The version is not above the one in force.
    Version,
    /// The version in force cannot be read, or has another format.
    InForce,
    /// Another route has the same host and prefix.
    ShadowedRoute,
    /// No request matches a route.
    UnmatchedRoute,
    /// Two routes, services or organisations have one name.
    DuplicateName,
    /// No route accepts an organisation.
    UnusedOrganisation,
    /// No route accepts a key.
    UnusedKey,
    /// A part was added, removed or changed.
    Difference,
}

impl Cause {
    /// All causes.
    pub const ALL: [Cause; 20] = [
        Cause::Syntax,
        Cause::Field,
        Cause::Value,
        Cause::Weights,
        Cause::UnknownService,
        Cause::Time,
        Cause::LatencyGoal,
        Cause::Attempts,
        Cause::Rank,
        Cause::Memory,
        Cause::Pause,
        Cause::SharedKey,
        Cause::Version,
        Cause::InForce,
        Cause::ShadowedRoute,
        Cause::UnmatchedRoute,
        Cause::DuplicateName,
        Cause::UnusedOrganisation,
        Cause::UnusedKey,
        Cause::Difference,
    ];

    /// Returns the name in outputs.
    pub fn name(self) -> &'static str {
        match self {
            Cause::Syntax => "syntax",
            Cause::Field => "field",
            Cause::Value => "value",
            Cause::Weights => "weights",
            Cause::Time => "time",
            Cause::LatencyGoal => "latency-goal",
            Cause::Attempts => "attempts",
            Cause::Rank => "rank",
            Cause::Memory => "memory",
            Cause::Pause => "pause",
            Cause::SharedKey => "shared-key",
            Cause::Version => "version",
            Cause::InForce => "in-force",
            Cause::ShadowedRoute => "shadowed-route",
            Cause::UnmatchedRoute => "unmatched-route",
            Cause::UnknownService => "unknown-service",
            Cause::DuplicateName => "duplicate-name",
            Cause::UnusedOrganisation => "unused-organisation",
            Cause::UnusedKey => "unused-key",
            Cause::Difference => "difference",
        }
    }

    /// Returns the severity of findings with this cause.
    pub fn severity(self) -> Severity {
        match self {
            Cause::Difference => Severity::Difference,
            Cause::ShadowedRoute
            | Cause::UnmatchedRoute
            | Cause::DuplicateName
            | Cause::UnusedOrganisation
            | Cause::UnusedKey => Severity::Warning,
            _ => Severity::Error,
        }
    }
}

impl Severity {
    /// Returns the name in outputs.
    pub fn name(self) -> &'static str {
        match self {
            Severity::Difference => "difference",
            Severity::Warning => "warning",
            Severity::Error => "error",
        }
    }
}

/// One finding about a document. It contains no key of an organisation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// What is wrong or different.
    pub cause: Cause,
    /// Place in the document.
    pub place: Place,
    /// Reason.
    pub reason: SmolStr,
}

impl Finding {
    /// Returns a finding.
    pub fn new(cause: Cause, place: impl Into<Place>, reason: impl Into<SmolStr>) -> Self {
        Self { cause, place: place.into(), reason: reason.into() }
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let severity = self.cause.severity().name();
        let text = match self.cause {
            Cause::Difference => format!("{severity}: {}: {}", self.place, self.reason),
            cause => format!("{severity} [{}]: {}: {}", cause.name(), self.place, self.reason),
        };
        // Texts of a document may contain control sequences of terminals.
        for c in text.chars() {
            match c.is_control() {
                true => write!(f, "{}", c.escape_default())?,
                false => write!(f, "{c}")?,
            }
        }
        Ok(())
    }
}
