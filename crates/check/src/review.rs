//! Contradictions within a document, and with the bounds of the nodes.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use site::Limits as Defaults;
use smol_str::{SmolStr, format_smolstr};

use crate::document::{Document, Key, Limits, Organisation, Route};
use crate::{Cause, Finding, Place, fingerprint};

/// Highest rank of a priority; the lowest is 0.
const MAX_RANK: f64 = 9.0;

/// Bounds of the nodes that are not part of a configuration.
#[derive(Clone, Copy, Debug, Default)]
pub struct Bounds {
    /// Memory of the VM, bytes; `None` skips the comparison.
    pub memory: Option<usize>,
    /// Time after which an engine gives up a request that hangs at a dead stage; `None` skips the
    /// comparison.
    pub stall: Option<Duration>,
}

/// Returns the findings about a document, in the order of its parts.
pub fn review(document: &Document, bounds: &Bounds) -> Vec<Finding> {
    let mut review = Review { document, bounds, findings: Vec::new() };
    review.check_routes();
    review.check_services();
    review.check_limits();
    review.check_organisations();
    review.findings
}

struct Review<'a> {
    document: &'a Document,
    bounds: &'a Bounds,
    findings: Vec<Finding>,
}

impl<'a> Review<'a> {
    fn add(&mut self, cause: Cause, place: &Place, reason: impl Into<SmolStr>) {
        self.findings.push(Finding::new(cause, place.clone(), reason));
    }

    fn check_routes(&mut self) {
        let mut names = HashMap::new();
        let mut prefixes = HashMap::new();
        let services: Option<HashSet<&str>> = self
            .document
            .services
            .as_ref()
            .map(|services| services.iter().map(|service| service.name.as_str()).collect());
        for route in self.document.routes.iter().flatten() {
            if let Some(name) = &route.name {
                self.check_name(&mut names, "a route", name, &route.place);
            }
            if let (Some(host), Some(prefix)) = (&route.host, &route.prefix) {
                self.check_match(route, host, prefix);
                if let Some(first) = prefixes.get(&(host, prefix)) {
                    let reason = format!(
                        "route {} is never used: {first} has the same host {host:?} and prefix \
                         {prefix:?}",
                        label(route)
                    );
                    self.add(Cause::ShadowedRoute, &route.place, reason);
                } else {
                    prefixes.insert((host, prefix), &route.place);
                }
            }
            self.check_backends(route, services.as_ref());
            self.check_times(route);
            if route.attempts.is_some_and(|attempts| attempts.round() < 1.0) {
                let reason = format!("route {} allows no attempt; nodes make one", label(route));
                self.add(Cause::Attempts, &route.place, reason);
            }
            if let Some(priority) = route.priority {
                self.check_rank(&route.place, priority);
            }
        }
    }

    /// Finds a route that no request matches: nodes compare with the host in lower case and without
    /// a port, and a path starts with a slash.
    fn check_match(&mut self, route: &Route, host: &str, prefix: &str) {
        let reason = if host.is_empty() || host.contains(|c: char| c == ':' || c.is_whitespace()) {
            format!("no request matches the host {host:?}: it is not a name without a port")
        } else if host.chars().any(|c| c.is_ascii_uppercase()) {
            format!("no request matches the host {host:?}: hosts are compared in lower case")
        } else if !prefix.starts_with('/') {
            format!("no request matches the prefix {prefix:?}: paths start with a slash")
        } else {
            return;
        };
        self.add(Cause::UnmatchedRoute, &route.place, reason);
    }

    fn check_backends(&mut self, route: &Route, services: Option<&HashSet<&str>>) {
        let Some(backends) = &route.backends else { return };
        // Nodes count negative weights as 0.
        if !backends.iter().any(|backend| backend.weight > 0.0) {
            let reason = match backends.is_empty() {
                true => "names no service",
                false => "has services whose weights sum to zero",
            };
            let reason = format!("route {} {reason}: its requests are refused", label(route));
            self.add(Cause::Weights, &route.place, reason);
        }
        for backend in backends {
            if backend.weight < 0.0 {
                let weight = backend.weight;
                let reason = format!("weight {weight} is negative; nodes count it as 0");
                self.add(Cause::Weights, &backend.place, reason);
            }
            let is_known = services.is_none_or(|names| names.contains(backend.service.as_str()));
            if backend.weight > 0.0 && !is_known {
                let reason = format!(
                    "service {:?} is not configured: nodes know no target of it",
                    backend.service
                );
                self.add(Cause::UnknownService, &backend.place, reason);
            }
        }
    }

    fn check_times(&mut self, route: &Route) {
        let timeout = route.timeout;
        if timeout.is_some_and(|timeout| timeout.is_zero()) {
            let reason = format!("route {} has a timeout of 0", label(route));
            self.add(Cause::Time, &route.place, reason);
        } else if let (Some(timeout), Some(goal)) = (timeout, route.latency_goal)
            && timeout < goal
        {
            let reason = format!(
                "route {} has a timeout of {timeout:?}, below its latency goal of {goal:?}",
                label(route)
            );
            self.add(Cause::LatencyGoal, &route.place, reason);
        }
        if let (Some(pause), Some(stall)) = (route.pause_goal, self.bounds.stall)
            && pause > stall
        {
            let reason = format!(
                "route {} allows a pause of {pause:?}, above the stall bound of {stall:?}",
                label(route)
            );
            self.add(Cause::Pause, &route.place, reason);
        }
    }

    fn check_rank(&mut self, place: &Place, priority: f64) {
        // Nodes use the nearest rank.
        if !(0.0..=MAX_RANK).contains(&priority.round()) {
            let reason = format!("priority {priority} is outside 0 to {MAX_RANK}");
            self.add(Cause::Rank, place, reason);
        }
    }

    fn check_services(&mut self) {
        let mut names = HashMap::new();
        for service in self.document.services.iter().flatten() {
            self.check_name(&mut names, "a service", &service.name, &service.place);
        }
    }

    fn check_limits(&mut self) {
        let defaults = Defaults::default();
        // The product's own preset has no routes and sets no limits for callers.
        if !self.document.has_routes {
            return;
        }
        let unset = Limits {
            place: "limits".into(),
            head_bytes: Some(defaults.head_bytes as f64),
            body_bytes: Some(defaults.body_bytes as f64),
            head_timeout: Some(defaults.head_timeout),
            idle_timeout: Some(defaults.idle_timeout),
        };
        let limits = self.document.limits.as_ref().unwrap_or(&unset);
        for (name, bytes) in [("header", limits.head_bytes), ("body", limits.body_bytes)] {
            let Some(bytes) = bytes else { continue };
            if bytes < 1.0 {
                let reason = format!("the {name} limit is {bytes} bytes");
                self.add(Cause::Value, &limits.place, reason);
            }
            if let Some(memory) = self.bounds.memory
                && bytes > memory as f64
            {
                let reason = format!(
                    "the {name} limit of {bytes} bytes is above the VM's memory of {memory} bytes"
                );
                self.add(Cause::Memory, &limits.place, reason);
            }
        }
        let times = [("header", limits.head_timeout), ("idle", limits.idle_timeout)];
        for (name, time) in times {
            if time.is_some_and(|time| time.is_zero()) {
                self.add(Cause::Time, &limits.place, format!("the {name} timeout is 0"));
            }
        }
    }

    fn check_organisations(&mut self) {
        let document = self.document;
        let routes = document.routes.as_ref();
        let all_public = routes.is_some_and(|routes| routes.iter().all(|route| route.public));
        let mut names = HashMap::new();
        let mut owners: HashMap<&SmolStr, (usize, &Place)> = HashMap::new();
        for (index, organisation) in document.organisations.iter().flatten().enumerate() {
            // The names and keys of a preset are checked where it is decoded, as one set.
            if let Some(name) = organisation.name.as_ref().filter(|_| !organisation.is_name_key) {
                self.check_name(&mut names, "an organisation", name, &organisation.place);
            }
            if let Some(priority) = organisation.priority {
                self.check_rank(&organisation.place, priority);
            }
            if all_public {
                let name = organisation_label(organisation);
                let reason =
                    format!("no route accepts organisation {name}: no route requires a key");
                self.add(Cause::UnusedOrganisation, &organisation.place, reason);
            }
            self.check_keys(index, organisation, &mut owners);
        }
    }

    fn check_keys(
        &mut self,
        index: usize,
        organisation: &'a Organisation,
        owners: &mut HashMap<&'a SmolStr, (usize, &'a Place)>,
    ) {
        let Some(keys) = &organisation.keys else { return };
        if !organisation.is_name_key && !keys.iter().any(is_sendable) {
            let name = organisation_label(organisation);
            let reason = format!("no route accepts organisation {name}: it has no valid key");
            self.add(Cause::UnusedOrganisation, &organisation.place, reason);
        }
        for key in keys {
            let print = fingerprint(&key.text);
            if !is_sendable(key) {
                let reason = format!(
                    "no route accepts key {print}: it is empty, or contains spaces at an end or \
                     characters that a header cannot contain"
                );
                self.add(Cause::UnusedKey, &key.place, reason);
            }
            let (owner, first) = *owners.entry(&key.text).or_insert((index, &key.place));
            if owner != index && !organisation.is_name_key {
                let reason = format!("key {print} belongs to two organisations: see {first}");
                self.add(Cause::SharedKey, &key.place, reason);
            }
        }
    }

    fn check_name(
        &mut self,
        names: &mut HashMap<&'a SmolStr, &'a Place>,
        what: &str,
        name: &'a SmolStr,
        place: &'a Place,
    ) {
        let first = *names.entry(name).or_insert(place);
        if first != place {
            let reason = format!("{first} is {what} with the same name {name:?}");
            self.add(Cause::DuplicateName, place, reason);
        }
    }
}

/// Returns whether a caller can send a key: nodes trim the text after `Bearer `, and compare it with
/// header values, which contain visible ASCII characters, spaces and tabs.
fn is_sendable(key: &Key) -> bool {
    let text = key.text.as_str();
    let is_valid = |byte: u8| (b' '..=b'~').contains(&byte) || byte == b'\t';
    !text.is_empty() && text.trim() == text && text.bytes().all(is_valid)
}

fn label(route: &Route) -> SmolStr {
    route.name.as_ref().map_or_else(|| "without a name".into(), |name| format_smolstr!("{name:?}"))
}

fn organisation_label(organisation: &Organisation) -> SmolStr {
    let name = organisation.name.as_ref();
    name.map_or_else(|| "without a name".into(), |name| format_smolstr!("{name:?}"))
}
