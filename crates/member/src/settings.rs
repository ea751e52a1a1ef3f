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
    pub max_mesh_peers: usize,
    /// Heartbeats in a round, above the full mesh.
    pub fanout: usize,
    /// Heartbeats in a row without a reply that make a node a suspect.
    pub suspect_after: u32,
    /// Time in which a suspect may refute before it counts as dead.
    pub suspicion_timeout: Duration,
    /// Time without a step after which a node doubts its own view.
    pub max_step_gap: Duration,
    /// How long a node that is not listed counts after its last heartbeat.
    pub unlisted_timeout: Duration,
    /// How long word that a target leaves holds against a list that has it live.
    pub leaving_ttl: Duration,
    /// How long a quarantine holds.
    pub quarantine_ttl: Duration,
    /// Targets of one rack or failure domain that go within this time went together.
    pub loss_window: Duration,
    /// Most facts in a heartbeat.
    pub max_facts: usize,
    /// Most facts in the reply to a node that asks for all.
    pub max_sync_facts: usize,
    /// Most facts that are kept.
    pub max_stored_facts: usize,
    /// Most entries of demand in a heartbeat.
    pub max_demand_entries: usize,
    /// Whether urgent facts are pushed at once; off only to show what they wait for without.
    pub push: bool,
    /// Whether a node doubts itself after a gap; off only to show what goes wrong without.
    pub pause_detection: bool,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            name: NodeName::default(),
            address: SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0)),
            incarnation: 1,
            period: Duration::from_millis(500),
            max_mesh_peers: 8,
            fanout: 2,
            suspect_after: 3,
            suspicion_timeout: Duration::from_secs(3),
            max_step_gap: Duration::from_secs(1),
            unlisted_timeout: Duration::from_secs(60),
            leaving_ttl: Duration::from_secs(600),
            quarantine_ttl: Duration::from_secs(600),
            loss_window: Duration::from_secs(10),
            max_facts: 8,
            max_sync_facts: 24,
            max_stored_facts: 20_000,
            max_demand_entries: 12,
            push: true,
            pause_detection: true,
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
    pub fn period(mut self, duration: Duration) -> Self {
        self.settings.period = duration;
        self
    }

    /// Sets the heartbeats in a round above the full mesh.
    pub fn fanout(mut self, count: usize) -> Self {
        self.settings.fanout = count;
        self
    }

    /// Sets how long a quarantine holds.
    pub fn quarantine_ttl(mut self, duration: Duration) -> Self {
        self.settings.quarantine_ttl = duration;
        self
    }

    /// Sets how long word that a target leaves holds against the list.
    pub fn leaving_ttl(mut self, duration: Duration) -> Self {
        self.settings.leaving_ttl = duration;
        self
    }

    /// Sets whether urgent facts are pushed at once.
    pub fn push(mut self, enabled: bool) -> Self {
        self.settings.push = enabled;
        self
    }

    /// Sets whether a node doubts itself after a gap.
    pub fn pause_detection(mut self, enabled: bool) -> Self {
        self.settings.pause_detection = enabled;
        self
    }

    /// Ends the building.
    pub fn build(self) -> Settings {
        self.settings
    }
}
