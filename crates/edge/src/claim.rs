//! Tracks whether this node may send orders. Uses neither a clock nor a socket.

use std::time::Duration;

use platform::kv::Revision;

/// Margin before the end of a lease at which its holder stops acting on it.
const LEASE_MARGIN: Duration = Duration::from_millis(300);
/// Time for which a holder that cannot renew its lease continues, if engines refuse fencing numbers
/// below the highest they have seen. Outages of the store last some seconds.
const LEASE_GRACE: Duration = Duration::from_secs(15);

/// The known leader, and this node's lease on the leader key.
#[derive(Clone, Debug, Default)]
pub struct Claim {
    /// The holder of the leader key as last seen, with the revision at which the key was created.
    holder: Option<(String, Revision)>,
    /// End of this node's own lease.
    lease_end: Duration,
    /// The highest fencing number seen in the store or reported by another node.
    highest: Revision,
}

impl Claim {
    /// Updates the holder from the leader key in the store.
    pub fn set_holder(&mut self, holder: Option<(String, Revision)>) {
        if let Some((_, fence)) = &holder {
            self.highest = self.highest.max(*fence);
        }
        self.holder = holder;
    }

    /// Records a fencing number that another node reported.
    pub fn observe_fence(&mut self, fence: Revision) {
        self.highest = self.highest.max(fence);
    }

    /// Records that this node's lease holds until `lease_end`.
    pub fn set_lease_end(&mut self, lease_end: Duration) {
        self.lease_end = lease_end;
    }

    /// Records that this node's lease has ended or was given up, or that an engine refused its
    /// fencing number.
    pub fn clear_lease(&mut self) {
        self.lease_end = Duration::ZERO;
    }

    /// Returns whether no leader is known.
    pub fn is_vacant(&self) -> bool {
        self.holder.is_none()
    }

    /// Returns whether another node than `name` is the known leader.
    pub fn is_held_by_another(&self, name: &str) -> bool {
        self.holder.as_ref().is_some_and(|(holder, _)| holder != name)
    }

    /// Returns the highest fencing number known.
    pub fn highest(&self) -> Revision {
        self.highest
    }

    /// Returns the fencing number for orders of the node `name`, if it may send orders.
    ///
    /// If engines check fencing numbers (`fenced`), a holder that cannot reach the store continues
    /// for a while. A new leader has a higher fencing number, which engines enforce and other nodes
    /// report.
    pub fn fence(&self, now: Duration, name: &str, fenced: bool) -> Option<Revision> {
        let (holder, fence) = self.holder.as_ref()?;
        if holder != name || *fence < self.highest || self.lease_end.is_zero() {
            return None;
        }
        let limit = if fenced { self.lease_end + LEASE_GRACE } else { self.lease_end };
        (now + LEASE_MARGIN < limit).then_some(*fence)
    }
}
