//! State of the service and the context of one step.

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

/// Everything that the service remembers.
#[derive(Debug)]
pub(crate) struct State {
    pub(crate) settings: Settings,
    pub(crate) view: View,
    pub(crate) table: Table,
    pub(crate) budget: Budget,
    pub(crate) suspects: Suspects,
    /// Targets that are or were left out, until they are found to be back.
    pub(crate) ejected: Vec<TargetId>,
    /// Requests that wait.
    pub(crate) held: BTreeSet<RequestId>,
    /// Whether the plans do not follow the view any more.
    pub(crate) dirty: bool,
    /// When the plans were computed last.
    pub(crate) solved: Option<Duration>,
    /// When the files of suspects were looked through last.
    pub(crate) expired: Duration,
    /// Earliest wake-up asked for.
    pub(crate) wake: Option<Duration>,
}

impl State {
    /// An empty state.
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
            solved: None,
            expired: Duration::ZERO,
            wake: None,
        }
    }
}

/// What one step works with besides the state.
pub(crate) struct Step<'a> {
    pub(crate) now: Duration,
    pub(crate) rng: &'a mut SmallRng,
    pub(crate) actions: &'a mut Vec<Action>,
}

impl Step<'_> {
    /// Asks for an action.
    pub(crate) fn act(&mut self, action: Action) {
        self.actions.push(action);
    }

    /// Writes a log line.
    pub(crate) fn log(&mut self, event: Event) {
        self.act(Action::Log(event));
    }
}

/// Leaves a target out, unless too many of its pool are left out already.
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

/// Notes that an attempt sent at `sent` moved or ended well at a target. One that was ejected
/// comes back into the plans: without it there may be no capacity, and then nothing is
/// admitted that could probe it.
pub(crate) fn show_life(state: &mut State, step: &mut Step<'_>, id: TargetId, sent: Duration) {
    let entry = state.view.entry_mut(id);
    let returned = entry.health.works(step.now, sent);
    let name = entry.target.name.clone();
    state.suspects.record_progress(&name, sent, step.now);
    if returned {
        state.dirty = true;
        step.log(Event::new(event::RETURNED).with("target", name));
    }
}

/// Whether the bounded share of the pool is ejected already. One may always be.
fn is_share_spent(state: &State, id: TargetId) -> bool {
    let service = state.view.entry(id).service();
    let Some(pool) = state.view.pools.get(service) else { return false };
    let ejected = pool.targets.iter().filter(|&&other| {
        let cause = state.view.entry(other).health.cause();
        other != id && cause.is_some_and(|cause| cause != Cause::Lost)
    });
    let most = (state.settings.eject_share * pool.targets.len() as f64).max(1.0);
    (ejected.count() + 1) as f64 > most
}
