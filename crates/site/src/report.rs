//! An engine's own report of its state.

use std::net::SocketAddr;

use fleet::Layers;
use smol_str::SmolStr;

/// State of an engine some hundred milliseconds ago.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// Layers that it holds.
    pub layers: Option<Layers>,
    /// Whether an order is in progress.
    pub busy: bool,
    /// Orders that it has accepted since its start.
    pub orders: u64,
    /// Unix milliseconds of its start; 0 when it does not tell.
    pub started_unix_ms: u64,
    /// Time of its work relative to the usual; above 1 it is slow.
    pub slowdown: f64,
    /// Requests that hang at another engine.
    pub stalls: Vec<Stall>,
}

/// A request that hangs at an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stall {
    /// Id of the request.
    pub request: SmolStr,
    /// The engine that does not answer.
    pub address: SocketAddr,
}
