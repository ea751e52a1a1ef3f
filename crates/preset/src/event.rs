//! Log events of this crate.

use fleet::EventKind;

pub(crate) const IN_FORCE: EventKind =
    EventKind { number: 601, name: "preset-in-force", meaning: "A preset is in force here." };
pub(crate) const REFUSED: EventKind = EventKind {
    number: 602,
    name: "preset-refused",
    meaning: "A value from the store or from another node is invalid; the preset is kept.",
};
pub(crate) const STORE_BEHIND: EventKind = EventKind {
    number: 603,
    name: "preset-store-behind",
    meaning: "The store holds a lower version than the one in force here, which is kept.",
};
pub(crate) const DIVERGED: EventKind = EventKind {
    number: 604,
    name: "preset-diverged",
    meaning: "A value has the version in force here but other content; the preset is kept.",
};
pub(crate) const FRESH: EventKind = EventKind {
    number: 605,
    name: "preset-fresh",
    meaning: "This node can prove that its preset is current.",
};
pub(crate) const STALE: EventKind = EventKind {
    number: 606,
    name: "preset-stale",
    meaning: "This node cannot prove that its preset is current and accepts no new work.",
};
pub(crate) const STORE: EventKind = EventKind {
    number: 607,
    name: "preset-store",
    meaning: "The store has stopped or started to answer reads of the preset.",
};

/// All events of this crate.
pub const EVENTS: &[&EventKind] =
    &[&IN_FORCE, &REFUSED, &STORE_BEHIND, &DIVERGED, &FRESH, &STALE, &STORE];
