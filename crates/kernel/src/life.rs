//! The life cycle of a kernel, as a typestate: ready, running, draining, stopped.

use std::collections::BTreeMap;
use std::marker::PhantomData;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::queue::Queue;
use crate::{Context, Duplicate, Name, Service};

/// Collects the services of a kernel.
pub struct Builder<M, A> {
    seed: u64,
    services: Vec<Box<dyn Service<M, A>>>,
}

impl<M, A> Builder<M, A> {
    /// Starts a kernel whose generator is seeded with `seed`.
    pub fn new(seed: u64) -> Self {
        Self { seed, services: Vec::new() }
    }

    /// Adds a service.
    pub fn service(mut self, service: impl Service<M, A> + 'static) -> Self {
        self.services.push(Box::new(service));
        self
    }

    /// Makes the kernel.
    ///
    /// # Errors
    ///
    /// Returns [`Duplicate`] when two services have one name.
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

/// Life-cycle state: set up, nothing delivered yet.
pub struct Ready;
/// Life-cycle state: delivers messages.
pub struct Running;
/// Life-cycle state: delivers messages until the last work has ended.
pub struct Draining;
/// Life-cycle state: delivers nothing any more.
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

/// Services under names, and the messages between them.
pub struct Kernel<M, A, S> {
    core: Core<M, A>,
    state: PhantomData<S>,
}

impl<M, A, S> Kernel<M, A, S> {
    fn become_state<T>(self) -> Kernel<M, A, T> {
        Kernel { core: self.core, state: PhantomData }
    }

    /// Names of the services, in order.
    pub fn names(&self) -> impl Iterator<Item = Name> {
        self.core.services.keys().copied()
    }
}

impl<M, A> Kernel<M, A, Ready> {
    /// Begins to deliver messages.
    pub fn run(self) -> Kernel<M, A, Running> {
        self.become_state()
    }
}

impl<M, A, S: Delivering> Kernel<M, A, S> {
    /// Delivers `message` to `to` and all that follows from it until `now`.
    pub fn step(&mut self, now: Duration, to: Name, message: M) -> Vec<A> {
        self.core.step(now, Some((to, message)))
    }

    /// Delivers what has become due until `now`.
    pub fn tick(&mut self, now: Duration) -> Vec<A> {
        self.core.step(now, None)
    }

    /// When the next delayed message is due.
    pub fn next_due(&self) -> Option<Duration> {
        self.core.queue.next_due()
    }
}

impl<M, A> Kernel<M, A, Running> {
    /// Goes on to the last work; the services are told by messages of their own.
    pub fn drain(self) -> Kernel<M, A, Draining> {
        self.become_state()
    }
}

impl<M, A> Kernel<M, A, Draining> {
    /// Ends; messages that still wait are dropped.
    pub fn stop(self) -> Kernel<M, A, Stopped> {
        self.become_state()
    }
}

impl<M, A> Core<M, A> {
    fn step(&mut self, now: Duration, first: Option<(Name, M)>) -> Vec<A> {
        let mut actions = Vec::new();
        if let Some((to, message)) = first {
            self.queue.push(now, to, message);
        }
        while let Some(letter) = self.queue.pop(now) {
            let Some(service) = self.services.get_mut(letter.to) else {
                debug_assert!(false, "no service is named {}", letter.to);
                continue;
            };
            let mut context =
                Context { now, rng: &mut self.rng, queue: &mut self.queue, actions: &mut actions };
            service.handle(letter.message, &mut context);
        }
        actions
    }
}
