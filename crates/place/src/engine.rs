//! Engines as placement sees them.

use fleet::{DomainName, Layers};
use site::TargetKey;
use smol_str::SmolStr;

/// An engine of the planned service.
#[derive(Clone, Debug, PartialEq)]
pub struct Engine {
    /// Id.
    pub id: TargetKey,
    /// Failure domain.
    pub domain: DomainName,
    /// Kind of accelerator.
    pub card: SmolStr,
    /// Layers that the engine holds, or will hold once its pending order is done.
    pub layers: Option<Layers>,
    /// Whether an order to the engine is pending, or its outcome is unknown.
    pub order_pending: bool,
    /// Whether the engine is much slower than usual. Others hold its layers as well where they can.
    pub slow: bool,
    /// Whether the engine has registered only now. If there is another one of its kind, it probably
    /// replaces that one, and only gets layers that would be missing otherwise.
    pub new: bool,
    /// Whether the engine limits the requests that it takes.
    pub limit: Limit,
}

/// Whether an engine limits the requests per second that it takes as the first one of their paths.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Limit {
    /// It names no limit.
    #[default]
    None,
    /// It names a limit that is not used up.
    Named,
    /// More requests are to be sent than it takes.
    UsedUp,
}

/// A new layer range for an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Move {
    /// The engine.
    pub target: TargetKey,
    /// Layers that the engine is to hold.
    pub layers: Layers,
}
