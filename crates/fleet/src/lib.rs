//! Domain types shared by all other crates: targets, VMs, failure domains, organisations, models,
//! layer ranges, links, plans and layer trails.
//!
//! The types are plain data without clock, socket or lock. Their invariants are checked by
//! verifiers next to the types (for example [`Plan::verify`] and [`Trail::verify`]).

mod event;
mod id;
mod layers;
mod link;
mod plan;
mod prefix;
mod request;
mod target;
mod timer;
mod trail;
mod vm;

pub use event::{Event, EventKind, Field};
pub use id::{
    AttemptId, Depth, DomainName, Layer, ModelName, NodeName, OrganisationName, RequestId,
    TargetId, TargetName, TokenIndex, Version,
};
pub use layers::Layers;
pub use link::Link;
pub use plan::{Plan, Stage};
pub use prefix::{PREFIX_BLOCK_BYTES, prefix_hashes};
pub use request::{Request, Shape};
pub use target::{Engine, Kind, Service, Target};
pub use timer::Timer;
pub use trail::{Fault, Hop, Trail};
pub use vm::{Role, Standing, Vm};
