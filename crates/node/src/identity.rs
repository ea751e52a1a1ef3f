//! Identifiers that follow from what a caller sends, the same on every node.
//!
//! A request id is new for each sending, so that two sendings of one request
//! never meet at a target. The answer id, the decoding seed and the fingerprint
//! follow from organisation, key and body by a keyed hash.

use std::fmt;
use std::hash::Hasher as _;
use std::str::FromStr;

use fleet::TokenIndex;
use siphasher::sip::SipHasher24;
use siphasher::sip128::{Hasher128, SipHasher24 as SipHasher128};

/// Identifies an answer in its event ids.
pub type AnswerId = u128;

/// The deployment's key for all hashes; the same on all nodes.
#[derive(Clone, Copy, Debug)]
pub struct Secret(u64, u64);

impl Secret {
    /// Derives the key from a text.
    pub fn new(text: &str) -> Self {
        let mut hasher = SipHasher128::new_with_keys(0, 0);
        hasher.write(text.as_bytes());
        let hash = hasher.finish128();
        Self(hash.h1, hash.h2)
    }

    /// Hashes parts to 64 bits; `domain` separates uses.
    pub fn hash64(self, domain: u8, parts: &[&[u8]]) -> u64 {
        let mut hasher = SipHasher24::new_with_keys(self.0, self.1);
        hasher.write_u8(domain);
        for part in parts {
            hasher.write_usize(part.len());
            hasher.write(part);
        }
        hasher.finish()
    }

    /// Hashes parts to 128 bits; `domain` separates uses.
    pub fn hash128(self, domain: u8, parts: &[&[u8]]) -> u128 {
        let mut hasher = SipHasher128::new_with_keys(self.0, self.1);
        hasher.write_u8(domain);
        for part in parts {
            hasher.write_usize(part.len());
            hasher.write(part);
        }
        hasher.finish128().as_u128()
    }

    /// Starts a digest over the text of an answer.
    pub fn digest(self) -> Digest {
        Digest { hasher: SipHasher24::new_with_keys(self.0, !self.1) }
    }
}

/// Use of a hash: the answer id.
pub const ANSWER: u8 = 1;
/// Use of a hash: the fingerprint of organisation and body.
pub const FINGERPRINT: u8 = 2;
/// Use of a hash: the digest of a claimed call.
pub const CLAIM: u8 = 3;

/// A digest over the text delivered so far.
#[derive(Clone, Debug)]
pub struct Digest {
    hasher: SipHasher24,
}

impl Digest {
    /// Adds text.
    pub fn add(&mut self, text: &str) {
        self.hasher.write(text.as_bytes());
    }

    /// Digest of all text added.
    pub fn value(&self) -> u64 {
        self.hasher.finish()
    }
}

/// The id of one event of a streamed answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EventId {
    /// The answer.
    pub answer: AnswerId,
    /// Tokens delivered up to and with the event.
    pub index: TokenIndex,
    /// Digest of the text delivered so far.
    pub digest: u64,
}

impl fmt::Display for EventId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}.{}.{:016x}", self.answer, self.index, self.digest)
    }
}

/// A text is no event id.
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
