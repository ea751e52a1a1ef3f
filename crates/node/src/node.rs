//! Composition of the decision services under one kernel.

use std::time::Duration;

use fleet::NodeName;
use kernel::{Builder, Draining, Kernel, Running};

use crate::requests::Requests;
use crate::services::{
    LedgerService, LimitService, MemberService, OrderService, PresetService, RouteService,
};
use crate::{Action, Message};

/// Configuration of a node's decision services.
#[derive(Clone, Debug)]
pub struct Config {
    /// Name of this node.
    pub name: NodeName,
    /// Seed of the kernel's random number generator.
    pub seed: u64,
    /// Settings of admission.
    pub limit: limit::Settings,
    /// Settings of routing.
    pub route: route::Settings,
    /// Settings of the ledger.
    pub ledger: ledger::Settings,
    /// Settings of membership.
    pub member: member::Settings,
    /// Settings of the order service.
    pub order: order::Settings,
    /// Settings of the preset service.
    pub preset: preset::Settings,
}

enum State {
    Running(Kernel<Message, Action, Running>),
    Draining(Kernel<Message, Action, Draining>),
}

/// The decision services of one node. The caller passes the time and the messages.
pub struct Node {
    state: Option<State>,
}

impl Node {
    /// Creates a node whose services accept messages.
    ///
    /// # Panics
    ///
    /// Never: the kernel rejects duplicate service names only, and the names are distinct
    /// constants.
    pub fn new(config: Config) -> Self {
        let kernel = Builder::new(config.seed)
            .service(Requests::default())
            .service(LimitService::new(config.limit))
            .service(RouteService::new(config.route))
            .service(LedgerService::new(config.ledger))
            .service(MemberService::new(config.name, config.member))
            .service(OrderService::new(config.order))
            .service(PresetService::new(config.preset))
            .build()
            .expect("service names differ");
        Self { state: Some(State::Running(kernel.run())) }
    }

    /// Delivers the delayed messages that are due at `now`, then `message` and all messages
    /// that follow from it. Returns the requested actions in order.
    pub fn step(&mut self, now: Duration, message: Message) -> Vec<Action> {
        let to = crate::services::receiver(&message);
        // Timers that expired while the process was paused run before the new message.
        let mut actions = self.tick(now);
        actions.extend(match &mut self.state {
            Some(State::Running(kernel)) => kernel.step(now, to, message),
            Some(State::Draining(kernel)) => kernel.step(now, to, message),
            None => Vec::new(),
        });
        actions
    }

    /// Delivers the delayed messages that are due at `now`.
    pub fn tick(&mut self, now: Duration) -> Vec<Action> {
        match &mut self.state {
            Some(State::Running(kernel)) => kernel.tick(now),
            Some(State::Draining(kernel)) => kernel.tick(now),
            None => Vec::new(),
        }
    }

    /// Returns the time at which the next delayed message is due.
    pub fn next_due(&self) -> Option<Duration> {
        match &self.state {
            Some(State::Running(kernel)) => kernel.next_due(),
            Some(State::Draining(kernel)) => kernel.next_due(),
            None => None,
        }
    }

    /// Enters the draining state: requests in progress continue, new ones are refused.
    pub fn drain(&mut self, now: Duration) -> Vec<Action> {
        self.state = match self.state.take() {
            Some(State::Running(kernel)) => Some(State::Draining(kernel.drain())),
            other => other,
        };
        self.step(now, Message::Request(crate::Request::Close))
    }
}
