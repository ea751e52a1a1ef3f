//! The decision services under their names: each wrapper hands a message to its
//! state machine and sends what comes back to the services that it concerns.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use fleet::{Link, NodeName, OrganisationName, Target};
use kernel::{Context, Name, Service};

use crate::{Action, Message, Request};

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
/// Name of the preset service.
pub(crate) const PRESET: Name = "preset";

/// How long a quarantine told without an end holds.
const QUARANTINE_TTL: Duration = Duration::from_secs(600);

/// Stands for all other nodes where what they ask is summed up.
const ELSEWHERE: NodeName = NodeName::new_static("");

type Ctx<'a> = Context<'a, Message, Action>;

/// Name of the service that a message is for.
pub(crate) fn receiver(message: &Message) -> Name {
    match message {
        Message::Request(_) => REQUESTS,
        Message::Limit(_) | Message::Demand { .. } => LIMIT,
        Message::Route(_) | Message::Targets(_) | Message::Links(_) => ROUTE,
        Message::Ledger(_) => LEDGER,
        Message::Member(_) => MEMBER,
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

/// Admission.
pub(crate) struct LimitService {
    machine: limit::Limiter,
    /// What this node's callers asked when it was last told.
    own: BTreeMap<OrganisationName, f64>,
    actions: Vec<limit::Action>,
    alarm: Alarm,
}

impl LimitService {
    pub(crate) fn new(settings: limit::Settings) -> Self {
        Self {
            machine: limit::Limiter::new(settings),
            own: BTreeMap::new(),
            actions: Vec::new(),
            alarm: Alarm::default(),
        }
    }

    /// What the callers of all other nodes ask.
    fn elsewhere(&self, live: u32, totals: Vec<(OrganisationName, f64)>) -> limit::Message {
        let demand = totals.into_iter().map(|(organisation, total)| {
            let own = self.own.get(&organisation).copied().unwrap_or_default();
            let cost = (total - own).max(0.0);
            limit::Demand { node: ELSEWHERE, organisation, cost }
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
            Message::Demand { live, totals } => self.elsewhere(live, totals),
            _ => return,
        };
        let now = ctx.now();
        self.machine.step(now, message, ctx.rng(), &mut self.actions);
        for action in std::mem::take(&mut self.actions) {
            match action {
                limit::Action::Admit { request, priority } => {
                    send(ctx, Message::Request(Request::Admit { request, priority }));
                }
                limit::Action::Refuse { request, reason, retry_after } => {
                    send(ctx, Message::Request(Request::Refuse { request, reason, retry_after }));
                }
                limit::Action::Demand(costs) => {
                    self.own = costs.iter().cloned().collect();
                    send(ctx, Message::Member(member::Message::Demand(costs)));
                }
                limit::Action::Wake(after) => {
                    self.alarm.ask(after, Message::Limit(limit::Message::Wake), ctx);
                }
                limit::Action::Log(event) => ctx.act(Action::Log(event)),
            }
        }
    }
}

/// Routing.
pub(crate) struct RouteService {
    machine: route::Router,
    targets: Vec<Target>,
    links: Vec<Link>,
    actions: Vec<route::Action>,
    alarm: Alarm,
}

impl RouteService {
    pub(crate) fn new(settings: route::Settings) -> Self {
        Self {
            machine: route::Router::new(settings),
            targets: Vec::new(),
            links: Vec::new(),
            actions: Vec::new(),
            alarm: Alarm::default(),
        }
    }

    fn fleet(&self) -> route::Message {
        route::Message::Fleet { targets: self.targets.clone(), links: self.links.clone() }
    }

    fn act(&mut self, action: route::Action, ctx: &mut Ctx<'_>) {
        match action {
            route::Action::Dispatch(dispatch) => {
                send(ctx, Message::Request(Request::Dispatch(dispatch)));
            }
            route::Action::Cancel { request, attempt, plan } => {
                ctx.act(Action::Cancel { request, attempt, plan });
            }
            route::Action::Finish { request, verdict } => {
                send(ctx, Message::Request(Request::Finish { request, verdict }));
            }
            route::Action::Quarantine(quarantine) => {
                let news = member::News::Quarantine {
                    fingerprint: quarantine.fingerprint,
                    target: quarantine.target,
                    condemned: quarantine.condemned,
                };
                send(ctx, Message::Member(member::Message::Publish(news)));
            }
            route::Action::Leaving(target) => {
                send(ctx, Message::Member(member::Message::Leaving(target)));
            }
            route::Action::Capacity { service, tokens_per_second, slots } => {
                let capacity = limit::Capacity { service, tokens_per_second, slots };
                send(ctx, Message::Limit(limit::Message::Capacity(capacity)));
            }
            route::Action::Wake(after) => {
                self.alarm.ask(after, Message::Route(route::Message::Wake), ctx);
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
                self.fleet()
            }
            Message::Links(links) => {
                self.links = links;
                self.fleet()
            }
            _ => return,
        };
        let now = ctx.now();
        self.machine.step(now, message, ctx.rng(), &mut self.actions);
        for action in std::mem::take(&mut self.actions) {
            self.act(action, ctx);
        }
    }
}

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
            ctx.act(Action::Held(self.held));
        }
    }
}

/// Membership.
pub(crate) struct MemberService {
    name: NodeName,
    machine: member::Membership,
    actions: Vec<member::Action>,
    alarm: Alarm,
}

impl MemberService {
    pub(crate) fn new(name: NodeName, settings: member::Settings) -> Self {
        Self {
            name,
            machine: member::Membership::new(settings),
            actions: Vec::new(),
            alarm: Alarm::default(),
        }
    }

    fn nodes(&self, nodes: Vec<member::Node>, ctx: &mut Ctx<'_>) {
        let mut alive: Vec<NodeName> = nodes
            .iter()
            .filter(|node| node.state == member::State::Alive && node.name != self.name)
            .map(|node| node.name.clone())
            .collect();
        alive.push(self.name.clone());
        alive.sort();
        let count = u32::try_from(alive.len()).unwrap_or(u32::MAX);
        let others = nodes.iter().filter(|node| node.name != self.name);
        let known = 1 + others.clone().filter(|node| node.state != member::State::Left).count();
        let known = u32::try_from(known).unwrap_or(u32::MAX);
        send(ctx, Message::Preset(preset::Message::Nodes { alive: count, known }));
        for node in others.filter(|node| node.state == member::State::Alive) {
            let (node, version) = (node.name.clone(), node.preset);
            send(ctx, Message::Preset(preset::Message::PeerVersion { node, version }));
        }
        send(ctx, Message::Ledger(ledger::Message::Nodes(alive)));
        ctx.act(Action::Nodes(nodes));
    }

    fn act(&mut self, action: member::Action, ctx: &mut Ctx<'_>) {
        match action {
            member::Action::Send { to, address, heartbeat } => {
                ctx.act(Action::Heartbeat { to, address, heartbeat });
            }
            member::Action::Reply(heartbeat) => ctx.act(Action::Reply(heartbeat)),
            member::Action::Nodes(nodes) => self.nodes(nodes, ctx),
            member::Action::Targets(targets) => {
                let services = targets.iter().map(service_of).collect();
                send(ctx, Message::Request(Request::Services(services)));
                send(ctx, Message::Targets(targets.clone()));
                ctx.act(Action::Targets(targets));
            }
            member::Action::Proved { version, at } => {
                send(ctx, Message::Preset(preset::Message::Proved { version, at }));
            }
            member::Action::Agreed { version, at } => {
                send(ctx, Message::Preset(preset::Message::Agreed { version, at }));
            }
            member::Action::Demand { live, totals } => {
                send(ctx, Message::Demand { live, totals });
            }
            member::Action::Lost(targets) => {
                send(ctx, Message::Route(route::Message::Lost { targets }));
            }
            member::Action::Learned { news, ttl } => learned(news, ttl, ctx),
            member::Action::Behind { node, address: _, version } => {
                send(ctx, Message::Preset(preset::Message::PeerVersion { node, version }));
            }
            member::Action::Confident(confident) => {
                send(ctx, Message::Preset(preset::Message::Confident(confident)));
            }
            member::Action::Wake(after) => {
                self.alarm.ask(after, Message::Member(member::Message::Wake), ctx);
            }
            member::Action::Log(event) => ctx.act(Action::Log(event)),
        }
    }
}

/// Model or plain service of a target.
fn service_of(target: &Target) -> smol_str::SmolStr {
    match &target.kind {
        fleet::Kind::Engine(engine) => engine.model.clone(),
        fleet::Kind::Service(service) => service.name.clone(),
    }
}

/// Hands news from another node to the service that it concerns.
fn learned(news: member::News, ttl: Option<Duration>, ctx: &mut Ctx<'_>) {
    match news {
        member::News::Quarantine { fingerprint, target, condemned } => {
            let ttl = ttl.unwrap_or(QUARANTINE_TTL);
            let quarantine = route::Quarantine { fingerprint, target, condemned, ttl };
            send(ctx, Message::Route(route::Message::Quarantine(quarantine)));
        }
        member::News::Standing { .. }
        | member::News::Leaving { .. }
        | member::News::Demand { .. } => {}
    }
}

impl Service<Message, Action> for MemberService {
    fn name(&self) -> Name {
        MEMBER
    }

    fn handle(&mut self, message: Message, ctx: &mut Ctx<'_>) {
        let Message::Member(message) = message else { return };
        let now = ctx.now();
        self.machine.step(now, message, ctx.rng(), &mut self.actions);
        for action in std::mem::take(&mut self.actions) {
            self.act(action, ctx);
        }
    }
}

/// The preset service.
pub(crate) struct PresetService {
    machine: preset::Follower,
    actions: Vec<preset::Action>,
    alarm: Alarm,
}

impl PresetService {
    pub(crate) fn new(settings: preset::Settings) -> Self {
        Self {
            machine: preset::Follower::new(settings),
            actions: Vec::new(),
            alarm: Alarm::default(),
        }
    }
}

impl Service<Message, Action> for PresetService {
    fn name(&self) -> Name {
        PRESET
    }

    fn handle(&mut self, message: Message, ctx: &mut Ctx<'_>) {
        let Message::Preset(message) = message else { return };
        let now = ctx.now();
        self.machine.step(now, message, ctx.rng(), &mut self.actions);
        for action in std::mem::take(&mut self.actions) {
            match action {
                preset::Action::InForce { preset, value } => in_force(preset, value, ctx),
                preset::Action::Fresh(fresh) => {
                    send(ctx, Message::Request(Request::Fresh(fresh)));
                    ctx.act(Action::Fresh(fresh));
                }
                preset::Action::Watch(watch) => ctx.act(Action::Watch(watch)),
                preset::Action::Proof(proof) => {
                    send(ctx, Message::Member(member::Message::Proof(proof)));
                }
                preset::Action::Poll => ctx.act(Action::Poll),
                preset::Action::Ask(node) => ctx.act(Action::Ask(node)),
                preset::Action::Wake(after) => {
                    self.alarm.ask(after, Message::Preset(preset::Message::Wake), ctx);
                }
                preset::Action::Log(event) => ctx.act(Action::Log(event)),
            }
        }
    }
}

/// Tells every service what the preset sets for it.
fn in_force(preset: Arc<preset::Preset>, value: Arc<[u8]>, ctx: &mut Ctx<'_>) {
    let weights = preset.organisations.iter();
    let weights = weights.map(|organisation| (organisation.name.clone(), organisation.weight));
    let bounds =
        limit::Bounds { weights: weights.collect(), queue: preset.queue, wait: preset.wait };
    send(ctx, Message::Limit(limit::Message::Bounds(bounds)));
    send(ctx, Message::Links(preset.links.clone()));
    let bounds = route::Bounds {
        retry_share: preset.retry_share,
        attempts: preset.attempts,
        quarantine: preset.quarantine,
    };
    send(ctx, Message::Route(route::Message::Bounds(bounds)));
    send(ctx, Message::Member(member::Message::Preset(preset.version)));
    ctx.act(Action::InForce { preset, value });
}
