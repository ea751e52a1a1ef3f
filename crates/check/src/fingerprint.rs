//! Fingerprints of keys.

use sha2::{Digest, Sha256};
use smol_str::SmolStr;

/// Bytes of the hash in a fingerprint. Among 100,000 keys, two have the same one with a probability
/// below 1 in 10⁹.
const BYTES: usize = 8;

/// Returns the fingerprint that represents a key in outputs, in hexadecimal digits.
pub fn fingerprint(key: &str) -> SmolStr {
    let hash = Sha256::digest(key.as_bytes());
    hash.iter().take(BYTES).map(|byte| format!("{byte:02x}")).collect()
}
