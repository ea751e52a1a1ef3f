//! Kernel service that runs routing.

use fleet::{Link, Target};
use kernel::{Name, Service};

use super::{Ctx, ROUTE, Timer, send};
use crate::{Action, Message, Request};

/// Runs the router on the targets from membership and the links from the preset.
pub(crate) struct RouteService {
    state_machine: route::Router,
    targets: Vec<Target>,
    links: Vec<Link>,
    actions: Vec<route::Action>,
    timer: Timer,
}

impl RouteService {
    pub(crate) fn new(settings: route::Settings) -> Self {
        Self {
            state_machine: route::Router::new(settings),
            targets: Vec::new(),
            links: Vec::new(),
            actions: Vec::new(),
            timer: Timer::default(),
        }
    }

    fn fleet_message(&self) -> route::Message {
        route::Message::Fleet { targets: self.targets.clone(), links: self.links.clone() }
    }

    fn handle_action(&mut self, action: route::Action, ctx: &mut Ctx<'_>) {
        match action {
            route::Action::Dispatch(dispatch) => {
                send(ctx, Message::Request(Request::Dispatch(dispatch)));
            }
            route::Action::Cancel { request, attempt, plan } => {
                ctx.act(Action::Cancel { request, attempt, plan });
            }
            route::Action::Finish { request, outcome } => {
                send(ctx, Message::Request(Request::Finish { request, outcome }));
            }
            route::Action::Quarantine(quarantine) => {
                let update = member::Update::Quarantine {
                    fingerprint: quarantine.fingerprint,
                    target: quarantine.target,
                    confirmed: quarantine.confirmed,
                };
                send(ctx, Message::Member(member::Message::Publish(update)));
            }
            route::Action::Leaving(target) => {
                send(ctx, Message::Member(member::Message::Leaving(target)));
            }
            route::Action::Capacity { service, tokens_per_second, slots } => {
                let capacity = limit::Capacity { service, tokens_per_second, slots };
                send(ctx, Message::Limit(limit::Message::Capacity(capacity)));
            }
            route::Action::Wake(after) => {
                self.timer.schedule(after, Message::Route(route::Message::Wake), ctx);
            }
            route::Action::Log(event) => ctx.act(Action::Log(event)),
        }
    }
}

impl Service<Message, Action> for RouteService {
    fn name(&self) -> Name {
        ROUTE
    }

    fn handle(&mut self, message: Message, ctx: &mut Ctx<'_>) {
        let message = match message {
            Message::Route(message) => message,
            Message::Targets(targets) => {
                self.targets = targets;
                self.fleet_message()
            }
            Message::Links(links) => {
                self.links = links;
                self.fleet_message()
            }
            _ => return,
        };
        let now = ctx.now();
        self.state_machine.step(now, message, ctx.rng(), &mut self.actions);
        for action in std::mem::take(&mut self.actions) {
            self.handle_action(action, ctx);
        }
    }
}
