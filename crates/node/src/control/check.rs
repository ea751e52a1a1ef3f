//! Checks of a configuration before it is sent: `magnoliactl check`.

use std::path::{Path, PathBuf};
use std::str::FromStr;
use std::time::Duration;

use bpaf::Bpaf;
use check::{Bounds, Cause, Decoded, Finding, Severity};
use serde_json::{Value, json};

use super::{EXIT_DONE, EXIT_INVALID, EXIT_WARNINGS, Error, Output};

// A doc comment here would be printed in the help.
#[derive(Clone, Debug, Bpaf)]
pub(super) struct Arguments {
    /// Document of the version in force, to list the differences from it
    #[bpaf(long, argument("FILE"), optional)]
    against: Option<PathBuf>,
    /// Format of the findings: text or json
    #[bpaf(long, argument("FORMAT"), fallback(Format::Text))]
    format: Format,
    /// Memory of a VM, megabytes (limits.memory_mb); without it, limits are not compared with it
    #[bpaf(long, argument("NUMBER"), guard(is_positive, NOT_POSITIVE), optional)]
    memory_mb: Option<f64>,
    /// Stall bound, milliseconds (bounds.stall_ms); without it, pauses are not compared with it
    #[bpaf(long, argument("NUMBER"), guard(is_positive, NOT_POSITIVE), optional)]
    stall_ms: Option<f64>,
    /// The document: a preset (TOML) or a configuration of the platform (JSON)
    #[bpaf(positional("FILE"))]
    file: PathBuf,
}

const NOT_POSITIVE: &str = "must be more than 0 and at most 1e12";

/// Largest number of an argument; far below the range of a duration.
const MAX_NUMBER: f64 = 1e12;

fn is_positive(number: &f64) -> bool {
    *number > 0.0 && *number <= MAX_NUMBER
}

/// Format of the findings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Format {
    Text,
    Json,
}

impl FromStr for Format {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "text" => Ok(Format::Text),
            "json" => Ok(Format::Json),
            _ => Err("must be text or json"),
        }
    }
}

impl Arguments {
    /// Checks the document. `json` requests JSON like `--format json`.
    pub(super) fn run(&self, json: bool) -> Result<Output, Error> {
        let document = decode(&read(&self.file)?, preset_of(check::preset::decode));
        let in_force = match &self.against {
            Some(file) => Some(decode(&read(file)?, preset_of(check::preset::decode_in_force))),
            None => None,
        };
        let bounds = Bounds {
            memory: self.memory_mb.map(|megabytes| (megabytes * 1e6) as usize),
            stall: self.stall_ms.map(|millis| Duration::from_secs_f64(millis / 1e3)),
        };
        let findings = check::check(&document, in_force.as_ref(), &bounds);
        let is_json = json || self.format == Format::Json;
        let text =
            if is_json { format_json(&findings).to_string() } else { format_text(&findings) };
        Ok(Output { text, code: exit_code(&findings) })
    }
}

fn read(file: &Path) -> Result<Vec<u8>, Error> {
    std::fs::read(file).map_err(|error| Error::File { file: file.to_owned(), kind: error.kind() })
}

/// Decodes a document in either format: an object of JSON starts with a brace, which no document in
/// TOML does.
fn decode(bytes: &[u8], preset: impl Fn(&[u8]) -> Decoded) -> Decoded {
    match bytes.trim_ascii_start().first() {
        Some(b'{') => platform::check::decode(bytes),
        _ => preset(bytes),
    }
}

/// Returns a decoder of bytes from one of text.
fn preset_of(decode: fn(&str) -> Decoded) -> impl Fn(&[u8]) -> Decoded {
    move |bytes| match std::str::from_utf8(bytes) {
        Ok(text) => decode(text),
        Err(error) => {
            let valid = &bytes[..error.valid_up_to()];
            let line = valid.iter().filter(|byte| **byte == b'\n').count() + 1;
            let finding = Finding::new(Cause::Syntax, format!("line {line}"), "is not UTF-8");
            Decoded { document: None, findings: vec![finding] }
        }
    }
}

fn count(findings: &[Finding], severity: Severity) -> usize {
    findings.iter().filter(|finding| finding.cause.severity() == severity).count()
}

fn exit_code(findings: &[Finding]) -> u8 {
    match findings.iter().map(|finding| finding.cause.severity()).max() {
        Some(Severity::Error) => EXIT_INVALID,
        Some(Severity::Warning) => EXIT_WARNINGS,
        Some(Severity::Difference) | None => EXIT_DONE,
    }
}

fn format_text(findings: &[Finding]) -> String {
    let lines: String = findings.iter().map(|finding| format!("{finding}\n")).collect();
    let counts = [
        (count(findings, Severity::Error), "error"),
        (count(findings, Severity::Warning), "warning"),
        (count(findings, Severity::Difference), "difference"),
    ];
    let counts = counts.map(|(count, name)| match count {
        1 => format!("1 {name}"),
        _ => format!("{count} {name}s"),
    });
    format!("{lines}{}", counts.join(", "))
}

fn format_json(findings: &[Finding]) -> Value {
    let list: Vec<Value> = findings
        .iter()
        .map(|finding| {
            json!({
                "severity": finding.cause.severity().name(),
                "cause": finding.cause.name(),
                "place": finding.place,
                "reason": finding.reason,
            })
        })
        .collect();
    json!({
        "findings": list,
        "errors": count(findings, Severity::Error),
        "warnings": count(findings, Severity::Warning),
        "differences": count(findings, Severity::Difference),
    })
}
