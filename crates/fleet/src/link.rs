//! Links between failure domains.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::DomainName;

/// What a message from one failure domain to another meets on its way.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Link {
    /// Failure domain of the sender.
    pub from: DomainName,
    /// Failure domain of the receiver.
    pub to: DomainName,
    /// One-way delay.
    pub delay: Duration,
    /// Activations of one token that pass per second, shared by all streams.
    pub tokens_per_second: f64,
}
