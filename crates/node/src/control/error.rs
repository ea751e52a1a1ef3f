//! Failures of the operators' command.

use std::fmt;
use std::path::PathBuf;

use smol_str::SmolStr;

/// A command could not be carried out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// A file cannot be read.
    File {
        /// The file.
        file: PathBuf,
        /// Why.
        kind: std::io::ErrorKind,
    },
    /// A document is no valid preset.
    Document(String),
    /// The document found under a name bears another.
    NameMismatch {
        /// The name asked for.
        expected: SmolStr,
        /// The name in the document.
        found: SmolStr,
    },
    /// No node answers.
    Unreachable,
    /// No line of the logs is of the request.
    NotLogged {
        /// Its id.
        request: SmolStr,
    },
    /// A node answered with an error.
    Refused(String),
    /// A node's answer cannot be read.
    Answer(String),
}

impl Error {
    pub(crate) fn answer(error: impl fmt::Display) -> Self {
        Self::Answer(error.to_string())
    }

    /// Exit code.
    pub fn exit_code(&self) -> u8 {
        match self {
            Error::File { .. } | Error::Document(_) | Error::NameMismatch { .. } => {
                super::EXIT_INVALID
            }
            Error::Unreachable | Error::NotLogged { .. } | Error::Refused(_) | Error::Answer(_) => {
                super::EXIT_FAILED
            }
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::File { file, kind } => write!(f, "{} cannot be read: {kind}", file.display()),
            Error::Document(message) => write!(f, "the document is not a valid preset: {message}"),
            Error::NameMismatch { expected, found } => {
                write!(f, "the document for `{expected}` bears the name `{found}`")
            }
            Error::Unreachable => {
                write!(f, "no node answers; name their operators' ports with --nodes")
            }
            Error::NotLogged { request } => {
                write!(f, "no line of the logs is of request {request}")
            }
            Error::Refused(message) => write!(f, "{message}"),
            Error::Answer(message) => write!(f, "a node's answer cannot be read: {message}"),
        }
    }
}

impl std::error::Error for Error {}
