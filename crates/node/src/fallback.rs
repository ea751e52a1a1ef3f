//! Pass-through stand-ins for decision services that are not filled yet.

use std::collections::HashMap;
use std::time::Duration;

use fleet::{Kind, Layer, Plan, RequestId, Stage, Standing, Target};
use rand::rngs::SmallRng;

/// Admits everything.
pub(crate) struct Limiter;

impl Limiter {
    pub(crate) fn new(_settings: limit::Settings) -> Self {
        Self
    }

    pub(crate) fn step(
        &mut self,
        _now: Duration,
        message: limit::Message,
        _rng: &mut SmallRng,
        actions: &mut Vec<limit::Action>,
    ) {
        if let limit::Message::Arrive(request) = message {
            actions.push(limit::Action::Admit { request: request.id, priority: 5 });
        }
    }
}

/// Sends each request to the first chain that covers its model, once.
pub(crate) struct Router {
    targets: Vec<Target>,
    running: HashMap<RequestId, Plan>,
}

impl Router {
    pub(crate) fn new(_settings: route::Settings) -> Self {
        Self { targets: Vec::new(), running: HashMap::new() }
    }

    pub(crate) fn step(
        &mut self,
        _now: Duration,
        message: route::Message,
        _rng: &mut SmallRng,
        actions: &mut Vec<route::Action>,
    ) {
        match message {
            route::Message::Fleet { targets, .. } => self.targets = targets,
            route::Message::Start { request, priority, .. } => {
                let Some(plan) = self.plan(&request.service) else {
                    let retry_after = Duration::from_secs(1);
                    let reason = route::Reason::NoPlan;
                    let verdict = route::Verdict::NotRun { retry_after, reason };
                    actions.push(route::Action::Finish { request: request.id, verdict });
                    return;
                };
                self.running.insert(request.id, plan.clone());
                actions.push(route::Action::Dispatch(route::Dispatch {
                    request: request.id,
                    attempt: 1,
                    plan,
                    from: 0,
                    priority,
                    first_timeout: Duration::from_secs(10),
                    stall_timeout: Duration::from_secs(5),
                    reuse: Vec::new(),
                }));
            }
            route::Message::Ended { request, ending, next, .. } => {
                if self.running.remove(&request).is_none() {
                    return;
                }
                let retry_after = Duration::from_secs(1);
                let reason = route::Reason::Attempts;
                let verdict = match ending {
                    route::Ending::Complete => route::Verdict::Complete,
                    route::Ending::Refused { .. } | route::Ending::Unreachable { .. }
                        if next == 0 =>
                    {
                        route::Verdict::NotRun { retry_after, reason }
                    }
                    _ => route::Verdict::Incomplete { retry_after, reason },
                };
                actions.push(route::Action::Finish { request, verdict });
            }
            route::Message::HungUp(request) => {
                if let Some(plan) = self.running.remove(&request) {
                    actions.push(route::Action::Cancel { request, attempt: 1, plan });
                }
            }
            _ => {}
        }
    }

    fn plan(&self, service: &str) -> Option<Plan> {
        let mut stages = Vec::new();
        let mut next: Layer = 0;
        loop {
            let step =
                self.targets.iter().filter(|t| t.standing == Standing::Live).find_map(|t| match &t
                    .kind
                {
                    Kind::Service(plain) if plain.name == service => Some((t, None)),
                    Kind::Engine(e) if e.model == service => {
                        let held = e.layers.start <= next && next < e.layers.end;
                        held.then_some((t, Some(e)))
                    }
                    _ => None,
                });
            let (target, engine) = step?;
            let end = engine.map_or(0, |engine| engine.layers.end);
            stages.push(Stage {
                target: target.name.clone(),
                address: target.address,
                layers: fleet::Layers::new(next, end),
            });
            next = end;
            if engine.is_none_or(|engine| engine.depth == next) {
                return Some(Plan { stages });
            }
        }
    }
}

/// Believes the platform's list.
pub(crate) struct Membership;

impl Membership {
    pub(crate) fn new(_settings: member::Settings) -> Self {
        Self
    }

    pub(crate) fn step(
        &mut self,
        _now: Duration,
        message: member::Message,
        _rng: &mut SmallRng,
        actions: &mut Vec<member::Action>,
    ) {
        if let member::Message::Listed(vms) = message {
            let targets = vms.into_iter().filter_map(|vm| match vm.role {
                fleet::Role::Target(target) => Some(target),
                fleet::Role::Entry { .. } => None,
            });
            actions.push(member::Action::Targets(targets.collect()));
        }
    }
}
