//! Routes: which requests go to which services.

use std::time::Duration;

use smol_str::SmolStr;

/// A route of a host.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name.
    pub name: SmolStr,
    /// Host that it belongs to.
    pub host: SmolStr,
    /// Paths that it takes; begins and ends with a slash.
    pub prefix: SmolStr,
    /// What may be repeated.
    pub kind: Kind,
    /// Longest time from a request's arrival to its final answer.
    pub timeout: Duration,
    /// Time to the (first) answer that callers expect.
    pub latency_goal: Duration,
    /// Most targets that one request is sent to.
    pub attempts: u32,
    /// Rank; 0 is the highest.
    pub priority: u8,
    /// Whether requests need no key.
    pub public: bool,
    /// Where requests go.
    pub backends: Vec<Backend>,
}

/// A service that takes a share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Backend {
    /// Name of the service.
    pub service: SmolStr,
    /// Share, relative to the others of the route.
    pub weight: u32,
}

/// What may be repeated, and how answers come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Idempotent; one answer.
    Safe,
    /// Runs at most once; one answer.
    Unsafe,
    /// A series of events.
    Stream {
        /// Whether another target may go on after the last event that was delivered.
        resumable: bool,
    },
}

impl Kind {
    /// Whether a request may run more than once.
    pub fn is_idempotent(self) -> bool {
        matches!(self, Kind::Safe | Kind::Stream { resumable: true })
    }
}

impl Route {
    /// The service that takes a request whose draw is `draw`, from 0 to 1.
    pub fn backend(&self, draw: f64) -> Option<&SmolStr> {
        let total: u32 = self.backends.iter().map(|backend| backend.weight).sum();
        let mut left = draw * f64::from(total);
        for backend in &self.backends {
            left -= f64::from(backend.weight);
            if left < 0.0 {
                return Some(&backend.service);
            }
        }
        self.backends.iter().rfind(|backend| backend.weight > 0).map(|backend| &backend.service)
    }
}
