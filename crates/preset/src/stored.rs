//! Value in the store: the preset in force and the changes that led to it.

use error_stack::Report;
use fleet::Version;
use serde::{Deserialize, Serialize};
use smol_str::format_smolstr;

use crate::{Change, Error, Preset};

/// Largest number of changes that are kept with the preset.
const MAX_PAST: usize = 32;

/// Value in the store.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Stored {
    /// Preset in force.
    pub preset: Preset,
    /// Last changes, including the one that made the preset, oldest first; at most 32.
    pub past: Vec<Past>,
}

/// An accepted change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Past {
    /// Name of the change.
    pub change: Change,
    /// Version that the change created.
    pub version: Version,
    /// Digest of the document, without version and change.
    pub digest: u64,
}

impl Stored {
    /// Makes the value that replaces `before` when `change` puts `document` in force.
    pub fn following(
        before: Option<&Self>,
        document: &Preset,
        change: &Change,
        version: Version,
    ) -> Self {
        let mut past = before.map_or_else(Vec::new, |stored| stored.past.clone());
        past.push(Past { change: change.clone(), version, digest: digest(document) });
        if past.len() > MAX_PAST {
            past.drain(..past.len() - MAX_PAST);
        }
        let preset = Preset { version, change: change.clone(), ..document.clone() };
        Self { preset, past }
    }

    /// Decodes and validates the value in the store.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Undecodable`] when the bytes are not such a value, and
    /// [`Error::Invalid`] when a value of the preset is outside its bounds, as no operator's
    /// command would write it.
    pub fn decode(value: &[u8]) -> Result<Self, Report<Error>> {
        let stored: Self = serde_json::from_slice(value).map_err(|error| {
            Report::new(Error::Undecodable { message: format_smolstr!("{error}") })
        })?;
        stored.preset.check()?;
        Ok(stored)
    }

    /// Encodes the value for the store.
    pub fn encode(&self) -> Vec<u8> {
        // Strings, numbers and lists of them can always be represented in JSON.
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// Finds a change among those that are kept.
    pub fn find(&self, change: &Change) -> Option<&Past> {
        self.past.iter().find(|past| past.change == *change)
    }
}

/// Returns the digest of a document, without version and change.
pub(crate) fn digest(document: &Preset) -> u64 {
    use sha2::{Digest, Sha256};
    let bare = Preset { version: 0, change: Change::default(), ..document.clone() };
    let text = serde_json::to_vec(&bare).unwrap_or_default();
    let hash = Sha256::digest(&text);
    hash.iter().take(8).fold(0, |sum, byte| sum << 8 | u64::from(*byte))
}
