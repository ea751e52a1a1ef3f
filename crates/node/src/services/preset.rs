//! Kernel service that follows the preset in force.

use std::sync::Arc;

use kernel::{Name, Service};

use super::{Ctx, PRESET, Timer, send};
use crate::{Action, Message, Request};

/// Runs the preset follower and distributes the preset in force to the other services.
pub(crate) struct PresetService {
    state_machine: preset::Follower,
    actions: Vec<preset::Action>,
    timer: Timer,
}

impl PresetService {
    pub(crate) fn new(settings: preset::Settings) -> Self {
        Self {
            state_machine: preset::Follower::new(settings),
            actions: Vec::new(),
            timer: Timer::default(),
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
        self.state_machine.step(now, message, ctx.rng(), &mut self.actions);
        for action in std::mem::take(&mut self.actions) {
            match action {
                preset::Action::InForce { preset, value } => distribute_preset(preset, value, ctx),
                preset::Action::Fresh(fresh) => {
                    send(ctx, Message::Request(Request::Fresh(fresh)));
                    ctx.act(Action::Fresh(fresh));
                }
                preset::Action::Watch(watch) => ctx.act(Action::WatchPreset(watch)),
                preset::Action::Proof(proof) => {
                    send(ctx, Message::Member(member::Message::Proof(proof)));
                }
                preset::Action::Poll => ctx.act(Action::ReadPreset),
                preset::Action::Fetch(node) => ctx.act(Action::FetchPreset(node)),
                preset::Action::Wake(after) => {
                    self.timer.schedule(after, Message::Preset(preset::Message::Wake), ctx);
                }
                preset::Action::Log(event) => ctx.act(Action::Log(event)),
            }
        }
    }
}

/// Sends each service its bounds from a preset that has come into force, and the preset to
/// the shell.
fn distribute_preset(preset: Arc<preset::Preset>, value: Arc<[u8]>, ctx: &mut Ctx<'_>) {
    let weights = preset.organisations.iter();
    let weights = weights.map(|organisation| (organisation.name.clone(), organisation.weight));
    let bounds =
        limit::Bounds { weights: weights.collect(), queue: preset.queue, wait: preset.wait };
    send(ctx, Message::Limit(limit::Message::Bounds(bounds)));
    send(ctx, Message::Links(preset.links.clone()));
    let bounds = route::Bounds {
        retry_share: preset.retry_share,
        max_attempts: preset.attempts,
        quarantine_ttl: preset.quarantine,
    };
    send(ctx, Message::Route(route::Message::Bounds(bounds)));
    send(ctx, Message::Member(member::Message::Preset(preset.version)));
    ctx.act(Action::InForce { preset, value });
}
