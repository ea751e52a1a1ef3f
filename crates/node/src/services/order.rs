//! Kernel service that runs the orders to engines.

use kernel::{Name, Service};

use super::{Ctx, ORDER, Timer};
use crate::{Action, Message};

/// Runs the order state machine and passes its calls to the shell.
pub(crate) struct OrderService {
    state_machine: order::Orders,
    actions: Vec<order::Action>,
    timer: Timer,
}

impl OrderService {
    pub(crate) fn new(settings: order::Settings) -> Self {
        let state_machine = order::Orders::new(settings);
        Self { state_machine, actions: Vec::new(), timer: Timer::default() }
    }
}

impl Service<Message, Action> for OrderService {
    fn name(&self) -> Name {
        ORDER
    }

    fn handle(&mut self, message: Message, ctx: &mut Ctx<'_>) {
        let Message::Order(message) = message else { return };
        let now = ctx.now();
        self.state_machine.step(now, message, ctx.rng(), &mut self.actions);
        for action in std::mem::take(&mut self.actions) {
            match action {
                order::Action::Wake(after) => {
                    self.timer.schedule(after, Message::Order(order::Message::Wake), ctx);
                }
                order::Action::Log(event) => ctx.act(Action::Log(event)),
                call => ctx.act(Action::Order(call)),
            }
        }
    }
}
