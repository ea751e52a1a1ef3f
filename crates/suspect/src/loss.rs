//! Targets that were lost.

use std::time::Duration;

use fleet::TargetName;
use smol_str::SmolStr;

/// Where a target stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Place {
    /// Dense number of the failure domain.
    pub domain: u16,
    /// Rack inside it; empty where it is not known.
    pub rack: SmolStr,
}

/// One loss of a target.
#[derive(Clone, Debug)]
pub struct Loss {
    /// The target.
    pub target: TargetName,
    /// Where it stands.
    pub place: Place,
    /// When it was noticed first.
    pub at: Duration,
}
