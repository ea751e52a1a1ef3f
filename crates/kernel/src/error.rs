//! Errors of the kernel.

use std::fmt;

use crate::Name;

/// Two services have the same name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Duplicate {
    /// Name of both services.
    pub name: Name,
}

impl fmt::Display for Duplicate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "two services are named {}", self.name)
    }
}

impl std::error::Error for Duplicate {}

/// A thread panicked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Panicked {
    /// Name of the thread.
    pub thread: String,
}

impl fmt::Display for Panicked {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "thread {} panicked", self.thread)
    }
}

impl std::error::Error for Panicked {}
