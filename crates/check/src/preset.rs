//! Documents in the format of the product's own preset.

use preset::{Draft, Preset};
use smol_str::{SmolStr, format_smolstr};

use crate::document::{Document, Key, Organisation, Setting};
use crate::{Cause, Decoded, Finding};

/// Fields that the commit sets: a document to be put in force must not contain them, one that shows
/// the version in force may.
const COMMIT_FIELDS: [&str; 2] = ["version", "change"];

/// Decodes a document that is to be put in force, as far as possible, and returns all of its errors.
pub fn decode(text: &str) -> Decoded {
    let draft = Draft::parse(text);
    let mut findings = Vec::new();
    for fault in draft.faults {
        let line = format_smolstr!("line {}", fault.line);
        findings.push(match fault.field.is_empty() {
            true => Finding::new(Cause::Syntax, line, fault.reason),
            false => {
                Finding::new(Cause::Field, format_smolstr!("{line}, {}", fault.field), fault.reason)
            }
        });
    }
    for violation in draft.violations {
        let reason = format_smolstr!("{}: allowed is {}", violation.value, violation.allowed);
        findings.push(Finding::new(Cause::Value, violation.field, reason));
    }
    Decoded { document: draft.preset.map(document), findings }
}

/// Decodes the document of a version in force, as far as possible, and returns all of its errors.
pub fn decode_in_force(text: &str) -> Decoded {
    let mut decoded = decode(text);
    decoded.findings.retain(|finding| {
        finding.cause != Cause::Value || !COMMIT_FIELDS.contains(&finding.place.as_str())
    });
    decoded
}

fn document(preset: Preset) -> Document {
    let mut settings = Vec::new();
    let mut set = |name: SmolStr, value: SmolStr| settings.push(Setting { name, value });
    set("name".into(), format_smolstr!("{:?}", preset.name));
    set("queue".into(), format_smolstr!("{}", preset.queue));
    set("wait".into(), format_smolstr!("{:?}", preset.wait));
    set("retry_share".into(), format_smolstr!("{}", preset.retry_share));
    set("attempts".into(), format_smolstr!("{}", preset.attempts));
    set("quarantine".into(), format_smolstr!("{:?}", preset.quarantine));
    for link in &preset.links {
        let rate = link.tokens_per_second;
        let value = format_smolstr!("delay {:?}, {rate} tokens/s", link.delay);
        set(format_smolstr!("link {} to {}", link.from, link.to), value);
    }
    let organisations = preset.organisations.into_iter().enumerate().map(|(index, row)| {
        let place = format_smolstr!("organisations[{index}]");
        let key = |(at, text)| Key { place: format_smolstr!("{place}.keys[{at}]"), text };
        Organisation {
            name: Some(row.name),
            priority: None,
            weight: Some(row.weight),
            keys: Some(row.keys.into_iter().enumerate().map(key).collect()),
            is_name_key: true,
            place,
        }
    });
    Document { settings, organisations: Some(organisations.collect()), ..Document::default() }
}
