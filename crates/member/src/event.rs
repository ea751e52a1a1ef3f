//! Events of this crate.

use fleet::EventKind;

/// A node's standing changed.
pub(crate) const NODE: EventKind =
    EventKind { number: 201, name: "node-standing", meaning: "Another node stands otherwise." };
/// A node refuted a suspicion.
pub(crate) const REFUTED: EventKind = EventKind {
    number: 202,
    name: "suspicion-refuted",
    meaning: "Others suspected this node and it told them that it is alive.",
};
/// A node doubts or trusts its view.
pub(crate) const CONFIDENT: EventKind = EventKind {
    number: 203,
    name: "confident",
    meaning: "This node has begun or ceased to trust its own view.",
};
/// A pause was noticed.
pub(crate) const PAUSED: EventKind = EventKind {
    number: 204,
    name: "paused",
    meaning: "This node did nothing for longer than it should and judges no other for a while.",
};
/// A target takes no new work.
pub(crate) const LEAVING: EventKind = EventKind {
    number: 205,
    name: "target-leaving",
    meaning: "A target takes no new work, by list, refusal, drain or another node's word.",
};
/// Word that a target leaves has ended.
pub(crate) const RETURNED: EventKind = EventKind {
    number: 206,
    name: "target-returned",
    meaning: "Word that a target leaves has expired, or the target was replaced.",
};
/// Targets went together.
pub(crate) const LOST: EventKind = EventKind {
    number: 207,
    name: "targets-lost",
    meaning: "Targets of one rack or failure domain went together.",
};
/// The platform's list.
pub(crate) const LIST: EventKind = EventKind {
    number: 208,
    name: "list",
    meaning: "The platform's list has begun or ceased to come.",
};
/// The sets of facts differ.
pub(crate) const HEALING: EventKind = EventKind {
    number: 209,
    name: "healing",
    meaning: "Another node's facts differ from this node's, which asks for all of them.",
};

/// All events of this crate.
pub const EVENTS: &[&EventKind] =
    &[&NODE, &REFUTED, &CONFIDENT, &PAUSED, &LEAVING, &RETURNED, &LOST, &LIST, &HEALING];
