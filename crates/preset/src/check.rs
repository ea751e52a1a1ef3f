//! Bounds of the values of a preset.

use std::collections::BTreeSet;
use std::fmt::Display;
use std::time::Duration;

use error_stack::Report;
use smol_str::{SmolStr, format_smolstr};

use crate::{Error, Preset, Violation};

/// Most requests that may wait at one node.
const QUEUE_MAX: usize = 1_000_000;
/// Longest wait in the queue.
const WAIT_MAX: Duration = Duration::from_secs(3_600);
/// Most attempts at one request.
const ATTEMPTS_MAX: u32 = 20;
/// Shortest quarantine.
const QUARANTINE_MIN: Duration = Duration::from_secs(1);
/// Longest quarantine.
const QUARANTINE_MAX: Duration = Duration::from_secs(86_400);
/// Largest weight of an organisation.
const WEIGHT_MAX: f64 = 1_000_000.0;
/// Most organisations.
const ORGANISATIONS_MAX: usize = 5_000;
/// Longest name, in bytes.
const NAME_MAX: usize = 64;

/// Checks a document that an operator wrote: version and change are not theirs to set.
pub(crate) fn document(preset: &Preset) -> Result<(), Report<Error>> {
    let mut faults = Faults::default();
    faults.require(preset.version == 0, "version", preset.version, "absent: the commit gives it");
    faults.require(preset.change.is_empty(), "change", &preset.change, "absent: an argument");
    faults.preset(preset);
    faults.verdict()
}

/// Checks all values.
pub(crate) fn values(preset: &Preset) -> Result<(), Report<Error>> {
    let mut faults = Faults::default();
    faults.preset(preset);
    faults.verdict()
}

#[derive(Default)]
struct Faults {
    found: Vec<Violation>,
}

impl Faults {
    fn require(&mut self, holds: bool, field: &str, value: impl Display, allowed: &str) {
        if !holds {
            let value = format_smolstr!("{value}");
            self.found.push(Violation { field: field.into(), value, allowed: allowed.into() });
        }
    }

    fn verdict(self) -> Result<(), Report<Error>> {
        if self.found.is_empty() {
            return Ok(());
        }
        Err(Report::new(Error::Invalid(self.found)))
    }

    fn preset(&mut self, preset: &Preset) {
        self.name("name", &preset.name);
        let queue = preset.queue;
        self.require((1..=QUEUE_MAX).contains(&queue), "queue", queue, "1 to 1000000 requests");
        let wait = preset.wait;
        let allowed = "more than 0 and at most 1h";
        self.require(!wait.is_zero() && wait <= WAIT_MAX, "wait", millis(wait), allowed);
        let share = preset.retry_share;
        self.require((0.0..=1.0).contains(&share), "retry_share", share, "0 to 1");
        let attempts = preset.attempts;
        self.require((1..=ATTEMPTS_MAX).contains(&attempts), "attempts", attempts, "1 to 20");
        let quarantine = preset.quarantine;
        let held = (QUARANTINE_MIN..=QUARANTINE_MAX).contains(&quarantine);
        self.require(held, "quarantine", millis(quarantine), "1s to 24h");
        self.organisations(preset);
        self.links(preset);
    }

    fn organisations(&mut self, preset: &Preset) {
        let count = preset.organisations.len();
        let allowed = "1 to 5000 organisations";
        self.require((1..=ORGANISATIONS_MAX).contains(&count), "organisations", count, allowed);
        let mut callers = BTreeSet::new();
        for (index, organisation) in preset.organisations.iter().enumerate() {
            let field = |name: &str| format_smolstr!("organisations[{index}].{name}");
            self.name(&field("name"), &organisation.name);
            let weight = organisation.weight;
            let held = weight > 0.0 && weight <= WEIGHT_MAX;
            self.require(held, &field("weight"), weight, "more than 0 and at most 1000000");
            // A key and a name that is used as a key must each lead to one organisation.
            let first = callers.insert(organisation.name.clone());
            let allowed = "a name or key that no other organisation has";
            self.require(first, &field("name"), &organisation.name, allowed);
            for key in &organisation.keys {
                let allowed = "a non-empty key that no other organisation has";
                let first = !key.is_empty() && callers.insert(key.clone());
                self.require(first, &field("keys"), "(not shown)", allowed);
            }
        }
    }

    fn links(&mut self, preset: &Preset) {
        let mut pairs = BTreeSet::new();
        for (index, link) in preset.links.iter().enumerate() {
            let field = |name: &str| format_smolstr!("links[{index}].{name}");
            let rate = link.tokens_per_second;
            let held = rate.is_finite() && rate > 0.0;
            self.require(held, &field("tokens_per_second"), rate, "more than 0");
            let first = pairs.insert((link.from.clone(), link.to.clone()));
            let pair = format_smolstr!("{} to {}", link.from, link.to);
            self.require(first, &field("from"), pair, "one link for each pair");
        }
    }

    fn name(&mut self, field: &str, name: &SmolStr) {
        let held = !name.is_empty()
            && name.len() <= NAME_MAX
            && !name.contains(|c: char| c.is_whitespace() || c.is_control());
        self.require(held, field, format_args!("{name:?}"), "1 to 64 bytes without spaces");
    }
}

fn millis(span: Duration) -> SmolStr {
    format_smolstr!("{}ms", span.as_millis())
}
