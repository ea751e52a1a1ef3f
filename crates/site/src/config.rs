//! The operators' configuration, indexed for look-up.

use std::collections::HashMap;
use std::sync::Arc;

use fleet::{OrganisationName, Version};
use smol_str::SmolStr;

use crate::{Kind, Limits, Model, Route};

/// One version of the configuration.
#[derive(Clone, Debug, Default)]
pub struct Config {
    /// Version; later versions are higher.
    pub version: Version,
    /// Limits for callers.
    pub limits: Limits,
    routes: Vec<Route>,
    services: HashMap<SmolStr, Service>,
    /// Routes of each host, longest prefix first.
    hosts: HashMap<SmolStr, Vec<usize>>,
    keys: HashMap<SmolStr, Organisation>,
    /// Whether requests must carry a key.
    keys_required: bool,
    /// Whether streaming routes have different priorities.
    has_ranked_streams: bool,
}

/// A service, which targets belong to.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name.
    pub name: SmolStr,
    /// Connections that each target accepts from all callers together.
    pub connections: u32,
    /// Model that the service runs; `None` for a plain service.
    pub model: Option<Arc<Model>>,
}

/// Owner of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Organisation {
    /// Name.
    pub name: OrganisationName,
    /// Priority that overrides that of the route; 0 is the highest.
    pub priority: Option<u8>,
}

impl Config {
    /// Indexes a configuration. `keys` is `None` if requests need no key.
    pub fn new(
        version: Version,
        limits: Limits,
        routes: Vec<Route>,
        services: Vec<Service>,
        keys: Option<HashMap<SmolStr, Organisation>>,
    ) -> Self {
        let mut hosts: HashMap<SmolStr, Vec<usize>> = HashMap::new();
        for (index, route) in routes.iter().enumerate() {
            hosts.entry(route.host.clone()).or_default().push(index);
        }
        let mut streams = routes.iter().filter(|route| matches!(route.kind, Kind::Stream { .. }));
        let first = streams.next().map(|route| route.priority);
        let has_ranked_streams = streams.any(|route| Some(route.priority) != first);
        for indices in hosts.values_mut() {
            indices.sort_by_key(|&index| std::cmp::Reverse(routes[index].prefix.len()));
        }
        let services = services.into_iter().map(|service| (service.name.clone(), service));
        Self {
            version,
            limits,
            services: services.collect(),
            hosts,
            has_ranked_streams,
            keys_required: keys.is_some(),
            keys: keys.unwrap_or_default(),
            routes,
        }
    }

    /// Returns the route of a host with the longest matching prefix of `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let indices = self.hosts.get(host)?;
        let mut routes = indices.iter().map(|&index| &self.routes[index]);
        routes.find(|route| path.starts_with(route.prefix.as_str()))
    }

    /// Returns a service by name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }

    /// Returns all services.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.services.values()
    }

    /// Returns the priorities that streaming requests can have, some of them several times.
    pub fn stream_ranks(&self) -> impl Iterator<Item = u8> {
        let streams = self.routes.iter().filter(|route| matches!(route.kind, Kind::Stream { .. }));
        let organisations = self.keys.values().filter_map(|organisation| organisation.priority);
        streams.map(|route| route.priority).chain(organisations)
    }

    /// Returns whether streaming routes have different priorities, so that the order of their requests
    /// matters where memory is short.
    pub fn has_ranked_streams(&self) -> bool {
        self.has_ranked_streams
    }

    /// Returns the owner of a key.
    pub fn key_owner(&self, key: &str) -> Option<&Organisation> {
        self.keys.get(key)
    }

    /// Returns whether requests on routes that are not public must carry a key.
    pub fn requires_keys(&self) -> bool {
        self.keys_required
    }
}
