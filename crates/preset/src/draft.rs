//! A document decoded as far as possible, with all of its errors.

use std::collections::BTreeSet;
use std::time::Duration;

use error_stack::Report;
use fleet::Link;
use serde::Deserialize;
use serde::de::IntoDeserializer;
use smol_str::{SmolStr, format_smolstr};
use toml::de::{DeTable, DeValue};

use crate::{Change, Error, Organisation, Preset, Violation, check, span};

const FIELDS: [&str; 10] = [
    "version",
    "change",
    "name",
    "queue",
    "wait",
    "retry_share",
    "attempts",
    "quarantine",
    "organisations",
    "links",
];
const ORGANISATION_FIELDS: [&str; 3] = ["name", "weight", "keys"];

/// A document decoded as far as possible. [`Preset::parse`] accepts it if it has neither faults nor
/// violations.
#[derive(Clone, Debug)]
pub struct Draft {
    /// Preset; fields that are missing or cannot be decoded have a valid value. `None` if the text is
    /// not TOML.
    pub preset: Option<Preset>,
    /// Errors of syntax, and fields that are missing, unknown or of the wrong type.
    pub faults: Vec<Fault>,
    /// Values outside their bounds.
    pub violations: Vec<Violation>,
}

/// A part of a document that cannot be decoded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Line of the document, starting at 1.
    pub line: usize,
    /// Path of the field, for example `organisations[2].weight`; empty for an error of syntax.
    pub field: SmolStr,
    /// Reason. It contains no key of an organisation.
    pub reason: SmolStr,
}

impl Draft {
    /// Decodes a TOML document and finds all of its errors.
    ///
    /// Values are only checked in a document without errors of syntax: the parser skips the text
    /// after such an error, and fields in it would be reported as missing.
    pub fn parse(text: &str) -> Self {
        let (document, errors) = DeTable::parse_recoverable(text);
        let mut decoder = Decoder { lines: Lines::new(text), faults: Vec::new() };
        if !errors.is_empty() {
            for error in errors {
                let start = error.span().map_or(0, |span| span.start);
                decoder.add_fault(start, "", error.message());
            }
            return Self { preset: None, faults: decoder.faults, violations: Vec::new() };
        }
        let preset = decoder.preset(document.get_ref());
        let faults = decoder.faults;
        let undecoded: BTreeSet<&SmolStr> = faults.iter().map(|fault| &fault.field).collect();
        let violations = violations(&preset).into_iter();
        let violations = violations.filter(|one| !undecoded.contains(&one.field)).collect();
        Self { preset: Some(preset), faults, violations }
    }
}

fn violations(preset: &Preset) -> Vec<Violation> {
    let Err(report) = check::document(preset) else { return Vec::new() };
    let report: Report<Error> = report;
    match report.current_context() {
        Error::Invalid(violations) => violations.clone(),
        Error::Syntax { .. } | Error::Undecodable { .. } => Vec::new(),
    }
}

struct Decoder {
    lines: Lines,
    faults: Vec<Fault>,
}

impl Decoder {
    fn add_fault(&mut self, offset: usize, field: &str, reason: &str) {
        let line = self.lines.line(offset);
        self.faults.push(Fault { line, field: field.into(), reason: reason.into() });
    }

    fn preset(&mut self, table: &DeTable<'_>) -> Preset {
        self.find_unknown(table, "", &FIELDS);
        let wait = Duration::from_secs(1);
        Preset {
            version: self.optional(table, "version").unwrap_or_default(),
            change: self.optional::<Change>(table, "change").unwrap_or_default(),
            name: self.required(table, 0, "", "name").unwrap_or_else(|| "undecoded".into()),
            queue: self.required(table, 0, "", "queue").unwrap_or(1),
            wait: self.required(table, 0, "", "wait").map_or(wait, |Span(time)| time),
            retry_share: self.required(table, 0, "", "retry_share").unwrap_or_default(),
            attempts: self.required(table, 0, "", "attempts").unwrap_or(1),
            quarantine: self.required(table, 0, "", "quarantine").map_or(wait, |Span(time)| time),
            organisations: self.organisations(table),
            links: self.links(table),
        }
    }

    fn organisations(&mut self, table: &DeTable<'_>) -> Vec<Organisation> {
        let Some(rows) = table.get("organisations") else {
            self.add_fault(0, "organisations", "is missing");
            return Vec::new();
        };
        let Some(items) = rows.get_ref().as_array() else {
            self.add_fault(rows.span().start, "organisations", "is not a list");
            return Vec::new();
        };
        let mut organisations = Vec::new();
        for (index, item) in items.iter().enumerate() {
            let path = format_smolstr!("organisations[{index}]");
            let unnamed = || format_smolstr!("undecoded-{index}-organisation");
            let Some(row) = item.get_ref().as_table() else {
                self.add_fault(item.span().start, &path, "is not a table");
                organisations.push(Organisation { name: unnamed(), weight: 1.0, keys: Vec::new() });
                continue;
            };
            let start = item.span().start;
            self.find_unknown(row, &path, &ORGANISATION_FIELDS);
            organisations.push(Organisation {
                name: self.required(row, start, &path, "name").unwrap_or_else(unnamed),
                weight: self.required(row, start, &path, "weight").unwrap_or(1.0),
                keys: self.keys(row, &path),
            });
        }
        organisations
    }

    /// Decodes the keys of an organisation. The parser's messages are not used, because they quote
    /// the value.
    fn keys(&mut self, row: &DeTable<'_>, path: &str) -> Vec<SmolStr> {
        let Some(value) = row.get("keys") else { return Vec::new() };
        let path = format_smolstr!("{path}.keys");
        let Some(items) = value.get_ref().as_array() else {
            self.add_fault(value.span().start, &path, "is not a list");
            return Vec::new();
        };
        let mut keys = Vec::new();
        for (index, item) in items.iter().enumerate() {
            match item.get_ref().as_str() {
                Some(key) => keys.push(key.into()),
                None => {
                    let place = format_smolstr!("{path}[{index}]");
                    self.add_fault(item.span().start, &place, "is not a text");
                }
            }
        }
        keys
    }

    fn links(&mut self, table: &DeTable<'_>) -> Vec<Link> {
        let Some(rows) = table.get("links") else { return Vec::new() };
        let Some(items) = rows.get_ref().as_array() else {
            self.add_fault(rows.span().start, "links", "is not a list");
            return Vec::new();
        };
        let mut links = Vec::new();
        for (index, item) in items.iter().enumerate() {
            match Link::deserialize(item.clone().into_deserializer()) {
                Ok(link) => links.push(link),
                Err(error) => {
                    let start = error.span().unwrap_or(item.span()).start;
                    self.add_fault(start, &format_smolstr!("links[{index}]"), error.message());
                }
            }
        }
        links
    }

    fn find_unknown(&mut self, table: &DeTable<'_>, path: &str, known: &[&str]) {
        for (name, _) in table.iter() {
            if !known.contains(&name.get_ref().as_ref()) {
                let reason = format!("is unknown; known are {}", known.join(", "));
                self.add_fault(name.span().start, &join(path, name.get_ref()), &reason);
            }
        }
    }

    /// Decodes a field of a table that starts at `start`.
    fn required<T: for<'de> Deserialize<'de>>(
        &mut self,
        table: &DeTable<'_>,
        start: usize,
        path: &str,
        name: &str,
    ) -> Option<T> {
        if !table.contains_key(name) {
            self.add_fault(start, &join(path, name), "is missing");
        }
        self.field(table, path, name)
    }

    fn optional<T: for<'de> Deserialize<'de>>(
        &mut self,
        table: &DeTable<'_>,
        name: &str,
    ) -> Option<T> {
        self.field(table, "", name)
    }

    fn field<T: for<'de> Deserialize<'de>>(
        &mut self,
        table: &DeTable<'_>,
        path: &str,
        name: &str,
    ) -> Option<T> {
        let value = table.get(name)?;
        let result = match value.get_ref() {
            // Compound values are not decoded: all fields that are read here are scalars.
            DeValue::Array(_) => Err("is a list".to_owned()),
            DeValue::Table(_) => Err("is a table".to_owned()),
            other => T::deserialize(value.clone().into_deserializer()).map_err(|error| {
                // The parser's message quotes the value, which may be a key in the wrong field of an
                // organisation.
                match path.is_empty() {
                    true => error.message().to_owned(),
                    false => format!("cannot be of type {}", other.type_str()),
                }
            }),
        };
        result.map_err(|reason| self.add_fault(value.span().start, &join(path, name), &reason)).ok()
    }
}

/// A duration in a document.
#[derive(Deserialize)]
struct Span(#[serde(with = "span")] Duration);

fn join(path: &str, name: &str) -> SmolStr {
    if path.is_empty() { name.into() } else { format_smolstr!("{path}.{name}") }
}

/// Offsets at which the lines of a text start.
struct Lines(Vec<usize>);

impl Lines {
    fn new(text: &str) -> Self {
        Self(text.match_indices('\n').map(|(offset, _)| offset + 1).collect())
    }

    fn line(&self, offset: usize) -> usize {
        self.0.partition_point(|start| *start <= offset) + 1
    }
}
