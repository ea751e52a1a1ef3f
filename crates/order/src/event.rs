//! Numbered events of this crate.

use fleet::EventKind;

/// An order is sent.
pub(crate) const SENT: EventKind = EventKind {
    number: 701,
    name: "order-sent",
    meaning: "An order goes to an engine whose state is not the desired one.",
};

/// An order was not taken.
pub(crate) const REFUSED: EventKind = EventKind {
    number: 702,
    name: "order-refused",
    meaning: "An order was refused, was not sent in its window, or its answer was lost.",
};

/// An engine carries an order of another holder.
pub(crate) const FOREIGN: EventKind = EventKind {
    number: 703,
    name: "order-foreign",
    meaning: "An engine has left its desired state by an order that is not this holder's last.",
};

/// This node has become the holder.
pub(crate) const HOLDER: EventKind = EventKind {
    number: 704,
    name: "order-holder",
    meaning: "This node holds the lease for orders.",
};

/// This node is the holder no more.
pub(crate) const DEPOSED: EventKind = EventKind {
    number: 705,
    name: "order-deposed",
    meaning: "This node no longer holds the lease for orders.",
};

/// All events of this crate.
pub const EVENTS: &[&EventKind] = &[&SENT, &REFUSED, &FOREIGN, &HOLDER, &DEPOSED];
