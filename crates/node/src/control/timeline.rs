//! Timeline of one request, collected from the log lines of the nodes.

use std::collections::BTreeSet;
use std::fmt;

use fleet::Field;
use serde::Serialize;
use smol_str::SmolStr;
use time::format_description::well_known::Rfc3339;
use time::{Duration, OffsetDateTime};

use super::table::Table;

/// Time before the request's first line from which other lines count as possible causes.
const CAUSE_WINDOW: Duration = Duration::seconds(2);
/// Events about a target. They are included if a line of the request names that target.
const TARGET_EVENTS: [&str; 3] = ["target-changed", "target-removed", "target-used-again"];
/// Events about the state of a node. They are included if the request passed that node.
/// `target-left-out` is among them because the lines of a stream that moved name only the path
/// that it moved to, not the engine that was left out.
const NODE_EVENTS: [&str; 8] = [
    "entry-started",
    "entry-stopping",
    "entry-stopped",
    "configuration-in-force",
    "store-lost",
    "store-back",
    "target-left-out",
    "peers",
];
/// Events about all targets of a model. They are included whenever they fall within the time
/// range.
const FLEET_EVENTS: [&str; 1] = ["layout"];

/// A log line of an event.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Line {
    /// Time at which the line was written.
    #[serde(with = "time::serde::rfc3339")]
    pub at: OffsetDateTime,
    /// Node that the line comes from: the last word before the time; empty if there is none.
    pub source: SmolStr,
    /// Number of the event.
    pub event: u16,
    /// Name of the event.
    pub name: SmolStr,
    /// Fields in their order.
    pub fields: Vec<(SmolStr, SmolStr)>,
}

impl Line {
    /// Parses a line; returns `None` if it is not an event.
    pub fn parse(text: &str) -> Option<Self> {
        let begin = text.find("event=")?;
        let (head, tail) = text.split_at(begin);
        let mut words = head.split_whitespace();
        let mut source = Vec::new();
        let at = words.find_map(|word| {
            let at = OffsetDateTime::parse(word, &Rfc3339).ok();
            if at.is_none() {
                source.push(word);
            }
            at
        })?;
        let mut fields = parse_fields(tail).into_iter();
        let event = fields.next()?.1.parse().ok()?;
        let (_, name) = fields.next().filter(|(key, _)| key == "name")?;
        // Collectors write the time of arrival before the name of the node.
        let source = source.last().copied().unwrap_or_default().into();
        Some(Self { at, source, event, name, fields: fields.collect() })
    }

    fn field(&self, name: &str) -> Option<&SmolStr> {
        self.fields.iter().find(|(key, _)| key == name).map(|(_, value)| value)
    }
}

impl fmt::Display for Line {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, (name, value)) in self.fields.iter().enumerate() {
            let space = if index == 0 { "" } else { " " };
            write!(f, "{space}{}", Field { name, value })?;
        }
        Ok(())
    }
}

/// Parses the `key=value` pairs of a line; values with spaces are quoted.
fn parse_fields(mut text: &str) -> Vec<(SmolStr, SmolStr)> {
    let mut fields = Vec::new();
    while let Some((key, rest)) = text.trim_start().split_once('=') {
        let (value, rest) = match rest.strip_prefix('"') {
            Some(quoted) => unquote(quoted),
            None => {
                let end = rest.find(char::is_whitespace).unwrap_or(rest.len());
                (rest[..end].to_owned(), &rest[end..])
            }
        };
        fields.push((key.into(), value.into()));
        text = rest;
    }
    fields
}

/// Unescapes the text up to the closing quote and returns it with the text after the quote.
fn unquote(text: &str) -> (String, &str) {
    let mut value = String::new();
    let mut chars = text.char_indices();
    while let Some((index, c)) = chars.next() {
        match c {
            '"' => return (value, &text[index + 1..]),
            '\\' => value.extend(chars.next().map(|(_, escaped)| escaped)),
            _ => value.push(c),
        }
    }
    (value, "")
}

/// Lines of a request and of its possible causes, sorted by time.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Timeline {
    request: SmolStr,
    lines: Vec<Line>,
}

impl Timeline {
    /// Selects the lines for a request; returns `None` if no line names the request.
    pub fn new(request: &str, lines: Vec<Line>) -> Option<Self> {
        let is_own = |line: &Line| line.field("request").is_some_and(|id| id == request);
        let own: Vec<&Line> = lines.iter().filter(|line| is_own(line)).collect();
        let first = own.iter().map(|line| line.at).min()? - CAUSE_WINDOW;
        let last = own.iter().map(|line| line.at).max()?;
        let nodes: BTreeSet<SmolStr> = own.iter().map(|line| line.source.clone()).collect();
        let targets: BTreeSet<SmolStr> = own.iter().flat_map(|line| named_targets(line)).collect();
        let is_cause = |line: &Line| {
            let name = line.name.as_str();
            let names_target = || line.field("target").is_some_and(|id| targets.contains(id));
            (first..=last).contains(&line.at)
                && (FLEET_EVENTS.contains(&name)
                    || NODE_EVENTS.contains(&name) && nodes.contains(&line.source)
                    || TARGET_EVENTS.contains(&name) && names_target())
        };
        let mut selected: Vec<Line> =
            lines.iter().filter(|line| is_own(line) || is_cause(line)).cloned().collect();
        selected.sort_by_key(|line| line.at);
        Some(Self { request: request.into(), lines: selected })
    }
}

/// Returns the targets that a line names, as stages of its path or as its target.
fn named_targets(line: &Line) -> Vec<SmolStr> {
    let path = line.field("path").map_or("", SmolStr::as_str).split(',');
    let stages = path.filter_map(|stage| stage.split_once(':').map(|(target, _)| target.into()));
    stages.chain(line.field("target").cloned()).collect()
}

impl fmt::Display for Timeline {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut table = Table::new(&["seconds", "node", "event", "what"]);
        let own = self.lines.iter().find(|line| line.field("request").is_some());
        let begin = own.map(|line| line.at);
        for line in &self.lines {
            let since = begin.map_or(Duration::ZERO, |begin| line.at - begin);
            table.add_row([
                format!("{:+.3}", since.as_seconds_f64()),
                line.source.to_string(),
                format!("{} {}", line.event, line.name),
                line.to_string(),
            ]);
        }
        write!(f, "{table}")
    }
}
