//! Deterministic decoding.

use std::hash::Hasher;

use fleet::TokenIndex;
use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;
use smol_str::{SmolStr, format_smolstr};

/// The words that answers are made of.
const VOCABULARY: [&str; 32] = [
    "oak", "maple", "plank", "sand", "seal", "grain", "joint", "board", "finish", "moisture",
    "room", "stair", "trim", "coat", "crew", "quote", "stand", "buyer", "brew", "juice", "label",
    "crate", "fair", "meet", "brief", "price", "hour", "hall", "taste", "order", "visit", "note",
];
/// Share of the limit, as a divisor, by which an answer may be shorter.
const LENGTH_SLACK_DIVISOR: u32 = 4;
/// Separates the hash of lengths from that of tokens.
const LENGTH_INDEX: u32 = u32::MAX;

/// Why an answer ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Finish {
    /// The model came to its end.
    Stop,
    /// The limit of tokens was reached.
    Length,
}

/// Text of the token at `index`.
pub fn token_text(seed: u64, index: TokenIndex) -> SmolStr {
    let word = hash(seed, index) % VOCABULARY.len() as u64;
    format_smolstr!("{} ", VOCABULARY[word as usize])
}

/// Number of tokens of the answer, and why it ends there.
pub fn answer_length(seed: u64, max_tokens: u32) -> (TokenIndex, Finish) {
    let max_length = max_tokens.max(1);
    let shorter = hash(seed, LENGTH_INDEX) % u64::from(max_length / LENGTH_SLACK_DIVISOR + 1);
    let length = max_length - shorter as u32;
    (length, if length == max_length { Finish::Length } else { Finish::Stop })
}

/// The whole answer.
pub fn answer_text(seed: u64, max_tokens: u32) -> String {
    let (length, _) = answer_length(seed, max_tokens);
    let mut answer = String::new();
    for index in 0..length {
        answer.push_str(&token_text(seed, index));
    }
    answer
}

fn hash(seed: u64, index: u32) -> u64 {
    let mut hasher = SipHasher13::new_with_keys(seed, 0);
    hasher.write_u32(index);
    hasher.finish()
}
