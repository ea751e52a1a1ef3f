//! Routes of requests to services.

use std::time::Duration;

use smol_str::SmolStr;

/// A route of a host.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name.
    pub name: SmolStr,
    /// Host that the route belongs to.
    pub host: SmolStr,
    /// Prefix of the paths that the route matches; starts and ends with a slash.
    pub prefix: SmolStr,
    /// Kind of the requests.
    pub kind: Kind,
    /// Maximum time from the arrival of a request to its final answer.
    pub timeout: Duration,
    /// Time to the (first) answer that callers expect.
    pub latency_goal: Duration,
    /// Maximum number of targets that one request is sent to.
    pub attempts: u32,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Whether requests need no key.
    pub public: bool,
    /// Services that requests are distributed to.
    pub backends: Vec<Backend>,
}

/// A service that gets a share of the requests of a route.
#[derive(Clone, Debug, PartialEq)]
pub struct Backend {
    /// Name of the service.
    pub service: SmolStr,
    /// Weight relative to the other services of the route; 0 or more.
    pub weight: f64,
}

/// Kind of a request: whether it may be repeated, and the form of its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Idempotent; one answer.
    Safe,
    /// Runs at most once; one answer.
    Unsafe,
    /// Answered by a stream of events.
    Stream {
        /// Whether another target may resume after the last delivered event.
        resumable: bool,
    },
}

impl Kind {
    /// Returns whether a request may run more than once.
    pub fn is_idempotent(self) -> bool {
        matches!(self, Kind::Safe | Kind::Stream { resumable: true })
    }
}

impl Route {
    /// Returns the service for a request with the random number `draw`, from 0 to 1.
    pub fn backend(&self, draw: f64) -> Option<&SmolStr> {
        let total: f64 = self.backends.iter().map(|backend| backend.weight).sum();
        let mut left = draw * total;
        for backend in &self.backends {
            left -= backend.weight;
            if left < 0.0 {
                return Some(&backend.service);
            }
        }
        self.backends.iter().rfind(|backend| backend.weight > 0.0).map(|backend| &backend.service)
    }
}
