//! Events of this crate.

use fleet::EventKind;

/// The state of another node changed.
pub(crate) const NODE: EventKind =
    EventKind { number: 201, name: "node-standing", meaning: "The state of another node changed." };
/// This node refuted a suspicion.
pub(crate) const REFUTED: EventKind = EventKind {
    number: 202,
    name: "suspicion-refuted",
    meaning: "Other nodes suspected this node, which raised its incarnation to refute it.",
};
/// This node started or stopped trusting its own view.
pub(crate) const CONFIDENT: EventKind = EventKind {
    number: 203,
    name: "confident",
    meaning: "This node has started or stopped trusting its own view.",
};
/// A pause of this node was detected.
pub(crate) const PAUSED: EventKind = EventKind {
    number: 204,
    name: "paused",
    meaning: "This node was paused for too long, and suspects no other node for a while.",
};
/// A target takes no new work.
pub(crate) const LEAVING: EventKind = EventKind {
    number: 205,
    name: "target-leaving",
    meaning: "A target takes no new work, as reported by list, refusal, drain or another node.",
};
/// A target is no longer marked as leaving.
pub(crate) const RETURNED: EventKind = EventKind {
    number: 206,
    name: "target-returned",
    meaning: "A leaving mark expired, or the target was removed, replaced or listed as live again.",
};
/// Targets were lost together.
pub(crate) const LOST: EventKind = EventKind {
    number: 207,
    name: "targets-lost",
    meaning: "Targets of one rack or failure domain were lost together.",
};
/// The platform's list became available or unavailable.
pub(crate) const LIST: EventKind = EventKind {
    number: 208,
    name: "list",
    meaning: "The platform's list became available or unavailable.",
};
/// The facts of another node differ.
pub(crate) const FACTS_DIFFER: EventKind = EventKind {
    number: 209,
    name: "healing",
    meaning: "Another node's facts differ from this node's, which requests all of them.",
};

/// All event kinds of this crate.
pub const EVENTS: &[&EventKind] =
    &[&NODE, &REFUTED, &CONFIDENT, &PAUSED, &LEAVING, &RETURNED, &LOST, &LIST, &FACTS_DIFFER];
