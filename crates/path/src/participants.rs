//! VMs that share the retry budget.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

/// Time within which all VMs learn of a newly started VM.
const DISCOVERY_TIME: Duration = Duration::from_secs(1);

/// Number of windows for which a removed VM still counts: it may have spent retries for one window
/// after it was last seen.
const RETENTION_WINDOWS: u32 = 2;

/// This VM's share of what all VMs may spend in a window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Share {
    /// Fraction of the retries that requests allow, applied to the requests that this VM counts
    /// itself.
    pub requests: f64,
    /// Fraction of the retries that are allowed beyond those for requests.
    pub extra: f64,
}

impl Share {
    /// No share, while the other participants are unknown.
    pub const NONE: Self = Self { requests: 0.0, extra: 0.0 };

    /// Returns the share of one of `vms` VMs, none of which has joined or left recently.
    pub fn equal(vms: usize) -> Self {
        Self { requests: 1.0, extra: 1.0 / vms.max(1) as f64 }
    }
}

/// The other VMs that may have spent retries recently.
///
/// A VM spends none of its own share until it has run for one window and all others know of it. All
/// VMs that spend in one window were therefore running together at its start, at different
/// addresses. A VM that loses contact with the store goes on for at most one window, and counts as
/// newly started when contact returns; the others see it removed when its lease ends. If each VM
/// divides the budget by the number of addresses seen in the last two windows, the total is never
/// exceeded, whichever VMs end or restart.
#[derive(Clone, Debug, Default)]
pub struct Participants {
    present: BTreeSet<SocketAddr>,
    /// Removed VMs, with the time of their removal.
    removed: BTreeMap<SocketAddr, Duration>,
    /// Latest time for which the set of present VMs is confirmed.
    confirmed: Duration,
    /// Time since which the set has been confirmed without interruption; 0 from the process start.
    confirmed_since: Duration,
}

impl Participants {
    /// Sets the other VMs that are present now.
    pub fn set_present(&mut self, now: Duration, present: BTreeSet<SocketAddr>) {
        for address in self.present.difference(&present) {
            self.removed.insert(*address, now);
        }
        self.removed.retain(|address, _| !present.contains(address));
        self.present = present;
    }

    /// Records that the set of present VMs was confirmed at `at`.
    pub fn confirm_present(&mut self, at: Duration, window: Duration) {
        if at.saturating_sub(self.confirmed) > window {
            self.confirmed_since = at;
        }
        self.confirmed = self.confirmed.max(at);
    }

    /// Returns this VM's share at `now`.
    pub fn share(&mut self, now: Duration, window: Duration) -> Share {
        self.removed.retain(|_, at| now.saturating_sub(*at) <= window * RETENTION_WINDOWS);
        let is_new = now < self.confirmed_since + window + DISCOVERY_TIME;
        if is_new || now.saturating_sub(self.confirmed) > window {
            return Share::NONE;
        }
        let present = (1 + self.present.len()) as f64;
        let recent = present + self.removed.len() as f64;
        // Callers of removed VMs send their requests to the others, and those requests were already
        // counted once.
        Share { requests: present / recent, extra: 1.0 / recent }
    }
}
