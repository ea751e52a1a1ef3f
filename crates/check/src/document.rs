//! A configuration as written.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use fleet::Version;
use site::{Kind, Model};
use smol_str::SmolStr;

/// Place in a document, for example `routes[2]` or `line 7`.
pub type Place = SmolStr;

/// A configuration as written. Parts that are missing or cannot be decoded are `None`.
#[derive(Clone, Debug, Default)]
pub struct Document {
    /// Version; `None` also in documents whose version is assigned later.
    pub version: Option<Version>,
    /// Settings without further structure, which are only compared.
    pub settings: Vec<Setting>,
    /// Limits for callers; `None` if the document sets none.
    pub limits: Option<Limits>,
    /// Routes; `None` if the list cannot be decoded.
    pub routes: Option<Vec<Route>>,
    /// Services; `None` if the list or a name in it cannot be decoded.
    pub services: Option<Vec<Service>>,
    /// Organisations; `None` if requests need no key, or the list cannot be decoded.
    pub organisations: Option<Vec<Organisation>>,
    /// Whether documents of this format have routes and limits for callers.
    pub has_routes: bool,
}

/// A setting with its value as text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Setting {
    /// Name.
    pub name: SmolStr,
    /// Value.
    pub value: SmolStr,
}

/// Limits for callers.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Place in the document.
    pub place: Place,
    /// Maximum request head, bytes.
    pub head_bytes: Option<f64>,
    /// Maximum request body, bytes.
    pub body_bytes: Option<f64>,
    /// Maximum time for a request head to arrive.
    pub head_timeout: Option<Duration>,
    /// Maximum time that a connection may be idle.
    pub idle_timeout: Option<Duration>,
}

/// A route of a host.
#[derive(Clone, Debug, Default)]
pub struct Route {
    /// Place in the document.
    pub place: Place,
    /// Name.
    pub name: Option<SmolStr>,
    /// Host.
    pub host: Option<SmolStr>,
    /// Prefix of the paths.
    pub prefix: Option<SmolStr>,
    /// Kind of the requests.
    pub kind: Option<Kind>,
    /// Maximum time from the arrival of a request to its final answer.
    pub timeout: Option<Duration>,
    /// Time to the (first) answer that callers expect.
    pub latency_goal: Option<Duration>,
    /// Longest pause between two events of a stream that callers expect.
    pub pause_goal: Option<Duration>,
    /// Maximum number of targets that one request is sent to.
    pub attempts: Option<f64>,
    /// Priority; 0 is the highest.
    pub priority: Option<f64>,
    /// Whether requests need no key.
    pub public: bool,
    /// Services that requests are distributed to; `None` if they cannot be decoded.
    pub backends: Option<Vec<Backend>>,
}

/// A service that gets a share of the requests of a route.
#[derive(Clone, Debug, PartialEq)]
pub struct Backend {
    /// Place in the document.
    pub place: Place,
    /// Name of the service.
    pub service: SmolStr,
    /// Weight relative to the other services of the route.
    pub weight: f64,
}

/// A service.
#[derive(Clone, Debug)]
pub struct Service {
    /// Place in the document.
    pub place: Place,
    /// Name.
    pub name: SmolStr,
    /// Connections that each target accepts.
    pub connections: Option<f64>,
    /// Model that the service runs; `None` for a plain service.
    pub model: Option<Arc<Model>>,
}

/// An organisation.
#[derive(Clone, Debug)]
pub struct Organisation {
    /// Place in the document.
    pub place: Place,
    /// Name; `None` if it cannot be decoded.
    pub name: Option<SmolStr>,
    /// Priority that overrides that of the route.
    pub priority: Option<f64>,
    /// Share of the capacity, relative to the other organisations.
    pub weight: Option<f64>,
    /// Keys; `None` if they cannot be decoded.
    pub keys: Option<Vec<Key>>,
    /// Whether the name is accepted as a key.
    pub is_name_key: bool,
}

/// A key of an organisation.
#[derive(Clone, PartialEq, Eq)]
pub struct Key {
    /// Place in the document.
    pub place: Place,
    /// Text that callers send.
    pub text: SmolStr,
}

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Key")
            .field("place", &self.place)
            .field("fingerprint", &crate::fingerprint(&self.text))
            .finish()
    }
}
