//! Targets as they register themselves.

use std::net::SocketAddr;

use fleet::{DomainName, Layers};
use smol_str::SmolStr;

/// Id of one start of a target.
pub type TargetKey = SmolStr;

/// What a target says of itself.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// Id of this start, unless the same id started again: see `born`.
    pub id: TargetKey,
    /// Service that it belongs to.
    pub service: SmolStr,
    /// Where it listens.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: DomainName,
    /// Whether it takes new work.
    pub state: State,
    /// Unix milliseconds of its start; 0 when it does not tell.
    pub started_unix_ms: u64,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Kind of accelerator; empty for plain services.
    pub card: SmolStr,
    /// Layers that it holds; `None` when it holds none.
    pub layers: Option<Layers>,
}

/// Whether a target takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// It does.
    Ready,
    /// It is leaving.
    Draining,
}
