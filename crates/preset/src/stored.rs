//! The store's one value: the preset in force and the changes that led to it.

use error_stack::Report;
use fleet::Version;
use serde::{Deserialize, Serialize};
use smol_str::format_smolstr;

use crate::{Change, Error, Preset};

/// Changes that are remembered beside the preset.
const PAST_MAX: usize = 32;

/// The store's value.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Stored {
    /// The preset in force.
    pub preset: Preset,
    /// The last changes, this one included, the oldest first; at most 32.
    pub past: Vec<Past>,
}

/// A change that was accepted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Past {
    /// Its name.
    pub change: Change,
    /// The version that it made.
    pub version: Version,
    /// Digest of the document.
    pub digest: u64,
}

impl Stored {
    /// Makes the value that follows `before` when `document` is put under `change`.
    pub fn following(
        before: Option<&Self>,
        document: &Preset,
        change: &Change,
        version: Version,
    ) -> Self {
        let mut past = before.map_or_else(Vec::new, |stored| stored.past.clone());
        past.push(Past { change: change.clone(), version, digest: digest(document) });
        if past.len() > PAST_MAX {
            past.drain(..past.len() - PAST_MAX);
        }
        let preset = Preset { version, change: change.clone(), ..document.clone() };
        Self { preset, past }
    }

    /// Reads the store's value.
    ///
    /// # Errors
    ///
    /// [`Error::Undecodable`] for bytes that are no such value, [`Error::Invalid`] for a
    /// preset that no operator's command would have written.
    pub fn decode(value: &[u8]) -> Result<Self, Report<Error>> {
        let stored: Self = serde_json::from_slice(value).map_err(|error| {
            Report::new(Error::Undecodable { message: format_smolstr!("{error}") })
        })?;
        stored.preset.check()?;
        Ok(stored)
    }

    /// Writes the store's value.
    pub fn encode(&self) -> Vec<u8> {
        // Strings, numbers and lists of them always have a form in JSON.
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// Finds a change among those remembered.
    pub fn find(&self, change: &Change) -> Option<&Past> {
        self.past.iter().find(|past| past.change == *change)
    }
}

/// Digest of a document without version and change.
pub(crate) fn digest(document: &Preset) -> u64 {
    use sha2::{Digest, Sha256};
    let bare = Preset { version: 0, change: Change::default(), ..document.clone() };
    let text = serde_json::to_vec(&bare).unwrap_or_default();
    let hash = Sha256::digest(&text);
    hash.iter().take(8).fold(0, |sum, byte| sum << 8 | u64::from(*byte))
}
