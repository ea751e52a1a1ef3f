//! Targets: model engines and plain services.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::{Depth, DomainName, Layers, ModelName, Standing, TargetName};

/// A back end that the system routes to.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Unique name.
    pub name: TargetName,
    /// Address on which the target listens.
    pub address: SocketAddr,
    /// Failure domain of the target.
    pub domain: DomainName,
    /// Rack inside the failure domain; targets of one rack fail together.
    #[serde(default)]
    pub rack: SmolStr,
    /// Live or leaving, from the list of the platform.
    pub standing: Standing,
    /// Kind of the target.
    pub kind: Kind,
}

/// Kind of a target.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Holds a range of a model's layers.
    Engine(Engine),
    /// Answers plain calls.
    Service(Service),
}

/// A model engine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Engine {
    /// Model that the engine has loaded.
    pub model: ModelName,
    /// Number of layers of the whole model.
    pub depth: Depth,
    /// Layers that the engine holds.
    pub layers: Layers,
    /// Tokens per second that pass through all layers of the engine, over all streams.
    pub tokens_per_second: f64,
    /// Number of streams that the engine runs at once.
    pub slots: u32,
    /// Kind of accelerator.
    pub accelerator: SmolStr,
    /// Whether the engine refuses an order that carries an old fencing number.
    #[serde(default)]
    pub checks_orders: bool,
}

/// A plain service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name in the path `/services/NAME/`.
    pub name: SmolStr,
    /// Whether calls may be repeated.
    pub idempotent: bool,
    /// Number of calls that the service runs at once.
    pub slots: u32,
}
