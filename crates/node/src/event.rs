//! Events of the node itself.

use fleet::EventKind;

/// The process has started.
pub(crate) const STARTED: EventKind =
    EventKind { number: 901, name: "node-started", meaning: "The node has opened its ports." };
/// A request has come in.
pub(crate) const REQUEST_ARRIVED: EventKind = EventKind {
    number: 902,
    name: "request-arrived",
    meaning: "A caller's request has come in; `answer` is the identifier in its event ids.",
};
/// A request has ended.
pub(crate) const REQUEST_FINISHED: EventKind = EventKind {
    number: 903,
    name: "request-finished",
    meaning: "The caller has been told how the request ended.",
};
/// A token was dropped.
pub(crate) const TOKEN_DROPPED: EventKind = EventKind {
    number: 904,
    name: "token-dropped",
    meaning: "A token of another request, an older attempt or a number already delivered was dropped.",
};
/// A token's trail does not follow the plan.
pub(crate) const TRAIL_MISMATCH: EventKind = EventKind {
    number: 905,
    name: "token-astray",
    meaning: "A token's layer trail does not follow the plan; the attempt is ended.",
};
/// A request was turned away before any decision.
pub(crate) const REQUEST_REJECTED: EventKind = EventKind {
    number: 906,
    name: "request-rejected",
    meaning: "A caller's request is malformed, too large, too slow or of no known organisation.",
};
/// The caller has gone.
pub(crate) const CALLER_DISCONNECTED: EventKind = EventKind {
    number: 907,
    name: "caller-hung-up",
    meaning: "The caller closed its connection before the answer was whole.",
};
/// The node drains.
pub(crate) const DRAINING: EventKind = EventKind {
    number: 908,
    name: "node-draining",
    meaning: "A planned stop has begun: not ready, and soon no new requests.",
};
/// The node has stopped.
pub(crate) const STOPPED: EventKind = EventKind {
    number: 909,
    name: "node-stopped",
    meaning: "The node has stopped; `cut` requests were cut off.",
};
/// The platform's list cannot be read.
pub(crate) const VM_LIST_UNREADABLE: EventKind = EventKind {
    number: 910,
    name: "list-down",
    meaning: "The platform's list of VMs could not be read.",
};
/// An operator drains a target.
pub(crate) const DRAIN_REQUESTED: EventKind = EventKind {
    number: 911,
    name: "drain-asked",
    meaning: "An operator has asked that a target takes no new work.",
};
/// The preset has come into force.
pub(crate) const PRESET_IN_FORCE: EventKind = EventKind {
    number: 912,
    name: "preset-in-force",
    meaning: "The shells follow this preset from now on.",
};

/// A request was cut off.
pub(crate) const REQUEST_CUT: EventKind = EventKind {
    number: 913,
    name: "request-cut",
    meaning: "A planned stop ended before this request did.",
};

/// A desired state cannot be read.
pub(crate) const DESIRED_MALFORMED: EventKind = EventKind {
    number: 914,
    name: "desired-malformed",
    meaning: "The stored desired state of a target cannot be read and is left out.",
};

/// All events of this crate.
pub const EVENTS: &[&EventKind] = &[
    &STARTED,
    &REQUEST_ARRIVED,
    &REQUEST_FINISHED,
    &TOKEN_DROPPED,
    &TRAIL_MISMATCH,
    &REQUEST_REJECTED,
    &CALLER_DISCONNECTED,
    &DRAINING,
    &STOPPED,
    &VM_LIST_UNREADABLE,
    &DRAIN_REQUESTED,
    &PRESET_IN_FORCE,
    &REQUEST_CUT,
    &DESIRED_MALFORMED,
];
