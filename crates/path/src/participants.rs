//! The VMs that share what is allowed for all of them together.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

/// Time within which all VMs know of one that has started.
const NOTICE_TIME: Duration = Duration::from_secs(1);

/// Windows for which a VM that has gone still counts: it may have spent for one window after it
/// was last seen.
const KEPT_WINDOWS: u32 = 2;

/// This VM's part of what all VMs may spend in a window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Share {
    /// Part of what requests allow, for each request that this VM counts itself.
    pub requests: f64,
    /// Part of what is allowed besides.
    pub extra: f64,
}

impl Share {
    /// Nothing: it is not known who else spends.
    pub const NONE: Self = Self { requests: 0.0, extra: 0.0 };

    /// The share where the same `vms` have been there for long.
    pub fn equal(vms: usize) -> Self {
        Self { requests: 1.0, extra: 1.0 / vms.max(1) as f64 }
    }
}

/// The other VMs that may have spent something lately.
///
/// A VM spends nothing of its own before it has been there for a window, and known to all. So all
/// that spend in one window were there together at its beginning, at different addresses. One that
/// does not hear from the store goes on for a window at the most, and is like one that has started
/// anew when it hears again; the others see it go when its lease ends. Whoever divides by all addresses seen in the last two windows never spends too much
/// together with the others, whichever of them end or start anew.
#[derive(Clone, Debug, Default)]
pub struct Participants {
    present: BTreeSet<SocketAddr>,
    /// Those that have gone, with the time of it.
    gone: BTreeMap<SocketAddr, Duration>,
    /// Up to when it is known who is there.
    known: Duration,
    /// Since when this VM has known it all the while; 0 from its start.
    since: Duration,
}

impl Participants {
    /// Takes the other VMs that are there now.
    pub fn set_present(&mut self, now: Duration, present: BTreeSet<SocketAddr>) {
        for address in self.present.difference(&present) {
            self.gone.insert(*address, now);
        }
        self.gone.retain(|address, _| !present.contains(address));
        self.present = present;
    }

    /// Notes that it is known who was there at `at`.
    pub fn confirm_present(&mut self, at: Duration, window: Duration) {
        if at.saturating_sub(self.known) > window {
            self.since = at;
        }
        self.known = self.known.max(at);
    }

    /// The part of this VM.
    pub fn share(&mut self, now: Duration, window: Duration) -> Share {
        self.gone.retain(|_, at| now.saturating_sub(*at) <= window * KEPT_WINDOWS);
        let is_new = now < self.since + window + NOTICE_TIME;
        if is_new || now.saturating_sub(self.known) > window {
            return Share::NONE;
        }
        let present = (1 + self.present.len()) as f64;
        let recent = present + self.gone.len() as f64;
        // The requests of those that have gone come to the others, and were counted once.
        Share { requests: present / recent, extra: 1.0 / recent }
    }
}
