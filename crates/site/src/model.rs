//! Models that are spread over accelerators.

use std::time::Duration;

use fleet::{Depth, ModelName};
use smol_str::SmolStr;

/// A model and what its engines need to run it.
#[derive(Clone, Debug, PartialEq)]
pub struct Model {
    /// Name.
    pub name: ModelName,
    /// Number of layers.
    pub depth: Depth,
    /// Memory of one layer's weights, megabytes.
    pub layer_mb: f64,
    /// Memory of one token in all layers, bytes.
    pub token_bytes: f64,
    /// Time to load all layers.
    pub load_time: Duration,
    /// Mean prompt, tokens.
    pub prompt_tokens: u32,
    /// Mean answer, tokens.
    pub answer_tokens: u32,
    /// Requests that an engine takes at once as the first of a path.
    pub slots: u32,
    /// Time of one token step of all layers at the reference pace.
    pub step: Duration,
    /// What each stream that runs adds to a token step.
    pub step_per_stream: Duration,
    /// What each token that running streams hold adds to a token step.
    pub step_per_token: Duration,
    /// Prompt tokens read per second by all layers at the reference pace.
    pub prefill_tokens_per_s: f64,
    /// Kinds of accelerator.
    pub cards: Vec<Card>,
}

/// A kind of accelerator.
#[derive(Clone, Debug, PartialEq)]
pub struct Card {
    /// Name.
    pub name: SmolStr,
    /// Memory, megabytes.
    pub mb: f64,
    /// Factor on the time of a token step.
    pub step_factor: f64,
    /// Factor on the time to read a prompt.
    pub prefill_factor: f64,
}

impl Model {
    /// A kind of accelerator by name.
    pub fn card(&self, name: &str) -> Option<&Card> {
        self.cards.iter().find(|card| card.name == name)
    }

    /// What a stream that holds `tokens` tokens adds to a token step.
    pub fn step_of_stream(&self, tokens: f64) -> Duration {
        self.step_per_stream + self.step_per_token.mul_f64(tokens)
    }

    /// Tokens of requests that fit beside `layers` layers in `mb` megabytes.
    pub fn tokens(&self, mb: f64, layers: u16) -> f64 {
        if layers == 0 {
            return 0.0;
        }
        let share = f64::from(layers);
        let free_mb = mb - self.layer_mb * share;
        let token_mb = self.token_bytes / 1e6 * share / f64::from(self.depth.max(1));
        (free_mb / token_mb).max(0.0)
    }

    /// Most layers in `mb` megabytes that leave room for `tokens` tokens of requests.
    pub fn layers(&self, mb: f64, tokens: f64) -> u16 {
        let token_mb = self.token_bytes / 1e6 / f64::from(self.depth.max(1));
        (mb / (self.layer_mb + token_mb * tokens)) as u16
    }
}
