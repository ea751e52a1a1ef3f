//! What this node knows of each other node.

use std::net::SocketAddr;
use std::time::Duration;

use fleet::{NodeName, Version};

use crate::{Heartbeat, Incarnation, Node, State};

/// Another node.
#[derive(Clone, Debug)]
pub(crate) struct Peer {
    pub(crate) address: SocketAddr,
    pub(crate) incarnation: Incarnation,
    pub(crate) state: State,
    /// When it came into that state.
    pub(crate) state_since: Duration,
    pub(crate) preset: Version,
    /// Whether the platform's list has it.
    pub(crate) listed: bool,
    /// When it was last heard.
    pub(crate) last_received: Option<Duration>,
    /// When the heartbeat without a reply was sent.
    pub(crate) requested: Option<Duration>,
    /// Heartbeats in a row without a reply.
    pub(crate) missed: u32,
    /// Its last reply.
    pub(crate) reply: Option<Reply>,
}

/// What a reply showed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Reply {
    /// When it was asked for.
    pub(crate) requested: Duration,
    pub(crate) preset: Version,
    /// Whether the node has had a proof of freshness since its start.
    pub(crate) voter: bool,
}

impl Peer {
    pub(crate) fn new(now: Duration, address: SocketAddr, listed: bool) -> Self {
        Self {
            address,
            incarnation: 0,
            state: State::Alive,
            state_since: now,
            preset: 0,
            listed,
            last_received: None,
            requested: None,
            missed: 0,
            reply: None,
        }
    }

    /// Takes a heartbeat that came straight from the node; says whether its state changed.
    pub(crate) fn receive(&mut self, now: Duration, heartbeat: &Heartbeat) -> bool {
        if heartbeat.incarnation < self.incarnation {
            return false;
        }
        if heartbeat.incarnation > self.incarnation {
            self.incarnation = heartbeat.incarnation;
            self.preset = 0;
        }
        self.last_received = Some(now);
        self.missed = 0;
        self.preset = self.preset.max(heartbeat.preset);
        let state = if heartbeat.leaving { State::Left } else { State::Alive };
        self.set_state(now, state)
    }

    /// Changes the state; says whether it is another.
    pub(crate) fn set_state(&mut self, now: Duration, state: State) -> bool {
        if self.state == state {
            return false;
        }
        self.state = state;
        self.state_since = now;
        true
    }

    /// Whether the node counts among those known: listed or lately heard, and not left.
    pub(crate) fn is_known(&self, now: Duration, unlisted_timeout: Duration) -> bool {
        let recent = self.last_received.is_some_and(|received| now <= received + unlisted_timeout);
        self.state != State::Left && (self.listed || recent)
    }

    /// Whether nothing is left to remember.
    pub(crate) fn is_expired(&self, now: Duration, unlisted_timeout: Duration) -> bool {
        let last = self.last_received.unwrap_or(self.state_since).max(self.state_since);
        !self.listed && now > last + unlisted_timeout
    }

    pub(crate) fn node(&self, name: &NodeName) -> Node {
        Node { name: name.clone(), address: self.address, state: self.state, preset: self.preset }
    }
}
