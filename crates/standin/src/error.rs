//! Why a stand-in did not start.

use std::fmt;
use std::net::SocketAddr;

/// Why a stand-in did not start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartError {
    /// The address could not be bound.
    Bind(SocketAddr),
    /// The operating system gave no thread or no event queue.
    Resources,
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StartError::Bind(address) => write!(f, "cannot listen on {address}"),
            StartError::Resources => write!(f, "no thread or event queue to be had"),
        }
    }
}

impl std::error::Error for StartError {}
