//! This node's view of the fleet: targets by dense id, links, and a pool for each
//! model and plain service.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use fleet::{DomainName, Kind, Layers, Link, Standing, Target, TargetId, TargetName};
use smol_str::SmolStr;

use crate::outlier::Health;
use crate::pool::Pool;
use crate::{Settings, load, prefix};

/// How long a target's own word that it is leaving outweighs a list that says live.
const SAID_LEAVING_HOLDS: Duration = Duration::from_secs(60);

/// What is known of one target.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    /// As the fleet view gives it.
    pub(crate) target: Target,
    /// Dense number of its failure domain.
    pub(crate) domain: u16,
    /// Whether the fleet view still names it.
    pub(crate) present: bool,
    /// Whether it is leaving, by the fleet view or by its own word.
    pub(crate) leaving: bool,
    /// When the target itself last refused work because it is leaving.
    pub(crate) said_leaving: Option<Duration>,
    /// When it joined; `None` if it was there from the start.
    pub(crate) joined: Option<Duration>,
    /// Its load.
    pub(crate) load: load::View,
    /// Its health.
    pub(crate) health: Health,
    /// Its prefix cache.
    pub(crate) prefixes: prefix::View,
}

impl Entry {
    /// Whether it may belong into plans at all.
    pub(crate) fn is_staying(&self) -> bool {
        self.present && !self.leaving
    }

    /// Layers held; empty for a plain service.
    pub(crate) fn layers(&self) -> Layers {
        match &self.target.kind {
            Kind::Engine(engine) => engine.layers,
            Kind::Service(_) => Layers::new(0, 0),
        }
    }

    /// Streams or calls at once.
    pub(crate) fn slots(&self) -> u32 {
        match &self.target.kind {
            Kind::Engine(engine) => engine.slots,
            Kind::Service(service) => service.slots,
        }
    }

    /// Tokens per second through all layers held; for a plain service its slots.
    pub(crate) fn rate(&self) -> f64 {
        match &self.target.kind {
            Kind::Engine(engine) => engine.tokens_per_second,
            Kind::Service(service) => f64::from(service.slots),
        }
    }

    /// Name of its model or plain service.
    pub(crate) fn service(&self) -> &SmolStr {
        match &self.target.kind {
            Kind::Engine(engine) => &engine.model,
            Kind::Service(service) => &service.name,
        }
    }

    /// Seconds that one token takes in the given layers.
    pub(crate) fn cost(&self, layers: Layers) -> f64 {
        let held = self.layers();
        let part =
            if held.is_empty() { 1.0 } else { f64::from(layers.len()) / f64::from(held.len()) };
        part / self.rate().max(f64::MIN_POSITIVE)
    }
}

/// The view.
#[derive(Debug, Default)]
pub(crate) struct View {
    /// Targets by id; slots of targets that are gone are used again.
    pub(crate) entries: Vec<Entry>,
    ids: HashMap<TargetName, TargetId>,
    domains: Vec<DomainName>,
    links: Vec<Link>,
    /// Pools by the name of the model or plain service.
    pub(crate) pools: BTreeMap<SmolStr, Pool>,
    /// Streams of other nodes for each own one.
    pub(crate) mirror: f64,
    seen: bool,
}

impl View {
    /// Entry of a target.
    pub(crate) fn entry(&self, id: TargetId) -> &Entry {
        &self.entries[id as usize]
    }

    /// Entry of a target, to be changed.
    pub(crate) fn entry_mut(&mut self, id: TargetId) -> &mut Entry {
        &mut self.entries[id as usize]
    }

    /// Id of a target.
    pub(crate) fn id(&self, name: &str) -> Option<TargetId> {
        self.ids.get(name).copied()
    }

    /// Links between failure domains.
    pub(crate) fn links(&self) -> &[Link] {
        &self.links
    }

    /// Dense number of a failure domain, if any target stands there.
    pub(crate) fn domain(&self, name: &str) -> Option<u16> {
        let index = self.domains.iter().position(|known| known == name)?;
        u16::try_from(index).ok()
    }

    /// Takes in a new fleet view.
    pub(crate) fn replace(&mut self, now: Duration, targets: Vec<Target>, links: Vec<Link>) {
        for entry in &mut self.entries {
            entry.present = false;
        }
        // Targets already known come first, so that no slot of theirs looks free.
        let (known, new): (Vec<Target>, Vec<Target>) =
            targets.into_iter().partition(|target| self.ids.contains_key(&target.name));
        for target in known.into_iter().chain(new) {
            self.put(now, target);
        }
        self.links = links;
        self.seen = true;
    }

    fn put(&mut self, now: Duration, target: Target) {
        let domain = self.intern(&target.domain);
        let leaving = target.standing == Standing::Leaving;
        if let Some(id) = self.id(&target.name) {
            let entry = self.entry_mut(id);
            // A target's own word that it is leaving is newer than the lagging list.
            let said = entry.said_leaving.is_some_and(|said| now < said + SAID_LEAVING_HOLDS);
            entry.leaving = leaving || said;
            entry.present = true;
            entry.domain = domain;
            entry.target = target;
            return;
        }
        let entry = Entry {
            domain,
            present: true,
            leaving,
            said_leaving: None,
            joined: self.seen.then_some(now),
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

    fn intern(&mut self, name: &DomainName) -> u16 {
        if let Some(domain) = self.domain(name) {
            return domain;
        }
        self.domains.push(name.clone());
        u16::try_from(self.domains.len() - 1).unwrap_or(u16::MAX)
    }

    /// Learns how many streams other nodes have for each own one.
    pub(crate) fn learn_mirror(&mut self) {
        let own: u32 = self.entries.iter().map(|entry| entry.load.own()).sum();
        let others: f64 = self.entries.iter().map(|entry| entry.load.reported_others()).sum();
        self.mirror = if own == 0 { 0.0 } else { others / f64::from(own) };
    }

    /// Computes all pools anew.
    pub(crate) fn solve(&mut self, now: Duration, settings: &Settings) {
        let old = std::mem::take(&mut self.pools);
        let mut members: BTreeMap<SmolStr, Vec<TargetId>> = BTreeMap::new();
        for (id, entry) in self.entries.iter().enumerate().filter(|(_, entry)| entry.present) {
            let id = TargetId::try_from(id).unwrap_or(TargetId::MAX);
            members.entry(entry.service().clone()).or_default().push(id);
        }
        for (service, ids) in members {
            let mut pool = Pool::build(self, now, &ids, settings, old.get(&service));
            if let Some(before) = old.get(&service) {
                pool.keep_learned(before);
            }
            self.pools.insert(service, pool);
        }
    }
}
