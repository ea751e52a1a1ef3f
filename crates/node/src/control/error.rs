//! Errors of the operators' command.

use std::fmt;
use std::path::PathBuf;

use smol_str::SmolStr;

/// Error that ends a command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// A file cannot be read.
    File {
        /// Path of the file.
        file: PathBuf,
        /// Kind of the I/O error.
        kind: std::io::ErrorKind,
    },
    /// A document is not a valid preset.
    Document(String),
    /// The file of a preset name holds a document with another name.
    NameMismatch {
        /// Name in the command line.
        expected: SmolStr,
        /// Name in the document.
        found: SmolStr,
    },
    /// No node has answered.
    Unreachable,
    /// The logs hold no line of the request.
    NotLogged {
        /// Id of the request.
        request: SmolStr,
    },
    /// A node has answered with an error; holds its message.
    Refused(String),
    /// The answer of a node cannot be parsed.
    Answer(String),
}

impl Error {
    /// Wraps an error in parsing a node's answer.
    pub(crate) fn malformed_answer(error: impl fmt::Display) -> Self {
        Self::Answer(error.to_string())
    }

    /// Returns the exit code for this error.
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
                write!(f, "the document for preset `{expected}` has the name `{found}`")
            }
            Error::Unreachable => {
                write!(f, "no node answers; set their operators' ports with --nodes")
            }
            Error::NotLogged { request } => {
                write!(f, "the logs hold no line of request {request}")
            }
            Error::Refused(message) => write!(f, "{message}"),
            Error::Answer(message) => write!(f, "the answer of a node cannot be parsed: {message}"),
        }
    }
}

impl std::error::Error for Error {}
