//! Moving layers to faster engines that have none, or none that are needed.
//!
//! A fast engine that is lost leaves its layers to slow ones; when it comes back nothing is
//! missing, and yet each token through the domain takes longer than it has to.

use fleet::{Layer, Layers};

use crate::cover::{Domain, pace};

/// Least share of a token's time in the domain that a move must save: each costs a load.
const GAIN: f64 = 0.05;

impl Domain<'_> {
    /// Lets the fastest engine that is not needed load the layers where it saves most.
    pub(crate) fn upgrade(&mut self) {
        if !self.moves.is_empty() || self.fixed.iter().any(|fixed| *fixed) {
            return;
        }
        let Some(index) = self.surplus().filter(|&index| !self.engines[index].slow) else { return };
        let Some((saved, layers)) = self.best_range(index) else { return };
        let whole: f64 = self.paces(None).iter().sum();
        if saved >= GAIN * whole {
            self.order(index, layers);
        }
    }

    /// Where an engine saves most, with what it saves: factors on a token step, summed over layers.
    fn best_range(&self, index: usize) -> Option<(f64, Layers)> {
        let length = self.usual(index).min(self.whole.end);
        let paces = self.paces(Some(index));
        let own = pace(self.engines[index], self.model);
        let saved = |start: Layer| -> f64 {
            let range = usize::from(start)..usize::from(start + length);
            paces[range].iter().map(|pace| (pace - own).max(0.0)).sum()
        };
        let before = self.held[index].map_or(0.0, |held| {
            let range = usize::from(held.start)..usize::from(held.end.min(self.whole.end));
            paces[range].iter().map(|pace| (pace - own).max(0.0)).sum()
        });
        let starts = 0..=self.whole.end - length;
        let ranges = starts.map(|start| (saved(start), Layers::new(start, start + length)));
        // Of equal ranges the first.
        let best = ranges.rev().max_by(|a, b| a.0.total_cmp(&b.0));
        best.map(|(saved, layers)| (saved - before, layers))
    }

    /// The pace at which each layer is run by the fastest engine that holds it, but for one.
    fn paces(&self, without: Option<usize>) -> Vec<f64> {
        let mut paces = vec![f64::INFINITY; usize::from(self.whole.end)];
        for (index, engine) in self.engines.iter().enumerate() {
            let held = self.held[index].filter(|_| without != Some(index) && !engine.slow);
            let Some(held) = held else { continue };
            let own = pace(engine, self.model);
            let range = usize::from(held.start)..usize::from(held.end.min(self.whole.end));
            paces[range].iter_mut().for_each(|pace| *pace = pace.min(own));
        }
        paces
    }
}
