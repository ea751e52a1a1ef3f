//! Losses of targets.

use std::time::Duration;

use fleet::TargetName;
use smol_str::SmolStr;

/// Location of a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Place {
    /// Dense number of the failure domain.
    pub domain: u16,
    /// Rack inside the failure domain; empty if unknown.
    pub rack: SmolStr,
}

/// One loss of a target.
#[derive(Clone, Debug)]
pub struct Loss {
    /// The lost target.
    pub target: TargetName,
    /// Location of the target.
    pub place: Place,
    /// Time at which the loss was first detected.
    pub at: Duration,
}
