//! Numbered events of admission.

use fleet::EventKind;

/// A request was admitted.
pub(crate) const ADMITTED: EventKind = EventKind {
    number: 401,
    name: "admitted",
    meaning: "A request may go to the targets, with its priority and the time that it waited.",
};

/// A request waits.
pub(crate) const QUEUED: EventKind = EventKind {
    number: 402,
    name: "queued",
    meaning: "A request waits for a slot, with its learned patience and its predicted wait.",
};

/// A request was refused.
pub(crate) const REFUSED: EventKind = EventKind {
    number: 403,
    name: "refused",
    meaning: "A request is not run, with the reason and the time to come back.",
};

/// A caller hung up.
pub(crate) const HUNG_UP: EventKind = EventKind {
    number: 404,
    name: "hung-up",
    meaning: "A caller left before its answer began, with the time that it had waited.",
};

/// The slots of this node changed.
pub(crate) const SLOTS: EventKind = EventKind {
    number: 405,
    name: "slots-changed",
    meaning: "The number of slots that this node may use for a service changed.",
};

/// All kinds of events of this crate.
pub const EVENTS: &[&EventKind] = &[&ADMITTED, &QUEUED, &REFUSED, &HUNG_UP, &SLOTS];
