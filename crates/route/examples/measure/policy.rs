//! The policy of this crate and the baselines to compare it with.

use route::{Mechanism, Settings};

/// A named set of mechanisms.
pub(crate) struct Policy {
    pub(crate) name: &'static str,
    change: fn(&mut Mechanism),
}

impl Policy {
    /// Returns the settings with the policy's mechanisms.
    pub(crate) fn settings(&self) -> Settings {
        let mut mechanism = Mechanism::default();
        (self.change)(&mut mechanism);
        Settings::builder().mechanism(mechanism).build()
    }
}

/// All policies.
pub(crate) const POLICIES: &[Policy] = &[
    Policy { name: "all", change: |_| {} },
    Policy {
        name: "random_target",
        change: |m| (m.flow, m.two_choices, m.delay) = (false, false, false),
    },
    Policy { name: "least_in_flight", change: |m| (m.flow, m.delay) = (false, false) },
    Policy { name: "no_affinity", change: |m| m.affinity = false },
    Policy { name: "no_retry_budget", change: |m| m.budget = false },
    Policy { name: "no_reuse", change: |m| m.reuse = false },
    Policy { name: "fixed_stall_timeout", change: |m| m.learned_stall = false },
    Policy { name: "no_quarantine", change: |m| m.quarantine = false },
];
