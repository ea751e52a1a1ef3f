//! Settings of membership.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use fleet::NodeName;

use crate::Incarnation;

/// Settings of membership; the defaults suit all current deployments and the largest planned
/// one.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of this node.
    pub name: NodeName,
    /// Address at which other nodes reach this node.
    pub address: SocketAddr,
    /// Initial incarnation. It must exceed all earlier incarnations of a node of this name, for
    /// example the milliseconds since 1970.
    pub incarnation: Incarnation,
    /// Time between two rounds of heartbeats.
    pub period: Duration,
    /// Maximum number of other nodes in a full mesh.
    pub max_mesh_peers: usize,
    /// Heartbeats per round when there are too many nodes for a full mesh.
    pub fanout: usize,
    /// Number of consecutive heartbeats without a reply after which a node is suspected.
    pub suspect_after: u32,
    /// Time in which a suspect may refute the suspicion before it counts as dead.
    pub suspicion_timeout: Duration,
    /// Time between two steps above which the node assumes that it was paused.
    pub max_step_gap: Duration,
    /// Time after its last heartbeat for which an unlisted node is known.
    pub unlisted_timeout: Duration,
    /// Time for which a leaving mark overrides a list that shows the target live.
    pub leaving_ttl: Duration,
    /// Time to live of a quarantine.
    pub quarantine_ttl: Duration,
    /// Time within which targets of one rack or failure domain count as lost together.
    pub loss_window: Duration,
    /// Maximum number of facts in a heartbeat, without those added for synchronisation or to
    /// announce this node.
    pub max_facts: usize,
    /// Maximum number of facts added to the reply to a node that requests all.
    pub max_sync_facts: usize,
    /// Maximum number of stored facts.
    pub max_stored_facts: usize,
    /// Maximum number of demand entries in a reply.
    pub max_demand_entries: usize,
    /// Whether urgent facts are pushed between rounds; disabled only to measure the difference.
    pub push: bool,
    /// Whether pauses of this node are detected; disabled only to show the failures without it.
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
    /// Returns a builder with default settings for the node `name`, reached at `address`.
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

    /// Sets the heartbeats per round when there are too many nodes for a full mesh.
    pub fn fanout(mut self, count: usize) -> Self {
        self.settings.fanout = count;
        self
    }

    /// Sets the time to live of a quarantine.
    pub fn quarantine_ttl(mut self, duration: Duration) -> Self {
        self.settings.quarantine_ttl = duration;
        self
    }

    /// Sets the time for which a leaving mark overrides the list.
    pub fn leaving_ttl(mut self, duration: Duration) -> Self {
        self.settings.leaving_ttl = duration;
        self
    }

    /// Enables or disables pushes between rounds.
    pub fn push(mut self, enabled: bool) -> Self {
        self.settings.push = enabled;
        self
    }

    /// Enables or disables the detection of pauses.
    pub fn pause_detection(mut self, enabled: bool) -> Self {
        self.settings.pause_detection = enabled;
        self
    }

    /// Returns the settings.
    pub fn build(self) -> Settings {
        self.settings
    }
}
