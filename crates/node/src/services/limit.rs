//! Admission under its name.

use std::collections::BTreeMap;

use fleet::{NodeName, OrganisationName};
use kernel::{Name, Service};

use super::{Alarm, Ctx, LIMIT, send};
use crate::{Action, Message, Request};

/// Stands for all other nodes where what they ask is summed up.
const ELSEWHERE: NodeName = NodeName::new_static("");

/// Admission.
pub(crate) struct LimitService {
    machine: limit::Limiter,
    /// What this node's callers asked when it was last told.
    own: BTreeMap<OrganisationName, f64>,
    actions: Vec<limit::Action>,
    alarm: Alarm,
}

impl LimitService {
    pub(crate) fn new(settings: limit::Settings) -> Self {
        Self {
            machine: limit::Limiter::new(settings),
            own: BTreeMap::new(),
            actions: Vec::new(),
            alarm: Alarm::default(),
        }
    }

    /// What the callers of all other nodes ask.
    fn elsewhere(&self, live: u32, totals: Vec<(OrganisationName, f64)>) -> limit::Message {
        let demand = totals.into_iter().map(|(organisation, total)| {
            let own = self.own.get(&organisation).copied().unwrap_or_default();
            let cost = (total - own).max(0.0);
            limit::Demand { node: ELSEWHERE, organisation, cost }
        });
        limit::Message::Peers { live, demand: demand.collect() }
    }
}

impl Service<Message, Action> for LimitService {
    fn name(&self) -> Name {
        LIMIT
    }

    fn handle(&mut self, message: Message, ctx: &mut Ctx<'_>) {
        let message = match message {
            Message::Limit(message) => message,
            Message::Demand { live, totals } => self.elsewhere(live, totals),
            _ => return,
        };
        let now = ctx.now();
        self.machine.step(now, message, ctx.rng(), &mut self.actions);
        for action in std::mem::take(&mut self.actions) {
            match action {
                limit::Action::Admit { request, priority } => {
                    send(ctx, Message::Request(Request::Admit { request, priority }));
                }
                limit::Action::Refuse { request, reason, retry_after } => {
                    send(ctx, Message::Request(Request::Refuse { request, reason, retry_after }));
                }
                limit::Action::Demand(costs) => {
                    self.own = costs.iter().cloned().collect();
                    send(ctx, Message::Member(member::Message::Demand(costs)));
                }
                limit::Action::Wake(after) => {
                    self.alarm.ask(after, Message::Limit(limit::Message::Wake), ctx);
                }
                limit::Action::Log(event) => ctx.act(Action::Log(event)),
            }
        }
    }
}
