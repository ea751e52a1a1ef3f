//! Why a document or a stored value is refused.

use std::fmt;

use smol_str::SmolStr;

/// Why a document or a stored value is refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// The text is no TOML, lacks a key, or has an unknown key or a value of a wrong type.
    Syntax {
        /// Line of the document, from 1; 0 when the fault has no place.
        line: usize,
        /// What the parser says.
        message: SmolStr,
    },
    /// Values outside of their bounds, all that were found.
    Invalid(Vec<Violation>),
    /// The store's value cannot be decoded.
    Undecodable {
        /// What the decoder says.
        message: SmolStr,
    },
}

/// One value outside of its bounds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Path of the field, for example `organisations[2].weight`.
    pub field: SmolStr,
    /// The value found.
    pub value: SmolStr,
    /// What is allowed.
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
            Self::Invalid(faults) => {
                for (index, fault) in faults.iter().enumerate() {
                    let separator = if index == 0 { "" } else { "; " };
                    write!(f, "{separator}{fault}")?;
                }
                Ok(())
            }
            Self::Undecodable { message } => write!(f, "stored value: {message}"),
        }
    }
}

impl std::error::Error for Error {}
