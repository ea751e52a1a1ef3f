//! Log events of this crate.

use fleet::EventKind;

pub(crate) const OUTAGE: EventKind = EventKind {
    number: 801,
    name: "store-outage",
    meaning: "Calls to the store have failed several times in a row.",
};

pub(crate) const OUTAGE_ENDED: EventKind = EventKind {
    number: 802,
    name: "store-back",
    meaning: "The store answers again after an outage.",
};

pub(crate) const SETTLED: EventKind = EventKind {
    number: 803,
    name: "store-settled",
    meaning: "A write whose answer was lost was resolved by reading back its nonce.",
};

pub(crate) const COMPACTED: EventKind = EventKind {
    number: 804,
    name: "store-compacted",
    meaning: "A watch requested a compacted revision and continued from the current value.",
};

/// All events of this crate.
pub const EVENTS: &[&EventKind] = &[&OUTAGE, &OUTAGE_ENDED, &SETTLED, &COMPACTED];
