//! Log events of the node.

use fleet::EventKind;

/// Logged when the process has opened its ports.
pub(crate) const STARTED: EventKind =
    EventKind { number: 901, name: "node-started", meaning: "The node has opened its ports." };
/// Logged when a request of a caller has passed the checks of its headers and body.
pub(crate) const REQUEST_ARRIVED: EventKind = EventKind {
    number: 902,
    name: "request-arrived",
    meaning: "A caller's request was accepted for decision; `answer` is the identifier in its event ids.",
};
/// Logged when a request has ended.
pub(crate) const REQUEST_FINISHED: EventKind = EventKind {
    number: 903,
    name: "request-finished",
    meaning: "A request of a caller has ended.",
};
/// Logged when a token does not belong to the attempt in progress or was already delivered.
pub(crate) const TOKEN_DROPPED: EventKind = EventKind {
    number: 904,
    name: "token-dropped",
    meaning: "A token of another request, an older attempt or a number already delivered was dropped.",
};
/// Logged when the layer trail of a token does not match the plan.
pub(crate) const TRAIL_MISMATCH: EventKind = EventKind {
    number: 905,
    name: "token-astray",
    meaning: "The layer trail of a token does not match the plan; the attempt is ended.",
};
/// Logged when a request is rejected before any decision.
pub(crate) const REQUEST_REJECTED: EventKind = EventKind {
    number: 906,
    name: "request-rejected",
    meaning: "A caller's request is malformed, too large, too slow or of no known organisation.",
};
/// Logged when a caller has disconnected.
pub(crate) const CALLER_DISCONNECTED: EventKind = EventKind {
    number: 907,
    name: "caller-hung-up",
    meaning: "The caller closed its connection before the answer was complete.",
};
/// Logged when a planned stop has begun.
pub(crate) const DRAINING: EventKind = EventKind {
    number: 908,
    name: "node-draining",
    meaning: "A planned stop has begun: the node is not ready and will soon refuse new requests.",
};
/// Logged when the node has stopped.
pub(crate) const STOPPED: EventKind = EventKind {
    number: 909,
    name: "node-stopped",
    meaning: "The node has stopped; `cut` requests were cut off.",
};
/// Logged when the platform's list of VMs, or a row of it, cannot be read.
pub(crate) const VM_LIST_UNREADABLE: EventKind = EventKind {
    number: 910,
    name: "list-down",
    meaning: "The platform's list of VMs, or a row of it, could not be read.",
};
/// Logged when an operator drains a target.
pub(crate) const DRAIN_REQUESTED: EventKind = EventKind {
    number: 911,
    name: "drain-asked",
    meaning: "An operator has requested that a target takes no new work.",
};
/// Logged when a preset has come into force.
pub(crate) const PRESET_IN_FORCE: EventKind = EventKind {
    number: 912,
    name: "preset-in-force",
    meaning: "A preset has come into force at this node.",
};

/// Logged for each request that a planned stop has cut off.
pub(crate) const REQUEST_CUT: EventKind = EventKind {
    number: 913,
    name: "request-cut",
    meaning: "A planned stop ended before this request had ended.",
};

/// Logged when the stored desired state of a target cannot be parsed.
pub(crate) const DESIRED_MALFORMED: EventKind = EventKind {
    number: 914,
    name: "desired-malformed",
    meaning: "The stored desired state of a target cannot be parsed and is ignored.",
};

/// Logged when a connection of a caller has ended.
pub(crate) const CALLER_CONNECTION_ENDED: EventKind = EventKind {
    number: 915,
    name: "caller-connection-ended",
    meaning: "A connection of a caller has ended; `cause` tells why.",
};

/// Logged when a target refuses a call without proof that it has not run.
pub(crate) const REFUSAL_UNPROVEN: EventKind = EventKind {
    number: 916,
    name: "refusal-without-proof",
    meaning: "A target answered a call with a `status` that promises that the call has not run, without stating that it has not. The call counts as one that may have run.",
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
    &CALLER_CONNECTION_ENDED,
    &REFUSAL_UNPROVEN,
];
