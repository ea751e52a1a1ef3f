//! Kernel service that runs the ledger.

use kernel::{Name, Service};

use super::{Ctx, LEDGER, Timer, send};
use crate::{Action, Message, Request};

/// Runs the ledger and reports its verdicts to the request service.
pub(crate) struct LedgerService {
    state_machine: ledger::Ledger,
    /// Number of claims without a stored outcome, as last reported to the shell.
    unsettled: usize,
    actions: Vec<ledger::Action>,
    timer: Timer,
}

impl LedgerService {
    pub(crate) fn new(settings: ledger::Settings) -> Self {
        Self {
            state_machine: ledger::Ledger::new(settings),
            unsettled: 0,
            actions: Vec::new(),
            timer: Timer::default(),
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
        self.state_machine.step(now, message, ctx.rng(), &mut self.actions);
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
                    self.timer.schedule(after, Message::Ledger(ledger::Message::Wake), ctx);
                }
                ledger::Action::Log(event) => ctx.act(Action::Log(event)),
            }
        }
        if self.state_machine.unsettled_claims() != self.unsettled {
            self.unsettled = self.state_machine.unsettled_claims();
            ctx.act(Action::UnsettledClaims(self.unsettled));
        }
    }
}
