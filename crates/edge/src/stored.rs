//! Entries that this system keeps in the store, in the form in which they are stored. During an
//! upgrade two builds read them: `docs/design/upgrades.md` states how they may be extended.

use std::fmt;
use std::net::SocketAddr;

use platform::kv::{Position, Revision};
use serde::{Deserialize, Serialize};
use suspect::Fingerprint;

use crate::call::hex;

/// Key that the leading node holds.
pub const LEADER_KEY: &str = "magnoliarun/leader";
/// Prefix of the keys under which nodes register, followed by the address at which a node receives
/// messages. The values are empty.
pub const NODE_PREFIX: &str = "magnoliarun/nodes/";
/// Prefix of the keys of quarantined requests and parts, followed by the fingerprint in
/// hexadecimal.
pub const QUARANTINE_PREFIX: &str = "magnoliarun/quarantine/";
/// Key of the mark that names the era whose configuration is the operators' newest. The value is the
/// era's number in decimal digits.
pub const MARK_KEY: &str = "magnoliarun/settled-era";

/// Bits of a fencing number below the era. Revisions stay below this for decades at the highest
/// write rate; the number stays exact in JSON for the first 8,192 eras.
const ERA_SHIFT: u32 = 40;

/// Returns the fencing number of a leader key that was created at a position. It is higher than all
/// those of earlier eras, in which revisions may have been higher.
pub fn fence_number(created: Position) -> Revision {
    created.era().saturating_mul(1 << ERA_SHIFT) | created.revision()
}

/// Returns the key of the node at this address.
pub fn node_key(node: SocketAddr) -> String {
    format!("{NODE_PREFIX}{node}")
}

/// Returns the key of a quarantined request or part.
pub fn quarantine_key(fingerprint: Fingerprint) -> String {
    format!("{QUARANTINE_PREFIX}{}", hex(fingerprint))
}

/// Returns the fingerprint in the key of an entry; `None` for a key that this system did not write.
pub fn quarantined(key: &str) -> Option<Fingerprint> {
    Fingerprint::from_str_radix(key.strip_prefix(QUARANTINE_PREFIX)?, 16).ok()
}

/// Value of the entry of a quarantined request or part.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Quarantine {
    /// Number of trials so far; `None` for a request, which is not tried.
    pub trials: Option<u32>,
    /// End of the quarantine, milliseconds since the Unix epoch.
    pub until_unix_ms: u64,
}

/// Why the value of an entry cannot be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Unreadable(postcard::Error);

impl fmt::Display for Unreadable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "value of a quarantine: {}", self.0)
    }
}

impl Quarantine {
    /// Decodes a value. Bytes that a newer build has appended are ignored.
    ///
    /// # Errors
    ///
    /// Fails when the bytes are not such a value.
    pub fn decode(bytes: &[u8]) -> Result<Self, Unreadable> {
        postcard::from_bytes(bytes).map_err(Unreadable)
    }

    /// Encodes the value.
    pub fn encode(&self) -> Vec<u8> {
        // Numbers always serialise.
        postcard::to_allocvec(self).unwrap_or_default()
    }
}
