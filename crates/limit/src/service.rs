//! The service: a state machine without clock, thread or socket.

use std::time::Duration;

use rand::rngs::SmallRng;

use crate::{Action, Message, Settings};

/// Decides which request runs when, and which is refused.
pub struct Limiter {
    _settings: Settings,
}

impl Limiter {
    /// Makes the service.
    pub fn new(settings: Settings) -> Self {
        Self { _settings: settings }
    }

    /// Handles one message at `now` and appends the actions that it asks for.
    pub fn step(
        &mut self,
        _now: Duration,
        _message: Message,
        _rng: &mut SmallRng,
        _actions: &mut Vec<Action>,
    ) {
    }
}
