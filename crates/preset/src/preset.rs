//! The preset: what operators set, as it stands in TOML and in the store.

use std::time::Duration;

use fleet::{Link, OrganisationName, Version};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Name of one change, chosen by the operator's command; makes a repeated call idempotent.
pub type Change = SmolStr;

/// The operators' configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Preset {
    /// Version; given by the commit and only ever grows.
    #[serde(default)]
    pub version: Version,
    /// The change that made this version.
    #[serde(default)]
    pub change: Change,
    /// Name, for example `ordinary`, `peak` or `maintenance`.
    pub name: SmolStr,
    /// Organisations that may send requests.
    pub organisations: Vec<Organisation>,
    /// Requests that may wait at one node.
    pub queue: usize,
    /// Longest wait in the queue.
    pub wait: Duration,
    /// Retries as a share of recent successes, 0 to 1.
    pub retry_share: f64,
    /// Most attempts at one request.
    pub attempts: u32,
    /// How long a quarantined request is refused.
    pub quarantine: Duration,
    /// Links between failure domains.
    #[serde(default)]
    pub links: Vec<Link>,
}

/// An organisation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Organisation {
    /// Its name.
    pub name: OrganisationName,
    /// Its share of the capacity, relative to the others'.
    pub weight: f64,
    /// Bearer keys of its callers, beside its name.
    #[serde(default)]
    pub keys: Vec<SmolStr>,
}
