//! Hashes of the growing prefixes of a prompt, which identify entries of prefix caches.

use std::hash::Hasher;

use siphasher::sip::SipHasher13;

/// Bytes of prompt text in one block; only whole blocks are cached.
pub const PREFIX_BLOCK_BYTES: usize = 256;

/// Returns the hashes of the prefixes of `prompt` that end at a block boundary, shortest first.
///
/// `prompt` is the text in the form that docs/PROTOCOLS.md defines.
pub fn prefix_hashes(prompt: &str) -> Vec<u64> {
    let mut hasher = SipHasher13::new();
    let mut hashes = Vec::with_capacity(prompt.len() / PREFIX_BLOCK_BYTES);
    for block in prompt.as_bytes().chunks_exact(PREFIX_BLOCK_BYTES) {
        hasher.write(block);
        hashes.push(hasher.finish());
    }
    hashes
}
