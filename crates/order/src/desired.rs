//! Desired and reported state of an engine.

use std::fmt;

use fleet::{Layers, ModelName};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// State that a target is to have, stored as JSON.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Desired {
    /// Model to load, with its version in the name; no model if absent.
    pub model: Option<ModelName>,
    /// Layers of the model to load.
    pub layers: Option<Layers>,
    /// Adapters that must be loaded. Other adapters may be loaded as well.
    pub adapters: Vec<SmolStr>,
    /// Role of the engine; any role if absent.
    pub role: Option<SmolStr>,
}

/// A stored value that is not a valid desired state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Malformed {
    /// Description of the error.
    pub reason: SmolStr,
}

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "invalid desired state: {}", self.reason)
    }
}

impl std::error::Error for Malformed {}

impl Desired {
    /// Parses a stored value.
    ///
    /// # Errors
    ///
    /// Fails if the value is not JSON of this form, or if it names a model without layers.
    pub fn parse(value: &[u8]) -> Result<Self, Malformed> {
        let desired: Self = serde_json::from_slice(value)
            .map_err(|error| Malformed { reason: smol_str::format_smolstr!("{error}") })?;
        let layers = desired.layers.is_some_and(|layers| !layers.is_empty());
        if desired.model.is_some() && !layers {
            return Err(Malformed { reason: "a model requires a non-empty layer range".into() });
        }
        Ok(desired)
    }
}

/// Whether an engine is loading a model.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Standing {
    /// The engine is loading a model. Another order would restart the load.
    Loading,
    /// Any other state.
    #[default]
    #[serde(other)]
    Settled,
}

/// Answer of an engine to `GET /state`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Report {
    /// Model that the engine has loaded or is loading.
    pub model: Option<ModelName>,
    /// Layers of the model.
    pub layers: Option<Layers>,
    /// Role of the engine.
    pub role: SmolStr,
    /// Adapters that the engine has loaded.
    pub adapters: Vec<SmolStr>,
    /// Fencing number of the last order that the engine accepted.
    pub fence: u64,
    /// Whether the engine is loading a model.
    pub standing: Standing,
}

/// One order, serialised as the body of `POST /orders`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Order {
    /// Load layers of a model.
    Load {
        /// Name of the model.
        model: ModelName,
        /// Layers to load.
        layers: Layers,
    },
    /// Unload the model.
    Unload {},
    /// Load an adapter.
    Adapter {
        /// Name of the adapter.
        name: SmolStr,
    },
    /// Take on a role.
    Role {
        /// Name of the role.
        name: SmolStr,
    },
}

/// Returns the next order that brings an engine closer to its desired state, or `None` if the
/// engine has reached it.
pub fn next_order(desired: &Desired, report: &Report) -> Option<Order> {
    let same = desired.model == report.model
        && (desired.model.is_none() || desired.layers == report.layers);
    if !same {
        return Some(match (&desired.model, desired.layers) {
            (Some(model), Some(layers)) => Order::Load { model: model.clone(), layers },
            _ => Order::Unload {},
        });
    }
    if let Some(name) = desired.adapters.iter().find(|name| !report.adapters.contains(name)) {
        return Some(Order::Adapter { name: name.clone() });
    }
    match &desired.role {
        Some(role) if *role != report.role => Some(Order::Role { name: role.clone() }),
        _ => None,
    }
}
