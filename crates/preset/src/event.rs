//! Events of this crate.

use fleet::EventKind;

/// A preset came into force in this node.
pub(crate) const IN_FORCE: EventKind =
    EventKind { number: 601, name: "preset-in-force", meaning: "A preset is in force here." };
/// A value could not be used.
pub(crate) const REFUSED: EventKind = EventKind {
    number: 602,
    name: "preset-refused",
    meaning: "A stored value or another node's value cannot be used; the preset stays.",
};
/// The store holds a lower version than the one in force.
pub(crate) const STORE_BEHIND: EventKind = EventKind {
    number: 603,
    name: "preset-store-behind",
    meaning: "The store holds a lower version than the one in force here, which stays.",
};
/// Same version, other content.
pub(crate) const DIVERGED: EventKind = EventKind {
    number: 604,
    name: "preset-diverged",
    meaning: "The store holds this version with other content; the preset here stays.",
};
/// Freshness can be proved.
pub(crate) const FRESH: EventKind = EventKind {
    number: 605,
    name: "preset-fresh",
    meaning: "This node can prove that its preset is current.",
};
/// Freshness can no longer be proved.
pub(crate) const STALE: EventKind = EventKind {
    number: 606,
    name: "preset-stale",
    meaning: "This node cannot prove that its preset is current and takes no new work.",
};
/// The store went silent or came back.
pub(crate) const STORE: EventKind = EventKind {
    number: 607,
    name: "preset-store",
    meaning: "The store has stopped or begun to answer reads of the preset.",
};

/// All events of this crate.
pub const EVENTS: &[&EventKind] =
    &[&IN_FORCE, &REFUSED, &STORE_BEHIND, &DIVERGED, &FRESH, &STALE, &STORE];
