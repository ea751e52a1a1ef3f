//! VMs as the platform lists them.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::{DomainName, Target};

/// Whether a VM stays or is on its way out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Standing {
    /// Takes work.
    Live,
    /// Finishes what it has and takes nothing new.
    Leaving,
}

/// One row of the platform's list of VMs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Vm {
    /// Unique name.
    pub name: SmolStr,
    /// Failure domain that it stands in.
    pub domain: DomainName,
    /// Live or leaving.
    pub standing: Standing,
    /// What runs on it.
    pub role: Role,
}

/// What runs on a VM.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// A node of the system, with the address where other nodes reach it.
    Entry {
        /// Address of the node-to-node port.
        peer: SocketAddr,
    },
    /// A target.
    Target(Target),
}
