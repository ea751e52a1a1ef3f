//! Numbered events of admission.

use fleet::EventKind;

/// A request was admitted.
pub(crate) const ADMITTED: EventKind = EventKind {
    number: 401,
    name: "admitted",
    meaning: "A request was admitted, with its priority and the time that it waited.",
};

/// A request was queued.
pub(crate) const QUEUED: EventKind = EventKind {
    number: 402,
    name: "queued",
    meaning: "A request was queued, with its caller's wait tolerance and its predicted wait.",
};

/// A request was refused.
pub(crate) const REFUSED: EventKind = EventKind {
    number: 403,
    name: "refused",
    meaning: "A request was refused, with the reason and the time after which to retry.",
};

/// A caller hung up.
pub(crate) const HUNG_UP: EventKind = EventKind {
    number: 404,
    name: "hung-up",
    meaning: "A caller hung up before its answer began, with the time that it had waited.",
};

/// The number of slots of this node for a service changed.
pub(crate) const SLOTS: EventKind = EventKind {
    number: 405,
    name: "slots-changed",
    meaning: "The number of slots that this node may use for a service changed.",
};

/// All event kinds of this crate.
pub const EVENTS: &[&EventKind] = &[&ADMITTED, &QUEUED, &REFUSED, &HUNG_UP, &SLOTS];
