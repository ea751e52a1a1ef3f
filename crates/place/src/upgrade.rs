//! Moves layers to faster engines that hold none, or none that are needed.
//!
//! When a fast engine is lost, slow ones take its layers. After it returns no layer is missing, but
//! each token takes longer through the domain than necessary.

use fleet::{Layer, Layers};

use crate::cover::{Domain, step_factor};

/// Minimum fraction of the step time in the domain that a move must save. Each move costs a load.
const MIN_SAVING: f64 = 0.05;

impl Domain<'_> {
    /// Assigns the fastest engine that is not needed to the layers where it saves most.
    pub(crate) fn upgrade(&mut self) {
        if !self.moves.is_empty() || self.fixed.iter().any(|fixed| *fixed) {
            return;
        }
        let Some(index) =
            self.fastest_surplus_engine(false).filter(|&index| !self.engines[index].slow)
        else {
            return;
        };
        let Some((saved, layers)) = self.best_range(index) else { return };
        let whole: f64 = self.step_factors(None).iter().sum();
        if saved >= MIN_SAVING * whole {
            self.assign(index, layers);
        }
    }

    /// Returns the range in which an engine saves most, with the saving: step factors summed over
    /// layers.
    fn best_range(&self, index: usize) -> Option<(f64, Layers)> {
        let length = self.usual_layers(index).min(self.whole.end);
        let factors = self.step_factors(Some(index));
        let own = step_factor(self.engines[index], self.model);
        let saved = |start: Layer| -> f64 {
            let range = usize::from(start)..usize::from(start + length);
            factors[range].iter().map(|factor| (factor - own).max(0.0)).sum()
        };
        let before = self.held[index].map_or(0.0, |held| {
            let range = usize::from(held.start)..usize::from(held.end.min(self.whole.end));
            factors[range].iter().map(|factor| (factor - own).max(0.0)).sum()
        });
        let starts = 0..=self.whole.end - length;
        let ranges = starts.map(|start| (saved(start), Layers::new(start, start + length)));
        // Picks the first of equal ranges.
        let best = ranges.rev().max_by(|a, b| a.0.total_cmp(&b.0));
        best.map(|(saved, layers)| (saved - before, layers))
    }

    /// Returns the step factor of the fastest engine that holds each layer, except for engine
    /// `without`. Slow engines do not count.
    fn step_factors(&self, without: Option<usize>) -> Vec<f64> {
        let mut factors = vec![f64::INFINITY; usize::from(self.whole.end)];
        for (index, engine) in self.engines.iter().enumerate() {
            let held = self.held[index].filter(|_| without != Some(index) && !engine.slow);
            let Some(held) = held else { continue };
            let own = step_factor(engine, self.model);
            let range = usize::from(held.start)..usize::from(held.end.min(self.whole.end));
            factors[range].iter_mut().for_each(|factor| *factor = factor.min(own));
        }
        factors
    }
}
