//! The decision services under their names: each wrapper hands a message to its
//! state machine and sends what comes back to the services that it concerns.

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

/// Name of the service that follows requests.
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

/// Name of the service that a message is for.
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

/// The times at which a service will be woken. A service may ask for the same time
/// again with each message; it is woken once.
#[derive(Default)]
struct Alarm {
    /// Milliseconds since the process began.
    dues: BTreeSet<u64>,
}

impl Alarm {
    fn ask(&mut self, after: Duration, message: Message, ctx: &mut Ctx<'_>) {
        let now = ctx.now();
        let passed = u64::try_from(now.as_millis()).unwrap_or(u64::MAX);
        self.dues = self.dues.split_off(&passed);
        let due = u64::try_from((now + after).as_millis()).unwrap_or(u64::MAX).saturating_add(1);
        if self.dues.insert(due) {
            let after = Duration::from_millis(due).saturating_sub(now);
            ctx.send_after(after, receiver(&message), message);
        }
    }
}

fn send(ctx: &mut Ctx<'_>, message: Message) {
    ctx.send(receiver(&message), message);
}
