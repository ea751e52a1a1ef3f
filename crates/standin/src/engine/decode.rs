//! Deterministic decoding of answers from a seed.

use std::hash::Hasher;

use fleet::TokenIndex;
use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;
use smol_str::{SmolStr, format_smolstr};

/// Texts of the tokens, without the space that follows each.
const VOCABULARY: [&str; 32] = [
    "oak", "maple", "plank", "sand", "seal", "grain", "joint", "board", "finish", "moisture",
    "room", "stair", "trim", "coat", "crew", "quote", "stand", "buyer", "brew", "juice", "label",
    "crate", "fair", "meet", "brief", "price", "hour", "hall", "taste", "order", "visit", "note",
];
/// Divisor of the token limit that gives the maximum shortening of an answer.
const LENGTH_SLACK_DIVISOR: u32 = 4;
/// Index hashed for the length of an answer, outside the range of token indices.
const LENGTH_INDEX: u32 = u32::MAX;

/// Reason why an answer ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Finish {
    /// The model ended the answer before the limit.
    Stop,
    /// The limit of tokens was reached.
    Length,
}

/// Returns the text of the token at `index`.
pub fn token_text(seed: u64, index: TokenIndex) -> SmolStr {
    let word = hash(seed, index) % VOCABULARY.len() as u64;
    format_smolstr!("{} ", VOCABULARY[word as usize])
}

/// Returns the number of tokens of the answer and why it ends.
pub fn answer_length(seed: u64, max_tokens: u32) -> (TokenIndex, Finish) {
    let max_length = max_tokens.max(1);
    let shorter = hash(seed, LENGTH_INDEX) % u64::from(max_length / LENGTH_SLACK_DIVISOR + 1);
    let length = max_length - shorter as u32;
    (length, if length == max_length { Finish::Length } else { Finish::Stop })
}

/// Returns the text of the whole answer.
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
