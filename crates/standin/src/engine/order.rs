//! Orders: load a model or adapter, change role.

use fleet::{Layers, ModelName};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::state::{Phase, State};

/// Body of `POST /orders`.
#[derive(Clone, Debug, Deserialize)]
pub(super) struct FencedOrder {
    pub(super) fence: u64,
    pub(super) order: Order,
}

/// What an engine is told to do.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum Order {
    Load { model: ModelName, layers: Layers },
    Unload {},
    Adapter { name: SmolStr },
    Role { name: SmolStr },
}

/// Answer of `GET /state`.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Report {
    model: Option<ModelName>,
    layers: Layers,
    role: SmolStr,
    adapters: Vec<SmolStr>,
    fence: u64,
    standing: Phase,
}

/// The order bears an older fencing number than one seen before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct StaleFence;

/// Carries out an order; returns whether a load has begun.
pub(super) fn apply(state: &mut State, fenced: FencedOrder) -> Result<bool, StaleFence> {
    if state.checks_orders && fenced.fence < state.fence {
        return Err(StaleFence);
    }
    // An engine that does not check remembers the last number, not the highest.
    state.fence = fenced.fence;
    match fenced.order {
        Order::Load { model, layers } => {
            if state.model.as_ref() == Some(&model) && state.layers == layers {
                return Ok(false);
            }
            state.reload(Some(model), layers);
            return Ok(true);
        }
        Order::Unload {} => state.reload(None, Layers::new(0, 0)),
        Order::Adapter { name } => {
            if !state.adapters.contains(&name) {
                state.adapters.push(name);
            }
        }
        Order::Role { name } => state.role = name,
    }
    Ok(false)
}

/// What the engine tells about itself.
pub(super) fn report(state: &State) -> Report {
    Report {
        model: state.model.clone(),
        layers: state.layers,
        role: state.role.clone(),
        adapters: state.adapters.clone(),
        fence: state.fence,
        standing: state.phase,
    }
}
