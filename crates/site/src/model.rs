//! Models that are distributed over accelerators.

use std::time::Duration;

use fleet::{Depth, ModelName};
use smol_str::SmolStr;

/// A model and the resources that its engines need.
#[derive(Clone, Debug, PartialEq)]
pub struct Model {
    /// Name.
    pub name: ModelName,
    /// Number of layers.
    pub depth: Depth,
    /// Memory of the weights of one layer, megabytes.
    pub layer_mb: f64,
    /// Memory of one token in all layers, bytes.
    pub token_bytes: f64,
    /// Time to load all layers.
    pub load_time: Duration,
    /// Mean prompt length, tokens.
    pub prompt_tokens: f64,
    /// Mean answer length, tokens.
    pub answer_tokens: f64,
    /// Number of requests that an engine runs at once as the first of a path.
    pub slots: u32,
    /// Time of one token step through all layers on the reference accelerator.
    pub step: Duration,
    /// Time that each running stream adds to a token step.
    pub step_per_stream: Duration,
    /// Time that each token held by running streams adds to a token step.
    pub step_per_token: Duration,
    /// Prompt tokens that all layers prefill per second on the reference accelerator.
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
    /// Factor on the time to prefill a prompt.
    pub prefill_factor: f64,
}

impl Model {
    /// Returns a kind of accelerator by name.
    pub fn card(&self, name: &str) -> Option<&Card> {
        self.cards.iter().find(|card| card.name == name)
    }

    /// Returns the time that a stream with `tokens` tokens adds to a token step.
    pub fn step_of_stream(&self, tokens: f64) -> Duration {
        self.step_per_stream + self.step_per_token.mul_f64(tokens)
    }

    /// Returns the tokens of requests that fit into `mb` megabytes together with `layers` layers.
    pub fn tokens(&self, mb: f64, layers: u16) -> f64 {
        if layers == 0 {
            return 0.0;
        }
        let share = f64::from(layers);
        let free_mb = mb - self.layer_mb * share;
        let token_mb = self.token_bytes / 1e6 * share / f64::from(self.depth.max(1));
        (free_mb / token_mb).max(0.0)
    }

    /// Returns the number of layers that fit into `mb` megabytes together with `tokens` tokens of
    /// requests.
    pub fn layers(&self, mb: f64, tokens: f64) -> u16 {
        let token_mb = self.token_bytes / 1e6 / f64::from(self.depth.max(1));
        (mb / (self.layer_mb + token_mb * tokens)) as u16
    }
}
