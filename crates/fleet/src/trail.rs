//! Layer trails: which targets computed a token, layer by layer.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::plan::verify_cover;
use crate::{Depth, Layer, Layers, Plan, TargetName};

/// One target's part in computing a token.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hop {
    /// The target.
    pub target: TargetName,
    /// Layers that it ran.
    pub layers: Layers,
}

/// The way of one token through the layers, in the order in which they ran.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Trail {
    /// Hops in order.
    pub hops: Vec<Hop>,
}

/// Why a plan or a trail does not pass every layer exactly once and in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Layers were left out.
    Gap {
        /// Layer that should have come next.
        expected: Layer,
        /// Layer that came.
        found: Layer,
    },
    /// Layers ran again.
    Overlap {
        /// Layer that should have come next.
        expected: Layer,
        /// Layer that came.
        found: Layer,
    },
    /// A range without layers.
    EmptyRange {
        /// Where it stands.
        at: Layer,
    },
    /// The last layer is not the model's last.
    WrongEnd {
        /// Depth of the model.
        expected: Depth,
        /// End of the last range.
        found: Layer,
    },
    /// The trail passes other stages than the plan.
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
                write!(f, "layers {expected} to {found} are left out")
            }
            Fault::Overlap { expected, found } => {
                write!(f, "layer {found} comes again where {expected} is due")
            }
            Fault::EmptyRange { at } => write!(f, "empty range at layer {at}"),
            Fault::WrongEnd { expected, found } => {
                write!(f, "ends at layer {found} of {expected}")
            }
            Fault::PlanMismatch { stage } => write!(f, "differs from the plan at stage {stage}"),
        }
    }
}

impl std::error::Error for Fault {}
