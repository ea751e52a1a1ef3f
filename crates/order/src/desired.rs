//! Desired and reported state of an engine.

use std::fmt;

use fleet::{Layers, ModelName};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// State that a target is to have, as it stands in the store in JSON.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Desired {
    /// Model, its version included in the name; none to be loaded if absent.
    pub model: Option<ModelName>,
    /// Layers of the model.
    pub layers: Option<Layers>,
    /// Adapters that must be loaded; others may be.
    pub adapters: Vec<SmolStr>,
    /// Role; any if absent.
    pub role: Option<SmolStr>,
}

/// A stored value that is no desired state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Malformed {
    /// What is wrong with it.
    pub reason: SmolStr,
}

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "no desired state: {}", self.reason)
    }
}

impl std::error::Error for Malformed {}

impl Desired {
    /// Reads a stored value.
    ///
    /// # Errors
    ///
    /// Fails when the value is no JSON of this form, or names a model without layers.
    pub fn parse(value: &[u8]) -> Result<Self, Malformed> {
        let desired: Self = serde_json::from_slice(value)
            .map_err(|error| Malformed { reason: smol_str::format_smolstr!("{error}") })?;
        let layers = desired.layers.is_some_and(|layers| !layers.is_empty());
        if desired.model.is_some() && !layers {
            return Err(Malformed { reason: "a model needs layers".into() });
        }
        Ok(desired)
    }
}

/// Whether an engine is at work, as far as orders care.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Standing {
    /// It loads a model; an order now would begin anew.
    Loading,
    /// Anything else.
    #[default]
    #[serde(other)]
    Settled,
}

/// Answer of an engine's `GET /state`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Report {
    /// Model that it has or loads.
    pub model: Option<ModelName>,
    /// Layers of it.
    pub layers: Option<Layers>,
    /// Its role.
    pub role: SmolStr,
    /// Adapters that it has.
    pub adapters: Vec<SmolStr>,
    /// Fencing number of the last order.
    pub fence: u64,
    /// Whether it loads.
    pub standing: Standing,
}

/// One order, in the form of the body of `POST /orders`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Order {
    /// Load layers of a model.
    Load {
        /// Model.
        model: ModelName,
        /// Layers.
        layers: Layers,
    },
    /// Unload the model.
    Unload {},
    /// Load an adapter.
    Adapter {
        /// Its name.
        name: SmolStr,
    },
    /// Take a role.
    Role {
        /// Its name.
        name: SmolStr,
    },
}

/// The next order that brings an engine closer to its desired state; `None` when it has it.
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
