//! Links between failure domains.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::DomainName;

/// Delay and throughput of messages from one failure domain to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Link {
    /// Failure domain of the sender.
    pub from: DomainName,
    /// Failure domain of the receiver.
    pub to: DomainName,
    /// One-way delay.
    pub delay: Duration,
    /// Throughput, tokens per second: tokens whose activations pass the link, shared by all
    /// streams.
    pub tokens_per_second: f64,
}
