//! Bounds within which the deployment must act.

use std::time::Duration;

/// Time bounds and budgets of a deployment.
#[derive(Clone, Debug, PartialEq)]
pub struct Bounds {
    /// Longest time for which a withdrawn key may still be honoured.
    pub revoke: Duration,
    /// Whether withdrawn keys must be refused even while the store cannot be reached.
    pub strict_revoke: bool,
    /// Time between the stop signal and the kill.
    pub grace: Duration,
    /// How long a leaving target goes on serving.
    pub drain: Duration,
    /// Retries allowed as a share of requests.
    pub retry_share: f64,
    /// Retries allowed beyond the share, over all VMs, in one window.
    pub retry_extra: f64,
    /// The window of the retry budget.
    pub retry_window: Duration,
    /// Whether engines refuse orders with a lower fencing number than one they have seen.
    pub fenced: bool,
    /// How long a request hangs at a dead stage before the engine gives it up.
    pub stall: Duration,
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
        }
    }
}

/// What a caller may send, and how long it may take.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Largest request head, bytes.
    pub head_bytes: usize,
    /// Largest request body, bytes.
    pub body_bytes: usize,
    /// Longest time for a request head to arrive.
    pub head_timeout: Duration,
    /// Longest time that a connection may be idle.
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
