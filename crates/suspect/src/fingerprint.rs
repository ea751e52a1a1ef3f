//! Fingerprints: the same for all attempts at one request.

use std::hash::Hasher as _;

use siphasher::sip::SipHasher24;

/// Hash that identifies a request in all records and messages about it.
pub type Fingerprint = u64;

/// Returns the fingerprint of a request of an organisation, which is the same on all nodes.
///
/// The hash has no secret key. A caller that constructs two requests with the same fingerprint
/// harms only the organisation for which it sends them.
pub fn fingerprint(organisation: &str, path: &str, body: &[u8]) -> Fingerprint {
    hash(&[organisation.as_bytes(), path.as_bytes(), body])
}

/// Returns the fingerprint of a part of prompts that a service runs, which is the same on all nodes
/// and for all organisations.
pub fn part_fingerprint(service: &str, part: u64) -> Fingerprint {
    hash(&[b"prompt part", service.as_bytes(), &part.to_le_bytes()])
}

/// Returns the fingerprint of a part whose id is a text, as [`part_fingerprint`] does for a number.
pub fn named_part_fingerprint(service: &str, name: &[u8]) -> Fingerprint {
    hash(&[b"prompt part", service.as_bytes(), b"named", name])
}

fn hash(fields: &[&[u8]]) -> Fingerprint {
    let mut hasher = SipHasher24::new();
    for field in fields {
        hasher.write_usize(field.len());
        hasher.write(field);
    }
    hasher.finish()
}
