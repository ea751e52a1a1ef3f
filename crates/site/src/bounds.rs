//! Bounds within which a deployment must act.

use std::time::Duration;

/// Time bounds and budgets of a deployment.
#[derive(Clone, Debug, PartialEq)]
pub struct Bounds {
    /// Maximum time for which a withdrawn key may still be accepted.
    pub revoke: Duration,
    /// Whether withdrawn keys must be refused even while the store is unavailable.
    pub strict_revoke: bool,
    /// Time between the stop signal and the kill signal.
    pub grace: Duration,
    /// Time for which a draining target continues to serve.
    pub drain: Duration,
    /// Retries allowed as a fraction of requests.
    pub retry_share: f64,
    /// Retries allowed beyond that fraction, over all VMs, in one window.
    pub retry_extra: f64,
    /// Window of the retry budget.
    pub retry_window: Duration,
    /// Whether engines refuse orders with a lower fencing number than one they have seen.
    pub fenced: bool,
    /// Time after which an engine gives up a request that hangs at a dead stage.
    pub stall: Duration,
    /// Time that VMs have to learn of a change and to act by it.
    pub contact: Duration,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            revoke: Duration::from_secs(5),
            strict_revoke: true,
            grace: Duration::from_secs(8),
            drain: Duration::from_secs(2),
            retry_share: 0.2,
            retry_extra: 0.0,
            retry_window: Duration::from_secs(10),
            fenced: false,
            stall: Duration::from_secs(2),
            contact: Duration::from_secs(3),
        }
    }
}

/// Limits on the requests and connections of callers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum request head, bytes.
    pub head_bytes: usize,
    /// Maximum request body, bytes.
    pub body_bytes: usize,
    /// Maximum time for a request head to arrive.
    pub head_timeout: Duration,
    /// Maximum time that a connection may be idle.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            head_bytes: 16 << 10,
            body_bytes: 4 << 20,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}
