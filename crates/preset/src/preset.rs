//! Preset: the configuration in TOML documents and in the store.

use std::time::Duration;

use error_stack::Report;
use fleet::{Link, OrganisationName, Version};
use serde::{Deserialize, Serialize};
use smol_str::{SmolStr, format_smolstr};

use crate::{Error, check, span};

/// Name of a change, chosen by the operator's command. It makes a repeated call idempotent.
pub type Change = SmolStr;

/// Configuration set by the operators.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Preset {
    /// Version, assigned by the commit; it only increases.
    #[serde(default)]
    pub version: Version,
    /// Change that created this version.
    #[serde(default)]
    pub change: Change,
    /// Name, for example `ordinary`, `peak` or `maintenance`.
    pub name: SmolStr,
    /// Largest number of requests in the queue of one node.
    pub queue: usize,
    /// Longest time in the queue.
    #[serde(with = "span")]
    pub wait: Duration,
    /// Largest number of retries as a share of recent successes, from 0 to 1.
    pub retry_share: f64,
    /// Largest number of attempts at one request.
    pub attempts: u32,
    /// Time for which a quarantined request is refused.
    #[serde(with = "span")]
    pub quarantine: Duration,
    /// Organisations that may send requests.
    pub organisations: Vec<Organisation>,
    /// Links between failure domains.
    #[serde(default)]
    pub links: Vec<Link>,
}

/// Organisation that may send requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Organisation {
    /// Name of the organisation.
    pub name: OrganisationName,
    /// Share of the capacity, relative to the weights of the other organisations.
    pub weight: f64,
    /// Bearer keys of its callers; the name is accepted as a key too.
    #[serde(default)]
    pub keys: Vec<SmolStr>,
}

impl Preset {
    /// Parses and validates a TOML document.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Syntax`] with the line for text that is not a preset, including text with
    /// unknown keys, and [`Error::Invalid`] with every value outside its bounds.
    pub fn parse(text: &str) -> Result<Self, Report<Error>> {
        let preset: Self = toml::from_str(text).map_err(|error| syntax_error(text, &error))?;
        check::document(&preset)?;
        Ok(preset)
    }

    /// Encodes the preset as a TOML document.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Syntax`] when a value cannot be represented in TOML.
    pub fn document(&self) -> Result<String, Report<Error>> {
        toml::to_string(self).map_err(|error| {
            Report::new(Error::Syntax { line: 0, message: format_smolstr!("{error}") })
        })
    }

    /// Validates all values.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Invalid`] with every value outside its bounds.
    pub fn check(&self) -> Result<(), Report<Error>> {
        check::values(self)
    }
}

fn syntax_error(text: &str, error: &toml::de::Error) -> Report<Error> {
    let line =
        error.span().map_or(0, |span| text[..span.start.min(text.len())].lines().count().max(1));
    // A span that starts right after a line break belongs to the next line.
    let at_start = error.span().is_some_and(|span| text[..span.start].ends_with('\n'));
    let line = line + usize::from(at_start);
    Report::new(Error::Syntax { line, message: error.message().into() })
}
