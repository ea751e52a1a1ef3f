//! Errors of script directives.

use std::fmt;

use datadriven::DataDrivenError;
use smol_str::{SmolStr, format_smolstr};

/// Error of a directive or a measure.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// An argument or the input of the directive is missing or malformed.
    Script {
        /// Description of the mistake.
        message: SmolStr,
    },
    /// The script names something that does not exist, or not yet.
    Unknown {
        /// Kind of the named thing, such as `node` or `directive`.
        kind: &'static str,
        /// Name given in the script.
        name: SmolStr,
    },
    /// A condition did not hold within [`MAX_WAIT`](crate::process::MAX_WAIT).
    Timeout {
        /// Awaited condition.
        condition: SmolStr,
        /// State at the last poll.
        seen: SmolStr,
    },
    /// A process or stand-in did not start or could not be reached, or a measurement failed.
    Environment {
        /// Description of the failure.
        message: SmolStr,
    },
}

impl Error {
    /// Returns an [`Error::Environment`] with the text of `error`.
    pub(crate) fn environment(error: impl fmt::Display) -> Self {
        Self::Environment { message: format_smolstr!("{error}") }
    }

    /// Returns an [`Error::Script`] with the text of `error`.
    pub(crate) fn script(error: impl fmt::Display) -> Self {
        Self::Script { message: format_smolstr!("{error}") }
    }

    /// Returns an [`Error::Unknown`].
    pub(crate) fn unknown(kind: &'static str, name: &str) -> Self {
        Self::Unknown { kind, name: name.into() }
    }
}

impl From<DataDrivenError> for Error {
    fn from(error: DataDrivenError) -> Self {
        Self::script(error)
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Script { message } => write!(f, "invalid script: {message}"),
            Error::Unknown { kind, name } => write!(f, "no {kind} is named {name}"),
            Error::Timeout { condition, seen } => {
                write!(f, "timed out waiting for {condition}; last seen: {seen}")
            }
            Error::Environment { message } => write!(f, "{message}"),
        }
    }
}

impl std::error::Error for Error {}
