//! Targets: the platform's list joined with what else is known of them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use fleet::{DomainName, Standing, Target, TargetName};
use smol_str::SmolStr;

/// Targets of one failure domain that must go together, at least, to count as its loss.
const DOMAIN_MIN: usize = 3;

/// The targets that this node knows.
#[derive(Clone, Debug, Default)]
pub(crate) struct Targets {
    listed: BTreeMap<TargetName, Target>,
    marks: BTreeMap<TargetName, Mark>,
    gone: Vec<Gone>,
}

/// Word that a target leaves, from elsewhere than the list.
#[derive(Clone, Debug)]
struct Mark {
    address: Option<SocketAddr>,
    until: Duration,
    /// Whether the list has agreed since.
    agreed: bool,
}

/// A target that was live and is not listed any more.
#[derive(Clone, Debug)]
struct Gone {
    name: TargetName,
    rack: (DomainName, SmolStr),
    at: Duration,
    told: bool,
}

/// What a new list changed.
#[derive(Clone, Debug, Default)]
pub(crate) struct Change {
    pub(crate) changed: bool,
    /// Targets that the list now has as leaving, and that nothing else had marked before.
    pub(crate) leaving: Vec<TargetName>,
    pub(crate) returned: Vec<TargetName>,
    pub(crate) lost: Vec<TargetName>,
}

impl Targets {
    /// Marks a target as leaving until `until`; says whether that is new.
    pub(crate) fn mark(&mut self, target: &TargetName, until: Duration) -> bool {
        let listed = self.listed.get(target);
        let known = self.marks.contains_key(target)
            || listed.is_some_and(|target| target.standing == Standing::Leaving);
        let address = listed.map(|target| target.address);
        let agreed = listed.is_some_and(|target| target.standing == Standing::Leaving);
        self.marks.entry(target.clone()).or_insert(Mark { address, until, agreed });
        !known
    }

    /// Ends the marks whose time has come, and returns their targets.
    pub(crate) fn expire(&mut self, now: Duration) -> Vec<TargetName> {
        let over: Vec<TargetName> = self
            .marks
            .iter()
            .filter(|(_, mark)| mark.until <= now)
            .map(|(name, _)| name.clone())
            .collect();
        for name in &over {
            self.marks.remove(name);
        }
        over
    }

    /// Takes a new list.
    pub(crate) fn list(&mut self, now: Duration, targets: Vec<Target>, window: Duration) -> Change {
        let list: BTreeMap<_, _> =
            targets.into_iter().map(|target| (target.name.clone(), target)).collect();
        let mut change = Change { changed: list != self.listed, ..Change::default() };
        let before = std::mem::replace(&mut self.listed, list);
        let sizes = self.note_gone(now, &before, window);
        change.lost = self.together(&sizes);
        self.compare(&before, &mut change);
        change
    }

    /// All targets, a marked one as leaving.
    pub(crate) fn joined(&self) -> Vec<Target> {
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

    fn compare(&mut self, before: &BTreeMap<TargetName, Target>, change: &mut Change) {
        for (name, target) in &self.listed {
            let leaving = target.standing == Standing::Leaving;
            let was = before.get(name).is_some_and(|old| old.standing == Standing::Leaving);
            if leaving && !was && !self.marks.contains_key(name) {
                change.leaving.push(name.clone());
            }
        }
        let listed = &self.listed;
        self.marks.retain(|name, mark| {
            let keep = mark.keep(listed.get(name), before.contains_key(name));
            if !keep {
                change.returned.push(name.clone());
            }
            keep
        });
        change.changed |= !change.returned.is_empty();
    }

    /// Notes the targets that are gone without having left; returns the number of live
    /// targets that each failure domain had.
    fn note_gone(
        &mut self,
        now: Duration,
        before: &BTreeMap<TargetName, Target>,
        window: Duration,
    ) -> BTreeMap<DomainName, usize> {
        self.gone.retain(|gone| gone.at + window >= now);
        let mut sizes = BTreeMap::new();
        for gone in &self.gone {
            *sizes.entry(gone.rack.0.clone()).or_default() += 1;
        }
        for target in before.values() {
            let leaving =
                target.standing == Standing::Leaving || self.marks.contains_key(&target.name);
            if leaving {
                continue;
            }
            *sizes.entry(target.domain.clone()).or_default() += 1;
            if !self.listed.contains_key(&target.name) {
                let rack = (target.domain.clone(), target.rack.clone());
                self.gone.push(Gone { name: target.name.clone(), rack, at: now, told: false });
            }
        }
        sizes
    }

    /// Finds targets that went together: two of a rack, or half of a failure domain.
    fn together(&mut self, sizes: &BTreeMap<DomainName, usize>) -> Vec<TargetName> {
        let mut racks: BTreeMap<(DomainName, SmolStr), usize> = BTreeMap::new();
        let mut domains: BTreeMap<DomainName, usize> = BTreeMap::new();
        for gone in &self.gone {
            *racks.entry(gone.rack.clone()).or_default() += 1;
            *domains.entry(gone.rack.0.clone()).or_default() += 1;
        }
        let mut lost = Vec::new();
        for gone in &mut self.gone {
            let of_rack = !gone.rack.1.is_empty() && racks[&gone.rack] >= 2;
            let count = domains[&gone.rack.0];
            let half = count * 2 >= sizes.get(&gone.rack.0).copied().unwrap_or(0);
            let of_domain = count >= DOMAIN_MIN && half;
            if !gone.told && (of_rack || of_domain) {
                gone.told = true;
                lost.push(gone.name.clone());
            }
        }
        lost
    }
}

impl Mark {
    /// Whether the mark still holds beside what the list says now.
    fn keep(&mut self, target: Option<&Target>, was_listed: bool) -> bool {
        let Some(target) = target else { return !was_listed };
        if *self.address.get_or_insert(target.address) != target.address {
            return false;
        }
        let leaving = target.standing == Standing::Leaving;
        let back = self.agreed && !leaving;
        self.agreed |= leaving;
        !back
    }
}
