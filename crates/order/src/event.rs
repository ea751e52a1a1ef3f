//! Numbered events of the order service.

use fleet::EventKind;

/// An order is sent.
pub(crate) const SENT: EventKind = EventKind {
    number: 701,
    name: "order-sent",
    meaning: "An order is sent to an engine that is not in its desired state.",
};

/// An order was not executed, or its result is unknown.
pub(crate) const REFUSED: EventKind = EventKind {
    number: 702,
    name: "order-refused",
    meaning: "An order was refused, was not sent within its window, or its answer was lost.",
};

/// The last order of an engine is not this holder's last one.
pub(crate) const FOREIGN: EventKind = EventKind {
    number: 703,
    name: "order-foreign",
    meaning: "An engine has left its desired state by an order that is not the last one of this holder.",
};

/// This node has acquired the lease.
pub(crate) const LEASE_HELD: EventKind = EventKind {
    number: 704,
    name: "order-holder",
    meaning: "This node holds the lease for orders.",
};

/// This node no longer holds the lease.
pub(crate) const LEASE_LOST: EventKind = EventKind {
    number: 705,
    name: "order-deposed",
    meaning: "This node no longer holds the lease for orders.",
};

/// All events of this crate.
pub const EVENTS: &[&EventKind] = &[&SENT, &REFUSED, &FOREIGN, &LEASE_HELD, &LEASE_LOST];
