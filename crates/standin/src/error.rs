//! Start-up errors of stand-ins.

use std::fmt;
use std::net::SocketAddr;

/// Error from starting a stand-in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartError {
    /// The address could not be bound.
    Bind(SocketAddr),
    /// The operating system provided no thread or no event queue.
    Resources,
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StartError::Bind(address) => write!(f, "cannot listen on {address}"),
            StartError::Resources => write!(f, "cannot create a thread or an event queue"),
        }
    }
}

impl std::error::Error for StartError {}
