//! Purposes of calls to the store.

/// Purpose of a call. Determines its share of the budget and the counts that it is added to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Purpose {
    /// Claims and outcomes of non-idempotent requests.
    Ledger,
    /// Configuration in force.
    Preset,
    /// Desired state of engines, and the lease of its holder.
    Order,
    /// Membership of nodes.
    Member,
}

impl Purpose {
    /// Number of purposes.
    pub const COUNT: usize = 4;

    /// All purposes.
    pub const ALL: [Purpose; Self::COUNT] =
        [Purpose::Ledger, Purpose::Preset, Purpose::Order, Purpose::Member];

    /// Returns the name used in metrics and log lines.
    pub fn name(self) -> &'static str {
        match self {
            Purpose::Ledger => "ledger",
            Purpose::Preset => "preset",
            Purpose::Order => "order",
            Purpose::Member => "member",
        }
    }

    /// Returns the index into arrays of length [`Purpose::COUNT`].
    pub(crate) fn index(self) -> usize {
        self as usize
    }

    /// Returns the share of a full bucket that this purpose must leave to more important ones.
    pub(crate) fn reserve(self) -> f64 {
        match self {
            Purpose::Ledger | Purpose::Preset => 0.0,
            Purpose::Order => 0.3,
            Purpose::Member => 0.5,
        }
    }
}
