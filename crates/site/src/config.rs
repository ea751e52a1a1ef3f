//! The operators' configuration, indexed for look-up.

use std::collections::HashMap;
use std::sync::Arc;

use fleet::{OrganisationName, Version};
use smol_str::SmolStr;

use crate::{Limits, Model, Route};

/// One version of the configuration.
#[derive(Clone, Debug, Default)]
pub struct Config {
    /// Version; versions only grow.
    pub version: Version,
    /// What callers may send.
    pub limits: Limits,
    routes: Vec<Route>,
    services: HashMap<SmolStr, Service>,
    /// Routes of each host, longest prefix first.
    hosts: HashMap<SmolStr, Vec<usize>>,
    keys: HashMap<SmolStr, Organisation>,
    /// Whether requests must carry a key.
    keyed: bool,
}

/// A service that targets belong to.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name.
    pub name: SmolStr,
    /// Connections that each target accepts from all callers together.
    pub connections: u32,
    /// The model behind it; `None` for a plain service.
    pub model: Option<Arc<Model>>,
}

/// Who holds a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Organisation {
    /// Name.
    pub name: OrganisationName,
    /// Rank that goes before that of the route; 0 is the highest.
    pub priority: Option<u8>,
}

impl Config {
    /// Indexes a configuration. `keys` is `None` where requests need no key.
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
        for list in hosts.values_mut() {
            list.sort_by_key(|&index| std::cmp::Reverse(routes[index].prefix.len()));
        }
        let services = services.into_iter().map(|service| (service.name.clone(), service));
        Self {
            version,
            limits,
            services: services.collect(),
            hosts,
            keyed: keys.is_some(),
            keys: keys.unwrap_or_default(),
            routes,
        }
    }

    /// The route of a host with the longest prefix of `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let list = self.hosts.get(host)?;
        let mut routes = list.iter().map(|&index| &self.routes[index]);
        routes.find(|route| path.starts_with(route.prefix.as_str()))
    }

    /// A service by name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }

    /// All services.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.services.values()
    }

    /// Who holds a key.
    pub fn key_owner(&self, key: &str) -> Option<&Organisation> {
        self.keys.get(key)
    }

    /// Whether requests on routes that are not public must carry a key.
    pub fn requires_keys(&self) -> bool {
        self.keyed
    }
}
