//! Identifiers derived from the content of a call, which are the same on every node.
//!
//! Answer id, decoding seed, fingerprint and claim digest are derived by keyed hashes from parts of
//! the call, such as organisation, idempotency key and body. The request id is unique to each
//! sending instead, so that no target mistakes one sending of a request for another.

use std::fmt;
use std::hash::Hasher as _;
use std::str::FromStr;

use fleet::TokenIndex;
use siphasher::sip::SipHasher24;
use siphasher::sip128::{Hasher128, SipHasher24 as SipHasher128};

/// Identifier of an answer in its event ids.
pub type AnswerId = u128;

/// Key of all hashes, shared by all nodes of a deployment.
#[derive(Clone, Copy, Debug)]
pub struct Secret(u64, u64);

impl Secret {
    /// Derives the key from the text of the setting `secret`.
    pub fn new(text: &str) -> Self {
        let mut hasher = SipHasher128::new_with_keys(0, 0);
        hasher.write(text.as_bytes());
        let hash = hasher.finish128();
        Self(hash.h1, hash.h2)
    }

    /// Returns a 64-bit hash of `parts` and their lengths. `domain` separates the uses of the
    /// key.
    pub fn hash64(self, domain: u8, parts: &[&[u8]]) -> u64 {
        let mut hasher = SipHasher24::new_with_keys(self.0, self.1);
        hasher.write_u8(domain);
        for part in parts {
            hasher.write_usize(part.len());
            hasher.write(part);
        }
        hasher.finish()
    }

    /// Returns a 128-bit hash of `parts` and their lengths. `domain` separates the uses of the
    /// key.
    pub fn hash128(self, domain: u8, parts: &[&[u8]]) -> u128 {
        let mut hasher = SipHasher128::new_with_keys(self.0, self.1);
        hasher.write_u8(domain);
        for part in parts {
            hasher.write_usize(part.len());
            hasher.write(part);
        }
        hasher.finish128().as_u128()
    }

    /// Returns an empty digest for the text of an answer.
    pub fn digest(self) -> Digest {
        Digest { hasher: SipHasher24::new_with_keys(self.0, !self.1) }
    }
}

/// Hash domain of answer ids.
pub const ANSWER: u8 = 1;
/// Hash domain of fingerprints of organisation and body.
pub const FINGERPRINT: u8 = 2;
/// Hash domain of the digests of claimed calls.
pub const CLAIM: u8 = 3;

/// Running digest of the text delivered so far.
#[derive(Clone, Debug)]
pub struct Digest {
    hasher: SipHasher24,
}

impl Digest {
    /// Appends text to the digest.
    pub fn add(&mut self, text: &str) {
        self.hasher.write(text.as_bytes());
    }

    /// Returns the digest of the text appended so far.
    pub fn value(&self) -> u64 {
        self.hasher.finish()
    }
}

/// Identifier of an event of a streamed answer: 32 hex digits, a decimal number and 16 hex
/// digits, joined by dots.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EventId {
    /// Identifier of the answer.
    pub answer: AnswerId,
    /// Number of tokens delivered up to and including the event.
    pub index: TokenIndex,
    /// Digest of the text delivered so far.
    pub digest: u64,
}

impl fmt::Display for EventId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}.{}.{:016x}", self.answer, self.index, self.digest)
    }
}

/// Error for a text that is not an event id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BadEventId;

impl fmt::Display for BadEventId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("an event id is 32 hex digits, a number and 16 hex digits, joined by dots")
    }
}

impl std::error::Error for BadEventId {}

impl FromStr for EventId {
    type Err = BadEventId;

    fn from_str(text: &str) -> Result<Self, BadEventId> {
        let mut parts = text.split('.');
        let (Some(answer), Some(index), Some(digest), None) =
            (parts.next(), parts.next(), parts.next(), parts.next())
        else {
            return Err(BadEventId);
        };
        if answer.len() != 32 || digest.len() != 16 || text.contains('+') {
            return Err(BadEventId);
        }
        Ok(Self {
            answer: u128::from_str_radix(answer, 16).map_err(|_| BadEventId)?,
            index: index.parse().map_err(|_| BadEventId)?,
            digest: u64::from_str_radix(digest, 16).map_err(|_| BadEventId)?,
        })
    }
}
