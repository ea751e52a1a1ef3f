//! The ledger under its name.

use kernel::{Name, Service};

use super::{Alarm, Ctx, LEDGER, send};
use crate::{Action, Message, Request};

/// The ledger.
pub(crate) struct LedgerService {
    machine: ledger::Ledger,
    /// Claims without kept outcome, as the shell was last told.
    held: usize,
    actions: Vec<ledger::Action>,
    alarm: Alarm,
}

impl LedgerService {
    pub(crate) fn new(settings: ledger::Settings) -> Self {
        Self {
            machine: ledger::Ledger::new(settings),
            held: 0,
            actions: Vec::new(),
            alarm: Alarm::default(),
        }
    }
}

impl Service<Message, Action> for LedgerService {
    fn name(&self) -> Name {
        LEDGER
    }

    fn handle(&mut self, message: Message, ctx: &mut Ctx<'_>) {
        let Message::Ledger(message) = message else { return };
        let now = ctx.now();
        self.machine.step(now, message, ctx.rng(), &mut self.actions);
        for action in std::mem::take(&mut self.actions) {
            match action {
                ledger::Action::Read { ticket, shard } => ctx.act(Action::Read { ticket, shard }),
                ledger::Action::Write { ticket, shard, revision, value } => {
                    ctx.act(Action::Write { ticket, shard, revision, value });
                }
                ledger::Action::Verdict { request, verdict } => {
                    send(ctx, Message::Request(Request::Verdict { request, verdict }));
                }
                ledger::Action::Settled { request, kept: _ } => {
                    send(ctx, Message::Request(Request::Settled(request)));
                }
                ledger::Action::Wake(after) => {
                    self.alarm.ask(after, Message::Ledger(ledger::Message::Wake), ctx);
                }
                ledger::Action::Log(event) => ctx.act(Action::Log(event)),
            }
        }
        if self.machine.held() != self.held {
            self.held = self.machine.held();
            ctx.act(Action::UnsettledClaims(self.held));
        }
    }
}
