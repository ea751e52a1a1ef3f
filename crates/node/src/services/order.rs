//! The order service under its name.

use kernel::{Name, Service};

use super::{Alarm, Ctx, ORDER};
use crate::{Action, Message};

/// Orders to engines.
pub(crate) struct OrderService {
    machine: order::Orders,
    actions: Vec<order::Action>,
    alarm: Alarm,
}

impl OrderService {
    pub(crate) fn new(settings: order::Settings) -> Self {
        let machine = order::Orders::new(settings);
        Self { machine, actions: Vec::new(), alarm: Alarm::default() }
    }
}

impl Service<Message, Action> for OrderService {
    fn name(&self) -> Name {
        ORDER
    }

    fn handle(&mut self, message: Message, ctx: &mut Ctx<'_>) {
        let Message::Order(message) = message else { return };
        let now = ctx.now();
        self.machine.step(now, message, ctx.rng(), &mut self.actions);
        for action in std::mem::take(&mut self.actions) {
            match action {
                order::Action::Wake(after) => {
                    self.alarm.ask(after, Message::Order(order::Message::Wake), ctx);
                }
                order::Action::Log(event) => ctx.act(Action::Log(event)),
                call => ctx.act(Action::Order(call)),
            }
        }
    }
}
