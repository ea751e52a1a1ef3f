//! State that a stage holds for one attempt.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use fleet::{Layers, PREFIX_BLOCK_BYTES, Stage};
use smol_str::SmolStr;

use super::state::State;
use super::wire::{AttemptKey, Open};

/// Bytes of prompt text per token.
pub(super) const TOKEN_BYTES: usize = 4;
/// Prompt tokens computed in the time that one token of the answer takes.
const PREFILL_SPEEDUP: f64 = 20.0;

/// One attempt at one stage.
#[derive(Debug)]
pub(super) struct Session {
    pub(super) seed: u64,
    /// Layers that this stage executes.
    pub(super) layers: Layers,
    /// Time to execute one token through these layers.
    pub(super) cost: Duration,
    /// Time for the prompt, added to that of the next token and then reset to zero.
    pub(super) prefill: Duration,
    /// Crash markers in the prompt.
    pub(super) marks: Vec<SmolStr>,
    /// Stages after this one, in the order of the plan.
    pub(super) later_stages: Vec<Stage>,
    /// Opens the session at the next stage; `None` once it was sent with the first token.
    pub(super) next_open: Option<Box<Open>>,
    /// Time of the last use.
    pub(super) used: Instant,
}

impl Session {
    /// Returns the addresses of the later stages; tokens with equal addresses form one batch.
    pub(super) fn chain(&self) -> Vec<SocketAddr> {
        self.later_stages.iter().map(|stage| stage.address).collect()
    }
}

/// Reason why an attempt cannot start at this stage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum OpenError {
    /// The first stage of the plan is missing or names another target.
    WrongTarget,
    /// The stage is empty or contains layers that this engine does not hold.
    WrongLayers,
    /// The attempt has been cancelled or replaced.
    Cancelled,
}

impl OpenError {
    /// Returns the name of the reason on the wire.
    pub(super) fn reason(self) -> &'static str {
        match self {
            OpenError::WrongTarget => "wrong-target",
            OpenError::WrongLayers => "wrong-layers",
            OpenError::Cancelled => "cancelled",
        }
    }
}

/// Checks that an attempt can start at this stage and returns the stage.
pub(super) fn check_open(
    state: &State,
    key: AttemptKey,
    stages: &[Stage],
) -> Result<Stage, OpenError> {
    let stage = stages.first().ok_or(OpenError::WrongTarget)?;
    if stage.target != state.name {
        return Err(OpenError::WrongTarget);
    }
    if stage.layers.is_empty() || !state.layers.contains(stage.layers) {
        return Err(OpenError::WrongLayers);
    }
    if state.is_cancelled(key) {
        return Err(OpenError::Cancelled);
    }
    Ok(stage.clone())
}

/// Opens a session for an attempt and stores the prefixes of its prompt in the cache.
pub(super) fn open(state: &mut State, key: AttemptKey, open: Open) -> Result<(), OpenError> {
    let stage = check_open(state, key, &open.stages)?;
    let share = f64::from(stage.layers.len()) / f64::from(state.layers.len());
    let cost = Duration::from_secs_f64(share / state.tokens_per_second);
    let uncached = uncached_tokens(state, key, &open);
    state.cache.store(&open.prefixes);
    let later_stages = open.stages[1..].to_vec();
    let next_open = (!later_stages.is_empty())
        .then(|| Box::new(Open { stages: later_stages.clone(), ..open.clone() }));
    let session = Session {
        seed: open.seed,
        layers: stage.layers,
        cost,
        prefill: cost.mul_f64(f64::from(uncached) / PREFILL_SPEEDUP),
        marks: open.marks,
        later_stages,
        next_open,
        used: Instant::now(),
    };
    state.sessions.insert(key, session);
    Ok(())
}

/// Returns the number of tokens, of the prompt and of the answer so far, that have to be computed
/// because no cache holds them.
fn uncached_tokens(state: &State, key: AttemptKey, open: &Open) -> u32 {
    if let Some(index) = state.retained_index(key.request) {
        return open.from.saturating_sub(index);
    }
    let cached = state.cache.leading_hits(&open.prefixes) * PREFIX_BLOCK_BYTES / TOKEN_BYTES;
    let cached = u32::try_from(cached).unwrap_or(u32::MAX);
    open.prompt_tokens.saturating_sub(cached) + open.from
}
