//! Whole deployments in one process: a platform, engines in mixed sizes and
//! speeds, and booking engines, all on the platform's list of VMs.

mod builder;
mod ready;

pub use builder::{Builder, Deployment, Organisation};
pub use ready::{dar, pnw};
