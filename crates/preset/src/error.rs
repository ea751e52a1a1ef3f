//! Errors of parsing and validating documents and stored values.

use std::fmt;

use smol_str::SmolStr;

/// Reason to reject a document or a stored value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// The text is not TOML, lacks a key, or has an unknown key or a value of the wrong type.
    Syntax {
        /// Line of the document, starting at 1; 0 when the error has no position.
        line: usize,
        /// Error message of the parser.
        message: SmolStr,
    },
    /// All values that are outside their bounds.
    Invalid(Vec<Violation>),
    /// The stored value cannot be decoded.
    Undecodable {
        /// Error message of the decoder.
        message: SmolStr,
    },
}

/// A value outside its bounds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Path of the field, for example `organisations[2].weight`.
    pub field: SmolStr,
    /// Value found.
    pub value: SmolStr,
    /// Description of the allowed values.
    pub allowed: SmolStr,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} = {}: allowed is {}", self.field, self.value, self.allowed)
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Syntax { line, message } => write!(f, "line {line}: {message}"),
            Self::Invalid(violations) => {
                for (index, violation) in violations.iter().enumerate() {
                    let separator = if index == 0 { "" } else { "; " };
                    write!(f, "{separator}{violation}")?;
                }
                Ok(())
            }
            Self::Undecodable { message } => write!(f, "stored value: {message}"),
        }
    }
}

impl std::error::Error for Error {}
