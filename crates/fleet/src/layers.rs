//! Ranges of model layers.

use serde::{Deserialize, Serialize};

use crate::Layer;

/// A half-open range of layers `[start, end)`, written as a pair in JSON.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(from = "(Layer, Layer)", into = "(Layer, Layer)")]
pub struct Layers {
    /// First layer of the range.
    pub start: Layer,
    /// First layer after the range.
    pub end: Layer,
}

impl Layers {
    /// Returns the range `[start, end)`.
    pub fn new(start: Layer, end: Layer) -> Self {
        Self { start, end }
    }

    /// Returns the number of layers in the range; zero for a range that ends before it starts.
    pub fn len(self) -> u16 {
        self.end.saturating_sub(self.start)
    }

    /// Returns whether the range holds no layer.
    pub fn is_empty(self) -> bool {
        self.len() == 0
    }

    /// Returns whether every layer of `other` is in this range. One that ends before it starts, as an
    /// entry may claim, is in none.
    pub fn contains(self, other: Layers) -> bool {
        self.start <= other.start && other.start <= other.end && other.end <= self.end
    }

    /// Returns whether the two ranges share a layer.
    pub fn overlaps(self, other: Layers) -> bool {
        self.start < other.end && other.start < self.end
    }
}

impl From<(Layer, Layer)> for Layers {
    fn from((start, end): (Layer, Layer)) -> Self {
        Self { start, end }
    }
}

impl From<Layers> for (Layer, Layer) {
    fn from(layers: Layers) -> Self {
        (layers.start, layers.end)
    }
}
