//! Numbered log events of the stand-ins.

use fleet::EventKind;

/// A stand-in has started to listen.
pub(crate) const STARTED: EventKind = EventKind {
    number: 1001,
    name: "standin-started",
    meaning: "A stand-in listens on its address.",
};

/// A stand-in received a control command.
pub(crate) const COMMANDED: EventKind = EventKind {
    number: 1002,
    name: "standin-commanded",
    meaning: "A stand-in received a control command.",
};

/// A stand-in crashes because of a control command.
pub(crate) const CRASHED: EventKind = EventKind {
    number: 1003,
    name: "standin-crashed",
    meaning: "A stand-in crashes because of a control command.",
};

/// All events of this crate.
pub const EVENTS: &[&EventKind] = &[&STARTED, &COMMANDED, &CRASHED];
