//! Why a directive of a script failed.

use std::fmt;

use datadriven::DataDrivenError;
use smol_str::{SmolStr, format_smolstr};

/// Why a directive failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// The directive or one of its arguments is not known, absent or malformed.
    Script {
        /// What is wrong.
        message: SmolStr,
    },
    /// The script speaks of something that does not exist (yet).
    Unknown {
        /// What kind of thing.
        kind: &'static str,
        /// Its name.
        name: SmolStr,
    },
    /// A condition did not come about in time.
    Timeout {
        /// The condition.
        condition: SmolStr,
        /// What was seen at last.
        seen: SmolStr,
    },
    /// A process or stand-in did not start, or could not be reached.
    Environment {
        /// What went wrong.
        message: SmolStr,
    },
}

impl Error {
    /// A failure of the environment around the script.
    pub(crate) fn environment(error: impl fmt::Display) -> Self {
        Self::Environment { message: format_smolstr!("{error}") }
    }

    /// A mistake in the script.
    pub(crate) fn script(error: impl fmt::Display) -> Self {
        Self::Script { message: format_smolstr!("{error}") }
    }

    /// Something that does not exist.
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
            Error::Script { message } => write!(f, "mistake in the script: {message}"),
            Error::Unknown { kind, name } => write!(f, "no {kind} is named {name}"),
            Error::Timeout { condition, seen } => {
                write!(f, "waited in vain for {condition}; seen at last: {seen}")
            }
            Error::Environment { message } => write!(f, "{message}"),
        }
    }
}

impl std::error::Error for Error {}
