//! Announcement of a target about itself, contained in any answer.

use std::time::Duration;

/// Requests that a target is willing to accept from now on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Notice {
    /// Whether the target drains. It must get no new requests until it restarts.
    pub draining: bool,
    /// Time for which the target wants no requests.
    pub backoff: Option<Duration>,
}

impl Notice {
    /// Returns whether the notice announces nothing.
    pub fn is_empty(&self) -> bool {
        !self.draining && self.backoff.is_none()
    }
}
