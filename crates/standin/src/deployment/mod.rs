//! Complete deployments in one process: a platform, model engines of various sizes and
//! speeds, and booking services. The platform lists the VMs of all targets.

mod builder;
mod predefined;

pub use builder::{Builder, Deployment, Organisation};
pub use predefined::{dar, pnw};
