//! Life cycle of a kernel as a typestate: ready, running, draining, stopped.

use std::collections::BTreeMap;
use std::marker::PhantomData;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::queue::Queue;
use crate::{Context, Duplicate, Name, Service};

/// Builder of a kernel from its services.
pub struct Builder<M, A> {
    seed: u64,
    services: Vec<Box<dyn Service<M, A>>>,
}

impl<M, A> Builder<M, A> {
    /// Starts a kernel whose random generator is seeded with `seed`.
    pub fn new(seed: u64) -> Self {
        Self { seed, services: Vec::new() }
    }

    /// Adds a service.
    pub fn service(mut self, service: impl Service<M, A> + 'static) -> Self {
        self.services.push(Box::new(service));
        self
    }

    /// Builds the kernel.
    ///
    /// # Errors
    ///
    /// Returns [`Duplicate`] if two services have the same name.
    pub fn build(self) -> Result<Kernel<M, A, Ready>, Duplicate> {
        let mut services = BTreeMap::new();
        for service in self.services {
            let name = service.name();
            if services.insert(name, service).is_some() {
                return Err(Duplicate { name });
            }
        }
        let core = Core { services, queue: Queue::new(), rng: SmallRng::seed_from_u64(self.seed) };
        Ok(Kernel { core, state: PhantomData })
    }
}

/// Life-cycle state: built, no message delivered yet.
pub struct Ready;
/// Life-cycle state: delivers messages.
pub struct Running;
/// Life-cycle state: delivers messages until the remaining work has ended.
pub struct Draining;
/// Life-cycle state: delivers no more messages.
pub struct Stopped;

/// Life-cycle states in which messages are delivered.
pub trait Delivering {}

impl Delivering for Running {}
impl Delivering for Draining {}

struct Core<M, A> {
    services: BTreeMap<Name, Box<dyn Service<M, A>>>,
    queue: Queue<M>,
    rng: SmallRng,
}

/// Named services and the messages between them.
pub struct Kernel<M, A, S> {
    core: Core<M, A>,
    state: PhantomData<S>,
}

impl<M, A, S> Kernel<M, A, S> {
    fn into_state<T>(self) -> Kernel<M, A, T> {
        Kernel { core: self.core, state: PhantomData }
    }

    /// Returns the names of the services in lexical order.
    pub fn names(&self) -> impl Iterator<Item = Name> {
        self.core.services.keys().copied()
    }
}

impl<M, A> Kernel<M, A, Ready> {
    /// Starts to deliver messages.
    pub fn run(self) -> Kernel<M, A, Running> {
        self.into_state()
    }
}

impl<M, A, S: Delivering> Kernel<M, A, S> {
    /// Delivers `message` to `to`, and all messages that follow from it and are due at `now`.
    pub fn step(&mut self, now: Duration, to: Name, message: M) -> Vec<A> {
        self.core.step(now, Some((to, message)))
    }

    /// Delivers the delayed messages that are due at `now`.
    pub fn tick(&mut self, now: Duration) -> Vec<A> {
        self.core.step(now, None)
    }

    /// Returns the time at which the next delayed message is due.
    pub fn next_due(&self) -> Option<Duration> {
        self.core.queue.next_due()
    }
}

impl<M, A> Kernel<M, A, Running> {
    /// Enters the draining state. The services learn of it from messages of their own.
    pub fn drain(self) -> Kernel<M, A, Draining> {
        self.into_state()
    }
}

impl<M, A> Kernel<M, A, Draining> {
    /// Stops the kernel and drops the messages that are not delivered.
    pub fn stop(self) -> Kernel<M, A, Stopped> {
        self.into_state()
    }
}

impl<M, A> Core<M, A> {
    fn step(&mut self, now: Duration, first: Option<(Name, M)>) -> Vec<A> {
        let mut actions = Vec::new();
        if let Some((to, message)) = first {
            self.queue.push(now, to, message);
        }
        while let Some(envelope) = self.queue.pop(now) {
            let Some(service) = self.services.get_mut(envelope.to) else {
                debug_assert!(false, "no service is named {}", envelope.to);
                continue;
            };
            let mut context =
                Context { now, rng: &mut self.rng, queue: &mut self.queue, actions: &mut actions };
            service.handle(envelope.message, &mut context);
        }
        actions
    }
}
