//! Classes of requests that share an estimate.

use fleet::{Request, Shape};

/// Requests of one organisation for one service with similar size and the same form.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Class {
    /// Dense id of the organisation.
    pub organisation: u32,
    /// Bit length of the number of prompt tokens.
    pub prompt: u8,
    /// Bit length of the maximum number of answer tokens.
    pub answer: u8,
    /// Whether the answer is streamed.
    pub stream: bool,
}

impl Class {
    /// Returns the class of `request`, sent by the organisation with the given dense id.
    pub fn of(organisation: u32, request: &Request) -> Self {
        let Shape { prompt_tokens, max_tokens, stream } = request.shape;
        Self { organisation, prompt: log2(prompt_tokens), answer: log2(max_tokens), stream }
    }
}

fn log2(value: u32) -> u8 {
    value.checked_ilog2().map_or(0, |log| log as u8 + 1)
}
