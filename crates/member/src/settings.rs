//! Settings of the service.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use fleet::NodeName;

use crate::Incarnation;

/// Settings; the defaults serve both deployments of today and the largest size.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This node's name.
    pub name: NodeName,
    /// Where other nodes reach it.
    pub address: SocketAddr,
    /// Incarnation at the start: higher than in all earlier lives of a node of this name, for
    /// example the milliseconds since 1970.
    pub incarnation: Incarnation,
    /// Time between two rounds of heartbeats.
    pub period: Duration,
    /// Most other nodes that form a full mesh.
    pub mesh: usize,
    /// Heartbeats in a round, above the full mesh.
    pub fanout: usize,
    /// Heartbeats in a row without a reply that make a node a suspect.
    pub silences: u32,
    /// Time in which a suspect may refute before it counts as dead.
    pub suspicion: Duration,
    /// Time without a step after which a node doubts its own view.
    pub gap: Duration,
    /// How long a node that is not listed counts after its last heartbeat.
    pub unlisted: Duration,
    /// How long word that a target leaves holds against a list that has it live.
    pub leaving: Duration,
    /// How long a quarantine holds.
    pub quarantine: Duration,
    /// Targets of one rack or failure domain that go within this time went together.
    pub together: Duration,
    /// Most facts in a heartbeat.
    pub facts: usize,
    /// Most facts in the reply to a node that asks for all.
    pub healing: usize,
    /// Most facts that are kept.
    pub kept: usize,
    /// Most entries of demand in a heartbeat.
    pub shares: usize,
    /// Whether urgent facts are pushed at once; off only to show what they wait for without.
    pub push: bool,
    /// Whether a node doubts itself after a gap; off only to show what goes wrong without.
    pub doubt: bool,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            name: NodeName::default(),
            address: SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0)),
            incarnation: 1,
            period: Duration::from_millis(500),
            mesh: 8,
            fanout: 2,
            silences: 3,
            suspicion: Duration::from_secs(3),
            gap: Duration::from_secs(1),
            unlisted: Duration::from_secs(60),
            leaving: Duration::from_secs(600),
            quarantine: Duration::from_secs(600),
            together: Duration::from_secs(10),
            facts: 8,
            healing: 24,
            kept: 20_000,
            shares: 12,
            push: true,
            doubt: true,
        }
    }
}

impl Settings {
    /// Starts a builder for the node `name`, reached at `address`.
    pub fn builder(name: NodeName, address: SocketAddr, incarnation: Incarnation) -> Builder {
        Builder { settings: Self { name, address, incarnation, ..Self::default() } }
    }
}

/// Builds [`Settings`].
#[derive(Clone, Debug)]
pub struct Builder {
    settings: Settings,
}

impl Builder {
    /// Sets the time between two rounds of heartbeats.
    pub fn period(mut self, span: Duration) -> Self {
        self.settings.period = span;
        self
    }

    /// Sets the heartbeats in a round above the full mesh.
    pub fn fanout(mut self, count: usize) -> Self {
        self.settings.fanout = count;
        self
    }

    /// Sets how long a quarantine holds.
    pub fn quarantine(mut self, span: Duration) -> Self {
        self.settings.quarantine = span;
        self
    }

    /// Sets how long word that a target leaves holds against the list.
    pub fn leaving(mut self, span: Duration) -> Self {
        self.settings.leaving = span;
        self
    }

    /// Sets whether urgent facts are pushed at once.
    pub fn push(mut self, on: bool) -> Self {
        self.settings.push = on;
        self
    }

    /// Sets whether a node doubts itself after a gap.
    pub fn doubt(mut self, on: bool) -> Self {
        self.settings.doubt = on;
        self
    }

    /// Ends the building.
    pub fn build(self) -> Settings {
        self.settings
    }
}
