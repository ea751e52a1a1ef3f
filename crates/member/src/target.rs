//! Targets from the platform's list, merged with leaving marks from other sources.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use fleet::{DomainName, Standing, Target, TargetName};
use smol_str::SmolStr;

/// Minimum number of targets that count as the loss of a failure domain.
const MIN_DOMAIN_LOSS: usize = 3;

/// All targets known to this node.
#[derive(Clone, Debug, Default)]
pub(crate) struct Targets {
    listed: BTreeMap<TargetName, Target>,
    marks: BTreeMap<TargetName, Mark>,
    removed: Vec<Removed>,
}

/// A mark that a target is leaving, from a source other than the list.
#[derive(Clone, Debug)]
struct Mark {
    address: Option<SocketAddr>,
    expires: Duration,
    /// Whether the list has shown the target as leaving.
    confirmed: bool,
}

/// A target that was not leaving when it disappeared from the list.
#[derive(Clone, Debug)]
struct Removed {
    name: TargetName,
    rack: (DomainName, SmolStr),
    at: Duration,
    reported: bool,
}

/// Changes made by a new list.
#[derive(Clone, Debug, Default)]
pub(crate) struct Change {
    pub(crate) changed: bool,
    /// Targets that the list newly shows as leaving and that were not marked before.
    pub(crate) leaving: Vec<TargetName>,
    pub(crate) returned: Vec<TargetName>,
    pub(crate) lost: Vec<TargetName>,
}

impl Targets {
    /// Marks a target as leaving until `expires`; returns whether it was neither marked nor
    /// listed as leaving before.
    pub(crate) fn mark(&mut self, target: &TargetName, expires: Duration) -> bool {
        let listed = self.listed.get(target);
        let known = self.marks.contains_key(target)
            || listed.is_some_and(|target| target.standing == Standing::Leaving);
        let address = listed.map(|target| target.address);
        let confirmed = listed.is_some_and(|target| target.standing == Standing::Leaving);
        self.marks.entry(target.clone()).or_insert(Mark { address, expires, confirmed });
        !known
    }

    /// Removes expired marks and returns their targets.
    pub(crate) fn expire(&mut self, now: Duration) -> Vec<TargetName> {
        let expired: Vec<TargetName> = self
            .marks
            .iter()
            .filter(|(_, mark)| mark.expires <= now)
            .map(|(name, _)| name.clone())
            .collect();
        for name in &expired {
            self.marks.remove(name);
        }
        expired
    }

    /// Replaces the list and returns what changed.
    pub(crate) fn set_list(
        &mut self,
        now: Duration,
        targets: Vec<Target>,
        window: Duration,
    ) -> Change {
        let list: BTreeMap<_, _> =
            targets.into_iter().map(|target| (target.name.clone(), target)).collect();
        let mut change = Change { changed: list != self.listed, ..Change::default() };
        let previous = std::mem::replace(&mut self.listed, list);
        let sizes = self.record_removed(now, &previous, window);
        change.lost = self.find_lost(&sizes);
        self.compare_standings(&previous, &mut change);
        change
    }

    /// Returns all listed targets, with marked ones shown as leaving.
    pub(crate) fn merged(&self) -> Vec<Target> {
        self.listed
            .values()
            .map(|target| {
                let mut target = target.clone();
                if self.marks.contains_key(&target.name) {
                    target.standing = Standing::Leaving;
                }
                target
            })
            .collect()
    }

    fn compare_standings(&mut self, previous: &BTreeMap<TargetName, Target>, change: &mut Change) {
        for (name, target) in &self.listed {
            let leaving = target.standing == Standing::Leaving;
            let was = previous.get(name).is_some_and(|old| old.standing == Standing::Leaving);
            if leaving && !was && !self.marks.contains_key(name) {
                change.leaving.push(name.clone());
            }
        }
        let listed = &self.listed;
        self.marks.retain(|name, mark| {
            let keep = mark.holds(listed.get(name), previous.contains_key(name));
            if !keep {
                change.returned.push(name.clone());
            }
            keep
        });
        change.changed |= !change.returned.is_empty();
    }

    /// Records the targets that disappeared without leaving; returns the number of targets that
    /// each failure domain had before, without leaving ones and with those removed recently.
    fn record_removed(
        &mut self,
        now: Duration,
        previous: &BTreeMap<TargetName, Target>,
        window: Duration,
    ) -> BTreeMap<DomainName, usize> {
        self.removed.retain(|removed| removed.at + window >= now);
        let mut sizes = BTreeMap::new();
        for removed in &self.removed {
            *sizes.entry(removed.rack.0.clone()).or_default() += 1;
        }
        for target in previous.values() {
            let leaving =
                target.standing == Standing::Leaving || self.marks.contains_key(&target.name);
            if leaving {
                continue;
            }
            *sizes.entry(target.domain.clone()).or_default() += 1;
            if !self.listed.contains_key(&target.name) {
                let rack = (target.domain.clone(), target.rack.clone());
                self.removed.push(Removed {
                    name: target.name.clone(),
                    rack,
                    at: now,
                    reported: false,
                });
            }
        }
        sizes
    }

    /// Returns targets that were lost together and not reported before: at least two of a rack,
    /// or at least half of a failure domain and [`MIN_DOMAIN_LOSS`].
    fn find_lost(&mut self, sizes: &BTreeMap<DomainName, usize>) -> Vec<TargetName> {
        let mut racks: BTreeMap<(DomainName, SmolStr), usize> = BTreeMap::new();
        let mut domains: BTreeMap<DomainName, usize> = BTreeMap::new();
        for removed in &self.removed {
            *racks.entry(removed.rack.clone()).or_default() += 1;
            *domains.entry(removed.rack.0.clone()).or_default() += 1;
        }
        let mut lost = Vec::new();
        for removed in &mut self.removed {
            let rack_lost = !removed.rack.1.is_empty() && racks[&removed.rack] >= 2;
            let count = domains[&removed.rack.0];
            let half = count * 2 >= sizes.get(&removed.rack.0).copied().unwrap_or(0);
            let domain_lost = count >= MIN_DOMAIN_LOSS && half;
            if !removed.reported && (rack_lost || domain_lost) {
                removed.reported = true;
                lost.push(removed.name.clone());
            }
        }
        lost
    }
}

impl Mark {
    /// Returns whether the mark still holds after a new list. A mark is dropped when the target
    /// is removed or replaced, or when the list shows it live after having shown it leaving.
    fn holds(&mut self, target: Option<&Target>, was_listed: bool) -> bool {
        let Some(target) = target else { return !was_listed };
        if *self.address.get_or_insert(target.address) != target.address {
            return false;
        }
        let leaving = target.standing == Standing::Leaving;
        let back = self.confirmed && !leaving;
        self.confirmed |= leaving;
        !back
    }
}
