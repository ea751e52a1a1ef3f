//! Whole deployments in one process: a platform, engines in mixed sizes and
//! speeds, and booking engines, all on the platform's list of VMs.

mod builder;
mod predefined;

pub use builder::{Builder, Deployment, Organisation};
pub use predefined::{dar, pnw};
