//! Engines as placement sees them.

use fleet::{DomainName, Layers};
use site::TargetKey;
use smol_str::SmolStr;

/// An engine of the service that is planned.
#[derive(Clone, Debug, PartialEq)]
pub struct Engine {
    /// Id.
    pub id: TargetKey,
    /// Failure domain.
    pub domain: DomainName,
    /// Kind of accelerator.
    pub card: SmolStr,
    /// Layers that it holds, or will hold when the order that was given is done.
    pub layers: Option<Layers>,
    /// Whether an order to it is not done yet, or its outcome is not known.
    pub busy: bool,
    /// Whether it works much slower than usual: others hold its layers too where they can.
    pub slow: bool,
}

/// An engine that is to hold other layers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Move {
    /// The engine.
    pub target: TargetKey,
    /// Layers that it is to hold.
    pub layers: Layers,
}
