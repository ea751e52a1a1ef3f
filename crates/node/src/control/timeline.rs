//! The story of one request, from the log lines of the nodes.

use std::collections::BTreeSet;
use std::fmt;

use fleet::Field;
use serde::Serialize;
use smol_str::SmolStr;
use time::format_description::well_known::Rfc3339;
use time::{Duration, OffsetDateTime};

use super::table::Table;

/// Lines from this long before the request's first line on can be among its causes.
const BEFORE: Duration = Duration::seconds(2);
/// Events about a target: they belong to the story if the request met that target.
const OF_TARGETS: [&str; 3] = ["target-changed", "target-removed", "target-used-again"];
/// What a node did or believed: it belongs to the story if the request passed that node. A
/// stream that moved names the path it moved to; the engine that it left was left out.
const OF_NODES: [&str; 8] = [
    "entry-started",
    "entry-stopping",
    "entry-stopped",
    "configuration-in-force",
    "store-lost",
    "store-back",
    "target-left-out",
    "peers",
];
/// Events about all targets of a model.
const OF_ALL: [&str; 1] = ["layout"];

/// One line of a log.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Line {
    /// When it was written.
    #[serde(with = "time::serde::rfc3339")]
    pub at: OffsetDateTime,
    /// What stands before the time: who collected the line from where, if that was noted.
    pub source: SmolStr,
    /// Number of the event.
    pub event: u16,
    /// Name of the event.
    pub name: SmolStr,
    /// Its fields, in their order.
    pub fields: Vec<(SmolStr, SmolStr)>,
}

impl Line {
    /// Reads a line; `None` when it is no event.
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
        let mut fields = fields(tail).into_iter();
        let event = fields.next()?.1.parse().ok()?;
        let (_, name) = fields.next().filter(|(key, _)| key == "name")?;
        // Collectors put the time of arrival before the node: the last word names the node.
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

/// The `key=value` pairs of a line; values with spaces stand in quotes.
fn fields(mut text: &str) -> Vec<(SmolStr, SmolStr)> {
    let mut fields = Vec::new();
    while let Some((key, rest)) = text.trim_start().split_once('=') {
        let (value, rest) = match rest.strip_prefix('"') {
            Some(quoted) => unquoted(quoted),
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

/// The text up to the closing quote, and what follows it.
fn unquoted(text: &str) -> (String, &str) {
    let mut value = String::new();
    let mut letters = text.char_indices();
    while let Some((index, letter)) = letters.next() {
        match letter {
            '"' => return (value, &text[index + 1..]),
            '\\' => value.extend(letters.next().map(|(_, escaped)| escaped)),
            _ => value.push(letter),
        }
    }
    (value, "")
}

/// The lines of a request, and those that can be among its causes, by time.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Timeline {
    request: SmolStr,
    lines: Vec<Line>,
}

impl Timeline {
    /// Picks the lines of a request's story; `None` when no line is the request's own.
    pub fn new(request: &str, lines: Vec<Line>) -> Option<Self> {
        let is_own = |line: &Line| line.field("request").is_some_and(|id| id == request);
        let own: Vec<&Line> = lines.iter().filter(|line| is_own(line)).collect();
        let first = own.iter().map(|line| line.at).min()? - BEFORE;
        let last = own.iter().map(|line| line.at).max()?;
        let nodes: BTreeSet<SmolStr> = own.iter().map(|line| line.source.clone()).collect();
        let targets: BTreeSet<SmolStr> = own.iter().flat_map(|line| targets(line)).collect();
        let belongs = |line: &Line| {
            let name = line.name.as_str();
            let of_target = || line.field("target").is_some_and(|id| targets.contains(id));
            (first..=last).contains(&line.at)
                && (OF_ALL.contains(&name)
                    || OF_NODES.contains(&name) && nodes.contains(&line.source)
                    || OF_TARGETS.contains(&name) && of_target())
        };
        let mut picked: Vec<Line> =
            lines.iter().filter(|line| is_own(line) || belongs(line)).cloned().collect();
        picked.sort_by_key(|line| line.at);
        Some(Self { request: request.into(), lines: picked })
    }
}

/// Targets that a line of a request names.
fn targets(line: &Line) -> Vec<SmolStr> {
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
            table.row([
                format!("{:+.3}", since.as_seconds_f64()),
                line.source.to_string(),
                format!("{} {}", line.event, line.name),
                line.to_string(),
            ]);
        }
        write!(f, "{table}")
    }
}
