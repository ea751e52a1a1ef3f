//! VMs as the platform lists them.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::{DomainName, Target};

/// Life-cycle state of a VM or target in the list of the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Standing {
    /// Accepts work.
    Live,
    /// Finishes its work and accepts no new work.
    Leaving,
}

/// One row of the platform's list of VMs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Vm {
    /// Unique name.
    pub name: SmolStr,
    /// Failure domain of the VM.
    pub domain: DomainName,
    /// Live or leaving.
    pub standing: Standing,
    /// Process that runs on the VM.
    pub role: Role,
}

/// Process that runs on a VM.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// A node of the system, with the address at which other nodes reach it.
    Entry {
        /// Address of the node-to-node port.
        peer: SocketAddr,
    },
    /// A target.
    Target(Target),
}
