//! Layer trails: the targets that computed a token, layer by layer.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::plan::verify_cover;
use crate::{Depth, Layer, Layers, Plan, TargetName};

/// Layers that one target ran for a token.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hop {
    /// The target.
    pub target: TargetName,
    /// Layers that the target ran.
    pub layers: Layers,
}

/// The hops of one token through the layers, in the order in which they ran.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Trail {
    /// Hops in order.
    pub hops: Vec<Hop>,
}

/// Reason why a plan or a trail does not pass every layer exactly once and in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Layers are missing.
    Gap {
        /// Next layer expected.
        expected: Layer,
        /// First layer of the range found.
        found: Layer,
    },
    /// Layers occur again.
    Overlap {
        /// Next layer expected.
        expected: Layer,
        /// First layer of the range found.
        found: Layer,
    },
    /// A range is empty.
    EmptyRange {
        /// First layer of the empty range.
        at: Layer,
    },
    /// The last range does not end at the last layer of the model.
    WrongEnd {
        /// Depth of the model.
        expected: Depth,
        /// End of the last range.
        found: Layer,
    },
    /// The trail passes other stages than those of the plan.
    PlanMismatch {
        /// Position of the first stage that differs.
        stage: usize,
    },
}

impl Trail {
    /// Checks that the trail passes `[0, depth)` once and in order and follows `plan`.
    ///
    /// # Errors
    ///
    /// Returns the first [`Fault`] found.
    pub fn verify(&self, plan: &Plan, depth: Depth) -> Result<(), Fault> {
        verify_cover(self.hops.iter().map(|hop| hop.layers), depth)?;
        for (stage, (hop, planned)) in self.hops.iter().zip(&plan.stages).enumerate() {
            if hop.target != planned.target || hop.layers != planned.layers {
                return Err(Fault::PlanMismatch { stage });
            }
        }
        if self.hops.len() != plan.stages.len() {
            return Err(Fault::PlanMismatch { stage: self.hops.len().min(plan.stages.len()) });
        }
        Ok(())
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Fault::Gap { expected, found } => {
                write!(f, "layers {expected} to {found} (exclusive) are missing")
            }
            Fault::Overlap { expected, found } => {
                write!(f, "range starts again at layer {found}, expected layer {expected}")
            }
            Fault::EmptyRange { at } => write!(f, "empty range at layer {at}"),
            Fault::WrongEnd { expected, found } => {
                write!(f, "ranges end at layer {found} of {expected}")
            }
            Fault::PlanMismatch { stage } => {
                write!(f, "trail differs from the plan at stage {stage}")
            }
        }
    }
}

impl std::error::Error for Fault {}
