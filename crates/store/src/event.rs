//! Numbered events of this crate.

use fleet::EventKind;

/// An outage of the store has begun.
pub(crate) const OUTAGE: EventKind = EventKind {
    number: 801,
    name: "store-outage",
    meaning: "Calls to the store have failed several times in a row.",
};

/// An outage of the store has ended.
pub(crate) const BACK: EventKind = EventKind {
    number: 802,
    name: "store-back",
    meaning: "The store answers again after an outage.",
};

/// A write whose answer was lost has been settled by reading back.
pub(crate) const SETTLED: EventKind = EventKind {
    number: 803,
    name: "store-settled",
    meaning: "A write whose answer was lost was settled by reading back its nonce.",
};

/// A watch met a compaction.
pub(crate) const COMPACTED: EventKind = EventKind {
    number: 804,
    name: "store-compacted",
    meaning: "A watch asked for a compacted revision and went on from the present value.",
};

/// All events of this crate.
pub const EVENTS: &[&EventKind] = &[&OUTAGE, &BACK, &SETTLED, &COMPACTED];
