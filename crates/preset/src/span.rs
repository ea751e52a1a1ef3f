//! Durations in documents, written as `"500ms"`, `"2s"`, `"10m"` or `"1h"`.

use std::time::Duration;

use serde::{Deserialize, Deserializer, Serializer, de};

const UNITS: [(&str, u64); 4] = [("ms", 1), ("s", 1_000), ("m", 60_000), ("h", 3_600_000)];

/// Parses a duration; returns `None` when the text is not one.
pub(crate) fn parse(text: &str) -> Option<Duration> {
    let unit_start = text.find(|c: char| !c.is_ascii_digit())?;
    let (number, unit) = text.split_at(unit_start);
    let number: u64 = number.parse().ok()?;
    let (_, scale) = UNITS.iter().find(|(name, _)| *name == unit)?;
    Some(Duration::from_millis(number.checked_mul(*scale)?))
}

/// Serialises a duration in milliseconds.
pub(crate) fn serialize<S: Serializer>(span: &Duration, to: S) -> Result<S::Ok, S::Error> {
    to.serialize_str(&format!("{}ms", span.as_millis()))
}

/// Deserialises a duration.
pub(crate) fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<Duration, D::Error> {
    let text = String::deserialize(from)?;
    parse(&text).ok_or_else(|| {
        de::Error::custom(format!("`{text}` is no duration such as \"500ms\", \"2s\" or \"10m\""))
    })
}
