//! What all attempts at one request have in common.

use std::hash::Hasher as _;

use siphasher::sip::SipHasher24;

/// Stands for a request in everything that is kept and told of it.
pub type Fingerprint = u64;

/// The fingerprint of a request of an organisation; the same on all nodes.
///
/// The hash has no secret key. Whoever makes two requests with one fingerprint harms only the
/// organisation in whose name they are sent.
pub fn fingerprint(organisation: &str, path: &str, body: &[u8]) -> Fingerprint {
    let mut hasher = SipHasher24::new();
    for part in [organisation.as_bytes(), path.as_bytes(), body] {
        hasher.write_usize(part.len());
        hasher.write(part);
    }
    hasher.finish()
}
