//! Identifiers. Names come from settings and are sent between processes; dense ids index tables
//! inside one process and never leave it.

use smol_str::SmolStr;

/// Name of the node on an entry VM, unique in a deployment.
pub type NodeName = SmolStr;
/// Name of a target, unique in a deployment.
pub type TargetName = SmolStr;
/// Name of a failure domain.
pub type DomainName = SmolStr;
/// Name of an organisation whose callers send requests.
pub type OrganisationName = SmolStr;
/// Name of a model.
pub type ModelName = SmolStr;
/// Dense index of a target in one process's view of the fleet.
pub type TargetId = u32;
/// Number of a layer, from 0.
pub type Layer = u16;
/// Number of layers of a model.
pub type Depth = u16;
/// Identifier of one caller's request, the same in all its attempts.
pub type RequestId = u128;
/// Number of an attempt at a request, from 1; a higher attempt replaces all lower ones.
pub type AttemptId = u32;
/// Position of a token in an answer, from 0.
pub type TokenIndex = u32;
/// Version of the configuration; later versions are higher.
pub type Version = u64;
