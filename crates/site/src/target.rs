//! Targets as they register.

use std::net::SocketAddr;

use fleet::{DomainName, Layers};
use smol_str::SmolStr;

/// Id of one start of a target.
pub type TargetKey = SmolStr;

/// Registration of a target.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// Id of this start. The same id may be used again by a later start: see `started_unix_ms`.
    pub id: TargetKey,
    /// Service that the target belongs to.
    pub service: SmolStr,
    /// Address on which the target listens.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: DomainName,
    /// Whether the target accepts new requests.
    pub state: State,
    /// Start of the target, Unix milliseconds; 0 if not reported.
    pub started_unix_ms: u64,
    /// Number of requests that the target runs at once.
    pub slots: u32,
    /// Kind of accelerator; empty for plain services.
    pub card: SmolStr,
    /// Layers that the target holds; `None` if it holds none.
    pub layers: Option<Layers>,
}

/// Whether a target accepts new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// The target accepts new requests.
    Ready,
    /// The target drains and accepts no new requests.
    Draining,
}
