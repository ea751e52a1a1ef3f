//! Orders that load or unload layers, add an adapter or set the role.

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

/// An order to an engine.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum Order {
    Load { model: ModelName, layers: Layers },
    Unload {},
    Adapter { name: SmolStr },
    Role { name: SmolStr },
}

/// Response of `GET /state`.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Report {
    model: Option<ModelName>,
    layers: Layers,
    role: SmolStr,
    adapters: Vec<SmolStr>,
    fence: u64,
    standing: Phase,
}

/// The order was rejected because its fencing number is lower than that of the last order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct StaleFence;

/// Applies an order and returns whether it started a load.
pub(super) fn apply(state: &mut State, fenced: FencedOrder) -> Result<bool, StaleFence> {
    if state.checks_orders && fenced.fence < state.fence {
        return Err(StaleFence);
    }
    // Without the check the number may decrease: this is the last one received, not the highest.
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

/// Reports the current state of the engine.
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
