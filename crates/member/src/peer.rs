//! State of another node, as seen by this node.

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
    /// Time of the last change of `state`.
    pub(crate) state_since: Duration,
    pub(crate) preset: Version,
    /// Whether the platform's list contains the node.
    pub(crate) listed: bool,
    /// Time of the last heartbeat or reply from the node.
    pub(crate) last_received: Option<Duration>,
    /// Time at which the oldest outstanding heartbeat was sent.
    pub(crate) requested: Option<Duration>,
    /// Number of consecutive heartbeats without a reply.
    pub(crate) missed: u32,
    /// The last reply.
    pub(crate) reply: Option<Reply>,
}

/// Evidence from a reply to a heartbeat.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Reply {
    /// Time at which the heartbeat was sent.
    pub(crate) requested: Duration,
    pub(crate) preset: Version,
    /// Whether the node counts towards a majority: it has had a proof of freshness since its
    /// start.
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

    /// Applies a heartbeat received directly from the node; returns whether its state changed.
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

    /// Sets the state; returns whether it changed.
    pub(crate) fn set_state(&mut self, now: Duration, state: State) -> bool {
        if self.state == state {
            return false;
        }
        self.state = state;
        self.state_since = now;
        true
    }

    /// Whether the node counts as known: it is listed or has recently sent a heartbeat, and has
    /// not left.
    pub(crate) fn is_known(&self, now: Duration, unlisted_timeout: Duration) -> bool {
        let recent = self.last_received.is_some_and(|received| now <= received + unlisted_timeout);
        self.state != State::Left && (self.listed || recent)
    }

    /// Whether the node can be removed: it is not listed, and neither a heartbeat nor a change
    /// of state is recent.
    pub(crate) fn is_expired(&self, now: Duration, unlisted_timeout: Duration) -> bool {
        let last = self.last_received.unwrap_or(self.state_since).max(self.state_since);
        !self.listed && now > last + unlisted_timeout
    }

    pub(crate) fn node(&self, name: &NodeName) -> Node {
        Node { name: name.clone(), address: self.address, state: self.state, preset: self.preset }
    }
}
