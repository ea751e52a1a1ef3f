//! What a stage holds of one attempt that passes it.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use fleet::{Layers, PREFIX_BLOCK_BYTES, Stage};
use smol_str::SmolStr;

use super::state::State;
use super::wire::{AttemptKey, Open};

/// Bytes of prompt text that count as one token.
pub(super) const TOKEN_BYTES: usize = 4;
/// Tokens of the prompt computed in the time that one token of the answer takes.
const PREFILL_SPEEDUP: f64 = 20.0;

/// One attempt at one stage.
#[derive(Debug)]
pub(super) struct Session {
    pub(super) seed: u64,
    /// Layers that run here.
    pub(super) layers: Layers,
    /// Time of one token.
    pub(super) cost: Duration,
    /// Time still to be spent on the prompt, before the next token.
    pub(super) prefill: Duration,
    /// Crash markers in the prompt.
    pub(super) marks: Vec<SmolStr>,
    /// Later stages.
    pub(super) later_stages: Vec<Stage>,
    /// What the next stage has to know, until it has been told.
    pub(super) forward: Option<Box<Open>>,
    /// Last use.
    pub(super) used: Instant,
}

impl Session {
    /// Addresses of the later stages: tokens with the same ones travel together.
    pub(super) fn chain(&self) -> Vec<SocketAddr> {
        self.later_stages.iter().map(|stage| stage.address).collect()
    }
}

/// Why an attempt cannot begin at this stage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum OpenError {
    /// The plan names another target.
    WrongTarget,
    /// The plan's layers are not held here.
    WrongLayers,
    /// The attempt has been cancelled or replaced.
    Cancelled,
}

impl OpenError {
    /// Name on the wire.
    pub(super) fn reason(self) -> &'static str {
        match self {
            OpenError::WrongTarget => "wrong-target",
            OpenError::WrongLayers => "wrong-layers",
            OpenError::Cancelled => "cancelled",
        }
    }
}

/// Checks that an attempt may begin here.
pub(super) fn check(state: &State, key: AttemptKey, stages: &[Stage]) -> Result<Stage, OpenError> {
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

/// Begins an attempt at this stage: ends lower ones, and takes the prompt into the cache.
pub(super) fn open(state: &mut State, key: AttemptKey, open: Open) -> Result<(), OpenError> {
    let stage = check(state, key, &open.stages)?;
    let share = f64::from(stage.layers.len()) / f64::from(state.layers.len());
    let cost = Duration::from_secs_f64(share / state.tokens_per_second);
    let uncached = uncached_tokens(state, key, &open);
    state.cache.store(&open.prefixes);
    let later_stages = open.stages[1..].to_vec();
    let forward = (!later_stages.is_empty())
        .then(|| Box::new(Open { stages: later_stages.clone(), ..open.clone() }));
    let session = Session {
        seed: open.seed,
        layers: stage.layers,
        cost,
        prefill: cost.mul_f64(f64::from(uncached) / PREFILL_SPEEDUP),
        marks: open.marks,
        later_stages,
        forward,
        used: Instant::now(),
    };
    state.sessions.insert(key, session);
    Ok(())
}

/// Tokens of the prompt, and of the answer so far, that no cache holds.
fn uncached_tokens(state: &State, key: AttemptKey, open: &Open) -> u32 {
    if let Some(index) = state.retained_index(key.request) {
        return open.from.saturating_sub(index);
    }
    let cached = state.cache.leading_hits(&open.prefixes) * PREFIX_BLOCK_BYTES / TOKEN_BYTES;
    let cached = u32::try_from(cached).unwrap_or(u32::MAX);
    open.prompt_tokens.saturating_sub(cached) + open.from
}
