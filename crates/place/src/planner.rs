//! Repeated planning of one service.

use site::Model;

use crate::cover::plan;
use crate::engine::{Engine, Move};

/// Plans one service repeatedly. A call with unchanged input after an empty plan returns at once.
#[derive(Debug, Default)]
pub struct Planner {
    /// Input of the last plan, if that plan was empty.
    settled: Option<(Vec<Engine>, Model)>,
}

impl Planner {
    /// Returns the moves of [`plan`].
    pub fn plan(&mut self, engines: Vec<Engine>, model: &Model) -> Vec<Move> {
        if self.settled.as_ref().is_some_and(|(last, of)| *last == engines && of == model) {
            return Vec::new();
        }
        let moves = plan(&engines, model);
        self.settled = moves.is_empty().then(|| (engines, model.clone()));
        moves
    }
}
