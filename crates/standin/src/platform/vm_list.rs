//! The list of VMs, which reads return with a configurable lag.

use std::collections::VecDeque;
use std::time::Duration;

use fleet::{Role, Standing, Vm};
use serde::{Deserialize, Serialize};

/// Response to `GET /vms`.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(super) struct Listing {
    pub(super) vms: Vec<Vm>,
}

/// The list of VMs with its earlier versions, from which lagging reads are served.
#[derive(Debug)]
pub(super) struct VmList {
    lag: Duration,
    versions: VecDeque<(Duration, Vec<Vm>)>,
}

impl VmList {
    /// Creates an empty list whose reads lag by `lag`.
    pub(super) fn new(lag: Duration) -> Self {
        Self { lag, versions: VecDeque::from([(Duration::ZERO, Vec::new())]) }
    }

    /// Sets the lag of reads behind changes.
    pub(super) fn set_lag(&mut self, lag: Duration) {
        self.lag = lag;
    }

    /// Replaces the list and discards earlier versions, so that reads return it without lag.
    pub(super) fn reset(&mut self, vms: Vec<Vm>) {
        self.versions = VecDeque::from([(Duration::ZERO, vms)]);
    }

    /// Adds a VM, or replaces the VM with the same name.
    pub(super) fn join(&mut self, now: Duration, vm: Vm) {
        self.edit(now, |vms| {
            vms.retain(|other| other.name != vm.name);
            vms.push(vm);
        });
    }

    /// Marks a VM, and the target that runs on it, as leaving.
    pub(super) fn leave(&mut self, now: Duration, name: &str) {
        self.edit(now, |vms| {
            for vm in vms.iter_mut().filter(|vm| vm.name == name) {
                vm.standing = Standing::Leaving;
                if let Role::Target(target) = &mut vm.role {
                    target.standing = Standing::Leaving;
                }
            }
        });
    }

    /// Removes a VM from the list.
    pub(super) fn remove(&mut self, now: Duration, name: &str) {
        self.edit(now, |vms| vms.retain(|vm| vm.name != name));
    }

    /// Returns the list as it was at `now` minus the lag.
    pub(super) fn read(&mut self, now: Duration) -> &[Vm] {
        let seen = now.saturating_sub(self.lag);
        while self.versions.len() > 1 && self.versions[1].0 <= seen {
            self.versions.pop_front();
        }
        &self.versions[0].1
    }

    fn edit(&mut self, now: Duration, change: impl FnOnce(&mut Vec<Vm>)) {
        let mut vms = self.versions.back().map(|(_, vms)| vms.clone()).unwrap_or_default();
        change(&mut vms);
        self.versions.push_back((now, vms));
    }
}
