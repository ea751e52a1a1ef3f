//! Kernel service that runs admission.

use std::collections::BTreeMap;

use fleet::{NodeName, OrganisationName};
use kernel::{Name, Service};

use super::{Ctx, LIMIT, Timer, send};
use crate::{Action, Message, Request};

/// Name under which the demand of all other nodes is reported as one sum.
const OTHER_NODES: NodeName = NodeName::new_static("");

/// Runs admission and forwards the demand of the other nodes to it.
pub(crate) struct LimitService {
    state_machine: limit::Limiter,
    /// Demand of this node's callers by organisation, in slots, as last published.
    own_demand: BTreeMap<OrganisationName, f64>,
    actions: Vec<limit::Action>,
    timer: Timer,
}

impl LimitService {
    pub(crate) fn new(settings: limit::Settings) -> Self {
        Self {
            state_machine: limit::Limiter::new(settings),
            own_demand: BTreeMap::new(),
            actions: Vec::new(),
            timer: Timer::default(),
        }
    }

    /// Returns the demand at the other nodes: the totals less this node's own demand.
    fn demand_of_other_nodes(
        &self,
        live: u32,
        totals: Vec<(OrganisationName, f64)>,
    ) -> limit::Message {
        let demand = totals.into_iter().map(|(organisation, total)| {
            let own = self.own_demand.get(&organisation).copied().unwrap_or_default();
            let cost = (total - own).max(0.0);
            limit::Demand { node: OTHER_NODES, organisation, cost }
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
            Message::Demand { live, totals } => self.demand_of_other_nodes(live, totals),
            _ => return,
        };
        let now = ctx.now();
        self.state_machine.step(now, message, ctx.rng(), &mut self.actions);
        for action in std::mem::take(&mut self.actions) {
            match action {
                limit::Action::Admit { request, priority } => {
                    send(ctx, Message::Request(Request::Admit { request, priority }));
                }
                limit::Action::Refuse { request, reason, retry_after } => {
                    send(ctx, Message::Request(Request::Refuse { request, reason, retry_after }));
                }
                limit::Action::Demand(costs) => {
                    self.own_demand = costs.iter().cloned().collect();
                    send(ctx, Message::Member(member::Message::Demand(costs)));
                }
                limit::Action::Wake(after) => {
                    self.timer.schedule(after, Message::Limit(limit::Message::Wake), ctx);
                }
                limit::Action::Log(event) => ctx.act(Action::Log(event)),
            }
        }
    }
}
