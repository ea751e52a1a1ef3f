//! Kernel service that runs membership.

use std::time::Duration;

use fleet::{NodeName, Target};
use kernel::{Name, Service};

use super::{Ctx, MEMBER, Timer, send};
use crate::{Action, Message, Request};

/// Time for which routing keeps a quarantine that was learned without an expiry.
const QUARANTINE_TTL: Duration = Duration::from_secs(600);

/// Runs membership and distributes its view of nodes and targets to the other services.
pub(crate) struct MemberService {
    name: NodeName,
    state_machine: member::Membership,
    actions: Vec<member::Action>,
    timer: Timer,
}

impl MemberService {
    pub(crate) fn new(name: NodeName, settings: member::Settings) -> Self {
        Self {
            name,
            state_machine: member::Membership::new(settings),
            actions: Vec::new(),
            timer: Timer::default(),
        }
    }

    /// Sends the live nodes to the ledger, their preset versions to the preset service and all
    /// nodes to the shell.
    fn publish_nodes(&self, nodes: Vec<member::Node>, ctx: &mut Ctx<'_>) {
        let mut alive: Vec<NodeName> = nodes
            .iter()
            .filter(|node| node.state == member::State::Alive && node.name != self.name)
            .map(|node| node.name.clone())
            .collect();
        alive.push(self.name.clone());
        alive.sort();
        let alive_count = u32::try_from(alive.len()).unwrap_or(u32::MAX);
        let peers = nodes.iter().filter(|node| node.name != self.name);
        let known = 1 + peers.clone().filter(|node| node.state != member::State::Left).count();
        let known = u32::try_from(known).unwrap_or(u32::MAX);
        send(ctx, Message::Preset(preset::Message::Nodes { alive: alive_count, known }));
        for node in peers.filter(|node| node.state == member::State::Alive) {
            let (node, version) = (node.name.clone(), node.preset);
            send(ctx, Message::Preset(preset::Message::PeerVersion { node, version }));
        }
        send(ctx, Message::Ledger(ledger::Message::Nodes(alive)));
        ctx.act(Action::Nodes(nodes));
    }

    fn handle_action(&mut self, action: member::Action, ctx: &mut Ctx<'_>) {
        match action {
            member::Action::Send { to, address, heartbeat } => {
                ctx.act(Action::Heartbeat { to, address, heartbeat });
            }
            member::Action::Reply(heartbeat) => ctx.act(Action::Reply(heartbeat)),
            member::Action::Nodes(nodes) => self.publish_nodes(nodes, ctx),
            member::Action::Targets(targets) => {
                let services = targets.iter().map(service_name).collect();
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
            member::Action::Learned { update, ttl } => forward_update(update, ttl, ctx),
            member::Action::NewerPreset { node, address: _, version } => {
                send(ctx, Message::Preset(preset::Message::PeerVersion { node, version }));
            }
            member::Action::Confident(confident) => {
                send(ctx, Message::Preset(preset::Message::Confident(confident)));
            }
            member::Action::Wake(after) => {
                self.timer.schedule(after, Message::Member(member::Message::Wake), ctx);
            }
            member::Action::Log(event) => ctx.act(Action::Log(event)),
        }
    }
}

/// Returns the name of the model or plain service that a target offers.
fn service_name(target: &Target) -> smol_str::SmolStr {
    match &target.kind {
        fleet::Kind::Engine(engine) => engine.model.clone(),
        fleet::Kind::Service(service) => service.name.clone(),
    }
}

/// Forwards a quarantine learned from another node to routing. Membership handles the other
/// kinds of updates itself.
fn forward_update(update: member::Update, ttl: Option<Duration>, ctx: &mut Ctx<'_>) {
    match update {
        member::Update::Quarantine { fingerprint, target, confirmed } => {
            let ttl = ttl.unwrap_or(QUARANTINE_TTL);
            let quarantine = route::Quarantine { fingerprint, target, confirmed, ttl };
            send(ctx, Message::Route(route::Message::Quarantine(quarantine)));
        }
        member::Update::Standing { .. }
        | member::Update::Leaving { .. }
        | member::Update::Demand { .. } => {}
    }
}

impl Service<Message, Action> for MemberService {
    fn name(&self) -> Name {
        MEMBER
    }

    fn handle(&mut self, message: Message, ctx: &mut Ctx<'_>) {
        let Message::Member(message) = message else { return };
        let now = ctx.now();
        self.state_machine.step(now, message, ctx.rng(), &mut self.actions);
        for action in std::mem::take(&mut self.actions) {
            self.handle_action(action, ctx);
        }
    }
}
