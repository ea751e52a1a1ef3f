//! Numbered events that the decision services report for the log.
//!
//! Each crate lists its kinds in a table named `EVENTS`; docs/EVENTS.md is the catalogue of all
//! tables. Numbers are never reused for another meaning.

use std::fmt;

use smol_str::SmolStr;

/// A kind of event. The hundreds of the number identify the crate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EventKind {
    /// Number in the catalogue.
    pub number: u16,
    /// Name in the catalogue, in lower case with hyphens.
    pub name: &'static str,
    /// Meaning of the event, one sentence.
    pub meaning: &'static str,
}

/// Defines the kinds of event of a crate, and the table `EVENTS` that lists them.
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
    /// Kind of the event.
    pub kind: &'static EventKind,
    /// Fields in the order of writing, with fixed names (`request`, `attempt`, `target`,
    /// `organisation`, `preset`, `reason`, ...).
    pub fields: Vec<(&'static str, SmolStr)>,
}

impl Event {
    /// Returns an event without fields.
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

/// A field as written in a log line: `name=value`, with the value in quotes if needed.
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
