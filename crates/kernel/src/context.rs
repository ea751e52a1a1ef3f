//! Context of a service while it handles a message.

use std::time::Duration;

use rand::rngs::SmallRng;

use crate::Name;
use crate::queue::Queue;

/// Gives a service the time, random numbers, and access to other services and the outside world.
pub struct Context<'a, M, A> {
    pub(crate) now: Duration,
    pub(crate) rng: &'a mut SmallRng,
    pub(crate) queue: &'a mut Queue<M>,
    pub(crate) actions: &'a mut Vec<A>,
}

impl<M, A> Context<'_, M, A> {
    /// Returns the time since the process started.
    pub fn now(&self) -> Duration {
        self.now
    }

    /// Returns the kernel's seeded generator.
    pub fn rng(&mut self) -> &mut SmallRng {
        self.rng
    }

    /// Sends a message to a service. It is delivered in this step, after the messages sent before
    /// it.
    pub fn send(&mut self, to: Name, message: M) {
        self.queue.push(self.now, to, message);
    }

    /// Sends a message to a service after a delay.
    pub fn send_after(&mut self, delay: Duration, to: Name, message: M) {
        self.queue.push(self.now + delay, to, message);
    }

    /// Requests an action from the outside world.
    pub fn act(&mut self, action: A) {
        self.actions.push(action);
    }
}
