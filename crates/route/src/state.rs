//! State of the router and the context of one step.

use std::collections::BTreeSet;
use std::time::Duration;

use fleet::{Event, RequestId, TargetId};
use rand::rngs::SmallRng;
use suspect::Suspects;

use crate::budget::Budget;
use crate::outlier::Cause;
use crate::table::Table;
use crate::view::View;
use crate::{Action, Settings, event};

/// All state that the router keeps between steps.
#[derive(Debug)]
pub(crate) struct State {
    pub(crate) settings: Settings,
    pub(crate) view: View,
    pub(crate) table: Table,
    pub(crate) budget: Budget,
    pub(crate) suspects: Suspects,
    /// Targets that were ejected, until they are found to work again.
    pub(crate) ejected: Vec<TargetId>,
    /// Requests that are held back.
    pub(crate) held: BTreeSet<RequestId>,
    /// Whether the plans are out of date.
    pub(crate) dirty: bool,
    /// Time at which the plans were last computed.
    pub(crate) solved_at: Option<Duration>,
    /// Time at which expired suspicions were last removed.
    pub(crate) expired_at: Duration,
    /// Earliest wake-up requested.
    pub(crate) wake_at: Option<Duration>,
}

impl State {
    /// Creates an empty state.
    pub(crate) fn new(settings: Settings) -> Self {
        let budget = Budget::new(settings.retry_share, settings.retry_reserve);
        Self {
            settings,
            view: View::default(),
            table: Table::new(),
            budget,
            suspects: Suspects::default(),
            ejected: Vec::new(),
            held: BTreeSet::new(),
            dirty: false,
            solved_at: None,
            expired_at: Duration::ZERO,
            wake_at: None,
        }
    }
}

/// Context of one step besides the state.
pub(crate) struct Step<'a> {
    pub(crate) now: Duration,
    pub(crate) rng: &'a mut SmallRng,
    pub(crate) actions: &'a mut Vec<Action>,
}

impl Step<'_> {
    /// Requests an action.
    pub(crate) fn act(&mut self, action: Action) {
        self.actions.push(action);
    }

    /// Writes a log line.
    pub(crate) fn log(&mut self, event: Event) {
        self.act(Action::Log(event));
    }
}

/// Ejects a target, unless too large a share of its pool is ejected already.
pub(crate) fn eject(state: &mut State, step: &mut Step<'_>, id: TargetId, cause: Cause) {
    if !state.settings.mechanism.outlier {
        return;
    }
    if cause != Cause::Lost && is_share_spent(state, id) {
        return;
    }
    let base = state.settings.eject_time;
    let entry = state.view.entry_mut(id);
    if !entry.health.eject(step.now, base, cause) {
        return;
    }
    state.dirty = true;
    if !state.ejected.contains(&id) {
        state.ejected.push(id);
    }
    let reason = match cause {
        Cause::Failed => "failed",
        Cause::Slow => "slow",
        Cause::Lost => "lost",
    };
    let target = &state.view.entry(id).target.name;
    step.log(Event::new(event::EJECTED).with("target", target).with("reason", reason));
}

/// Records that an attempt sent at `sent` made progress or completed at a target. An ejected
/// target returns to the plans at once: without it there may be no capacity, and then no request
/// is admitted that could probe it.
pub(crate) fn record_progress(
    state: &mut State,
    step: &mut Step<'_>,
    id: TargetId,
    sent: Duration,
) {
    let entry = state.view.entry_mut(id);
    let is_restored = entry.health.record_progress(step.now, sent);
    let name = entry.target.name.clone();
    state.suspects.record_progress(&name, sent, step.now);
    if is_restored {
        state.dirty = true;
        step.log(Event::new(event::RETURNED).with("target", name));
    }
}

/// Returns whether the share of the pool that may be ejected is used up. One target may always be
/// ejected.
fn is_share_spent(state: &State, id: TargetId) -> bool {
    let service = state.view.entry(id).service();
    let Some(pool) = state.view.pools.get(service) else { return false };
    let ejected = pool.targets.iter().filter(|&&other| {
        let cause = state.view.entry(other).health.cause();
        other != id && cause.is_some_and(|cause| cause != Cause::Lost)
    });
    let max = (state.settings.eject_share * pool.targets.len() as f64).max(1.0);
    (ejected.count() + 1) as f64 > max
}
