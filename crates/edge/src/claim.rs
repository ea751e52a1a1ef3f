//! Whether this node may give orders. No clock, no socket.

use std::time::Duration;

use platform::kv::Revision;

/// How long before a lease ends its holder stops acting on it.
const LEASE_MARGIN: Duration = Duration::from_millis(300);
/// How long a holder whose lease cannot be renewed goes on, where engines refuse lower fencing
/// numbers than they have seen. Outages of the store last some seconds.
const LEASE_GRACE: Duration = Duration::from_secs(15);

/// What is known of who gives orders.
#[derive(Clone, Debug, Default)]
pub struct Claim {
    /// The holder of the leader's key as last seen, with the revision of the key's creation.
    holder: Option<(String, Revision)>,
    /// Until when this node's own lease holds.
    lease_end: Duration,
    /// The highest fencing number that any node has told of.
    highest: Revision,
}

impl Claim {
    /// Takes the leader's key as the store has it.
    pub fn set_holder(&mut self, holder: Option<(String, Revision)>) {
        if let Some((_, fence)) = &holder {
            self.highest = self.highest.max(*fence);
        }
        self.holder = holder;
    }

    /// Takes a fencing number that another node knows.
    pub fn observe_fence(&mut self, fence: Revision) {
        self.highest = self.highest.max(fence);
    }

    /// Notes that this node's lease holds until a time.
    pub fn set_lease_end(&mut self, lease_end: Duration) {
        self.lease_end = lease_end;
    }

    /// Notes that this node's lease has ended or was given back, or that an engine refused
    /// its fencing number.
    pub fn clear_lease(&mut self) {
        self.lease_end = Duration::ZERO;
    }

    /// Whether nobody is known to lead.
    pub fn is_vacant(&self) -> bool {
        self.holder.is_none()
    }

    /// The highest fencing number known.
    pub fn highest(&self) -> Revision {
        self.highest
    }

    /// The fencing number of the orders of the node `name`, while it may give them.
    ///
    /// Where engines check fencing numbers (`fenced`), a holder that cannot reach the store
    /// goes on for a while: if another leads meanwhile, its number is higher, and engines and
    /// nodes tell.
    pub fn fence(&self, now: Duration, name: &str, fenced: bool) -> Option<Revision> {
        let (holder, fence) = self.holder.as_ref()?;
        if holder != name || *fence < self.highest || self.lease_end.is_zero() {
            return None;
        }
        let limit = if fenced { self.lease_end + LEASE_GRACE } else { self.lease_end };
        (now + LEASE_MARGIN < limit).then_some(*fence)
    }
}
