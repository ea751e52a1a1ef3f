//! This node's view of the fleet: targets by dense id, links, and one pool for each model and
//! plain service.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use fleet::{DomainName, Kind, Layers, Link, Standing, Target, TargetId, TargetName};
use smol_str::SmolStr;

use crate::outlier::Health;
use crate::pool::Pool;
use crate::{Settings, load, prefix};

/// Time for which a target's refusal because it is leaving overrides fleet lists that show it as
/// live.
const LEAVING_REFUSAL_TTL: Duration = Duration::from_secs(60);

/// State of one target.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    /// Description of the target from the fleet view.
    pub(crate) target: Target,
    /// Dense number of its failure domain.
    pub(crate) domain: u16,
    /// Whether the current fleet view lists it.
    pub(crate) present: bool,
    /// Whether it is leaving, according to the fleet view or to its own refusals.
    pub(crate) leaving: bool,
    /// Time of its last refusal because it is leaving.
    pub(crate) refused_leaving_at: Option<Duration>,
    /// Time at which it joined; `None` if the first fleet view listed it.
    pub(crate) joined_at: Option<Duration>,
    /// Load of the target.
    pub(crate) load: load::View,
    /// Health of the target.
    pub(crate) health: Health,
    /// Estimated contents of its prefix cache.
    pub(crate) prefixes: prefix::View,
}

impl Entry {
    /// Returns whether plans may include the target.
    pub(crate) fn is_staying(&self) -> bool {
        self.present && !self.leaving
    }

    /// Returns the layers held, an empty range for a plain service.
    pub(crate) fn layers(&self) -> Layers {
        match &self.target.kind {
            Kind::Engine(engine) => engine.layers,
            Kind::Service(_) => Layers::new(0, 0),
        }
    }

    /// Returns the number of concurrent streams or calls.
    pub(crate) fn slots(&self) -> u32 {
        match &self.target.kind {
            Kind::Engine(engine) => engine.slots,
            Kind::Service(service) => service.slots,
        }
    }

    /// Returns the tokens per second through all layers held, or the slots of a plain service.
    pub(crate) fn rate(&self) -> f64 {
        match &self.target.kind {
            Kind::Engine(engine) => engine.tokens_per_second,
            Kind::Service(service) => f64::from(service.slots),
        }
    }

    /// Returns the name of its model or plain service.
    pub(crate) fn service(&self) -> &SmolStr {
        match &self.target.kind {
            Kind::Engine(engine) => &engine.model,
            Kind::Service(service) => &service.name,
        }
    }

    /// Returns the seconds that one token takes in the given layers.
    pub(crate) fn cost(&self, layers: Layers) -> f64 {
        let held = self.layers();
        let fraction =
            if held.is_empty() { 1.0 } else { f64::from(layers.len()) / f64::from(held.len()) };
        fraction / self.rate().max(f64::MIN_POSITIVE)
    }
}

/// The fleet as this node sees it.
#[derive(Debug, Default)]
pub(crate) struct View {
    /// Targets by id. The entries of targets that are no longer listed are reused.
    pub(crate) entries: Vec<Entry>,
    ids: HashMap<TargetName, TargetId>,
    domains: Vec<DomainName>,
    links: Vec<Link>,
    /// Pools by the name of the model or plain service.
    pub(crate) pools: BTreeMap<SmolStr, Pool>,
    /// Streams of other nodes per stream of this node.
    pub(crate) peer_ratio: f64,
    has_fleet: bool,
}

impl View {
    /// Returns the entry of a target.
    pub(crate) fn entry(&self, id: TargetId) -> &Entry {
        &self.entries[id as usize]
    }

    /// Returns the entry of a target for modification.
    pub(crate) fn entry_mut(&mut self, id: TargetId) -> &mut Entry {
        &mut self.entries[id as usize]
    }

    /// Returns the id of a target.
    pub(crate) fn id(&self, name: &str) -> Option<TargetId> {
        self.ids.get(name).copied()
    }

    /// Returns the links between failure domains.
    pub(crate) fn links(&self) -> &[Link] {
        &self.links
    }

    /// Returns the dense number of a failure domain, if a known target is in it.
    pub(crate) fn domain(&self, name: &str) -> Option<u16> {
        let index = self.domains.iter().position(|known| known == name)?;
        u16::try_from(index).ok()
    }

    /// Replaces the targets and links with those of a new fleet view.
    pub(crate) fn replace_fleet(&mut self, now: Duration, targets: Vec<Target>, links: Vec<Link>) {
        for entry in &mut self.entries {
            entry.present = false;
        }
        // Known targets are updated first, so that their entries are not reused for new ones.
        let (known, new): (Vec<Target>, Vec<Target>) =
            targets.into_iter().partition(|target| self.ids.contains_key(&target.name));
        for target in known.into_iter().chain(new) {
            self.upsert(now, target);
        }
        self.links = links;
        self.has_fleet = true;
    }

    fn upsert(&mut self, now: Duration, target: Target) {
        let domain = self.intern_domain(&target.domain);
        let leaving = target.standing == Standing::Leaving;
        if let Some(id) = self.id(&target.name) {
            let entry = self.entry_mut(id);
            // A target's own refusal is newer than the fleet list, which lags behind.
            let refused =
                entry.refused_leaving_at.is_some_and(|refused| now < refused + LEAVING_REFUSAL_TTL);
            entry.leaving = leaving || refused;
            entry.present = true;
            entry.domain = domain;
            entry.target = target;
            return;
        }
        let entry = Entry {
            domain,
            present: true,
            leaving,
            refused_leaving_at: None,
            joined_at: self.has_fleet.then_some(now),
            load: load::View::default(),
            health: Health::default(),
            prefixes: prefix::View::default(),
            target,
        };
        let name = entry.target.name.clone();
        let free = self.entries.iter().position(|e| !e.present && e.load.own() == 0);
        let id = match free {
            Some(index) => {
                self.ids.remove(&self.entries[index].target.name.clone());
                self.entries[index] = entry;
                index
            }
            None => {
                self.entries.push(entry);
                self.entries.len() - 1
            }
        };
        self.ids.insert(name, TargetId::try_from(id).unwrap_or(TargetId::MAX));
    }

    fn intern_domain(&mut self, name: &DomainName) -> u16 {
        if let Some(domain) = self.domain(name) {
            return domain;
        }
        self.domains.push(name.clone());
        u16::try_from(self.domains.len() - 1).unwrap_or(u16::MAX)
    }

    /// Updates the ratio of other nodes' streams to this node's own.
    pub(crate) fn update_peer_ratio(&mut self) {
        let own: u32 = self.entries.iter().map(|entry| entry.load.own()).sum();
        let peers: f64 = self.entries.iter().map(|entry| entry.load.reported_peer_streams()).sum();
        self.peer_ratio = if own == 0 { 0.0 } else { peers / f64::from(own) };
    }

    /// Rebuilds all pools from the current targets and links.
    pub(crate) fn rebuild_pools(&mut self, now: Duration, settings: &Settings) {
        let previous = std::mem::take(&mut self.pools);
        let mut members: BTreeMap<SmolStr, Vec<TargetId>> = BTreeMap::new();
        for (id, entry) in self.entries.iter().enumerate().filter(|(_, entry)| entry.present) {
            let id = TargetId::try_from(id).unwrap_or(TargetId::MAX);
            members.entry(entry.service().clone()).or_default().push(id);
        }
        for (service, ids) in members {
            let mut pool = Pool::build(self, now, &ids, settings, previous.get(&service));
            if let Some(previous) = previous.get(&service) {
                pool.keep_estimates(previous);
            }
            self.pools.insert(service, pool);
        }
    }
}
