//! The composition of all services.

use std::time::Duration;

use fleet::NodeName;
use kernel::{Builder, Draining, Kernel, Running};

use crate::requests::Requests;
use crate::services::{
    LedgerService, LimitService, MemberService, OrderService, PresetService, RouteService,
};
use crate::{Action, Message};

/// Settings of the decision services.
#[derive(Clone, Debug)]
pub struct Config {
    /// Name of this node.
    pub name: NodeName,
    /// Seed of the kernel's generator.
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

enum Life {
    Running(Kernel<Message, Action, Running>),
    Draining(Kernel<Message, Action, Draining>),
}

/// All decision services of one node, driven by messages and time.
pub struct Node {
    life: Option<Life>,
}

impl Node {
    /// Makes a node whose services run.
    ///
    /// # Panics
    ///
    /// Never: the names of the services are fixed and differ.
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
        Self { life: Some(Life::Running(kernel.run())) }
    }

    /// Delivers a message and all that follows from it until `now`.
    pub fn step(&mut self, now: Duration, message: Message) -> Vec<Action> {
        let to = crate::services::receiver(&message);
        // What became due while the process was paused comes before anything new.
        let mut actions = self.tick(now);
        actions.extend(match &mut self.life {
            Some(Life::Running(kernel)) => kernel.step(now, to, message),
            Some(Life::Draining(kernel)) => kernel.step(now, to, message),
            None => Vec::new(),
        });
        actions
    }

    /// Delivers what has become due until `now`.
    pub fn tick(&mut self, now: Duration) -> Vec<Action> {
        match &mut self.life {
            Some(Life::Running(kernel)) => kernel.tick(now),
            Some(Life::Draining(kernel)) => kernel.tick(now),
            None => Vec::new(),
        }
    }

    /// When the next delayed message is due.
    pub fn next_due(&self) -> Option<Duration> {
        match &self.life {
            Some(Life::Running(kernel)) => kernel.next_due(),
            Some(Life::Draining(kernel)) => kernel.next_due(),
            None => None,
        }
    }

    /// Goes on to the last work: nothing new is taken.
    pub fn drain(&mut self, now: Duration) -> Vec<Action> {
        self.life = match self.life.take() {
            Some(Life::Running(kernel)) => Some(Life::Draining(kernel.drain())),
            other => other,
        };
        self.step(now, Message::Request(crate::Request::Close))
    }
}
