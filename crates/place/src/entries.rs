//! Further engines at which paths can start, while those that hold the first layer take no more
//! requests.
//!
//! Only the first engine of a path counts a request towards its limit. In a domain whose first
//! engines have used up theirs, all others stay idle.

use fleet::Layers;

use crate::cover::Domain;
use crate::engine::Limit;

impl Domain<'_> {
    /// Assigns the first layers to one more engine that is not needed.
    pub(crate) fn add_entry(&mut self) {
        if !self.moves.is_empty() {
            return;
        }
        let is_first = |held: Option<Layers>| held.is_some_and(|layers| layers.start == 0);
        let first: Vec<usize> =
            (0..self.engines.len()).filter(|&index| is_first(self.held[index])).collect();
        let is_used_up = |&index: &usize| self.engines[index].limit == Limit::UsedUp;
        let shortest = first.iter().filter_map(|&index| self.held[index]).map(Layers::len).min();
        let Some(shortest) = shortest.filter(|_| first.iter().all(is_used_up)) else { return };
        let free = (0..self.engines.len()).filter(|&index| {
            let engine = self.engines[index];
            let is_sound = !self.fixed[index] && !engine.slow && engine.limit == Limit::None;
            is_sound && !self.is_successor(index) && self.usual_layers(index) > 0
        });
        let spare = free.filter(|&index| self.is_redundant(index) && !first.contains(&index));
        let best = spare.max_by(|&a, &b| {
            let is_empty = |index: usize| self.held[index].is_none();
            is_empty(a).cmp(&is_empty(b)).then(self.compare_speed(a, b))
        });
        if let Some(index) = best {
            let layers = Layers::new(0, self.usual_layers(index).min(shortest));
            self.assign(index, layers);
        }
    }
}
