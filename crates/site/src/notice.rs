//! What a target says of itself in an answer, whatever it was asked.

use std::time::Duration;

/// A target's word on what it wants from now on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Notice {
    /// It is leaving: nothing new is to be sent to it while it lives.
    pub draining: bool,
    /// For how long it wants nothing.
    pub backoff: Option<Duration>,
}

impl Notice {
    /// Whether it says anything.
    pub fn is_empty(&self) -> bool {
        !self.draining && self.backoff.is_none()
    }
}
