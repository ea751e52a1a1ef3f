//! Kernel services around the decision state machines. Each service passes its messages to its
//! state machine and routes the resulting actions to other services or to the shell.

mod ledger;
mod limit;
mod member;
mod order;
mod preset;
mod route;

use std::collections::BTreeSet;
use std::time::Duration;

use kernel::{Context, Name};

use crate::{Action, Message};

pub(crate) use ledger::LedgerService;
pub(crate) use limit::LimitService;
pub(crate) use member::MemberService;
pub(crate) use order::OrderService;
pub(crate) use preset::PresetService;
pub(crate) use route::RouteService;

/// Name of the service that tracks requests.
pub(crate) const REQUESTS: Name = "requests";
/// Name of admission.
pub(crate) const LIMIT: Name = "limit";
/// Name of routing.
pub(crate) const ROUTE: Name = "route";
/// Name of the ledger.
pub(crate) const LEDGER: Name = "ledger";
/// Name of membership.
pub(crate) const MEMBER: Name = "member";
/// Name of the order service.
pub(crate) const ORDER: Name = "order";
/// Name of the preset service.
pub(crate) const PRESET: Name = "preset";

type Ctx<'a> = Context<'a, Message, Action>;

/// Returns the name of the service that handles a message.
pub(crate) fn receiver(message: &Message) -> Name {
    match message {
        Message::Request(_) => REQUESTS,
        Message::Limit(_) | Message::Demand { .. } => LIMIT,
        Message::Route(_) | Message::Targets(_) | Message::Links(_) => ROUTE,
        Message::Ledger(_) => LEDGER,
        Message::Member(_) => MEMBER,
        Message::Order(_) => ORDER,
        Message::Preset(_) => PRESET,
    }
}

/// Pending wake-ups of a service. A state machine may request the same wake-up with each
/// message that it handles; only the first request is scheduled.
#[derive(Default)]
struct Timer {
    /// Scheduled wake-ups, in milliseconds on the node's clock.
    deadlines: BTreeSet<u64>,
}

impl Timer {
    /// Sends `message` after a delay, unless a wake-up is pending for the same millisecond.
    fn schedule(&mut self, after: Duration, message: Message, ctx: &mut Ctx<'_>) {
        let now = ctx.now();
        let now_ms = u64::try_from(now.as_millis()).unwrap_or(u64::MAX);
        self.deadlines = self.deadlines.split_off(&now_ms);
        let due_ms = u64::try_from((now + after).as_millis()).unwrap_or(u64::MAX).saturating_add(1);
        if self.deadlines.insert(due_ms) {
            let after = Duration::from_millis(due_ms).saturating_sub(now);
            ctx.send_after(after, receiver(&message), message);
        }
    }
}

/// Sends a message to the service that handles it.
fn send(ctx: &mut Ctx<'_>, message: Message) {
    ctx.send(receiver(&message), message);
}
