//! Numbered events: what the decision services report for the log.
//!
//! Each crate lists its kinds in a table named `EVENTS`; docs/EVENTS.md is the
//! catalogue of all tables. Numbers are never used again for another meaning.

use std::fmt;

use smol_str::SmolStr;

/// A kind of event. The hundreds of the number name the crate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EventKind {
    /// Number in the catalogue.
    pub number: u16,
    /// Name in the catalogue, lower case with hyphens.
    pub name: &'static str,
    /// What the event tells, one sentence.
    pub meaning: &'static str,
}

/// Defines the kinds of event of a crate, and its table `EVENTS` of all of them.
///
/// Each row is `CONSTANT = number, "name", "meaning";`.
#[macro_export]
macro_rules! events {
    ($($constant:ident = $number:literal, $name:literal, $meaning:literal;)*) => {
        $(
            pub(crate) const $constant: &$crate::EventKind =
                &$crate::EventKind { number: $number, name: $name, meaning: $meaning };
        )*
        /// All events of this crate.
        pub const EVENTS: &[&$crate::EventKind] = &[$($constant),*];
    };
}

/// One event with its fields.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// What kind of event it is.
    pub kind: &'static EventKind,
    /// Fields in order of writing, with fixed names (`request`, `attempt`, `target`,
    /// `organisation`, `preset`, `reason`, ...).
    pub fields: Vec<(&'static str, SmolStr)>,
}

impl Event {
    /// Starts an event without fields.
    pub fn new(kind: &'static EventKind) -> Self {
        Self { kind, fields: Vec::new() }
    }

    /// Adds a field.
    pub fn with(mut self, name: &'static str, value: impl fmt::Display) -> Self {
        self.fields.push((name, smol_str::format_smolstr!("{value}")));
        self
    }
}

impl fmt::Display for Event {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "event={} name={}", self.kind.number, self.kind.name)?;
        for (name, value) in &self.fields {
            write!(f, " {}", Field { name, value })?;
        }
        Ok(())
    }
}

/// A field as it stands in a line: `name=value`, in quotes where the value needs them.
#[derive(Clone, Copy, Debug)]
pub struct Field<'a> {
    /// Name.
    pub name: &'a str,
    /// Value.
    pub value: &'a str,
}

impl fmt::Display for Field<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Field { name, value } = self;
        if value.is_empty() || value.contains([' ', '"', '=', '\n']) {
            write!(f, "{name}={value:?}")
        } else {
            write!(f, "{name}={value}")
        }
    }
}
