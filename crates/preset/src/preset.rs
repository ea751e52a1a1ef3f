//! The preset: what operators set, as it stands in TOML and in the store.

use std::time::Duration;

use error_stack::Report;
use fleet::{Link, OrganisationName, Version};
use serde::{Deserialize, Serialize};
use smol_str::{SmolStr, format_smolstr};

use crate::{Error, check, span};

/// Name of one change, chosen by the operator's command; makes a repeated call idempotent.
pub type Change = SmolStr;

/// The operators' configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Preset {
    /// Version; given by the commit and only ever grows.
    #[serde(default)]
    pub version: Version,
    /// The change that made this version.
    #[serde(default)]
    pub change: Change,
    /// Name, for example `ordinary`, `peak` or `maintenance`.
    pub name: SmolStr,
    /// Requests that may wait at one node.
    pub queue: usize,
    /// Longest wait in the queue.
    #[serde(with = "span")]
    pub wait: Duration,
    /// Retries as a share of recent successes, 0 to 1.
    pub retry_share: f64,
    /// Most attempts at one request.
    pub attempts: u32,
    /// How long a quarantined request is refused.
    #[serde(with = "span")]
    pub quarantine: Duration,
    /// Organisations that may send requests.
    pub organisations: Vec<Organisation>,
    /// Links between failure domains.
    #[serde(default)]
    pub links: Vec<Link>,
}

/// An organisation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Organisation {
    /// Its name.
    pub name: OrganisationName,
    /// Its share of the capacity, relative to the others'.
    pub weight: f64,
    /// Bearer keys of its callers, beside its name.
    #[serde(default)]
    pub keys: Vec<SmolStr>,
}

impl Preset {
    /// Reads and checks a TOML document.
    ///
    /// # Errors
    ///
    /// [`Error::Syntax`] with the line for text that is no preset (unknown keys included);
    /// [`Error::Invalid`] with every value that is outside of its bounds.
    pub fn parse(text: &str) -> Result<Self, Report<Error>> {
        let preset: Self = toml::from_str(text).map_err(|error| syntax(text, &error))?;
        check::document(&preset)?;
        Ok(preset)
    }

    /// Writes the preset as a TOML document.
    ///
    /// # Errors
    ///
    /// [`Error::Syntax`] when a value has no form in TOML.
    pub fn document(&self) -> Result<String, Report<Error>> {
        toml::to_string(self).map_err(|error| {
            Report::new(Error::Syntax { line: 0, message: format_smolstr!("{error}") })
        })
    }

    /// Checks all values.
    ///
    /// # Errors
    ///
    /// [`Error::Invalid`] with every value that is outside of its bounds.
    pub fn check(&self) -> Result<(), Report<Error>> {
        check::values(self)
    }
}

fn syntax(text: &str, error: &toml::de::Error) -> Report<Error> {
    let line =
        error.span().map_or(0, |span| text[..span.start.min(text.len())].lines().count().max(1));
    // A span that starts right after a line break belongs to the next line.
    let at_start = error.span().is_some_and(|span| text[..span.start].ends_with('\n'));
    let line = line + usize::from(at_start);
    Report::new(Error::Syntax { line, message: error.message().into() })
}
