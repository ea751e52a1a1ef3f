//! What a call to the store is for.

/// Purpose of a call; the budget and the counts are kept by it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Purpose {
    /// Claims and outcomes of non-idempotent requests.
    Ledger,
    /// The configuration in force.
    Preset,
    /// Desired state of engines, and the lease of its holder.
    Order,
    /// Membership.
    Member,
}

impl Purpose {
    /// Number of purposes.
    pub const COUNT: usize = 4;

    /// All purposes.
    pub const ALL: [Purpose; Self::COUNT] =
        [Purpose::Ledger, Purpose::Preset, Purpose::Order, Purpose::Member];

    /// Name in metrics and log lines.
    pub fn name(self) -> &'static str {
        match self {
            Purpose::Ledger => "ledger",
            Purpose::Preset => "preset",
            Purpose::Order => "order",
            Purpose::Member => "member",
        }
    }

    /// Index into tables by purpose.
    pub(crate) fn index(self) -> usize {
        self as usize
    }

    /// Share of the bucket that this purpose must leave to those before it.
    pub(crate) fn reserve(self) -> f64 {
        match self {
            Purpose::Ledger | Purpose::Preset => 0.0,
            Purpose::Order => 0.3,
            Purpose::Member => 0.5,
        }
    }
}
