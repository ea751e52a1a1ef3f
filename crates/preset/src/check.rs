//! Validation of the values of a preset.

use std::collections::BTreeSet;
use std::fmt::Display;
use std::time::Duration;

use error_stack::Report;
use smol_str::{SmolStr, format_smolstr};

use crate::{Error, Preset, Violation};

/// Largest number of requests in the queue of one node.
const MAX_QUEUE: usize = 1_000_000;
/// Longest time in the queue.
const MAX_WAIT: Duration = Duration::from_secs(3_600);
/// Largest number of attempts at one request.
const MAX_ATTEMPTS: u32 = 20;
const MIN_QUARANTINE: Duration = Duration::from_secs(1);
const MAX_QUARANTINE: Duration = Duration::from_secs(86_400);
/// Largest weight of an organisation.
const MAX_WEIGHT: f64 = 1_000_000.0;
const MAX_ORGANISATIONS: usize = 5_000;
/// Longest name, in bytes.
const MAX_NAME: usize = 64;

/// Validates a document written by an operator, which must not set version and change.
pub(crate) fn document(preset: &Preset) -> Result<(), Report<Error>> {
    let mut violations = Violations::default();
    violations.require(
        preset.version == 0,
        "version",
        preset.version,
        "absent: the commit assigns it",
    );
    violations.require(
        preset.change.is_empty(),
        "change",
        &preset.change,
        "absent: given as an argument of the command",
    );
    violations.check_preset(preset);
    violations.into_result()
}

/// Validates all values of a preset.
pub(crate) fn values(preset: &Preset) -> Result<(), Report<Error>> {
    let mut violations = Violations::default();
    violations.check_preset(preset);
    violations.into_result()
}

#[derive(Default)]
struct Violations {
    found: Vec<Violation>,
}

impl Violations {
    /// Adds a violation unless `holds`.
    fn require(&mut self, holds: bool, field: &str, value: impl Display, allowed: &str) {
        if !holds {
            let value = format_smolstr!("{value}");
            self.found.push(Violation { field: field.into(), value, allowed: allowed.into() });
        }
    }

    fn into_result(self) -> Result<(), Report<Error>> {
        if self.found.is_empty() {
            return Ok(());
        }
        Err(Report::new(Error::Invalid(self.found)))
    }

    fn check_preset(&mut self, preset: &Preset) {
        self.check_name("name", &preset.name);
        let queue = preset.queue;
        self.require((1..=MAX_QUEUE).contains(&queue), "queue", queue, "1 to 1000000 requests");
        let wait = preset.wait;
        let allowed = "more than 0 and at most 1h";
        self.require(!wait.is_zero() && wait <= MAX_WAIT, "wait", millis(wait), allowed);
        let share = preset.retry_share;
        self.require((0.0..=1.0).contains(&share), "retry_share", share, "0 to 1");
        let attempts = preset.attempts;
        self.require((1..=MAX_ATTEMPTS).contains(&attempts), "attempts", attempts, "1 to 20");
        let quarantine = preset.quarantine;
        let valid = (MIN_QUARANTINE..=MAX_QUARANTINE).contains(&quarantine);
        self.require(valid, "quarantine", millis(quarantine), "1s to 24h");
        self.check_organisations(preset);
        self.check_links(preset);
    }

    fn check_organisations(&mut self, preset: &Preset) {
        let count = preset.organisations.len();
        let allowed = "1 to 5000 organisations";
        self.require((1..=MAX_ORGANISATIONS).contains(&count), "organisations", count, allowed);
        let mut credentials = BTreeSet::new();
        for (index, organisation) in preset.organisations.iter().enumerate() {
            let field = |name: &str| format_smolstr!("organisations[{index}].{name}");
            self.check_name(&field("name"), &organisation.name);
            let weight = organisation.weight;
            let valid = weight > 0.0 && weight <= MAX_WEIGHT;
            self.require(valid, &field("weight"), weight, "more than 0 and at most 1000000");
            // Names are accepted as keys, so each name and key must identify one organisation.
            let unique = credentials.insert(organisation.name.clone());
            let allowed = "a name or key that no other organisation has";
            self.require(unique, &field("name"), &organisation.name, allowed);
            for key in &organisation.keys {
                let allowed = "a non-empty key that no other organisation has";
                let unique = !key.is_empty() && credentials.insert(key.clone());
                self.require(unique, &field("keys"), "(not shown)", allowed);
            }
        }
    }

    fn check_links(&mut self, preset: &Preset) {
        let mut pairs = BTreeSet::new();
        for (index, link) in preset.links.iter().enumerate() {
            let field = |name: &str| format_smolstr!("links[{index}].{name}");
            let rate = link.tokens_per_second;
            let valid = rate.is_finite() && rate > 0.0;
            self.require(valid, &field("tokens_per_second"), rate, "more than 0");
            let unique = pairs.insert((link.from.clone(), link.to.clone()));
            let pair = format_smolstr!("{} to {}", link.from, link.to);
            self.require(unique, &field("from"), pair, "one link for each pair");
        }
    }

    fn check_name(&mut self, field: &str, name: &SmolStr) {
        let valid = !name.is_empty()
            && name.len() <= MAX_NAME
            && !name.contains(|c: char| c.is_whitespace() || c.is_control());
        self.require(valid, field, format_args!("{name:?}"), "1 to 64 bytes without spaces");
    }
}

fn millis(span: Duration) -> SmolStr {
    format_smolstr!("{}ms", span.as_millis())
}
