//! Reports that targets have failed to give to other VMs.
//!
//! A VM that gets too little processor time takes its own delay for the silence of targets. How often
//! that happens grows with the number of VMs, so that the number of VMs that must agree does as well.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

use site::TargetKey;

/// Number of VMs for each one that must miss the reports of a target.
const VMS_PER_WITNESS: usize = 32;
/// Minimum number of engines of a silent path that a VM asks for their reports at a time.
const MIN_ASKED: usize = 4;
/// Maximum number of VMs that must agree: a target has running requests of only some VMs.
const MAX_WITNESSES: usize = 8;

/// VMs that miss the reports of targets.
#[derive(Clone, Debug, Default)]
pub struct MissedReports {
    /// The VMs by target.
    witnesses: HashMap<TargetKey, HashSet<SocketAddr>>,
}

/// What the statements of other VMs show of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Agreement {
    /// Fewer VMs than needed miss its reports.
    Suspected,
    /// Enough VMs miss its reports.
    Silent,
}

impl MissedReports {
    /// Replaces the targets whose reports `vm` misses by its latest statement, of `vms` VMs in all.
    /// Returns what is known of each of them.
    pub fn record(
        &mut self,
        vm: SocketAddr,
        targets: &[TargetKey],
        vms: usize,
    ) -> Vec<(TargetKey, Agreement)> {
        self.forget(vm);
        let needed = witnesses_needed(vms);
        let mut agreements = Vec::with_capacity(targets.len());
        for target in targets {
            let witnesses = self.witnesses.entry(target.clone()).or_default();
            witnesses.insert(vm);
            let agreement = match witnesses.len() >= needed {
                true => Agreement::Silent,
                false => Agreement::Suspected,
            };
            agreements.push((target.clone(), agreement));
        }
        agreements
    }

    /// Removes the statements of a VM that has withdrawn them, or is no longer heard.
    pub fn forget(&mut self, vm: SocketAddr) {
        self.witnesses.retain(|_, witnesses| {
            witnesses.remove(&vm);
            !witnesses.is_empty()
        });
    }
}

/// Returns the number of VMs, of `vms` in all, that must miss the reports of a target.
fn witnesses_needed(vms: usize) -> usize {
    (vms / VMS_PER_WITNESS).clamp(1, MAX_WITNESSES)
}

/// Returns how many of the `stages` engines of a silent path one of `vms` VMs asks for their reports
/// at a time. The VMs of a large fleet ask some each and tell each other: if all of them asked all
/// engines of a long path at once, the answers would make them late.
pub fn engines_to_ask(stages: usize, vms: usize) -> usize {
    let part = (stages * VMS_PER_WITNESS).div_ceil(vms.max(1));
    part.max(MIN_ASKED).min(stages)
}
