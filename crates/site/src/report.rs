//! Report of an engine about its own state.

use std::net::SocketAddr;

use fleet::Layers;
use smol_str::SmolStr;

/// State of an engine some hundred milliseconds ago.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// Layers that the engine holds.
    pub layers: Option<Layers>,
    /// Whether an order is in progress.
    pub order_in_progress: bool,
    /// Number of orders that the engine has accepted since its start.
    pub orders: u64,
    /// Start of the engine, Unix milliseconds; 0 if not reported.
    pub started_unix_ms: u64,
    /// Work time relative to the usual time; above 1 the engine is slow.
    pub slowdown: f64,
    /// Requests that hang at another engine.
    pub stalls: Vec<Stall>,
}

/// A request that hangs at an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stall {
    /// Id of the request.
    pub request: SmolStr,
    /// Address of the engine that does not answer.
    pub address: SocketAddr,
}
