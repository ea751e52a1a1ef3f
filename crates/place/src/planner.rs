//! Plans of one service, one after another.

use site::Model;

use crate::cover::plan;
use crate::engine::{Engine, Move};

/// Plans one service again and again, for next to nothing while nothing changes.
#[derive(Debug, Default)]
pub struct Planner {
    /// What the last plan left as it was.
    settled: Option<(Vec<Engine>, Model)>,
}

impl Planner {
    /// What is to change, as [`plan`] says.
    pub fn plan(&mut self, engines: Vec<Engine>, model: &Model) -> Vec<Move> {
        if self.settled.as_ref().is_some_and(|(last, of)| *last == engines && of == model) {
            return Vec::new();
        }
        let moves = plan(&engines, model);
        self.settled = moves.is_empty().then(|| (engines, model.clone()));
        moves
    }
}
