//! Pipeline plans.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::trail::Fault;
use crate::{Depth, Layer, Layers, TargetName};

/// One stage of a plan: a target and the layers that it runs in this plan.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stage {
    /// The target.
    pub target: TargetName,
    /// Address on which the target listens.
    pub address: SocketAddr,
    /// Layers that the target runs; may be a part of those that it holds.
    pub layers: Layers,
}

/// The ordered stages of a request, from layer 0 to the last.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Plan {
    /// Stages in order.
    pub stages: Vec<Stage>,
}

impl Plan {
    /// Checks that the stages cover `[0, depth)` without gap or overlap.
    ///
    /// # Errors
    ///
    /// Returns the first [`Fault`] found.
    pub fn verify(&self, depth: Depth) -> Result<(), Fault> {
        verify_cover(self.stages.iter().map(|stage| stage.layers), depth)
    }
}

/// Checks that `ranges` cover `[0, depth)` once and in order.
pub(crate) fn verify_cover(
    ranges: impl Iterator<Item = Layers>,
    depth: Depth,
) -> Result<(), Fault> {
    let mut next: Layer = 0;
    for layers in ranges {
        if layers.is_empty() {
            return Err(Fault::EmptyRange { at: layers.start });
        }
        if layers.start > next {
            return Err(Fault::Gap { expected: next, found: layers.start });
        }
        if layers.start < next {
            return Err(Fault::Overlap { expected: next, found: layers.start });
        }
        next = layers.end;
    }
    if next != depth {
        return Err(Fault::WrongEnd { expected: depth, found: next });
    }
    Ok(())
}
