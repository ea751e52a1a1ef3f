//! Settings of the service.

/// Settings; the defaults serve both deployments of today.
#[derive(Clone, Debug, Default)]
pub struct Settings {}
